package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Times and limits of the protocol.
const (
	// ProbeInterval is the time between two probes of a daemon, each to another peer.
	ProbeInterval = 250 * time.Millisecond
	// AckTimeout is how long a daemon waits for the ack of a probe before it requests indirect probes,
	// and how long it then waits before it suspects the target.
	AckTimeout = 300 * time.Millisecond
	// DropTimeout is the time that a suspect has to refute. A daemon whose own timer fires late by
	// more than this was dropped by the other daemons.
	DropTimeout = 1500 * time.Millisecond
	// minRefuteTime is the minimum time that a daemon gives a suspect to refute, however long another
	// daemon has suspected it. A refutation reaches all daemons within two probe intervals.
	minRefuteTime = 2 * ProbeInterval
	// SettleTimeout is how long a starting daemon waits for the responses of its seeds.
	SettleTimeout = time.Second

	// indirectProbeCount is the number of daemons that are requested to probe a member that did not
	// acknowledge a direct probe.
	indirectProbeCount = 2
	// A suspicion or refutation is sent to urgentFanout daemons immediately, at most once in
	// minUrgentInterval, so that a network partition of many zones does not exceed the budget for
	// control traffic.
	urgentFanout      = 12
	minUrgentInterval = 500 * time.Millisecond
	// maxChangesPerDatagram limits the member changes that a probe or an ack carries.
	maxChangesPerDatagram = 4
	// gossipRetransmitFactor times the binary logarithm of the number of members is the number of
	// datagrams that carry a change. The analysis of SWIM requires a small multiple of the logarithm;
	// complete exchanges of views repair the changes that are still missed.
	gossipRetransmitFactor = 2

	// tickInterval is the period of Run, the resolution of all timers of the protocol.
	tickInterval = 50 * time.Millisecond
	// fetchViewTimeout limits a request for the view of another daemon and a call of Options.Seeds.
	fetchViewTimeout = 800 * time.Millisecond
	// The retry delay of a dropped member grows from minRetryDelay to maxRetryDelay, so that the end of
	// a network partition is detected within about maxRetryDelay and a long partition costs little
	// traffic.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// minRetryInterval limits the rate of retries over all dropped members: the view of one member that
	// responds leads to the others.
	minRetryInterval = time.Second
	// syncInterval is the time between two complete exchanges with a random member. These exchanges
	// repair a view that missed all transmissions of a change.
	syncInterval = 30 * time.Second
	// unreachableRetention is how long a member that was dropped or has left stays in the view. A
	// dropped member is retried until then.
	unreachableRetention = 10 * time.Minute
)

// ErrNoSeedResponded reports that no seed returned its view.
var ErrNoSeedResponded = errors.New("no seed responded")

// Sender sends datagrams to other daemons. It is implemented by peer.Messenger.
type Sender interface {
	Send(to DaemonID, m *pb.PeerDatagram) error
	SendTo(addr netip.AddrPort, to DaemonID, m *pb.PeerDatagram) error
}

// Options configures a Membership. Sender, Counters and Self are required.
type Options struct {
	// Self describes this daemon. An incarnation of 0 is replaced by the current time in nanoseconds.
	Self   Member
	Sender Sender
	// Seeds returns daemons that may exist, from the VM list and the settings. It may block
	// until ctx ends. The IDs of the returned daemons may be empty. The result is only a hint: a
	// member that is missing from it is not dropped.
	Seeds func(ctx context.Context) ([]Member, error)
	// FetchView calls GetView at the control address of a daemon that need not be in the view.
	FetchView func(ctx context.Context, from Member, request *pb.GetViewRequest) (*pb.GetViewResponse, error)
	Counters  *telemetry.Counters
	Logger    zerolog.Logger
	// Generation returns the configuration generation in force on this daemon.
	Generation func() uint64
	// OnGeneration is called at each probe and ack with the configuration generation in force on a
	// peer.
	OnGeneration func(from DaemonID, generation uint64)
	// OnPause is called when this daemon was paused for longer than DropTimeout, before it
	// joins again with a new incarnation.
	OnPause func()
	// Suspended returns for how long the VM has been suspended since some time before the Membership
	// was created: the time that the monotonic clock leaves out. nil means that it is never suspended.
	Suspended func() time.Duration
	// Rand is the source for random choices of daemons and for jitter; nil means a randomly seeded
	// source.
	Rand *rand.Rand
}

func (o *Options) setDefaults() {
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(time.Now().UnixNano())
	}
	o.Self.State = pb.MemberState_MEMBER_STATE_ALIVE
	if o.Generation == nil {
		o.Generation = func() uint64 { return 0 }
	}
	if o.OnGeneration == nil {
		o.OnGeneration = func(DaemonID, uint64) {}
	}
	if o.OnPause == nil {
		o.OnPause = func() {}
	}
	if o.Suspended == nil {
		o.Suspended = func() time.Duration { return 0 }
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// ViewerFunc adapts a function to Viewer, for components that are built before the Membership.
type ViewerFunc func() *View

// View calls f.
func (f ViewerFunc) View() *View { return f() }
