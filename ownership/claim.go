package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// claim is a claim of one resource in progress. The claim ends when a holder transfers the resource,
// when every daemon that may hold the resource has responded that it does not, or at claimTimeout.
type claim struct {
	startedAt time.Time
	// calls holds the daemons whose response is pending.
	calls map[membership.DaemonID]*claimCall
	// denied holds the daemons that responded without a transfer.
	denied map[membership.DaemonID]bool
	// holderLost is set when a daemon that may have held the resource can no longer respond.
	holderLost bool
	// records are possibly incomplete records that a former holder, which may be this daemon,
	// kept after its release.
	records *pb.ResourceRecords
}

// claimCall is the pending call of a claim to one daemon.
type claimCall struct {
	dueAt   time.Time
	backoff time.Duration
}

// schedule adds the calls that are due for the resource to the plan. The caller holds s.mu.
func (s *resourceState) schedule(o *Ownership, view *membership.View, p *callPlan) {
	self := o.options.Self
	s.expireRelease(o, view, p)
	switch {
	case s.removed || s.offer != nil:
	case s.state == stateActive && !s.mismatchSince.IsZero():
		s.scheduleOffer(o, p)
	case s.state == stateNone && s.desiredHolder() == self:
		if p.now.Before(s.claimNotBefore) {
			p.wakeAt(s.claimNotBefore)
			return
		}
		s.beginClaim(o, view, p.now)
		s.scheduleClaim(o, p)
	case s.state == stateClaiming:
		s.scheduleClaim(o, p)
	}
}

// expireRelease discards the records of a release after releasedRecordsRetention, ends its redirect
// after redirectDuration, and discards the release after twice the retention of the records. The
// caller holds s.mu.
func (s *resourceState) expireRelease(o *Ownership, view *membership.View, p *callPlan) {
	if s.released == nil || s.offer != nil {
		return
	}
	age := p.now.Sub(s.released.releasedAt)
	if age >= releasedRecordsRetention {
		s.released.records = nil
	}
	switch {
	case age < redirectDuration:
		p.wakeAt(s.released.releasedAt.Add(redirectDuration))
	case age >= 2*releasedRecordsRetention:
		s.released = nil
	default:
		s.publishRoute(o, view)
		p.wakeAt(s.released.releasedAt.Add(2 * releasedRecordsRetention))
	}
}

func (s *resourceState) beginClaim(o *Ownership, view *membership.View, now time.Time) {
	s.state = stateClaiming
	s.claim = &claim{startedAt: now, calls: map[membership.DaemonID]*claimCall{}, denied: map[membership.DaemonID]bool{}, holderLost: s.holderLost}
	for _, id := range s.likelyHolders(view, o.options.Self) {
		s.claim.calls[id] = &claimCall{dueAt: now}
	}
	if s.released != nil && s.released.records != nil {
		s.claim.records = s.released.records
		s.claim.holderLost = true
	}
	s.publishRoute(o, view)
}

// scheduleClaim finishes the claim or adds its due calls to the plan. The caller holds s.mu.
func (s *resourceState) scheduleClaim(o *Ownership, p *callPlan) {
	if s.finishClaimIfDecided(o, p.now) {
		return
	}
	p.wakeAt(s.claim.startedAt.Add(claimTimeout))
	for id, call := range s.claim.calls {
		switch {
		case p.now.Before(call.dueAt):
			p.wakeAt(call.dueAt)
		case !o.callsInProgress[id]:
			p.claims[id] = append(p.claims[id], s)
		}
	}
}

// finishClaimIfDecided activates the resource without a transfer when no daemon can transfer it
// or the claim has timed out. It reports whether the claim ended. The caller holds s.mu.
func (s *resourceState) finishClaimIfDecided(o *Ownership, now time.Time) bool {
	c := s.claim
	expired := now.Sub(c.startedAt) >= claimTimeout
	if len(c.calls) > 0 && !expired {
		return false
	}
	provenance := Fresh
	if c.holderLost || s.holderLost || s.recordsLost || expired || c.records != nil {
		provenance = Recovered
	}
	if expired {
		o.options.Counters.Count("ownership.claim_expired")
	}
	s.activate(o, c.records, provenance)
	return true
}

// dropUnreachableCalls stops waiting for daemons that are no longer reachable. The caller holds
// s.mu.
func (s *resourceState) dropUnreachableCalls(view *membership.View) {
	for id := range s.claim.calls {
		if !isReachable(view, id) {
			delete(s.claim.calls, id)
			s.claim.holderLost = true
		}
	}
}

