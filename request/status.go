package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// unfinished counts the requests that this daemon has yet to finish.
func (a *admission) unfinished() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.active && time.Since(a.released) > settleTime {
		return 0
	}
	n := 0
	for _, r := range a.busy {
		if r.state == running {
			n++
		}
	}
	return n
}

// Status returns what is known of an upstream; AdmissionHeld is false when another daemon
// holds its admission.
func (e *Engine) Status(upstream uint32) *pb.UpstreamStatus {
	status := &pb.UpstreamStatus{Upstream: upstream}
	if u, service, _, ok := e.options.Config.Current().Upstream(upstream); ok && u != nil {
		status.Service = service.GetNumber()
	}
	a := e.admission(upstream)
	if a == nil {
		if k, ok := e.options.Load.Status(upstream); ok {
			status.State = k.State
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

// Announce sends a notice of an upstream whose admission is held here, for a daemon that asks.
// It reports whether it is held.
func (e *Engine) Announce(upstream uint32) bool {
	a := e.admission(upstream)
	if a == nil {
		return false
	}
	held := false
	a.locked(func() {
		if held = a.active; held {
			a.notify(false)
		}
	})
	return held
}

// Blocker is a request that keeps a draining upstream busy.
type Blocker struct {
	Flow      wire.FlowKey
	RequestID uint64
	// Queued is true when the request has not been sent to the upstream.
	Queued bool
	// Age is the time since the request was admitted.
	Age time.Duration
	// Left is the time until its deadline.
	Left time.Duration
}

// Blockers returns the requests that a drain of the upstream waits for.
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
			Age: now.Sub(r.since), Left: r.deadline.Sub(now)})
	}
	for _, r := range a.busy {
		add(r, false)
	}
	for _, r := range a.queue {
		add(r, true)
	}
	return list
}
