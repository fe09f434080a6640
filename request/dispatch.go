package request

import (
	"net/netip"
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// slotGrace limits how long an abandoned request still occupies its slot. The upstream receives a
// cancellation and needs some time to stop the request.
const slotGrace = time.Second

// admit queues a request, redirects it to another upstream or refuses it.
func (a *admission) admit(t target, r *record, now time.Time) {
	r.state = queued
	numWaiting := a.numWaiting()
	wait := a.tracker.ExpectedWait(now, numWaiting)
	limit := int(t.service.GetLimits().GetQueueLength())
	if limit == 0 {
		limit = defaultQueueLength(t.service.GetAim())
	}
	switch {
	case numWaiting >= limit || len(a.queue) >= 2*limit:
		// Requests that are held back do not count as waiting, so the whole queue has its own limit.
		a.refuse(t, r, pb.Reason_REASON_QUEUE_FULL, now)
		return
	case !a.meetsDeadline(r, now.Add(wait), now):
		a.refuse(t, r, pb.Reason_REASON_DEADLINE, now)
		return
	case numWaiting > 0 && a.redirectIfShorter(t, r, wait, now):
		return
	}
	a.queue = append(a.queue, r)
	a.dispatch(t, now)
}

// meetsDeadline reports whether a request that starts at start is expected to finish before its
// deadline, given the measured service time. The check uses the finish and not the start: in an
// overload, a queue bounded by the start time fills until every request starts just before its
// deadline and none is answered in time.
func (a *admission) meetsDeadline(r *record, start, now time.Time) bool {
	if a.engine.options.Tuning.NoQueueDeadline {
		return true
	}
	return start.Add(a.tracker.ServiceTime(now)).Before(r.deadline)
}

// refuse ends a request that was not sent to the upstream, unless it can be redirected to another
// upstream.
func (a *admission) refuse(t target, r *record, reason pb.Reason, now time.Time) {
	if a.redirect(t, r, reason, now) {
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
		if !a.meetsDeadline(r, now, now) {
			a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
			continue
		}
		a.start(t.address, r, now)
	}
}

// start records the request as running and sends it to the upstream.
func (a *admission) start(addr netip.AddrPort, r *record, now time.Time) {
	r.runs++
	r.runID = a.engine.newRunID()
	r.state, r.sentAt, r.occupiesSlot, r.slotFreeAt = running, now, true, time.Time{}
	a.occupying[r.key] = r
	a.tracker.RecordStart(now)
	if !r.fromRedirect {
		a.watch(r.key.flow, now)
	}
	a.transmit(addr, r, now, &pb.Packet{
		Flow:       r.packet.GetFlow(),
		Kind:       pb.Kind_KIND_REQUEST,
		RequestId:  r.key.id,
		Attempt:    r.runID,
		Idempotent: r.idempotent,
		DeadlineMs: milliseconds(r.deadline.Sub(now)),
		GuardToken: a.token,
		Service:    a.resource.Service,
		Upstream:   a.resource.Index,
		Payload:    r.packet.GetPayload(),
		Standalone: r.fromRedirect,
	})
}

// newRunID returns a random number for a run that is not 0. Numbers derived from the caller's
// attempt would repeat at a new holder, which would then match a refusal of the former holder's
// run to its own run.
func (e *Engine) newRunID() uint32 { return uint32(e.randomUint64())>>1 + 1 }

// milliseconds converts d to milliseconds, rounded up. The result is at least 1, since 0 means no
// deadline.
func milliseconds(d time.Duration) uint32 {
	return uint32(max((d+time.Millisecond-1)/time.Millisecond, 1))
}

func (a *admission) removeQueued(r *record) {
	if i := slices.Index(a.queue, r); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// abandon finishes a request in progress without its answer. The slot stays occupied until the
// upstream responds or slotGrace has passed.
func (a *admission) abandon(r *record, status pb.Status, reason pb.Reason) {
	a.finish(r, status, reason)
	r.slotFreeAt = time.Now().Add(slotGrace)
}

func (a *admission) cancelAtUpstream(addr netip.AddrPort, r *record) {
	p := a.packet(r.key.flow, pb.Kind_KIND_CANCEL)
	p.RequestId, p.Attempt = r.key.id, r.runID
	a.sendToUpstream(addr, p)
}

// freeSlot frees the slot of a request whose service time is not measured.
func (a *admission) freeSlot(r *record) {
	if r.occupiesSlot {
		r.occupiesSlot = false
		a.restoreSlot(r)
		delete(a.occupying, r.key)
		a.tracker.ReleaseSlot()
	}
}
