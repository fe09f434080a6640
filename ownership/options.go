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
	// ErrClaimerUnknown reports a claim by a daemon that may not own resources by the view
	// here. The claimer tries again after a while.
	ErrClaimerUnknown = errors.New("claimer is not a live member of the view")
	// ErrNotClaimed reports that a leaving daemon still holds resources.
	ErrNotClaimed = errors.New("resources are still held here")
)

// Times and bounds of claims and offers.
const (
	// OfferAfter is the time that a holder waits for a claim before it offers.
	OfferAfter = 2 * time.Second
	// LeaveTimeout is the longest time that Leave waits.
	LeaveTimeout = 10 * time.Second

	// leaveOfferAfter replaces OfferAfter on a leaving daemon, which has less time.
	leaveOfferAfter = 500 * time.Millisecond
	callTimeout     = time.Second
	// claimTimeout is longer than it takes to drop a dead member, so that a claim is given
	// up by time only when a live daemon does not answer.
	claimTimeout = 4 * time.Second
	retryMin     = 50 * time.Millisecond
	retryMax     = time.Second
	// reclaimMin and reclaimMax hold back a daemon that lost a resource to a claim while its
	// own view still names it as the holder; two daemons with different views would
	// otherwise take the resource from each other at once.
	reclaimMin = 500 * time.Millisecond
	reclaimMax = 8 * time.Second
	// keepReleased is how long released records can be sent again when the answer was lost.
	keepReleased = 5 * time.Second
	// redirectFor is how long a former holder forwards to the claimer instead of to the
	// desired holder of its own view.
	redirectFor = 5 * time.Second

	// chunk bounds the resources of one call, and so the size of the answer.
	chunk         = 64
	ranks         = 3
	previousViews = 4
)

// Clients makes the calls between daemons. It is implemented by peer.ClientSet.
type Clients interface {
	Claim(ctx context.Context, to membership.DaemonID, r *pb.ClaimRequest) (*pb.ClaimResponse, error)
	Offer(ctx context.Context, to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error)
}

// Options configures an Ownership. All fields but Zone, Settled and Logger are required.
type Options struct {
	Self    membership.DaemonID
	Viewer  membership.Viewer
	Clients Clients
	// Keepers may call the Router methods, but neither Held nor Claiming nor any other method.
	Keepers map[pb.ResourceKind]Keeper
	// Resources returns all resources that exist by the configuration in force.
	Resources func() []Resource
	// Zone returns the availability zone whose daemons come first, or "".
	Zone func(Resource) string
	// Settled reports whether the first view can be relied on; nothing is claimed before.
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

// Proto returns the message form of the resource.
func (r Resource) Proto() *pb.Resource {
	return &pb.Resource{Kind: r.Kind, Service: r.Service, Index: r.Index}
}

// ResourceFromProto converts the message form.
func ResourceFromProto(p *pb.Resource) Resource {
	return Resource{Kind: p.GetKind(), Service: p.GetService(), Index: p.GetIndex()}
}

// String returns the provenance in lower case.
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
