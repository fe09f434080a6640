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

// holders tells which daemon holds each resource: by rendezvous over the live daemons, as
// package ownership does, but agreed at once by all. Tasks of daemons read it.
type holders struct {
	mu       sync.RWMutex
	live     []int
	current  map[ownership.Resource]int
	previous map[ownership.Resource]int
}

func newHolders() *holders {
	return &holders{current: map[ownership.Resource]int{}, previous: map[ownership.Resource]int{}}
}

func (h *holders) name(index int) membership.DaemonID {
	return membership.DaemonID("daemon-" + strconv.Itoa(index+1))
}

// ranked returns the live daemons by rank for a resource.
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

func (h *holders) of(r ownership.Resource) int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if i, ok := h.current[r]; ok {
		return i
	}
	return -1
}

func (h *holders) before(r ownership.Resource) int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if i, ok := h.previous[r]; ok {
		return i
	}
	return -1
}

// second returns the daemon that would hold r next.
func (h *holders) second(r ownership.Resource) int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, i := range h.ranked(r) {
		if i != h.current[r] {
			return i
		}
	}
	return -1
}

// move is a resource that gets another holder.
type move struct {
	resource ownership.Resource
	from, to int
}

// setLive takes over the live daemons and returns the moves that follow.
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

func partitions() []ownership.Resource {
	var list []ownership.Resource
	for i := range uint32(ownership.PartitionCount) {
		list = append(list, ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: serviceNumber, Index: i})
	}
	return list
}
