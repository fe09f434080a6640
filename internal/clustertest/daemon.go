package clustertest

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Daemon is one daemon of a Cluster.
type Daemon struct {
	Self       membership.Member
	Membership *membership.Membership
	Ownership  *ownership.Ownership
	Messenger  *peer.Messenger
	Handler    *ResourceHandler
	Counters   *telemetry.Counters

	cluster *Cluster
	conn    wire.Conn
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu     sync.Mutex
	paused chan struct{}
}

// Start starts daemon number n of a zone.
func (c *Cluster) Start(zone string, n int) *Daemon {
	zoneNumber := byte(1)
	for _, r := range zone {
		zoneNumber = zoneNumber*31 + byte(r)
	}
	ip := netip.AddrFrom4([4]byte{127, 1, zoneNumber, byte(n)})
	self := membership.Member{
		ID: DaemonID(zone, n), Zone: zone,
		PeerAddress:    netip.AddrPortFrom(ip, 7400),
		ControlAddress: netip.AddrPortFrom(ip, 7401),
	}
	conn, err := c.Network.Listen(self.PeerAddress)
	if err != nil {
		panic(err) // Two daemons of a test have the same number.
	}
	d := &Daemon{Self: self, Handler: c.NewResourceHandler(), Counters: telemetry.NewCounters(), cluster: c, conn: conn}
	d.setUp()
	c.mu.Lock()
	c.daemons[self.ID] = d
	known := false
	for _, m := range c.vmList {
		known = known || m.ID == self.ID
	}
	if !known {
		c.vmList = append(c.vmList, self)
	}
	c.mu.Unlock()
	d.run()
	return d
}

func (d *Daemon) setUp() {
	c := d.cluster
	logger := c.Logger.With().Str("daemon", string(d.Self.ID)).Logger()
	d.Messenger = peer.NewMessenger(peer.MessengerOptions{
		Self:        d.Self.ID,
		Incarnation: func() uint64 { return d.Membership.SelfIncarnation() },
		Key:         Key,
		Conn:        d.conn,
		Viewer:      membership.ViewerFunc(func() *membership.View { return d.Membership.View() }),
		Counters:    d.Counters,
		Logger:      logger,
	})
	c.mu.Lock()
	seed := c.rand.Uint64()
	c.mu.Unlock()
	d.Membership = membership.New(membership.Options{
		Self:      d.Self,
		Sender:    pausableSender{d},
		Seeds:     func(context.Context) ([]membership.Member, error) { return c.seeds(), nil },
		FetchView: d.fetchView,
		Counters:  d.Counters,
		Logger:    logger,
		OnPause:   func() { d.Ownership.OnPause() },
		Rand:      rand.New(rand.NewPCG(seed, seed)),
	})
	d.Ownership = ownership.New(ownership.Options{
		Self:    d.Self.ID,
		Viewer:  d.Membership,
		Clients: directClients{d},
		Handlers: map[pb.ResourceKind]ownership.ResourceHandler{
			pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION: d.Handler,
			pb.ResourceKind_RESOURCE_KIND_ADMISSION:      d.Handler,
		},
		Resources: func() []ownership.Resource { return c.Resources },
		Zone:      c.Zone,
		Settled:   d.Membership.Settled,
		Counters:  d.Counters,
		Logger:    logger,
	})
	d.Membership.Subscribe(d.Ownership.OnViewChange)
	d.Messenger.SetHandler(func(from membership.DaemonID, m *pb.PeerDatagram) {
		d.waitWhilePaused()
		d.Membership.HandleDatagram(from, m)
	})
}

func (d *Daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.tasks.Go(func() { _ = d.Messenger.Run(ctx) })
	d.tasks.Go(func() { _ = d.Membership.Run(ctx) })
	d.tasks.Go(func() { _ = d.Ownership.Run(ctx) })
}

// Kill ends the daemon without announcing it.
func (d *Daemon) Kill() {
	c := d.cluster
	c.mu.Lock()
	if c.daemons[d.Self.ID] == d {
		delete(c.daemons, d.Self.ID)
	}
	c.mu.Unlock()
	_ = d.conn.Close()
	d.cancel()
	d.Resume()
}

