package request

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/load"
)

// handleRefusal handles an upstream's refusal of a request before it started.
func (a *admission) handleRefusal(t target, r *record, p *pb.Packet, now time.Time) {
	sentHere := r.state == running
	delete(a.occupying, r.key)
	r.occupiesSlot = false
	a.restoreSlot(r)
	a.tracker.RecordRefusal(now, a.engine.randomFloat64())
	reason := p.GetReason()
	if reason == pb.Reason_REASON_UNSPECIFIED {
		reason = pb.Reason_REASON_UPSTREAM_SHED
	}
	switch {
	case !sentHere:
		// A former holder sent the request and may have sent it again after this refusal.
		a.finish(r, pb.Status_STATUS_OUTCOME_UNKNOWN, reason)
	case !a.active:
		a.finish(r, pb.Status_STATUS_NOT_RUN, reason)
	case a.redirect(t, r, reason, now):
	case !a.meetsDeadline(r, now, now):
		a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
	case !a.spendRetry():
		a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_RETRY_BUDGET)
	default:
		a.counters().CountRetry(reason)
		r.state = queued
		r.parts = answerParts{}
		a.queue = append([]*record{r}, a.queue...)
	}
}

func (a *admission) spendRetry() bool {
	return a.engine.options.Tuning.NoRetryBudget || a.engine.serviceBudget(a.resource.Service).spend()
}

// redirectIfShorter redirects a request if the expected wait at another upstream is clearly
// shorter: less than half of the wait at this one, and shorter by more than a service time.
func (a *admission) redirectIfShorter(t target, r *record, wait time.Duration, now time.Time) bool {
	if !r.idempotent || r.fromRedirect {
		return false
	}
	other, otherWait := a.chooseRedirectTarget(t, now)
	if other.upstream == nil || 2*otherWait >= wait || wait-otherWait <= a.tracker.ServiceTime(now) {
		return false
	}
	return a.redirectTo(other, r, pb.Reason_REASON_QUEUE_FULL, now)
}

// redirect redirects a refused request to another upstream, at most once and only if the request
// can meet its deadline there.
func (a *admission) redirect(t target, r *record, reason pb.Reason, now time.Time) bool {
	if !r.idempotent || r.fromRedirect || r.runs > 1 {
		return false
	}
	other, wait := a.chooseRedirectTarget(t, now)
	if other.upstream == nil || !a.meetsDeadline(r, now.Add(wait), now) {
		return false
	}
	return a.redirectTo(other, r, reason, now)
}

// redirectStatus returns the status that the redirected request carries. It informs the other
// admission whether it may refuse the request as not run.
func redirectStatus(r *record) pb.Status {
	if r.mayHaveRun {
		return pb.Status_STATUS_OUTCOME_UNKNOWN
	}
	return pb.Status_STATUS_NOT_RUN
}

// candidate is an upstream to which a request may be redirected, with the status in the last
// notice that this daemon received.
type candidate struct {
	upstream *pb.Upstream
	status   load.UpstreamStatus
}

// chooseRedirectTarget picks two other usable upstreams of the service at random and returns the
// one with the shorter expected wait. Their status can be seconds old: if every holder chose the
// upstream with the shortest wait of all, all redirects would go there until the next notice.
func (a *admission) chooseRedirectTarget(t target, now time.Time) (best candidate, wait time.Duration) {
	usableUpstreams := a.usableUpstreams(t)
	for range min(len(usableUpstreams), redirectChoices) {
		i := int(a.engine.randomUint64() % uint64(len(usableUpstreams)))
		c := usableUpstreams[i]
		usableUpstreams = slices.Delete(usableUpstreams, i, i+1)
		w := c.status.ExpectedWait(int(c.upstream.GetSlots()), a.tracker.ServiceTime(now))
		if best.upstream == nil || w < wait {
			best, wait = c, w
		}
	}
	return best, wait
}

// redirectChoices is the number of upstreams that chooseRedirectTarget compares.
const redirectChoices = 2

// usableUpstreams returns the other upstreams of the service that accept requests.
func (a *admission) usableUpstreams(t target) []candidate {
	var list []candidate
	for _, u := range t.service.GetUpstreams() {
		if u.GetNumber() == a.resource.Index || isDraining(u) {
			continue
		}
		lastStatus, ok := a.engine.options.Load.Status(u.GetNumber())
		if ok && lastStatus.Token != 0 && lastStatus.State == pb.UpstreamState_UPSTREAM_STATE_OK {
			list = append(list, candidate{upstream: u, status: lastStatus})
		}
	}
	return list
}

// redirectTo forwards a request to another admission. The record is kept, so that retransmissions
// are forwarded too and this admission never runs the request. The redirected request carries the
// current guard token of the other admission: if the holder of that admission is lost, its
// successor does not run a request that the lost holder may have refused.
func (a *admission) redirectTo(c candidate, r *record, reason pb.Reason, now time.Time) bool {
	if !a.spendRetry() {
		a.counters().CountRefusal(pb.Reason_REASON_RETRY_BUDGET)
		return false
	}
	a.counters().CountRetry(reason)
	r.state, r.endedAt = redirected, now
	a.guard.ended = append(a.guard.ended, r)
	r.redirectPacket = &pb.Packet{
		Flow:       r.packet.GetFlow(),
		Kind:       pb.Kind_KIND_REQUEST,
		RequestId:  r.key.id,
		Attempt:    r.attempt + 1,
		Idempotent: true,
		DeadlineMs: milliseconds(r.deadline.Sub(now)),
		GuardToken: c.status.Token,
		Service:    a.resource.Service,
		Upstream:   c.upstream.GetNumber(),
		Status:     redirectStatus(r),
		Reason:     reason,
		Payload:    r.packet.GetPayload(),
	}
	r.packet = nil
	a.out = append(a.out, outMessage{kind: toAdmission, target: c.upstream.GetNumber(), packet: r.redirectPacket})
	return true
}
