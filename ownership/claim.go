package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// claim is a claim in progress. It ends when a holder hands over, or when all daemons that
// may hold the resource deny it.
type claim struct {
	startedAt time.Time
	asks      map[membership.DaemonID]*ask
	denied    map[membership.DaemonID]bool
	// lost is set when a daemon that may have held the resource cannot answer any more.
	lost bool
	// records are incomplete ones that former holders still had.
	records *pb.ResourceRecords
}

// ask is one daemon without an answer so far.
type ask struct {
	at    time.Time
	delay time.Duration
}

// schedule puts what is due for the slot into the plan. s.mu is held.
func (s *slot) schedule(o *Ownership, view *membership.View, p *plan) {
	self := o.options.Self
	s.expire(o, view, p)
	switch {
	case s.removed || s.offer != nil:
	case s.state == stateActive && !s.mismatchSince.IsZero():
		s.scheduleOffer(o, p)
	case s.state == stateNone && s.desired() == self:
		if p.now.Before(s.holdUntil) {
			p.wakeAt(s.holdUntil)
			return
		}
		s.beginClaim(o, view, p.now)
		s.scheduleClaim(o, p)
	case s.state == stateClaiming:
		s.scheduleClaim(o, p)
	}
}

// expire forgets a release, first its records and then the redirect. s.mu is held.
func (s *slot) expire(o *Ownership, view *membership.View, p *plan) {
	if s.released == nil || s.offer != nil {
		return
	}
	age := p.now.Sub(s.released.at)
	if age >= keepReleased {
		s.released.records = nil
	}
	switch {
	case age < redirectFor:
		p.wakeAt(s.released.at.Add(redirectFor))
	case age >= 2*keepReleased:
		s.released = nil
	default:
		s.publish(o, view)
		p.wakeAt(s.released.at.Add(2 * keepReleased))
	}
}

func (s *slot) beginClaim(o *Ownership, view *membership.View, now time.Time) {
	s.state = stateClaiming
	s.claim = &claim{startedAt: now, asks: map[membership.DaemonID]*ask{}, denied: map[membership.DaemonID]bool{}, lost: s.lost}
	for _, id := range s.likelyHolders(view, o.options.Self) {
		s.claim.asks[id] = &ask{at: now}
	}
	if s.released != nil && s.released.records != nil {
		s.claim.records = s.released.records
		s.claim.lost = true
	}
	s.publish(o, view)
}

// scheduleClaim finishes the claim or puts the calls that are due into the plan. s.mu is held.
func (s *slot) scheduleClaim(o *Ownership, p *plan) {
	if s.finishIfAnswered(o, p.now) {
		return
	}
	p.wakeAt(s.claim.startedAt.Add(claimTimeout))
	for id, a := range s.claim.asks {
		switch {
		case p.now.Before(a.at):
			p.wakeAt(a.at)
		case !o.calling[id]:
			p.claims[id] = append(p.claims[id], s)
		}
	}
}

// finishIfAnswered activates without a transfer when nobody can hand over. s.mu is held.
func (s *slot) finishIfAnswered(o *Ownership, now time.Time) bool {
	c := s.claim
	expired := now.Sub(c.startedAt) >= claimTimeout
	if len(c.asks) > 0 && !expired {
		return false
	}
	provenance := Fresh
	if c.lost || s.lost || s.unreliable || expired || c.records != nil {
		provenance = Recovered
	}
	if expired {
		o.options.Counters.Count("ownership.claim_expired")
	}
	s.activate(o, c.records, provenance)
	return true
}

// dropLostAsks stops waiting for daemons that are gone. s.mu is held.
func (s *slot) dropLostAsks(view *membership.View) {
	for id := range s.claim.asks {
		if !isReachable(view, id) {
			delete(s.claim.asks, id)
			s.claim.lost = true
		}
	}
}

