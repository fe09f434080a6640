package request

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// handleUpstream handles a packet from the upstream.
func (a *admission) handleUpstream(t target, p *pb.Packet) {
	now := time.Now()
	a.tracker.Configure(int(t.upstream.GetSlots()), isDraining(t.upstream))
	a.tracker.RecordContact(now)
	a.confirmHolder()
	a.tracker.RecordReport(now, p.GetLoad())
	isProbed := a.recordContact(t.flow, now)
	switch p.GetKind() {
	case pb.Kind_KIND_ANSWER:
		a.handleAnswer(t, p)
	case pb.Kind_KIND_OPENED:
		p.GuardToken = a.token
		a.sendToCaller(p)
	case pb.Kind_KIND_KEEPALIVE_ACK:
		if !isProbed {
			a.sendToCaller(p)
		}
	case pb.Kind_KIND_RESET:
		a.handleUpstreamReset(t, p)
	case pb.Kind_KIND_CLOSE:
		a.endFlow(t.flow, pb.Reason_REASON_UNKNOWN_FLOW)
		a.sendToCaller(p)
	case pb.Kind_KIND_DATA, pb.Kind_KIND_KEEPALIVE:
		a.sendToCaller(p)
	default:
		a.engine.countDrop("unexpected_kind")
	}
	a.markIdle(t.flow)
	a.dispatch(t, now)
}

// handleAnswer matches a part of an answer to its request. Once all parts have arrived it forwards
// the answer to the caller.
func (a *admission) handleAnswer(t target, p *pb.Packet) {
	now := time.Now()
	r := a.guard.records[requestKey{flow: t.flow, id: p.GetRequestId()}]
	if r == nil {
		a.engine.countDrop("unmatched_answer")
		return
	}
	if !r.isCurrentRun(p) {
		a.engine.countDrop("late_answer")
		return
	}
	if r.state == finished {
		a.engine.countDrop("late_answer")
		a.freeSlot(r)
		a.dispatch(t, now)
		return
	}
	if !a.active {
		// The new holder counts the request as in progress until it receives the answer.
		a.out = append(a.out, outMessage{kind: toAdmission, target: a.resource.Index, packet: proto.CloneOf(p)})
	}
	if p.GetStatus() == pb.Status_STATUS_NOT_RUN {
		a.handleRefusal(t, r, p, now)
		return
	}
	if !r.parts.add(p) {
		return
	}
	a.completeRequest(r, now)
	a.dispatch(t, now)
}

// isCurrentRun reports whether an answer belongs to the current run of a request. A refusal must
// carry the number of the run: otherwise a duplicate of the refusal of an earlier run would end a
// run that has started. Any other answer can only belong to the current run, since the earlier
// runs were refused.
func (r *record) isCurrentRun(p *pb.Packet) bool {
	if !r.occupiesSlot {
		return false
	}
	return p.GetStatus() != pb.Status_STATUS_NOT_RUN || r.state == remote || p.GetAttempt() == r.runID
}

// completeRequest forwards a complete answer to the caller and records it.
func (a *admission) completeRequest(r *record, now time.Time) {
	r.answer = r.parts.parts
	for _, part := range r.answer {
		part.GuardToken = a.token
		if r.fromRedirect {
			part.GuardToken = 0
		}
		if part.GetStatus() == pb.Status_STATUS_UNSPECIFIED {
			part.Status = pb.Status_STATUS_OK
		}
		a.sendToCaller(part)
	}
	r.status, r.reason = r.answer[0].GetStatus(), r.answer[0].GetReason()
	delete(a.occupying, r.key)
	r.occupiesSlot = false
	a.restoreSlot(r)
	if r.retransmissions > 0 {
		a.lastLoss = now
	}
	if r.state == running {
		a.tracker.RecordFinish(now, now.Sub(r.sentAt))
	} else {
		a.tracker.ReleaseSlot()
	}
	a.guard.finish(r, now)
}

// handleUpstreamReset ends a flow that the upstream does not know. The flow of a request that
// another admission redirected here may be unknown to this upstream: then only the request ends,
// and the caller's flow stays open.
func (a *admission) handleUpstreamReset(t target, p *pb.Packet) {
	for _, r := range a.occupying {
		if r.key.flow == t.flow && r.fromRedirect && r.state == running {
			a.freeSlot(r)
			a.finish(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_UNKNOWN_FLOW)
			return
		}
	}
	a.endFlow(t.flow, p.GetReason())
	for _, r := range a.occupying {
		if r.key.flow == t.flow {
			a.freeSlot(r)
		}
	}
	a.sendToCaller(p)
}
