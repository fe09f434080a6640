package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Errors of ownership.
var (
	// ErrClaimerUnknown reports a claim by a daemon that may not own resources according to
	// this daemon's view. The claimer retries after a delay.
	ErrClaimerUnknown = errors.New("claimer is not a live member of the view")
	// ErrResourcesHeld reports that a leaving daemon still holds resources.
	ErrResourcesHeld = errors.New("resources are still held by this daemon")
)

// Time limits and sizes of claims and offers.
const (
	// OfferAfter is how long a holder waits for the desired holder's claim before it offers the
	// resource.
	OfferAfter = 2 * time.Second
	// LeaveTimeout limits how long Leave waits for other daemons to claim the resources.
	LeaveTimeout = 10 * time.Second

	// shortOfferAfter replaces OfferAfter on a leaving daemon, which has at most LeaveTimeout, and for a
	// resource that was activated less than OfferAfter before the mismatch: when daemons start at the
	// same time, the desired holder may have claimed it already without finding this daemon.
	shortOfferAfter = 500 * time.Millisecond
	// callTimeout limits one claim or offer call.
	callTimeout = time.Second
	// claimTimeout limits a claim. It is longer than the time until a dead member is dropped, so
	// a claim times out only when a live daemon does not respond.
	claimTimeout = 4 * time.Second
	// retryMin and retryMax bound the exponential back-off between claim calls to one daemon.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
	// reclaimDelayMin and reclaimDelayMax bound the delay before a daemon claims a resource again
	// that another daemon has claimed from it, while its own view still names this daemon as the
	// desired holder.
	// Without the delay, two daemons with different views would take the resource from each
	// other continuously. reclaimDelayMax also bounds the delay between offers.
	reclaimDelayMin = 500 * time.Millisecond
	reclaimDelayMax = 8 * time.Second
	// releasedRecordsRetention is how long released records are kept, so that they can be sent
	// again when the response to a claim was lost.
	releasedRecordsRetention = 5 * time.Second
	// redirectDuration is how long a former holder forwards packets to the claimer instead of
	// to the desired holder of its own view.
	redirectDuration = 5 * time.Second

	// maxResourcesPerCall bounds the resources of one call, and so the size of the response.
	maxResourcesPerCall = 64
	// maxRanked is how many members with the highest rendezvous scores are kept per resource.
	maxRanked = 3
	// maxPreviousDesired is how many former desired holders are kept per resource.
	maxPreviousDesired = 4
)

// Clients makes calls to other daemons. It is implemented by peer.ClientSet.
type Clients interface {
	Claim(ctx context.Context, to membership.DaemonID, r *pb.ClaimRequest) (*pb.ClaimResponse, error)
	Offer(ctx context.Context, to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error)
}

// Options configures an Ownership. All fields except Zone, Settled and Logger are required.
type Options struct {
	Self    membership.DaemonID
	Viewer  membership.Viewer
	Clients Clients
	// Handlers serve the resources, by kind. They may call the Router methods of the Ownership
	// but no other method, since the mutex of the resource is locked while its handler runs.
	Handlers map[pb.ResourceKind]ResourceHandler
	// Resources returns all resources of the configuration in force.
	Resources func() []Resource
	// Zone returns the availability zone whose daemons are preferred as holders, or "".
	Zone func(Resource) string
	// Settled reports whether the membership view is reliable. No resource is claimed before.
	Settled  func() bool
	Counters *telemetry.Counters
	Logger   zerolog.Logger
}

func (o *Options) setDefaults() {
	if o.Zone == nil {
		o.Zone = func(Resource) string { return "" }
	}
	if o.Settled == nil {
		o.Settled = func() bool { return true }
	}
}

// Proto returns the resource as a protobuf message.
func (r Resource) Proto() *pb.Resource {
	return &pb.Resource{Kind: r.Kind, Service: r.Service, Index: r.Index}
}

// ResourceFromProto converts a protobuf message to a Resource.
func ResourceFromProto(p *pb.Resource) Resource {
	return Resource{Kind: p.GetKind(), Service: p.GetService(), Index: p.GetIndex()}
}

// String returns the name of the provenance in lower case, as in logs and counters.
func (p Provenance) String() string {
	switch p {
	case Fresh:
		return "fresh"
	case Transferred:
		return "transferred"
	case Recovered:
		return "recovered"
	default:
		return "unknown"
	}
}
