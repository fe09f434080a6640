package request

import (
	"net/netip"
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// slotGrace bounds how long a request that was given up still occupies its slot: the upstream
// is told to cancel it and may need a moment.
const slotGrace = time.Second

// admit queues a request, hands it on, or refuses it.
func (a *admission) admit(t target, r *record, now time.Time) {
	r.state = queued
	waiting := a.waiting()
	wait := a.tracker.ExpectedWait(now, waiting)
	limit := int(t.service.GetLimits().GetQueueLength())
	if limit == 0 {
		limit = defaultQueueLength(t.service.GetAim())
	}
	switch {
	case waiting >= limit || len(a.queue) >= 2*limit:
		// Requests of flows under suspicion have a queue length of their own.
		a.refuse(t, r, pb.Reason_REASON_QUEUE_FULL, now)
		return
	case !a.isInTime(r, now.Add(wait), now):
		a.refuse(t, r, pb.Reason_REASON_DEADLINE, now)
		return
	case waiting > 0 && a.spillIfShorter(t, r, wait, now):
		return
	}
	a.queue = append(a.queue, r)
	a.dispatch(t, now)
}

// isInTime reports whether a request that starts then is answered before its deadline at the
// measured service time. The finish counts and not the start: in an overload a queue bounded
// by the start fills until every request starts just before its deadline, and none is answered
// in time.
func (a *admission) isInTime(r *record, start, now time.Time) bool {
	if a.engine.options.Tuning.NoQueueDeadline {
		return true
	}
	return start.Add(a.tracker.ServiceTime(now)).Before(r.deadline)
}

// refuse ends a request that was not sent; an idempotent one may go to another upstream.
func (a *admission) refuse(t target, r *record, reason pb.Reason, now time.Time) {
	if a.spill(t, r, reason, now) {
		return
	}
	a.finish(r, pb.Status_STATUS_NOT_RUN, reason)
}

// dispatch sends queued requests while slots are free.
func (a *admission) dispatch(t target, now time.Time) {
	for a.active && a.tracker.FreeSlots(now) > 0 {
		i := slices.IndexFunc(a.queue, func(r *record) bool { return !a.isHeldBack(r) })
		if i < 0 {
			return
		}
		r := a.queue[i]
		a.queue = slices.Delete(a.queue, i, i+1)
		if !a.isInTime(r, now, now) {
			a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
			continue
		}
		a.start(t.address, r, now)
	}
}

// start records the request as running and sends it to the upstream.
func (a *admission) start(addr netip.AddrPort, r *record, now time.Time) {
	r.runs++
	r.run = a.engine.newRun()
	r.state, r.sent, r.slot, r.freeAt = running, now, true, time.Time{}
	a.busy[r.key] = r
	a.tracker.RecordStart(now)
	if !r.spilled {
		a.watch(r.key.flow, now)
	}
	a.transmit(addr, r, now, &pb.Packet{
		Flow:       r.packet.GetFlow(),
		Kind:       pb.Kind_KIND_REQUEST,
		RequestId:  r.key.id,
		Attempt:    r.run,
		Idempotent: r.idempotent,
		DeadlineMs: milliseconds(r.deadline.Sub(now)),
		GuardToken: a.token,
		Service:    a.resource.Service,
		Upstream:   a.resource.Index,
		Payload:    r.packet.GetPayload(),
		Standalone: r.spilled,
	})
}

// newRun returns a random number for a run that is not 0. Numbers that count from the caller's
// attempt would repeat at a new holder, which would take a refusal of the former holder's run
// for one of its own.
func (e *Engine) newRun() uint32 { return uint32(e.random())>>1 + 1 }

// milliseconds rounds up to at least 1, since 0 means no deadline.
func milliseconds(d time.Duration) uint32 {
	return uint32(max((d+time.Millisecond-1)/time.Millisecond, 1))
}

func (a *admission) unqueue(r *record) {
	if i := slices.Index(a.queue, r); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// giveUp ends a request in progress for the caller. Its slot stays occupied until the upstream
// answers or the grace ends.
func (a *admission) giveUp(r *record, status pb.Status, reason pb.Reason) {
	a.finish(r, status, reason)
	r.freeAt = time.Now().Add(slotGrace)
}

func (a *admission) cancelAtUpstream(addr netip.AddrPort, r *record) {
	p := a.packet(r.key.flow, pb.Kind_KIND_CANCEL)
	p.RequestId, p.Attempt = r.key.id, r.run
	a.toUpstream(addr, p)
}

// free ends the occupation of a slot without a measured service time.
func (a *admission) free(r *record) {
	if r.slot {
		r.slot = false
		a.reclaim(r)
		delete(a.busy, r.key)
		a.tracker.ReleaseSlot()
	}
}
