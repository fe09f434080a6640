package ownership

import (
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// HandleClaim releases the claimed resources that this daemon holds to the claimer. It returns
// ErrClaimerUnknown if the claimer may not own resources according to this daemon's view.
func (o *Ownership) HandleClaim(request *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	claimer := membership.DaemonID(request.GetClaimer())
	member, known := o.options.Viewer.View().Member(claimer)
	if !known || !member.CanOwn() || request.GetIncarnation() < member.Incarnation || claimer == o.options.Self {
		o.options.Counters.Count("ownership.claim_refused")
		return nil, fmt.Errorf("claim by %q: %w", claimer, ErrClaimerUnknown)
	}
	response := &pb.ClaimResponse{Results: make([]*pb.ClaimResult, 0, len(request.GetResources()))}
	resources := *o.resources.Load()
	for _, p := range request.GetResources() {
		result := &pb.ClaimResult{Resource: p, Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_NOT_HELD}
		if s := resources[ResourceFromProto(p)]; s != nil {
			s.mu.Lock()
			s.respondToClaim(o, claimer, request.GetIncarnation(), result)
			s.mu.Unlock()
		}
		response.Results = append(response.Results, result)
	}
	o.wake()
	return response, nil
}

// respondToClaim releases the resource to the claimer if this daemon serves it, and fills in the
// result of the claim. The caller holds s.mu.
func (s *resourceState) respondToClaim(o *Ownership, claimer membership.DaemonID, incarnation uint64, result *pb.ClaimResult) {
	if s.state == stateActive {
		result.Outcome = pb.ClaimOutcome_CLAIM_OUTCOME_TRANSFERRED
		result.Records = packRecords(s.releaseTo(o, claimer, incarnation))
		s.released.claimed = true
		return
	}
	if s.released == nil || time.Since(s.released.releasedAt) >= 2*releasedRecordsRetention {
		if s.desiredHolder() == claimer && s.desiredIncarnation < incarnation {
			// The claimer was the desired holder before it restarted or was paused, so records
			// are lost: a redirect to itself informs it that the resource is not Fresh.
			result.Outcome, result.Redirect = pb.ClaimOutcome_CLAIM_OUTCOME_REDIRECT, string(claimer)
		}
		return
	}
	result.Records = packRecords(s.released.records)
	if s.released.to == claimer && s.released.incarnation == incarnation && s.released.records != nil {
		// The response to the first claim was lost.
		result.Outcome = pb.ClaimOutcome_CLAIM_OUTCOME_TRANSFERRED
		s.released.claimed = true
		return
	}
	// Records that were already sent to another daemon are returned with a redirect and not as
	// a transfer: only one daemon may use their guard token.
	result.Outcome = pb.ClaimOutcome_CLAIM_OUTCOME_REDIRECT
	result.Redirect = string(s.released.to)
}

// HandleOffer accepts the offered resources of which this daemon is the desired holder, and
// merges the records of those that it serves already.
func (o *Ownership) HandleOffer(request *pb.OfferRequest) *pb.OfferResponse {
	response := &pb.OfferResponse{}
	if !o.options.Settled() {
		return response
	}
	resources := *o.resources.Load()
	for _, records := range request.GetRecords() {
		s := resources[ResourceFromProto(records.GetResource())]
		if s == nil {
			continue
		}
		if err := unpackRecords(records); err != nil {
			o.options.Counters.Count("ownership.malformed")
			continue
		}
		s.mu.Lock()
		if s.acceptOffer(o, records) {
			response.Accepted = append(response.Accepted, records.GetResource())
		}
		s.mu.Unlock()
	}
	o.wake()
	return response
}

// acceptOffer activates the resource with offered records or merges them. It reports whether
// the offer was accepted. The caller holds s.mu.
func (s *resourceState) acceptOffer(o *Ownership, records *pb.ResourceRecords) bool {
	switch {
	case s.removed:
		return false
	case s.state == stateActive:
		s.handler.Merge(s.resource, records)
		return true
	case s.desiredHolder() == o.options.Self && s.offer == nil:
		s.activate(o, records, Transferred)
		return true
	}
	return false
}
