package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/config/relay"
	"github.com/fulmarfield/fulmarfield/load"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/request"
	"github.com/fulmarfield/fulmarfield/steering"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Options are what a Node needs from outside. Programs take them from settings; tests inject
// in-memory parts.
type Options struct {
	Self     membership.Member
	Key      []byte
	DataConn wire.Conn
	PeerConn wire.Conn
	Store    store.Store
	// Seeds lists daemons to join: the VM list and the peers of the settings.
	Seeds func(ctx context.Context) ([]membership.Member, error)
	// Clients makes the connect clients from the view.
	Clients  func(membership.Viewer) Clients
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Budget bounds all control traffic. Store, Seeds and Clients count in it by themselves; nil
	// means one of the usual size.
	Budget *peer.Budget
	// Seed of the random choices that need not be secret, such as probe order and jitter.
	Seed uint64
}

// Clients make calls to other daemons; peer.ClientSet implements it.
type Clients interface {
	peer.Clients
	ownership.Clients
	FetchView(ctx context.Context, from membership.Member, r *pb.GetViewRequest) (*pb.GetViewResponse, error)
}

// Node is a balancer daemon without its HTTP listeners.
type Node struct {
	self       membership.Member
	membership *membership.Membership
	messenger  *peer.Messenger
	clients    Clients
	ownership  *ownership.Ownership
	relay      *relay.Relay
	steerer    *steering.Steerer
	admissions *request.Engine
	dispatcher *dispatcher
	committer  *commit.Committer
	load       *load.Table
	notices    *noticeQueue
	budget     *peer.Budget
	store      store.Store
	peerConn   wire.Conn
	counters   *telemetry.Counters
	logger     zerolog.Logger
	leaving    atomic.Bool
	// drained is set while the daemon is out because the configuration drains it.
	drained atomic.Bool
	// rejoining is set from an undrain until the daemon has claimed its share.
	rejoining atomic.Bool
	// leaveMu guards stopping, and makes each leave and each rejoin one step.
	leaveMu sync.Mutex
	// stopping is set when the process shuts down, which an undrain does not end.
	stopping bool
}

// lateBinding breaks the construction cycle between membership, messenger and relay: each of
// them needs one method of a part that is built after it.
type lateBinding struct{ n *Node }

func (b lateBinding) View() *membership.View { return b.n.membership.View() }

func (b lateBinding) Send(to membership.DaemonID, m *pb.PeerDatagram) error {
	return b.n.messenger.Send(to, m)
}

func (b lateBinding) SendTo(addr netip.AddrPort, to membership.DaemonID, m *pb.PeerDatagram) error {
	return b.n.messenger.SendTo(addr, to, m)
}

func (b lateBinding) Current() *config.Snapshot { return b.n.relay.Current() }

func (b lateBinding) Subscribe(f func(previous, current *config.Snapshot)) { b.n.relay.Subscribe(f) }

// NewNode builds a daemon; Run starts it.
func NewNode(o Options) *Node {
	if o.Budget == nil {
		o.Budget = peer.NewDaemonBudget()
	}
	n := &Node{self: o.Self, store: o.Store, peerConn: o.PeerConn, counters: o.Counters, logger: o.Logger, budget: o.Budget}
	late := lateBinding{n}
	n.clients = o.Clients(late)
	n.committer = commit.New(o.Store, o.Counters)
	n.load = load.NewTable()
	n.relay = relay.New(relay.Options{
		Self: o.Self.ID, Zone: o.Self.Zone, Store: o.Store, Viewer: late, Clients: n.clients,
		Counters: o.Counters, Logger: o.Logger,
	})
	n.membership = membership.New(membership.Options{
		Self: o.Self, Sender: late, Seeds: o.Seeds, FetchView: n.clients.FetchView, Counters: o.Counters, Logger: o.Logger,
		Generation:   func() uint64 { return n.relay.Current().Generation() },
		OnGeneration: func(from membership.DaemonID, g uint64) { n.relay.OnPeerGeneration(from, g) },
		OnPause:      func() { n.ownership.OnPause() },
		Rand:         rand.New(rand.NewPCG(o.Seed, 1)),
	})
	n.messenger = peer.NewMessenger(peer.MessengerOptions{
		Self: o.Self.ID, Incarnation: n.membership.SelfIncarnation, Key: o.Key, Conn: o.PeerConn, Gather: []wire.Conn{o.DataConn},
		Viewer: late, Counters: o.Counters, Logger: o.Logger, Budget: o.Budget,
	})
	n.notices = newNoticeQueue(n.messenger.Send, o.Budget, o.Counters)
	n.dispatcher = &dispatcher{conn: o.DataConn, config: n.relay, forwarder: n.messenger,
		verifier: wire.NewVerifier(o.Key), counters: o.Counters, paused: n.membership.Paused}
	n.buildRoles(o)
	n.messenger.Handle(n.handlePeer)
	n.messenger.HandleForward(n.dispatcher.forwarded)
	n.membership.Subscribe(func(previous, current *membership.View) {
		n.ownership.OnViewChange(previous, current)
		n.notices.keep(current)
		if hasNewMember(previous, current) {
			time.AfterFunc(announceDelay, n.announceUpstreams)
		}
	})
	n.relay.Subscribe(func(_, _ *config.Snapshot) { n.ownership.OnConfigurationChange() })
	return n
}

