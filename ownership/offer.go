package ownership

import (
	"context"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// offer is an offer without an answer so far.
type offer struct {
	to membership.DaemonID
}

// scheduleOffer offers an active resource whose desired holder did not claim it in time.
// s.mu is held.
func (s *slot) scheduleOffer(o *Ownership, p *plan) {
	wait := OfferAfter
	if o.leaving.Load() {
		wait = leaveOfferAfter
	}
	due := s.mismatchSince.Add(max(wait, s.offerDelay))
	switch to := s.desired(); {
	case to == "":
	case p.now.Before(due):
		p.wakeAt(due)
	case !o.calling[to] && p.claims[to] == nil:
		p.offers[to] = append(p.offers[to], s)
	}
}

// offerTo hands resources to their desired holder, chunk by chunk. A call without records
// finds out first whether the daemon answers, since each failed offer costs the guard token.
func (o *Ownership) offerTo(ctx context.Context, to membership.DaemonID, slots []*slot) {
	_, err := o.callOffer(ctx, to, nil)
	for len(slots) > 0 && err == nil {
		n := min(len(slots), chunk)
		err = o.offerChunk(ctx, to, slots[:n])
		slots = slots[n:]
	}
	for _, s := range slots {
		s.mu.Lock()
		s.offerLater()
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

func (o *Ownership) offerChunk(ctx context.Context, to membership.DaemonID, slots []*slot) error {
	member, known := o.options.Viewer.View().Member(to)
	if !known {
		return nil
	}
	var records []*pb.ResourceRecords
	offered := map[Resource]*slot{}
	for _, s := range slots {
		s.mu.Lock()
		if s.state == stateActive && s.desired() == to {
			records = append(records, packed(s.giveTo(o, to, member.Incarnation)))
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
		s.takeBack(o, err == nil && pauses == o.pauses.Load())
		s.mu.Unlock()
	}
	return err
}

// takeBack serves the resource again after an offer that was refused or had no answer. In
// the second case the other daemon may serve it too, so this one must not use the same guard
// token. s.mu is held.
func (s *slot) takeBack(o *Ownership, refused bool) {
	r := s.released
	if s.offer == nil || s.removed || r == nil {
		return // Paused, activated or removed meanwhile.
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
	s.offerLater()
}

// offerLater backs off before the next offer. s.mu is held.
func (s *slot) offerLater() {
	s.offerDelay = jitter(min(max(2*s.offerDelay, OfferAfter), reclaimMax))
	if !s.mismatchSince.IsZero() {
		s.mismatchSince = time.Now()
	}
}
