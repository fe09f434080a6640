package request

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// defaultDeadline applies to requests whose caller sets no deadline.
	defaultDeadline = 30 * time.Second
	// Queue lengths of an upstream in requests, by the aim of its service, if the service declares
	// none. A short queue bounds the wait in an overload, a long one absorbs bursts.
	connectionsQueueLength = 64
	balanceQueueLength     = 16
	// drainOpenGrace is how long an upstream still accepts new flows after its drain began, since
	// flow owners may apply the drain late. It leaves a margin within the 3 s after which a
	// draining upstream must get no new work.
	drainOpenGrace = 2 * time.Second
)

// handleCaller handles a packet from the caller.
func (a *admission) handleCaller(t target, p *pb.Packet) {
	if !a.active && p.GetKind() != pb.Kind_KIND_CANCEL {
		a.engine.countDrop("not_holder")
		return
	}
	a.tracker.Configure(int(t.upstream.GetSlots()), isDraining(t.upstream))
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		a.handleOpen(t, p)
	case pb.Kind_KIND_REQUEST:
		a.handleRequest(t, p)
	case pb.Kind_KIND_CANCEL:
		a.handleCancel(t, p)
	case pb.Kind_KIND_DATA:
		a.watch(t.flow, time.Now())
		a.sendToUpstream(t.address, p)
	case pb.Kind_KIND_CLOSE, pb.Kind_KIND_RESET:
		a.endFlow(t.flow, pb.Reason_REASON_CANCELLED)
		if p.GetKind() == pb.Kind_KIND_RESET && p.GetReason() == pb.Reason_REASON_HALF_OPEN {
			return // The flow owner forwarded this admission's own reset, which was also sent to the upstream.
		}
		a.sendToUpstream(t.address, p)
	case pb.Kind_KIND_KEEPALIVE, pb.Kind_KIND_KEEPALIVE_ACK:
		a.sendToUpstream(t.address, p)
	case pb.Kind_KIND_ANSWER:
		// A former holder forwards a part of an answer that the upstream sent to it.
		a.handleAnswer(t, p)
	default:
		a.engine.countDrop("unexpected_kind")
	}
}

func isDraining(u *pb.Upstream) bool {
	return u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING
}

func (a *admission) handleOpen(t target, p *pb.Packet) {
	since := time.UnixMilli(t.upstream.GetDrainingSinceMs())
	if isDraining(t.upstream) && time.Since(since) > drainOpenGrace {
		a.counters().CountRefusal(pb.Reason_REASON_UPSTREAM_DRAINING)
		a.resetFlow(t.flow, pb.Reason_REASON_UPSTREAM_DRAINING)
		return
	}
	a.sendToUpstream(t.address, p)
}