// buildRoles builds the two roles that hold resources and the table of who holds which.
func (n *Node) buildRoles(o Options) {
	routes := &lateRouter{n}
	n.dispatcher.router = routes
	n.steerer = steering.New(steering.Options{
		Config: n.relay, Router: routes, Sender: n.messenger, Output: steeringOutput{n.dispatcher},
		Counters: o.Counters, Logger: o.Logger, Budget: o.Budget,
		Isolated: func() bool { return n.membership.Paused() || !n.membership.View().HasReachableMajority() },
	})
	n.admissions = request.New(request.Options{
		Self: o.Self.ID, Config: n.relay, Router: routes, Load: n.load,
		Output:   requestOutput{d: n.dispatcher, notify: n.notifyOwners},
		Counters: o.Counters, Logger: o.Logger, Rand: rand.New(rand.NewPCG(o.Seed, 2)),
	})
	n.dispatcher.steerer, n.dispatcher.admitter = n.steerer, n.admissions
	n.ownership = ownership.New(ownership.Options{
		Self: o.Self.ID, Viewer: n.membership, Clients: n.clients,
		Handlers: map[pb.ResourceKind]ownership.ResourceHandler{
			pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION: n.steerer,
			pb.ResourceKind_RESOURCE_KIND_ADMISSION:      n.admissions,
		},
		Resources: n.resources, Zone: n.zoneOf, Settled: n.membership.Settled,
		Counters: o.Counters, Logger: o.Logger,
	})
}

// lateRouter passes routing questions to ownership, which is built after the roles.
type lateRouter struct{ n *Node }

func (r *lateRouter) Route(res ownership.Resource) (to membership.DaemonID, active, ok bool) {
	return r.n.ownership.Route(res)
}

func (r *lateRouter) Successor(res ownership.Resource) (membership.DaemonID, bool) {
	return r.n.ownership.Successor(res)
}

func (r *lateRouter) PreviousHolders(res ownership.Resource) []membership.DaemonID {
	return r.n.ownership.PreviousHolders(res)
}

// resources lists all resources of the configuration in force.
func (n *Node) resources() []ownership.Resource {
	var all []ownership.Resource
	for _, service := range n.relay.Current().Services() {
		for i := range uint32(ownership.PartitionCount) {
			all = append(all, ownership.Resource{
				Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: service.GetNumber(), Index: i,
			})
		}
		for _, u := range service.GetUpstreams() {
			all = append(all, ownership.Admission(service.GetNumber(), u.GetNumber()))
		}
	}
	return all
}

// zoneOf returns the zone whose daemons are preferred for a resource: an upstream's own zone,
// so that a cut between zones leaves the admission on the side that reaches the upstream.
func (n *Node) zoneOf(r ownership.Resource) string {
	if r.Kind != pb.ResourceKind_RESOURCE_KIND_ADMISSION {
		return ""
	}
	u, _, _, ok := n.relay.Current().Upstream(r.Index)
	if !ok {
		return ""
	}
	return u.GetZone()
}

func (n *Node) handlePeer(from membership.DaemonID, m *pb.PeerDatagram) {
	switch body := m.GetBody().(type) {
	case *pb.PeerDatagram_UpstreamNotice:
		n.steerer.HandlePeer(from, m)
		n.load.Update(body.UpstreamNotice)
	default:
		if !n.membership.HandleDatagram(from, m) && !n.steerer.HandlePeer(from, m) {
			n.counters.Drop("unknown_message")
		}
	}
}

// announceDelay lets a daemon that joined learn of the others, whose messages it refuses before.
const announceDelay = time.Second

// hasNewMember reports whether a daemon became reachable between two views.
func hasNewMember(previous, current *membership.View) bool {
	for _, m := range current.Members {
		before, known := previous.Member(m.ID)
		if m.CanOwn() && (!known || !before.IsReachable()) {
			return true
		}
	}
	return false
}

