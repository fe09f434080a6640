package request

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// defaultDeadline bounds requests whose caller gives no deadline.
	defaultDeadline = 30 * time.Second
	// Queues of an upstream if the service declares none, by its aim. A queue of 16 has a third
	// of the p99 wait in an overload and loses 2 % of the requests of bursts that one of 64 holds.
	queueForConnections = 64
	queueForBalance     = 16
	// drainOpenGrace lets owners that lag behind a drain place flows for a moment; new
	// work must end within 3 s.
	drainOpenGrace = 2 * time.Second
)

// fromCaller handles a packet of the caller's side.
func (a *admission) fromCaller(t target, p *pb.Packet) {
	if !a.active && p.GetKind() != pb.Kind_KIND_CANCEL {
		a.engine.drop("not_holder")
		return
	}
	a.tracker.Configure(int(t.upstream.GetSlots()), isDraining(t.upstream))
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		a.open(t, p)
	case pb.Kind_KIND_REQUEST:
		a.request(t, p)
	case pb.Kind_KIND_CANCEL:
		a.cancel(t, p)
	case pb.Kind_KIND_DATA:
		a.watch(t.flow, time.Now())
		a.toUpstream(t.address, p)
	case pb.Kind_KIND_CLOSE, pb.Kind_KIND_RESET:
		a.dropFlow(t.flow, pb.Reason_REASON_CANCELLED)
		if p.GetKind() == pb.Kind_KIND_RESET && p.GetReason() == pb.Reason_REASON_HALF_OPEN {
			return // It came back from the flow's owner; the upstream has been told.
		}
		a.toUpstream(t.address, p)
	case pb.Kind_KIND_KEEPALIVE, pb.Kind_KIND_KEEPALIVE_ACK:
		a.toUpstream(t.address, p)
	case pb.Kind_KIND_ANSWER:
		// A former holder passes on a part of an answer that reached it.
		a.answer(t, p)
	default:
		a.engine.drop("unexpected_kind")
	}
}

func isDraining(u *pb.Upstream) bool {
	return u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING
}

func (a *admission) open(t target, p *pb.Packet) {
	since := time.UnixMilli(t.upstream.GetDrainingSinceMs())
	if isDraining(t.upstream) && time.Since(since) > drainOpenGrace {
		a.counters().Refusal(pb.Reason_REASON_UPSTREAM_DRAINING)
		a.reset(t.flow, pb.Reason_REASON_UPSTREAM_DRAINING)
		return
	}
	a.toUpstream(t.address, p)
}

