package ownership

import (
	"context"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// offer is an offer whose response is pending.
type offer struct {
	to membership.DaemonID
}

// scheduleOffer adds an offer to the plan when the desired holder did not claim the active
// resource in time. The caller holds s.mu.
func (s *resourceState) scheduleOffer(o *Ownership, p *callPlan) {
	wait := OfferAfter
	if o.leaving.Load() || s.mismatchSince.Sub(s.activatedAt) < OfferAfter {
		wait = shortOfferAfter
	}
	due := s.mismatchSince.Add(max(wait, s.offerDelay))
	switch to := s.desiredHolder(); {
	case to == "":
	case p.now.Before(due):
		p.wakeAt(due)
	case !o.callsInProgress[to] && p.claims[to] == nil:
		p.offers[to] = append(p.offers[to], s)
	}
}

// offerTo offers resources to their desired holder, at most maxResourcesPerCall in each call. A
// call without records first checks that the daemon responds, since each failed offer
// invalidates the guard token.
func (o *Ownership) offerTo(ctx context.Context, to membership.DaemonID, states []*resourceState) {
	_, err := o.callOffer(ctx, to, nil)
	for len(states) > 0 && err == nil {
		n := min(len(states), maxResourcesPerCall)
		err = o.offerChunk(ctx, to, states[:n])
		states = states[n:]
	}
	for _, s := range states {
		s.mu.Lock()
		s.delayOffer()
		s.mu.Unlock()
	}
}

func (o *Ownership) callOffer(ctx context.Context, to membership.DaemonID, records []*pb.ResourceRecords) (*pb.OfferResponse, error) {
	self, _ := o.selfMember()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.options.Clients.Offer(ctx, to, &pb.OfferRequest{
		Sender: string(self.ID), Incarnation: self.Incarnation, Records: records,
	})
	if err != nil {
		o.options.Counters.Count("ownership.offer_failed")
		o.options.Logger.Debug().Str("event", "offer_failed").Str("to", string(to)).Err(err).Send()
	}
	return response, err
}

func (o *Ownership) offerChunk(ctx context.Context, to membership.DaemonID, states []*resourceState) error {
	member, known := o.options.Viewer.View().Member(to)
	if !known {
		return nil
	}
	var records []*pb.ResourceRecords
	offered := map[Resource]*resourceState{}
	for _, s := range states {
		s.mu.Lock()
		if s.state == stateActive && s.desiredHolder() == to {
			records = append(records, packRecords(s.releaseTo(o, to, member.Incarnation)))
			s.offer = &offer{to: to}
			offered[s.resource] = s
		}
		s.mu.Unlock()
	}
	if len(records) == 0 {
		return nil
	}
	o.options.Counters.Add("ownership.offered", int64(len(records)))
	pauses := o.pauses.Load()
	response, err := o.callOffer(ctx, to, records)
	for _, p := range response.GetAccepted() {
		r := ResourceFromProto(p)
		if s := offered[r]; s != nil {
			delete(offered, r)
			s.mu.Lock()
			s.offer = nil
			s.mu.Unlock()
		}
	}
	for _, s := range offered {
		s.mu.Lock()
		s.reactivateAfterOffer(o, err == nil && pauses == o.pauses.Load())
		s.mu.Unlock()
	}
	return err
}

// reactivateAfterOffer serves the resource again after an offer that was refused or got no
// response. In the second case the other daemon may serve it too, so this daemon must not use
// the same guard token. The caller holds s.mu.
func (s *resourceState) reactivateAfterOffer(o *Ownership, refused bool) {
	r := s.released
	if s.offer == nil || s.removed || r == nil {
		return // The daemon was paused, or the resource was activated or removed, in the meantime.
	}
	s.offer = nil
	if r.claimed {
		return
	}
	provenance := Recovered
	if refused {
		provenance = Transferred
	}
	delay := s.offerDelay
	s.activate(o, r.records, provenance)
	s.offerDelay = delay
	s.delayOffer()
}

// delayOffer backs off before the next offer. The caller holds s.mu.
func (s *resourceState) delayOffer() {
	s.offerDelay = jitter(min(max(2*s.offerDelay, OfferAfter), reclaimDelayMax))
	if !s.mismatchSince.IsZero() {
		s.mismatchSince = time.Now()
	}
}