// handleRequest applies the at-most-once guard and admits a request that has no record yet.
func (a *admission) handleRequest(t target, p *pb.Packet) {
	k := requestKey{flow: t.flow, id: p.GetRequestId()}
	if r := a.guard.records[k]; r != nil {
		a.handleDuplicate(t, r, p)
		return
	}
	now := time.Now()
	r := &record{
		key:          k,
		idempotent:   p.GetIdempotent(),
		fromRedirect: p.GetStatus() != pb.Status_STATUS_UNSPECIFIED,
		mayHaveRun:   mayHaveRun(p),
		packet:       p,
		attempt:      max(p.GetAttempt(), 1),
		recordedAt:   now,
		deadline:     now.Add(defaultDeadline),
	}
	if ms := p.GetDeadlineMs(); ms > 0 {
		r.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if !a.isTokenValid(t, r, p) {
		return
	}
	if a.guard.isBelowWatermark(k) {
		r.status, r.reason = pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_DUPLICATE
		a.counters().CountRefusal(r.reason)
		a.sendStatus(r)
		return
	}
	a.guard.records[k] = r
	if !r.fromRedirect {
		a.engine.serviceBudget(a.resource.Service).addCredit(t.service.GetLimits().GetRetryPercent())
	}
	a.admit(t, r, now)
}

// mayHaveRun reports whether an earlier transmission of a request without a record may have run.
// A retransmission of an idempotent request may carry the guard token of the new holder although
// the former holder ran an earlier transmission. A redirected request carries the information in
// its status.
func mayHaveRun(p *pb.Packet) bool {
	switch p.GetStatus() {
	case pb.Status_STATUS_NOT_RUN:
		return false
	case pb.Status_STATUS_UNSPECIFIED:
		return p.GetIdempotent() && p.GetAttempt() > 1
	}
	return true
}

// isTokenValid checks the guard token of a request without a record. A request with another token
// may have been handled by another holder, so it does not run at this one. The caller of an
// idempotent request receives the current token and retransmits the request with it. A
// redirected request is dropped, since another holder may already have refused it. While the
// holder is unconfirmed, the packet is dropped and the upstream is probed.
func (a *admission) isTokenValid(t target, r *record, p *pb.Packet) bool {
	if p.GetGuardToken() == a.token || a.engine.options.Tuning.NoGuardToken {
		return true
	}
	switch {
	case a.unconfirmed:
		a.engine.countDrop("unconfirmed_holder")
		probe := a.packet(t.flow, pb.Kind_KIND_KEEPALIVE)
		// The upstream may not know the flow of a redirected request and would reset the flow.
		probe.Standalone = r.fromRedirect
		a.sendToUpstream(t.address, probe)
	case r.fromRedirect:
		a.engine.countDrop("stale_spill")
	case r.idempotent && p.GetGuardToken() == 0:
		return true
	case r.idempotent:
		a.counters().CountRetry(pb.Reason_REASON_STALE_GUARD)
		renewed := a.packet(r.key.flow, pb.Kind_KIND_TOKEN)
		renewed.GuardToken = a.token
		a.sendToCaller(renewed)
	default:
		r.status, r.reason = pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_STALE_GUARD
		a.counters().CountRefusal(r.reason)
		a.sendStatus(r)
	}
	return false
}

// handleDuplicate handles a retransmission of a request that has a record.
func (a *admission) handleDuplicate(t target, r *record, p *pb.Packet) {
	if r.state == redirected && r.redirectPacket != nil {
		a.resendRedirect(r)
		return
	}
	if r.state != finished {
		a.engine.countDrop("duplicate_in_progress")
		return
	}
	a.counters().Count("request.duplicate_finished")
	switch {
	case len(r.answer) > 0:
		for _, part := range r.answer {
			a.sendToCaller(part)
		}
	case r.status == pb.Status_STATUS_OK && r.idempotent && p.GetAttempt() > r.attempt:
		a.runAgain(t, r, p)
	case r.status == pb.Status_STATUS_OK:
		lost := *r
		lost.status, lost.reason = pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_ANSWER_LOST
		a.counters().CountRefusal(lost.reason)
		a.sendStatus(&lost)
	default:
		a.sendStatus(r)
	}
}

// resendRedirect sends the redirected request again with the remaining time to its deadline.
func (a *admission) resendRedirect(r *record) {
	left := time.Until(r.deadline)
	if left <= 0 {
		a.engine.countDrop("duplicate_in_progress")
		return
	}
	p := proto.CloneOf(r.redirectPacket)
	p.DeadlineMs = milliseconds(left)
	a.out = append(a.out, outMessage{kind: toAdmission, target: p.GetUpstream(), packet: p})
}

// runAgain runs an idempotent request again whose recorded answer was evicted.
func (a *admission) runAgain(t target, old *record, p *pb.Packet) {
	now := time.Now()
	r := &record{key: old.key, idempotent: true, mayHaveRun: true, fromRedirect: old.fromRedirect, packet: p,
		attempt: p.GetAttempt(), recordedAt: now,
		deadline: now.Add(time.Duration(p.GetDeadlineMs()) * time.Millisecond)}
	a.guard.replace(old, r)
	a.counters().CountRetry(pb.Reason_REASON_ANSWER_LOST)
	a.admit(t, r, now)
}

// handleCancel removes a queued request, or forwards the cancellation to the upstream or the
// admission that has the request.
func (a *admission) handleCancel(t target, p *pb.Packet) {
	k := requestKey{flow: t.flow, id: p.GetRequestId()}
	r := a.guard.records[k]
	switch {
	case r == nil && a.active && !a.guard.isBelowWatermark(k):
		// The request may still be in transit, or may have run under a lost holder.
		r = &record{key: k, recordedAt: time.Now()}
		a.guard.records[k] = r
		a.finish(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_CANCELLED)
	case r == nil:
	case r.state == queued:
		a.removeQueued(r)
		a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_CANCELLED)
	case r.state == running || r.state == remote:
		a.abandon(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_CANCELLED)
		a.cancelAtUpstream(t.address, r)
	case r.state == redirected && r.redirectPacket != nil:
		p.Upstream = r.redirectPacket.GetUpstream()
		a.out = append(a.out, outMessage{kind: toAdmission, target: p.GetUpstream(), packet: p})
	}
}

// endFlow ends the requests of a flow that was closed or reset.
func (a *admission) endFlow(k wire.FlowKey, reason pb.Reason) {
	delete(a.watches, k)
	for _, r := range append([]*record(nil), a.queue...) {
		if r.key.flow == k {
			a.removeQueued(r)
			a.finish(r, pb.Status_STATUS_NOT_RUN, reason)
		}
	}
	for _, r := range a.occupying {
		if r.key.flow == k && r.state != finished {
			a.abandon(r, pb.Status_STATUS_OUTCOME_UNKNOWN, reason)
		}
	}
}

func defaultQueueLength(aim pb.Aim) int {
	if aim == pb.Aim_AIM_BALANCE {
		return balanceQueueLength
	}
	return connectionsQueueLength
}