// claimFrom claims resources from one daemon, at most maxResourcesPerCall in each call. After a
// failed call the rest is scheduled for a retry.
func (o *Ownership) claimFrom(ctx context.Context, to membership.DaemonID, states []*resourceState) {
	for len(states) > 0 {
		n := min(len(states), maxResourcesPerCall)
		err := o.claimChunk(ctx, to, states[:n])
		states = states[n:]
		if err == nil {
			continue
		}
		for _, s := range states {
			s.mu.Lock()
			s.scheduleRetry(to)
			s.mu.Unlock()
		}
		return
	}
}

func (o *Ownership) claimChunk(ctx context.Context, to membership.DaemonID, states []*resourceState) error {
	self, _ := o.selfMember()
	request := &pb.ClaimRequest{Claimer: string(self.ID), Incarnation: self.Incarnation}
	claimed := make(map[Resource]*resourceState, len(states))
	for _, s := range states {
		s.mu.Lock()
		isPending := s.state == stateClaiming && s.claim.calls[to] != nil
		s.mu.Unlock()
		if isPending {
			request.Resources = append(request.Resources, s.resource.Proto())
			claimed[s.resource] = s
		}
	}
	if len(claimed) == 0 {
		return nil
	}
	pauses := o.pauses.Load()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.options.Clients.Claim(ctx, to, request)
	if err != nil {
		o.options.Counters.Count("ownership.claim_failed")
		o.options.Logger.Debug().Str("event", "claim_failed").Str("holder", string(to)).Err(err).Send()
	}
	for _, result := range response.GetResults() {
		r := ResourceFromProto(result.GetResource())
		if result.GetRecords() != nil && unpackRecords(result.GetRecords()) != nil {
			o.options.Counters.Count("ownership.malformed")
			continue
		}
		if s := claimed[r]; s != nil {
			delete(claimed, r)
			s.mu.Lock()
			s.applyResult(o, to, result, pauses == o.pauses.Load())
			s.mu.Unlock()
		}
	}
	for _, s := range claimed {
		s.mu.Lock()
		s.scheduleRetry(to)
		s.mu.Unlock()
	}
	return err
}

func (s *resourceState) scheduleRetry(to membership.DaemonID) {
	if s.claim == nil || s.claim.calls[to] == nil {
		return
	}
	call := s.claim.calls[to]
	call.backoff = min(max(2*call.backoff, retryMin), retryMax)
	call.dueAt = time.Now().Add(jitter(call.backoff))
}

// applyResult applies the response of one daemon. trusted is false when this daemon was paused
// after it sent the claim. The caller holds s.mu.
func (s *resourceState) applyResult(o *Ownership, from membership.DaemonID, result *pb.ClaimResult, trusted bool) {
	if s.removed {
		return
	}
	if result.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_TRANSFERRED {
		s.applyTransfer(o, from, result.GetRecords(), trusted)
		return
	}
	if s.claim == nil {
		return
	}
	delete(s.claim.calls, from)
	s.claim.denied[from] = true
	if result.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_REDIRECT {
		s.followRedirect(o, membership.DaemonID(result.GetRedirect()), result.GetRecords())
	}
	if !s.finishClaimIfDecided(o, time.Now()) {
		s.publishRoute(o, o.options.Viewer.View())
	}
}

func (s *resourceState) followRedirect(o *Ownership, to membership.DaemonID, records *pb.ResourceRecords) {
	if s.claim.records == nil {
		s.claim.records = records
	}
	switch {
	case s.claim.denied[to] || s.claim.calls[to] != nil:
	case to == o.options.Self || !isReachable(o.options.Viewer.View(), to):
		s.claim.holderLost = true
	default:
		s.claim.calls[to] = &claimCall{dueAt: time.Now()}
	}
}

// applyTransfer activates the resource with complete records, or merges the records when this
// daemon serves the resource already. The caller holds s.mu.
func (s *resourceState) applyTransfer(o *Ownership, from membership.DaemonID, records *pb.ResourceRecords, trusted bool) {
	if s.state == stateActive {
		s.handler.Merge(s.resource, records)
		return
	}
	provenance := Transferred
	if !trusted || s.released != nil && s.released.to != from {
		// The response may repeat records that this daemon received and transferred before, so
		// another daemon may hold the same guard token.
		provenance = Recovered
	}
	s.activate(o, records, provenance)
	if s.desiredHolder() != o.options.Self {
		s.mismatchSince = time.Now().Add(-OfferAfter) // The claim was cancelled in the meantime: offer at once.
	}
}

// jitter returns a duration between 75 % and 125 % of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
