package request

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// fromUpstream handles a packet of the upstream.
func (a *admission) fromUpstream(t target, p *pb.Packet) {
	now := time.Now()
	a.tracker.Configure(int(t.upstream.GetSlots()), isDraining(t.upstream))
	a.tracker.RecordContact(now)
	a.confirm()
	a.tracker.RecordReport(now, p.GetLoad())
	isProbed := a.heardFrom(t.flow, now)
	switch p.GetKind() {
	case pb.Kind_KIND_ANSWER:
		a.answer(t, p)
	case pb.Kind_KIND_OPENED:
		p.GuardToken = a.token
		a.toCaller(p)
	case pb.Kind_KIND_KEEPALIVE_ACK:
		if !isProbed {
			a.toCaller(p)
		}
	case pb.Kind_KIND_RESET:
		a.resetByUpstream(t, p)
	case pb.Kind_KIND_CLOSE:
		a.dropFlow(t.flow, pb.Reason_REASON_UNKNOWN_FLOW)
		a.toCaller(p)
	case pb.Kind_KIND_DATA, pb.Kind_KIND_KEEPALIVE:
		a.toCaller(p)
	default:
		a.engine.drop("unexpected_kind")
	}
	a.dispatch(t, now)
}

// answer matches an answer to its request and passes it on once it is whole.
func (a *admission) answer(t target, p *pb.Packet) {
	now := time.Now()
	r := a.guard.records[requestKey{flow: t.flow, id: p.GetRequestId()}]
	if r == nil {
		a.engine.drop("unmatched_answer")
		return
	}
	if !r.isRun(p) {
		a.engine.drop("late_answer")
		return
	}
	if r.state == finished {
		a.engine.drop("late_answer")
		a.free(r)
		a.dispatch(t, now)
		return
	}
	if !a.active {
		// The new holder counts the request as in progress until it hears of its end.
		a.out = append(a.out, effect{kind: toAdmission, target: a.resource.Index, packet: proto.CloneOf(p)})
	}
	if p.GetStatus() == pb.Status_STATUS_NOT_RUN {
		a.refused(t, r, p, now)
		return
	}
	if !r.parts.add(p) {
		return
	}
	a.complete(r, now)
	a.dispatch(t, now)
}

// isRun reports whether an answer belongs to the current run of a request. A refusal must name
// the run: otherwise a copy of the refusal of an earlier run would end a run that has started.
// Any other answer can only be that of the current run, since an earlier one was refused.
func (r *record) isRun(p *pb.Packet) bool {
	if !r.slot {
		return false
	}
	return p.GetStatus() != pb.Status_STATUS_NOT_RUN || r.state == remote || p.GetAttempt() == r.run
}

// complete passes a whole answer on and records it.
func (a *admission) complete(r *record, now time.Time) {
	r.answer = r.parts.parts
	for _, part := range r.answer {
		part.GuardToken = a.token
		if r.spilled {
			part.GuardToken = 0
		}
		if part.GetStatus() == pb.Status_STATUS_UNSPECIFIED {
			part.Status = pb.Status_STATUS_OK
		}
		a.toCaller(part)
	}
	r.status, r.reason = r.answer[0].GetStatus(), r.answer[0].GetReason()
	delete(a.busy, r.key)
	r.slot = false
	a.reclaim(r)
	if r.state == running {
		a.tracker.RecordFinish(now, now.Sub(r.sent))
	} else {
		a.tracker.ReleaseSlot()
	}
	a.guard.finish(r, now)
}

// resetByUpstream ends a flow that the upstream does not know. A request that was handed on by
// another admission is on a flow that this upstream need not know; only the request ends then,
// and the caller's flow goes on.
func (a *admission) resetByUpstream(t target, p *pb.Packet) {
	for _, r := range a.busy {
		if r.key.flow == t.flow && r.spilled && r.state == running {
			a.free(r)
			a.finish(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_UNKNOWN_FLOW)
			return
		}
	}
	a.dropFlow(t.flow, p.GetReason())
	for _, r := range a.busy {
		if r.key.flow == t.flow {
			a.free(r)
		}
	}
	a.toCaller(p)
}
