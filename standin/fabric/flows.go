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
	// HopAll is both of these hops.
	HopAll Hop = "all"
)

// ErrBadHop reports an unknown hop.
var ErrBadHop = errors.New("hop is not one of upstream, caller, all")

// flowTable records the open flows, so that a black hole affects established flows only.
type flowTable struct {
	blackholedCount atomic.Int64
	mu              sync.Mutex
	open            map[wire.FlowKey]struct{}
	blackholed      map[wire.FlowKey]Hop
}

func newFlowTable() *flowTable {
	return &flowTable{open: map[wire.FlowKey]struct{}{}, blackholed: map[wire.FlowKey]Hop{}}
}

// recordPacket updates the open flows with a packet that arrived at a service address. An OPEN starts
// a new flow, also if a flow with the same key is in a black hole.
func (t *flowTable) recordPacket(h wire.Header) {
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
	delete(t.blackholed, h.Flow)
	t.blackholedCount.Store(int64(len(t.blackholed)))
}

// isBlackholed reports whether a black hole drops the datagrams of the flow on the given hop.
func (t *flowTable) isBlackholed(k wire.FlowKey, hop Hop) bool {
	if t.blackholedCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.blackholed[k]
	return ok && (h == HopAll || h == hop)
}

func (t *flowTable) clearBlackholes() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.blackholed)
	t.blackholedCount.Store(0)
}

func (t *flowTable) blackhole(share float64, hop Hop, seed uint64, service netip.AddrPort) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	affected := 0
	for k := range t.open {
		if service.IsValid() && k.Service() != service {
			continue
		}
		if seededShare(k, seed) < share {
			t.blackholed[k] = hop
			affected++
		}
	}
	t.blackholedCount.Store(int64(len(t.blackholed)))
	return affected
}

// seededShare maps a flow to a number in [0, 1) that depends on the seed.
func seededShare(k wire.FlowKey, seed uint64) float64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], k.Hash())
	binary.BigEndian.PutUint64(b[8:], seed)
	return float64(xxhash.Sum64(b[:])>>11) / math.Exp2(53)
}

// Blackhole drops from now on all datagrams of a share of the open flows on the given hop; flows that
// are opened later work. A valid service limits the fault to the flows of that service. It returns
// the number of affected flows, or ErrBadShare or ErrBadHop.
func (f *Fabric) Blackhole(share float64, hop Hop, seed uint64, service netip.AddrPort) (int, error) {
	if !validShare(share) {
		return 0, fmt.Errorf("black hole %v: %w", share, ErrBadShare)
	}
	if hop != HopUpstream && hop != HopCaller && hop != HopAll {
		return 0, fmt.Errorf("black hole %q: %w", hop, ErrBadHop)
	}
	return f.flows.blackhole(share, hop, seed, service), nil
}