// Leave shuts the daemon down gracefully and returns the error of Ownership.Leave.
func (d *Daemon) Leave() error {
	d.Membership.Leave()
	err := d.Ownership.Leave(context.Background())
	d.Kill()
	return err
}

// Drain hands over all resources as Leave does, until ctx ends, and keeps the daemon running.
func (d *Daemon) Drain(ctx context.Context) error {
	d.Membership.Leave()
	return d.Ownership.Leave(ctx)
}

// Undrain makes the daemon join again after Drain has returned.
func (d *Daemon) Undrain() {
	d.Membership.Rejoin()
	d.Ownership.Rejoin()
}

// Pause stops all sending and handling until Resume, as in a stopped process. Datagrams wait in
// the socket.
func (d *Daemon) Pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused == nil {
		d.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (d *Daemon) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused != nil {
		close(d.paused)
		d.paused = nil
	}
}

func (d *Daemon) waitWhilePaused() { _ = d.waitWhilePausedUntil(context.Background()) }

// waitWhilePausedUntil waits while the daemon is paused. It returns the error of ctx if ctx ends first.
func (d *Daemon) waitWhilePausedUntil(ctx context.Context) error {
	d.mu.Lock()
	paused := d.paused
	d.mu.Unlock()
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Daemon) fetchView(ctx context.Context, from membership.Member, r *pb.GetViewRequest) (*pb.GetViewResponse, error) {
	var response *pb.GetViewResponse
	err := d.cluster.call(ctx, d, from.ControlAddress, func(to *Daemon) error {
		response = to.Membership.HandleGetView(r)
		countCall(d, to, r, response)
		return nil
	})
	return response, err
}

// callOverhead approximates the bytes of HTTP, TCP and IP headers in one direction of a call.
const callOverhead = 400

// countCall counts the bytes of a call as control traffic of both daemons.
func countCall(from, to *Daemon, request, response proto.Message) {
	out, in := int64(proto.Size(request)+callOverhead), int64(proto.Size(response)+callOverhead)
	from.Counters.Add("control.sent.call", out)
	from.Counters.Add("control.received.call", in)
	to.Counters.Add("control.sent.call", in)
	to.Counters.Add("control.received.call", out)
}

// pausableSender delays the datagrams of a paused daemon until it resumes.
type pausableSender struct{ d *Daemon }

func (s pausableSender) Send(to membership.DaemonID, m *pb.PeerDatagram) error {
	s.d.waitWhilePaused()
	return s.d.Messenger.Send(to, m)
}

func (s pausableSender) SendTo(addr netip.AddrPort, to membership.DaemonID, m *pb.PeerDatagram) error {
	s.d.waitWhilePaused()
	return s.d.Messenger.SendTo(addr, to, m)
}

// directClients implements the clients of ownership with direct function calls instead of connect.
type directClients struct{ d *Daemon }

func (c directClients) Claim(ctx context.Context, to membership.DaemonID, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	member, ok := c.d.Membership.View().Member(to)
	if !ok {
		return nil, peer.ErrUnknownPeer
	}
	var response *pb.ClaimResponse
	err := c.d.cluster.call(ctx, c.d, member.ControlAddress, func(to *Daemon) (err error) {
		if f := c.d.cluster.BeforeClaim; f != nil {
			f(c.d, to)
		}
		if c.d.cluster.Daemon(to.Self.ID) != to {
			return ErrUnreachable
		}
		response, err = to.Ownership.HandleClaim(r)
		countCall(c.d, to, r, response)
		return err
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

func (c directClients) Offer(ctx context.Context, to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
	member, ok := c.d.Membership.View().Member(to)
	if !ok {
		return nil, peer.ErrUnknownPeer
	}
	var response *pb.OfferResponse
	err := c.d.cluster.call(ctx, c.d, member.ControlAddress, func(to *Daemon) error {
		response = to.Ownership.HandleOffer(r)
		countCall(c.d, to, r, response)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// ControlBytes returns the bytes of control traffic that the daemon has sent and received.
func (d *Daemon) ControlBytes() (sent, received int64) {
	for name, n := range d.Counters.Snapshot() {
		if strings.HasPrefix(name, "control.sent.") {
			sent += n
		}
		if strings.HasPrefix(name, "control.received.") {
			received += n
		}
	}
	return sent, received
}
