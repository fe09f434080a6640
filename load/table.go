package load

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// UpstreamStatus is the status of an upstream as of the last notice.
type UpstreamStatus struct {
	State      pb.UpstreamState
	InProgress int
	Queued     int
	// Token is the guard token of the admission, or 0 if it is unknown.
	Token uint64
	// IsLocal is true if this daemon holds the admission, so that the numbers are exact.
	IsLocal bool
	// UpdatedAt is the time of the last notice, and StateSince the time of the first notice with the
	// current state.
	UpdatedAt, StateSince time.Time
}

// Table holds the status of all upstreams. Its methods may be called concurrently.
type Table struct {
	mu       sync.RWMutex
	statuses map[uint32]UpstreamStatus
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{statuses: map[uint32]UpstreamStatus{}} }

// Update stores the status in a notice of another daemon, which holds the upstream's admission.
func (t *Table) Update(n *pb.UpstreamNotice) { t.store(n, false) }

// UpdateLocal stores the status in a notice of an admission that this daemon holds.
func (t *Table) UpdateLocal(n *pb.UpstreamNotice) { t.store(n, true) }

// store stores the status in a notice. StateSince stays the same while the state does.
func (t *Table) store(n *pb.UpstreamNotice, isLocal bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	stateSince := now
	if previous, ok := t.statuses[n.GetUpstream()]; ok && previous.State == n.GetState() {
		stateSince = previous.StateSince
	}
	t.statuses[n.GetUpstream()] = UpstreamStatus{
		State:      n.GetState(),
		InProgress: int(n.GetInProgress()),
		Queued:     int(n.GetQueued()),
		Token:      n.GetGuardToken(),
		IsLocal:    isLocal,
		UpdatedAt:  now,
		StateSince: stateSince,
	}
}

// Remove removes an upstream, for example one that is no longer in the configuration.
func (t *Table) Remove(upstream uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.statuses, upstream)
}

// Status returns the status of an upstream. ok is false if there has been no notice.
func (t *Table) Status(upstream uint32) (s UpstreamStatus, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok = t.statuses[upstream]
	return s, ok
}

// IsUsable reports whether new flows may go to the upstream. An upstream without a status is usable,
// since a daemon that has just started must not refuse all flows.
func (t *Table) IsUsable(upstream uint32) bool {
	s, ok := t.Status(upstream)
	return !ok || s.State == pb.UpstreamState_UPSTREAM_STATE_OK || s.State == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
}

// NewFlowShare returns the share of its usual new flows that an upstream may get, from 0 to 1. A cold
// upstream gets a quarter at first and all of them after 10 s.
func (t *Table) NewFlowShare(upstream uint32) float64 {
	s, ok := t.Status(upstream)
	switch {
	case !ok || s.State == pb.UpstreamState_UPSTREAM_STATE_OK || s.State == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED:
		return 1
	case s.State == pb.UpstreamState_UPSTREAM_STATE_COLD:
		return coldShareAfter(time.Since(s.StateSince))
	}
	return 0
}

// ExpectedWait estimates how long a new request waits at an upstream with the given number of slots.
// It uses the last notice and a service time, usually that of another upstream of the same service.
func (s UpstreamStatus) ExpectedWait(slots int, serviceTime time.Duration) time.Duration {
	ahead := s.InProgress + s.Queued - slots + 1
	if ahead <= 0 {
		return 0
	}
	return serviceTime * time.Duration(ahead) / time.Duration(max(slots, 1))
}
