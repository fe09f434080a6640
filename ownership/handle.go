package ownership

import (
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// HandleClaim releases the resources that this daemon holds to the claimer. It returns
// ErrClaimerUnknown for a claimer that the view here does not allow to own resources.
func (o *Ownership) HandleClaim(request *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	claimer := membership.DaemonID(request.GetClaimer())
	member, known := o.options.Viewer.View().Member(claimer)
	if !known || !member.CanOwn() || request.GetIncarnation() < member.Incarnation || claimer == o.options.Self {
		o.options.Counters.Count("ownership.claim_refused")
		return nil, fmt.Errorf("claim by %q: %w", claimer, ErrClaimerUnknown)
	}
	response := &pb.ClaimResponse{Results: make([]*pb.ClaimResult, 0, len(request.GetResources()))}
	table := *o.table.Load()
	for _, p := range request.GetResources() {
		result := &pb.ClaimResult{Resource: p, Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_NOT_HELD}
		if s := table[ResourceFromProto(p)]; s != nil {
			s.mu.Lock()
			s.answerClaim(o, claimer, request.GetIncarnation(), result)
			s.mu.Unlock()
		}
		response.Results = append(response.Results, result)
	}
	o.wake()
	return response, nil
}

// answerClaim fills in the result. s.mu is held.
func (s *slot) answerClaim(o *Ownership, claimer membership.DaemonID, incarnation uint64, result *pb.ClaimResult) {
	if s.state == stateActive {
		result.Outcome = pb.ClaimOutcome_CLAIM_OUTCOME_TRANSFERRED
		result.Records = packed(s.giveTo(o, claimer, incarnation))
		s.released.claimed = true
		return
	}
	if s.released == nil || time.Since(s.released.at) >= 2*keepReleased {
		if s.desired() == claimer && s.desiredIncarnation < incarnation {
			// The claimer was the desired holder before it restarted or paused, so records
			// are lost: a redirect to itself tells it that the resource is not fresh.
			result.Outcome, result.Redirect = pb.ClaimOutcome_CLAIM_OUTCOME_REDIRECT, string(claimer)
		}
		return
	}
	result.Records = packed(s.released.records)
	if s.released.to == claimer && s.released.incarnation == incarnation && s.released.records != nil {
		// The answer to the first claim was lost.
		result.Outcome = pb.ClaimOutcome_CLAIM_OUTCOME_TRANSFERRED
		s.released.claimed = true
		return
	}
	// Records that already went to another daemon come with a redirect, not as a transfer:
	// only one daemon may use their guard token.
	result.Outcome = pb.ClaimOutcome_CLAIM_OUTCOME_REDIRECT
	result.Redirect = string(s.released.to)
}

// HandleOffer takes over the offered resources that this daemon should hold, and merges the
// records of those that it serves.
func (o *Ownership) HandleOffer(request *pb.OfferRequest) *pb.OfferResponse {
	response := &pb.OfferResponse{}
	if !o.options.Settled() {
		return response
	}
	table := *o.table.Load()
	for _, records := range request.GetRecords() {
		s := table[ResourceFromProto(records.GetResource())]
		if s == nil {
			continue
		}
		if err := unpack(records); err != nil {
			o.options.Counters.Count("ownership.malformed")
			continue
		}
		s.mu.Lock()
		if s.takeOffer(o, records) {
			response.Accepted = append(response.Accepted, records.GetResource())
		}
		s.mu.Unlock()
	}
	o.wake()
	return response
}

// takeOffer reports whether the records were taken over. s.mu is held.
func (s *slot) takeOffer(o *Ownership, records *pb.ResourceRecords) bool {
	switch {
	case s.removed:
		return false
	case s.state == stateActive:
		s.keeper.Merge(s.resource, records)
		return true
	case s.desired() == o.options.Self && s.offer == nil:
		s.activate(o, records, Transferred)
		return true
	}
	return false
}
