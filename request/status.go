package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// numUnfinished returns the number of requests that this daemon has sent and not yet finished. A
// former holder returns 0 after lateAnswerWait.
func (a *admission) numUnfinished() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.active && time.Since(a.releasedAt) > lateAnswerWait {
		return 0
	}
	n := 0
	for _, r := range a.occupying {
		if r.state == running {
			n++
		}
	}
	return n
}

// Status returns the status of an upstream as this daemon knows it. AdmissionHeld is false when
// another daemon holds the admission.
func (e *Engine) Status(upstream uint32) *pb.UpstreamStatus {
	status := &pb.UpstreamStatus{Upstream: upstream}
	if u, service, _, ok := e.options.Config.Current().Upstream(upstream); ok && u != nil {
		status.Service = service.GetNumber()
	}
	a := e.admission(upstream)
	if a == nil {
		if known, ok := e.options.Load.Status(upstream); ok {
			status.State = known.State
		}
		return status
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	status.AdmissionHeld = a.active
	status.State = a.tracker.State(time.Now())
	status.InProgress = uint32(a.tracker.InProgress())
	status.Queued = uint32(len(a.queue))
	status.LastReport = a.tracker.LastReport()
	return status
}

// Announce sends a notice of an upstream if this daemon holds its admission, in response to a query
// from another daemon. It reports whether this daemon holds the admission.
func (e *Engine) Announce(upstream uint32) bool {
	a := e.admission(upstream)
	if a == nil {
		return false
	}
	held := false
	a.withLock(func() {
		if held = a.active; held {
			a.notifyOwners(false)
		}
	})
	return held
}

// Blocker is an unfinished request that delays the drain of an upstream.
type Blocker struct {
	Flow      wire.FlowKey
	RequestID uint64
	// Queued is true when the request has not been sent to the upstream.
	Queued bool
	// Age is the time since the request was recorded.
	Age time.Duration
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// Blockers returns the requests that a drain of the upstream has to wait for.
func (e *Engine) Blockers(upstream uint32) []Blocker {
	a := e.admission(upstream)
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var list []Blocker
	add := func(r *record, isQueued bool) {
		list = append(list, Blocker{Flow: r.key.flow, RequestID: r.key.id, Queued: isQueued,
			Age: now.Sub(r.recordedAt), Remaining: r.deadline.Sub(now)})
	}
	for _, r := range a.occupying {
		add(r, false)
	}
	for _, r := range a.queue {
		add(r, true)
	}
	return list
}