// claimFrom asks one daemon for resources, chunk by chunk until a call fails.
func (o *Ownership) claimFrom(ctx context.Context, to membership.DaemonID, slots []*slot) {
	for len(slots) > 0 {
		n := min(len(slots), chunk)
		err := o.claimChunk(ctx, to, slots[:n])
		slots = slots[n:]
		if err == nil {
			continue
		}
		for _, s := range slots {
			s.mu.Lock()
			s.retryLater(to)
			s.mu.Unlock()
		}
		return
	}
}

func (o *Ownership) claimChunk(ctx context.Context, to membership.DaemonID, slots []*slot) error {
	self, _ := o.selfMember()
	request := &pb.ClaimRequest{Claimer: string(self.ID), Incarnation: self.Incarnation}
	asked := make(map[Resource]*slot, len(slots))
	for _, s := range slots {
		s.mu.Lock()
		wanted := s.state == stateClaiming && s.claim.asks[to] != nil
		s.mu.Unlock()
		if wanted {
			request.Resources = append(request.Resources, s.resource.Proto())
			asked[s.resource] = s
		}
	}
	if len(asked) == 0 {
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
		if result.GetRecords() != nil && unpack(result.GetRecords()) != nil {
			o.options.Counters.Count("ownership.malformed")
			continue
		}
		if s := asked[r]; s != nil {
			delete(asked, r)
			s.mu.Lock()
			s.takeResult(o, to, result, pauses == o.pauses.Load())
			s.mu.Unlock()
		}
	}
	for _, s := range asked {
		s.mu.Lock()
		s.retryLater(to)
		s.mu.Unlock()
	}
	return err
}

func (s *slot) retryLater(to membership.DaemonID) {
	if s.claim == nil || s.claim.asks[to] == nil {
		return
	}
	a := s.claim.asks[to]
	a.delay = min(max(2*a.delay, retryMin), retryMax)
	a.at = time.Now().Add(jitter(a.delay))
}

// takeResult applies the answer of one daemon. trusted is false when this daemon was paused
// since it asked. s.mu is held.
func (s *slot) takeResult(o *Ownership, from membership.DaemonID, result *pb.ClaimResult, trusted bool) {
	if s.removed {
		return
	}
	if result.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_TRANSFERRED {
		s.takeTransfer(o, from, result.GetRecords(), trusted)
		return
	}
	if s.claim == nil {
		return
	}
	delete(s.claim.asks, from)
	s.claim.denied[from] = true
	if result.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_REDIRECT {
		s.followRedirect(o, membership.DaemonID(result.GetRedirect()), result.GetRecords())
	}
	if !s.finishIfAnswered(o, time.Now()) {
		s.publish(o, o.options.Viewer.View())
	}
}

func (s *slot) followRedirect(o *Ownership, to membership.DaemonID, records *pb.ResourceRecords) {
	if s.claim.records == nil {
		s.claim.records = records
	}
	switch {
	case s.claim.denied[to] || s.claim.asks[to] != nil:
	case to == o.options.Self || !isReachable(o.options.Viewer.View(), to):
		s.claim.lost = true
	default:
		s.claim.asks[to] = &ask{at: time.Now()}
	}
}

// takeTransfer starts to serve with complete records, or merges them when the resource is
// served already. s.mu is held.
func (s *slot) takeTransfer(o *Ownership, from membership.DaemonID, records *pb.ResourceRecords, trusted bool) {
	if s.state == stateActive {
		s.keeper.Merge(s.resource, records)
		return
	}
	provenance := Transferred
	if !trusted || s.released != nil && s.released.to != from {
		// The answer may repeat records that this daemon received and passed on before, so
		// another daemon may hold the same guard token.
		provenance = Recovered
	}
	s.activate(o, records, provenance)
	if s.desired() != o.options.Self {
		s.mismatchSince = time.Now().Add(-OfferAfter) // The claim was given up meanwhile.
	}
}

// jitter returns a duration between 75 % and 125 % of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