// announceUpstreams tells the states of the upstreams whose admissions are held here: a daemon
// that joined knows none, and states are sent only on change. To the others it is no news.
func (n *Node) announceUpstreams() {
	for _, service := range n.relay.Current().Services() {
		for _, u := range service.GetUpstreams() {
			n.admissions.Announce(u.GetNumber())
		}
	}
}

// notifyOwners tells all daemons a change of an upstream's state, this one included.
func (n *Node) notifyOwners(notice *pb.UpstreamNotice) {
	for _, m := range n.membership.View().Members {
		switch {
		case m.ID == n.self.ID:
			n.steerer.HandlePeer(n.self.ID, &pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: notice}})
		case m.IsReachable():
			n.notices.add(m, notice)
		}
	}
}

// Counters returns the daemon's counters.
func (n *Node) Counters() *telemetry.Counters { return n.counters }

// PeerService returns the handler of other daemons' calls; it serves as a client as well.
func (n *Node) PeerService() peerServiceHandler { return peerService{n} }

// IsReady reports whether the daemon has a configuration and serves.
func (n *Node) IsReady() bool {
	return n.relay.Current().Generation() > 0 && !n.leaving.Load() && !n.rejoining.Load()
}

// Run serves until ctx is cancelled. Use Leave first for a graceful shutdown.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	tasks := map[string]func(context.Context) error{
		"messenger": n.messenger.Run, "membership": n.membership.Run, "ownership": n.ownership.Run,
		"relay": n.relay.Run, "steering": n.steerer.Run, "request": n.runAdmissions, "ingress": n.readPackets,
		"drain": n.followDeclaredState, "janitor": n.runJanitor,
		"notices": n.notices.run,
	}
	for name, run := range tasks {
		group.Go(func() error {
			if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(n.dispatcher.conn.Close(), n.peerConn.Close())
	})
	return group.Wait()
}

// janitorInterval is the time between two rounds that remove old content objects.
const janitorInterval = 10 * time.Minute

// runJanitor removes old content objects while this daemon is one of its zone's watchers.
func (n *Node) runJanitor(ctx context.Context) error {
	holder := fmt.Sprintf("%s/%d", n.self.ID, n.membership.SelfIncarnation())
	return commit.NewJanitor(n.store, holder, n.counters, n.logger).Run(ctx, janitorInterval, n.relay.IsWatcher)
}

func (n *Node) runAdmissions(ctx context.Context) error {
	n.admissions.Run(ctx)
	return nil
}

// readBatch is the number of datagrams of one read of the data socket.
const readBatch = 64

func (n *Node) readPackets(ctx context.Context) error {
	batch := make([]wire.Datagram, readBatch)
	for {
		count, err := n.dispatcher.conn.ReadBatch(batch)
		if err != nil {
			if errors.Is(err, wire.ErrClosed) {
				return ctx.Err()
			}
			return fmt.Errorf("read packets: %w", err)
		}
		n.takeBatch(batch[:count])
	}
}

// takeBatch handles datagrams of one read. What they cause to be sent goes out by few system
// calls, unless there is one only.
func (n *Node) takeBatch(batch []wire.Datagram) {
	if len(batch) == 1 {
		n.dispatcher.ingress(batch[0].Data)
		return
	}
	lost := wire.Gather([]wire.Conn{n.dispatcher.conn, n.peerConn}, func() {
		for _, d := range batch {
			n.dispatcher.ingress(d.Data)
		}
	})
	if lost > 0 {
		n.counters.Add("drop.send_failed", int64(lost))
	}
}

// drainPoll is how often a leaving daemon looks whether requests are still in progress.
const drainPoll = 50 * time.Millisecond

// Leave announces the leave, hands over all resources and waits until no request is in
// progress here. It returns the context's error when ctx ends first. The process must end
// after it.
func (n *Node) Leave(ctx context.Context) error {
	n.leaveMu.Lock()
	n.stopping = true
	n.announceLeave()
	n.leaveMu.Unlock()
	return n.handOver(ctx)
}

// announceLeave makes this daemon take on nothing new. n.leaveMu is held.
func (n *Node) announceLeave() {
	n.leaving.Store(true)
	n.rejoining.Store(false)
	n.membership.Leave()
}

// handOver waits until others have claimed all resources and no request is in progress here.
func (n *Node) handOver(ctx context.Context) error {
	if err := n.ownership.Leave(ctx); err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	return n.finishRequests(ctx)
}

func (n *Node) finishRequests(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for n.admissions.InProgress() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("finish %d requests: %w", n.admissions.InProgress(), ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
