package request

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/load"
)

// refused handles an upstream's refusal of a request before it started.
func (a *admission) refused(t target, r *record, p *pb.Packet, now time.Time) {
	wasHere := r.state == running
	delete(a.busy, r.key)
	r.slot = false
	a.reclaim(r)
	a.tracker.RecordRefusal(now, a.engine.jitter())
	reason := p.GetReason()
	if reason == pb.Reason_REASON_UNSPECIFIED {
		reason = pb.Reason_REASON_UPSTREAM_SHED
	}
	switch {
	case !wasHere:
		// A former holder sent the request and may have sent it again since.
		a.finish(r, pb.Status_STATUS_OUTCOME_UNKNOWN, reason)
	case !a.active:
		a.finish(r, pb.Status_STATUS_NOT_RUN, reason)
	case a.spill(t, r, reason, now):
	case !a.isInTime(r, now, now):
		a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
	case !a.takeRetry():
		a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_RETRY_BUDGET)
	default:
		a.counters().Retry(reason)
		r.state = queued
		r.parts = gather{}
		a.queue = append([]*record{r}, a.queue...)
	}
}

func (a *admission) takeRetry() bool {
	return a.engine.options.Tuning.NoRetryBudget || a.engine.budgetOf(a.resource.Service).take()
}

// spillIfShorter hands a request on if another upstream's queue is clearly shorter: less than
// half of the wait here, and shorter by more than a service time.
func (a *admission) spillIfShorter(t target, r *record, wait time.Duration, now time.Time) bool {
	if !r.idempotent || r.spilled {
		return false
	}
	other, otherWait := a.shortest(t, now)
	if other.upstream == nil || 2*otherWait >= wait || wait-otherWait <= a.tracker.ServiceTime(now) {
		return false
	}
	return a.moveTo(other, r, pb.Reason_REASON_QUEUE_FULL, now)
}

// spill hands a refused request on, once, if its deadline allows.
func (a *admission) spill(t target, r *record, reason pb.Reason, now time.Time) bool {
	if !r.idempotent || r.spilled || r.runs > 1 {
		return false
	}
	other, wait := a.shortest(t, now)
	if other.upstream == nil || !a.isInTime(r, now.Add(wait), now) {
		return false
	}
	return a.moveTo(other, r, reason, now)
}

// handedOnStatus tells the other admission whether it may refuse the request as not run.
func handedOnStatus(r *record) pb.Status {
	if r.mayHaveRun {
		return pb.Status_STATUS_OUTCOME_UNKNOWN
	}
	return pb.Status_STATUS_NOT_RUN
}

type candidate struct {
	upstream *pb.Upstream
	known    load.UpstreamStatus
}

// shortest returns the better of two other usable upstreams of the service, taken at random.
// What is known of them is up to seconds old: if every holder took the shortest, all retries
// would gather there until the next notice.
func (a *admission) shortest(t target, now time.Time) (best candidate, wait time.Duration) {
	usable := a.usable(t)
	for range min(len(usable), choices) {
		i := int(a.engine.random() % uint64(len(usable)))
		c := usable[i]
		usable = slices.Delete(usable, i, i+1)
		w := c.known.ExpectedWait(int(c.upstream.GetSlots()), a.tracker.ServiceTime(now))
		if best.upstream == nil || w < wait {
			best, wait = c, w
		}
	}
	return best, wait
}

// choices is the number of upstreams that a retry elsewhere compares.
const choices = 2

// usable lists the other upstreams of the service that take requests.
func (a *admission) usable(t target) []candidate {
	var list []candidate
	for _, u := range t.service.GetUpstreams() {
		if u.GetNumber() == a.resource.Index || isDraining(u) {
			continue
		}
		k, ok := a.engine.options.Load.Status(u.GetNumber())
		if ok && k.Token != 0 && k.State == pb.UpstreamState_UPSTREAM_STATE_OK {
			list = append(list, candidate{upstream: u, known: k})
		}
	}
	return list
}

// moveTo hands a request to another admission. The record stays, so that retransmissions
// follow it and this admission never runs it. The token of the other admission is fixed here:
// if that one is lost, its successor does not run a request that it may have refused.
func (a *admission) moveTo(c candidate, r *record, reason pb.Reason, now time.Time) bool {
	if !a.takeRetry() {
		a.counters().Refusal(pb.Reason_REASON_RETRY_BUDGET)
		return false
	}
	a.counters().Retry(reason)
	r.state, r.ended = moved, now
	a.guard.ended = append(a.guard.ended, r)
	r.forward = &pb.Packet{
		Flow:       r.packet.GetFlow(),
		Kind:       pb.Kind_KIND_REQUEST,
		RequestId:  r.key.id,
		Attempt:    r.attempt + 1,
		Idempotent: true,
		DeadlineMs: milliseconds(r.deadline.Sub(now)),
		GuardToken: c.known.Token,
		Service:    a.resource.Service,
		Upstream:   c.upstream.GetNumber(),
		Status:     handedOnStatus(r),
		Reason:     reason,
		Payload:    r.packet.GetPayload(),
	}
	r.packet = nil
	a.out = append(a.out, effect{kind: toAdmission, target: c.upstream.GetNumber(), packet: r.forward})
	return true
}
