package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// busyTick is the delay of the next tick after an admission with work handled a packet, and
	// so the precision of deadlines and back-offs.
	busyTick = 10 * time.Millisecond
	// idleTick is the tick interval of an admission without requests in progress, whose records
	// still have to expire.
	idleTick = time.Second
	// retransmitTick is the tick interval while requests are in progress, and so the precision of
	// their retransmissions.
	retransmitTick = 20 * time.Millisecond
	// releasedQueueDelay is the delay before a former holder forwards its queued requests, so
	// that the new holder has activated the admission when it receives them.
	releasedQueueDelay = 20 * time.Millisecond
)

// run is the task of one admission. It runs the ticks until the Engine stops or the admission has
// ended.
func (a *admission) run() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-a.engine.done:
			return
		case <-timer.C:
		case <-a.wake:
			// A packet was handled: the next tick comes after busyTick.
			timer.Reset(busyTick)
			select {
			case <-a.engine.done:
				return
			case <-timer.C:
			}
		}
		if a.engine.removeIfEnded(a) {
			return
		}
		canForwardQueue := a.canForwardReleasedQueue()
		next := idleTick
		a.withLock(func() {
			a.tick(canForwardQueue)
			if len(a.occupying) > 0 {
				next = retransmitTick
			}
		})
		timer.Reset(next)
	}
}

// canForwardReleasedQueue reports whether the queue of a released admission can be forwarded to a new
// holder. It calls the Router with the mutex unlocked, since the Router's implementation may be
// calling Release at the same time.
func (a *admission) canForwardReleasedQueue() bool {
	a.mu.Lock()
	isDue := len(a.releasedQueue) > 0 && time.Since(a.releasedAt) >= releasedQueueDelay
	a.mu.Unlock()
	if !isDue {
		return false
	}
	to, active, ok := a.engine.options.Router.Route(a.resource)
	return ok && !active && to != a.engine.options.Self
}

// tick handles everything that is due: deadlines, retransmissions, probes, expiry and notices. If
// canForwardQueue is set, it also forwards the queue of a released admission.
func (a *admission) tick(canForwardQueue bool) {
	now := time.Now()
	t, ok := a.currentTarget()
	if !ok {
		a.endAllRequests(now)
		return
	}
	a.tracker.Configure(int(t.upstream.GetSlots()), isDraining(t.upstream))
	a.expireQueue(now)
	a.expireOccupying(t, now)
	a.retransmit(t, now)
	a.probeFlows(t, now)
	a.reassignSlots(t, now)
	a.probeHeldBack(t, now)
	if canForwardQueue {
		a.forwardReleasedQueue(now)
	}
	if a.guard.expire(now) && a.active {
		a.renewToken()
	}
	a.dispatch(t, now)
	a.publishState(now)
}

// currentTarget looks up the upstream in the configuration in force.
func (a *admission) currentTarget() (t target, ok bool) {
	t.upstream, t.service, t.address, ok = a.engine.options.Config.Current().Upstream(a.resource.Index)
	return t, ok
}

// endAllRequests ends the requests of an upstream that was removed from the configuration.
func (a *admission) endAllRequests(now time.Time) {
	for _, r := range append([]*record(nil), a.queue...) {
		a.removeQueued(r)
		a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_UPSTREAM_REMOVED)
	}
	for _, r := range a.occupying {
		if r.state != finished {
			a.finish(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_UPSTREAM_REMOVED)
		}
		a.freeSlot(r)
	}
	clear(a.watches)
	a.guard.expire(now)
}

func (a *admission) expireQueue(now time.Time) {
	if a.engine.options.Tuning.NoQueueDeadline {
		return
	}
	for _, r := range append([]*record(nil), a.queue...) {
		if !now.Before(r.deadline) {
			a.removeQueued(r)
			a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
		}
	}
}

// expireOccupying ends requests in progress at their deadline, and frees the slots of abandoned
// requests after slotGrace.
func (a *admission) expireOccupying(t target, now time.Time) {
	for _, r := range a.occupying {
		switch {
		case r.state == finished:
			if !now.Before(r.slotFreeAt) {
				a.freeSlot(r)
			}
		case now.Before(r.deadline):
		case r.state == remote:
			// The former holder has sent the final status to the caller, or is lost.
			r.status, r.reason = pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_OWNER_LOST
			a.guard.finish(r, now)
			a.freeSlot(r)
		case r.parts.isPartial():
			a.tracker.RecordTimeout(now)
			a.abandon(r, pb.Status_STATUS_ERROR, pb.Reason_REASON_PARTS_LOST)
			a.cancelAtUpstream(t.address, r)
		default:
			a.tracker.RecordTimeout(now)
			a.abandon(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_DEADLINE)
			a.cancelAtUpstream(t.address, r)
		}
	}
}

// renewToken replaces the guard token and discards the low-water marks when there are more than
// maxWatermarks. Requests with the previous token are then refused as stale.
func (a *admission) renewToken() {
	a.token = a.engine.newToken()
	clear(a.guard.watermarks)
	a.counters().Count("request.token_renewed")
	a.notifyOwners(true)
}

// forwardReleasedQueue forwards the requests that were queued at the release to the new holder.
func (a *admission) forwardReleasedQueue(now time.Time) {
	for _, r := range a.releasedQueue {
		left := r.deadline.Sub(now)
		if left <= 0 {
			continue
		}
		r.packet.DeadlineMs = milliseconds(left)
		a.counters().Count("request.handed_back")
		a.out = append(a.out, outMessage{kind: toAdmission, target: a.resource.Index, packet: r.packet})
	}
	a.releasedQueue = nil
}

// publishState records the state of the upstream in the local load table and sends a notice to the
// flow owners if the state changed.
func (a *admission) publishState(now time.Time) {
	if !a.active {
		return
	}
	n := a.newNotice(now)
	a.engine.options.Load.UpdateLocal(n)
	if a.announcer.RecordIfDue(now, n) {
		a.out = append(a.out, outMessage{kind: notifyOwners, notice: n})
	}
}

func (a *admission) newNotice(now time.Time) *pb.UpstreamNotice {
	return &pb.UpstreamNotice{
		Upstream:   a.resource.Index,
		Service:    a.resource.Service,
		State:      a.tracker.State(now),
		GuardToken: a.token,
		InProgress: uint32(a.tracker.InProgress()),
		Queued:     uint32(len(a.queue)),
	}
}

// notifyOwners sends a notice to the flow owners at once.
func (a *admission) notifyOwners(tokenChanged bool) {
	now := time.Now()
	n := a.newNotice(now)
	n.TokenChanged = tokenChanged
	a.engine.options.Load.UpdateLocal(n)
	a.announcer.RecordIfDue(now, n)
	a.out = append(a.out, outMessage{kind: notifyOwners, notice: n})
}
