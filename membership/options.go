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

// Times and bounds of the protocol.
const (
	// ProbeInterval is the time between two probes, each to another peer.
	ProbeInterval = 250 * time.Millisecond
	// AckTimeout is the time for an ack to a probe, and again for an ack to indirect probes.
	AckTimeout = 300 * time.Millisecond
	// DropTimeout is the time that a suspect has to refute. A daemon that finds its own timer
	// late by more than this has been dropped by the others.
	DropTimeout = 1500 * time.Millisecond
	// minRefuteTime is left to a suspect that another daemon has suspected for long. A
	// refutation reaches all daemons within two probe intervals.
	minRefuteTime = 2 * ProbeInterval
	// SettleTimeout is how long a starting daemon waits for the answers of its seeds.
	SettleTimeout = time.Second

	indirectProbes = 2
	// A suspicion or refutation goes to urgentPeers daemons at once, at most once in
	// urgentPause, so that a cut of many zones does not exceed the budget for control bytes.
	urgentPeers = 12
	urgentPause = 500 * time.Millisecond
	maxChanges  = 4
	// repeatFactor times the binary logarithm of the number of members is how often a change
	// is passed on. The analysis of SWIM asks for a small multiple of the logarithm; a complete
	// exchange of views repairs the rest.
	repeatFactor = 2

	tickInterval = 50 * time.Millisecond
	fetchTimeout = 800 * time.Millisecond
	// Lost members and seeds are contacted with back-off between these, so that a healed cut
	// is found within about retryMax and a long one costs little.
	retryMin = 500 * time.Millisecond
	retryMax = 5 * time.Second
	// retryPause bounds the contacts to all members that are gone together: one that answers
	// leads to the others.
	retryPause = time.Second
	// syncInterval is the time between two complete exchanges with a random member. They
	// repair a view that missed every repetition of a change.
	syncInterval = 30 * time.Second
	// forgetAfter is how long a member that is gone stays in the view and is retried.
	forgetAfter = 10 * time.Minute
)

// ErrNoSeedAnswered reports that no seed returned its view.
var ErrNoSeedAnswered = errors.New("no seed answered")

// Sender sends datagrams to other daemons. It is implemented by peer.Messenger.
type Sender interface {
	Send(to DaemonID, m *pb.PeerDatagram) error
	SendTo(addr netip.AddrPort, to DaemonID, m *pb.PeerDatagram) error
}

// Options configures a Membership. Sender, Counters and Self are required.
type Options struct {
	// Self is this daemon. An incarnation of 0 is replaced by the current time in nanoseconds.
	Self   Member
	Sender Sender
	// Seeds returns daemons that may exist, from the VM list and the settings. It may block
	// until ctx ends. Their IDs may be empty; it is a hint that never drops a member.
	Seeds func(ctx context.Context) ([]Member, error)
	// FetchView calls GetView at the control address of a daemon that need not be in the view.
	FetchView func(ctx context.Context, from Member, request *pb.GetViewRequest) (*pb.GetViewResponse, error)
	Counters  *telemetry.Counters
	Logger    zerolog.Logger
	// Generation returns the configuration generation in force here.
	Generation func() uint64
	// OnGeneration is told the generation that a peer has in force, at each probe and ack.
	OnGeneration func(from DaemonID, generation uint64)
	// OnPause is called when this daemon was paused for longer than DropTimeout, before it
	// joins again with a new incarnation.
	OnPause func()
	// Rand picks daemons and spreads times; nil seeds one from the runtime.
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
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// ViewerFunc adapts a function to Viewer, for components that are built before the Membership.
type ViewerFunc func() *View

// View calls f.
func (f ViewerFunc) View() *View { return f() }
