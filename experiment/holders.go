package experiment

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// holders assigns each resource to a daemon by rendezvous hashing over the live daemons, as package
// ownership does, but all daemons apply a change at the same moment. The daemons' goroutines read it.
type holders struct {
	mu       sync.RWMutex
	live     []int
	current  map[ownership.Resource]int
	previous map[ownership.Resource]int
}

func newHolders() *holders {
	return &holders{current: map[ownership.Resource]int{}, previous: map[ownership.Resource]int{}}
}

// daemonID returns the identifier of the daemon with an index.
func (h *holders) daemonID(index int) membership.DaemonID {
	return membership.DaemonID("daemon-" + strconv.Itoa(index+1))
}

// ranked returns the live daemons in the order in which they would hold a resource.
func (h *holders) ranked(r ownership.Resource) []int {
	ranked := slices.Clone(h.live)
	score := func(i int) uint64 {
		return xxhash.Sum64String(strconv.Itoa(i) + "/" + strconv.Itoa(int(r.Kind)) + "/" + strconv.Itoa(int(r.Index)))
	}
	slices.SortFunc(ranked, func(a, b int) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	return ranked
}

// currentHolder returns the index of the daemon that holds r, or -1.
func (h *holders) currentHolder(r ownership.Resource) int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if i, ok := h.current[r]; ok {
		return i
	}
	return -1
}

// previousHolder returns the index of the daemon that held r before the current holder, or -1.
func (h *holders) previousHolder(r ownership.Resource) int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if i, ok := h.previous[r]; ok {
		return i
	}
	return -1
}

// successor returns the index of the daemon that would hold r if its holder ended, or -1.
func (h *holders) successor(r ownership.Resource) int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, i := range h.ranked(r) {
		if i != h.current[r] {
			return i
		}
	}
	return -1
}

// move is the transfer of a resource to another holder. The field from is -1 if no daemon held it.
type move struct {
	resource ownership.Resource
	from, to int
}

// setLive replaces the live daemons, reassigns the resources and returns the resulting moves.
func (h *holders) setLive(live []int, resources []ownership.Resource) []move {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live = live
	var moves []move
	for _, r := range resources {
		from, held := h.current[r]
		if !held {
			from = -1
		}
		to := -1
		if ranked := h.ranked(r); len(ranked) > 0 {
			to = ranked[0]
		}
		if to >= 0 && to != from {
			moves = append(moves, move{r, from, to})
			if held {
				h.previous[r] = from
			}
			h.current[r] = to
		}
	}
	return moves
}

// allPartitions returns the flow partitions of the service.
func allPartitions() []ownership.Resource {
	var list []ownership.Resource
	for i := range uint32(ownership.PartitionCount) {
		list = append(list, ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: serviceNumber, Index: i})
	}
	return list
}
