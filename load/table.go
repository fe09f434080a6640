package load

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Known is what this daemon knows of an upstream.
type Known struct {
	State      pb.UpstreamState
	InProgress int
	Queued     int
	// Token is the guard token of the admission, 0 when unknown.
	Token uint64
	// Own is true when the admission is held here, so that the figures are exact.
	Own bool
	// At is the time of the notice, and Since that of the first notice with this state.
	At, Since time.Time
}

// Table holds what is known of all upstreams. Its methods may be called concurrently.
type Table struct {
	mu    sync.RWMutex
	known map[uint32]Known
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{known: map[uint32]Known{}} }

// Learn takes over the notice of another daemon that holds the upstream's admission.
func (t *Table) Learn(n *pb.UpstreamNotice) { t.store(n, false) }

// Observe takes over what the admission on this daemon says.
func (t *Table) Observe(n *pb.UpstreamNotice) { t.store(n, true) }

func (t *Table) store(n *pb.UpstreamNotice, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	since := now
	if old, ok := t.known[n.GetUpstream()]; ok && old.State == n.GetState() {
		since = old.Since
	}
	t.known[n.GetUpstream()] = Known{
		State:      n.GetState(),
		InProgress: int(n.GetInProgress()),
		Queued:     int(n.GetQueued()),
		Token:      n.GetGuardToken(),
		Own:        own,
		At:         now,
		Since:      since,
	}
}

// Forget removes an upstream, for example when it left the configuration.
func (t *Table) Forget(upstream uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.known, upstream)
}

// Known returns what is known of an upstream; ok is false when nothing is.
func (t *Table) Known(upstream uint32) (k Known, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	k, ok = t.known[upstream]
	return k, ok
}

// Usable reports whether new flows may go to the upstream. One of which nothing is known is
// usable: a daemon that has just started must not refuse everything.
func (t *Table) Usable(upstream uint32) bool {
	k, ok := t.Known(upstream)
	return !ok || k.State == pb.UpstreamState_UPSTREAM_STATE_OK || k.State == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
}

// Share returns the share of its usual new flows that an upstream may get, from 0 to 1. A cold
// one gets a quarter at first and all after 10 s.
func (t *Table) Share(upstream uint32) float64 {
	k, ok := t.Known(upstream)
	switch {
	case !ok || k.State == pb.UpstreamState_UPSTREAM_STATE_OK || k.State == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED:
		return 1
	case k.State == pb.UpstreamState_UPSTREAM_STATE_COLD:
		return coldShareAfter(time.Since(k.Since))
	}
	return 0
}

// ExpectedWait estimates the wait at an upstream with the given slots from the last notice
// and a service time, usually that of another upstream of the same service.
func (k Known) ExpectedWait(slots int, service time.Duration) time.Duration {
	ahead := k.InProgress + k.Queued - slots + 1
	if ahead <= 0 {
		return 0
	}
	return service * time.Duration(ahead) / time.Duration(max(slots, 1))
}