// request applies the guard and admits a request that is new.
func (a *admission) request(t target, p *pb.Packet) {
	k := requestKey{flow: t.flow, id: p.GetRequestId()}
	if r := a.guard.records[k]; r != nil {
		a.duplicate(t, r, p)
		return
	}
	now := time.Now()
	r := &record{
		key:        k,
		idempotent: p.GetIdempotent(),
		spilled:    p.GetStatus() != pb.Status_STATUS_UNSPECIFIED,
		mayHaveRun: mayHaveRun(p),
		packet:     p,
		attempt:    max(p.GetAttempt(), 1),
		since:      now,
		deadline:   now.Add(defaultDeadline),
	}
	if ms := p.GetDeadlineMs(); ms > 0 {
		r.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if !a.isTokenValid(t, r, p) {
		return
	}
	if a.guard.isBelowMark(k) {
		r.status, r.reason = pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_DUPLICATE
		a.counters().Refusal(r.reason)
		a.answerStatus(r)
		return
	}
	a.guard.records[k] = r
	if !r.spilled {
		a.engine.budgetOf(a.resource.Service).earn(t.service.GetLimits().GetRetryPercent())
	}
	a.admit(t, r, now)
}

// mayHaveRun reports whether an earlier transmission of a request without a record may have
// run. A later transmission of an idempotent request may carry the token of a new holder while
// the former one ran an earlier transmission. One handed on says so in its status.
func mayHaveRun(p *pb.Packet) bool {
	switch p.GetStatus() {
	case pb.Status_STATUS_NOT_RUN:
		return false
	case pb.Status_STATUS_UNSPECIFIED:
		return p.GetIdempotent() && p.GetAttempt() > 1
	}
	return true
}

// isTokenValid checks the guard token of a request without a record. With any other token the
// request may have been seen by another holder, so it does not run here. An idempotent one is
// told the token and comes again with it, unless another holder has already refused it. Until
// the upstream is heard from, the packet is dropped and the upstream is probed.
func (a *admission) isTokenValid(t target, r *record, p *pb.Packet) bool {
	if p.GetGuardToken() == a.token || a.engine.options.Tuning.NoGuardToken {
		return true
	}
	switch {
	case a.unconfirmed:
		a.engine.drop("unconfirmed_holder")
		probe := a.packet(t.flow, pb.Kind_KIND_KEEPALIVE)
		// The upstream need not know the flow of a request that was handed on, and would reset it.
		probe.Standalone = r.spilled
		a.toUpstream(t.address, probe)
	case r.spilled:
		a.engine.drop("stale_spill")
	case r.idempotent && p.GetGuardToken() == 0:
		return true
	case r.idempotent:
		a.counters().Retry(pb.Reason_REASON_STALE_GUARD)
		renewed := a.packet(r.key.flow, pb.Kind_KIND_TOKEN)
		renewed.GuardToken = a.token
		a.toCaller(renewed)
	default:
		r.status, r.reason = pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_STALE_GUARD
		a.counters().Refusal(r.reason)
		a.answerStatus(r)
	}
	return false
}

// duplicate handles a transmission of a request that has a record.
func (a *admission) duplicate(t target, r *record, p *pb.Packet) {
	if r.state == moved && r.forward != nil {
		a.forwardAgain(r)
		return
	}
	if r.state != finished {
		a.engine.drop("duplicate_in_progress")
		return
	}
	a.counters().Count("request.duplicate_finished")
	switch {
	case len(r.answer) > 0:
		for _, part := range r.answer {
			a.toCaller(part)
		}
	case r.status == pb.Status_STATUS_OK && r.idempotent && p.GetAttempt() > r.attempt:
		a.runAgain(t, r, p)
	case r.status == pb.Status_STATUS_OK:
		lost := *r
		lost.status, lost.reason = pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_ANSWER_LOST
		a.counters().Refusal(lost.reason)
		a.answerStatus(&lost)
	default:
		a.answerStatus(r)
	}
}

// forwardAgain repeats the packet that was handed on, with the time that is left.
func (a *admission) forwardAgain(r *record) {
	left := time.Until(r.deadline)
	if left <= 0 {
		a.engine.drop("duplicate_in_progress")
		return
	}
	p := proto.CloneOf(r.forward)
	p.DeadlineMs = milliseconds(left)
	a.out = append(a.out, effect{kind: toAdmission, target: p.GetUpstream(), packet: p})
}

// runAgain runs an idempotent request whose answer is no longer held.
func (a *admission) runAgain(t target, old *record, p *pb.Packet) {
	now := time.Now()
	r := &record{key: old.key, idempotent: true, mayHaveRun: true, spilled: old.spilled, packet: p, attempt: p.GetAttempt(), since: now,
		deadline: now.Add(time.Duration(p.GetDeadlineMs()) * time.Millisecond)}
	a.guard.replace(old, r)
	a.counters().Retry(pb.Reason_REASON_ANSWER_LOST)
	a.admit(t, r, now)
}

// cancel removes a queued request, or passes the cancellation on to the upstream.
func (a *admission) cancel(t target, p *pb.Packet) {
	k := requestKey{flow: t.flow, id: p.GetRequestId()}
	r := a.guard.records[k]
	switch {
	case r == nil && a.active && !a.guard.isBelowMark(k):
		// The request may still be on its way, or have run at a lost holder.
		r = &record{key: k, since: time.Now()}
		a.guard.records[k] = r
		a.finish(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_CANCELLED)
	case r == nil:
	case r.state == queued:
		a.unqueue(r)
		a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_CANCELLED)
	case r.state == running || r.state == remote:
		a.giveUp(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_CANCELLED)
		a.cancelAtUpstream(t.address, r)
	case r.state == moved && r.forward != nil:
		p.Upstream = r.forward.GetUpstream()
		a.out = append(a.out, effect{kind: toAdmission, target: p.GetUpstream(), packet: p})
	}
}

// dropFlow ends the requests of a flow that was closed or broken.
func (a *admission) dropFlow(k wire.FlowKey, reason pb.Reason) {
	delete(a.watches, k)
	for _, r := range append([]*record(nil), a.queue...) {
		if r.key.flow == k {
			a.unqueue(r)
			a.finish(r, pb.Status_STATUS_NOT_RUN, reason)
		}
	}
	for _, r := range a.busy {
		if r.key.flow == k && r.state != finished {
			a.giveUp(r, pb.Status_STATUS_OUTCOME_UNKNOWN, reason)
		}
	}
}

func defaultQueueLength(aim pb.Aim) int {
	if aim == pb.Aim_AIM_BALANCE {
		return queueForBalance
	}
	return queueForConnections
}
