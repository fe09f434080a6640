package fabric

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Hop names the part of a flow's path on which a black hole drops datagrams.
type Hop string

// Hops of a black hole.
const (
	// HopUpstream is between balancers and upstreams, in both directions.
	HopUpstream Hop = "upstream"
	// HopCaller is from callers to balancers.
	HopCaller Hop = "caller"
	// HopAll is both.
	HopAll Hop = "all"
)

// ErrBadHop reports an unknown hop.
var ErrBadHop = errors.New("hop is not one of upstream, caller, all")

// flowTable knows the open flows, so that a black hole can take established flows only.
type flowTable struct {
	blackCount atomic.Int64
	mu         sync.Mutex
	open       map[wire.FlowKey]struct{}
	black      map[wire.FlowKey]Hop
}

func newFlowTable() *flowTable {
	return &flowTable{open: map[wire.FlowKey]struct{}{}, black: map[wire.FlowKey]Hop{}}
}

// note records opened and closed flows by a packet that arrived at a service address. An
// OPEN makes a new flow, also on the key of one in a black hole.
func (t *flowTable) note(h wire.Header) {
	if h.IsFromUpstream() || (h.Kind != pb.Kind_KIND_OPEN && h.Kind != pb.Kind_KIND_CLOSE) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Kind == pb.Kind_KIND_CLOSE {
		delete(t.open, h.Flow)
		return
	}
	t.open[h.Flow] = struct{}{}
	delete(t.black, h.Flow)
	t.blackCount.Store(int64(len(t.black)))
}

// drops reports whether a black hole swallows a datagram of the flow on the given hop.
func (t *flowTable) drops(k wire.FlowKey, hop Hop) bool {
	if t.blackCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.black[k]
	return ok && (h == HopAll || h == hop)
}

func (t *flowTable) heal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.black)
	t.blackCount.Store(0)
}

func (t *flowTable) blackhole(share float64, hop Hop, seed uint64, service netip.AddrPort) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := 0
	for k := range t.open {
		if service.IsValid() && k.Service() != service {
			continue
		}
		if seededShare(k, seed) < share {
			t.black[k] = hop
			taken++
		}
	}
	t.blackCount.Store(int64(len(t.black)))
	return taken
}

// seededShare maps a flow to a number in [0, 1) that depends on the seed.
func seededShare(k wire.FlowKey, seed uint64) float64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], k.Hash())
	binary.BigEndian.PutUint64(b[8:], seed)
	return float64(xxhash.Sum64(b[:])>>11) / math.Exp2(53)
}

// Blackhole drops from now on everything of a share of the flows that are open now, on the
// given hop; flows opened later work. A valid service limits it to that service's flows. It
// returns the number of flows taken, or ErrBadShare or ErrBadHop.
func (f *Fabric) Blackhole(share float64, hop Hop, seed uint64, service netip.AddrPort) (int, error) {
	if !validShare(share) {
		return 0, fmt.Errorf("black hole %v: %w", share, ErrBadShare)
	}
	if hop != HopUpstream && hop != HopCaller && hop != HopAll {
		return 0, fmt.Errorf("black hole %q: %w", hop, ErrBadHop)
	}
	return f.flows.blackhole(share, hop, seed, service), nil
}
