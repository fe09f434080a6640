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

// Options are the dependencies of a Node. Programs create them from the settings; tests inject
// in-memory implementations.
type Options struct {
	Self     membership.Member
	Key      []byte
	DataConn wire.Conn
	PeerConn wire.Conn
	Store    store.Store
	// Seeds returns daemons to join: the daemons in the VM list and the peers in the settings.
	Seeds func(ctx context.Context) ([]membership.Member, error)
	// Clients creates the connect clients; they look up addresses in the view.
	Clients  func(membership.Viewer) Clients
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Suspended returns for how long the VM has been suspended since some time before the start; nil
	// means that it is never suspended.
	Suspended func() time.Duration
	// Budget limits all control traffic. Store, Seeds and Clients charge their calls to it
	// themselves; nil means the default budget.
	Budget *peer.Budget
	// Seed is the seed of random choices that need not be secret, such as probe order and jitter.
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
	requests   *request.Engine
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
	// drained is set while the daemon has left because the configuration declares it draining.
	drained atomic.Bool
	// rejoining is set from an undrain until the daemon has claimed its share.
	rejoining atomic.Bool
	// leaveMu guards stopping, and makes each leave and each rejoin atomic.
	leaveMu sync.Mutex
	// stopping is set when the process shuts down; an undrain does not cancel that.
	stopping bool
}

// lateBinding breaks the construction cycle between membership, messenger and relay: each of them
// calls methods of a component that is built after it.
type lateBinding struct{ node *Node }

func (b lateBinding) View() *membership.View { return b.node.membership.View() }

func (b lateBinding) Send(to membership.DaemonID, m *pb.PeerDatagram) error {
	return b.node.messenger.Send(to, m)
}

func (b lateBinding) SendTo(addr netip.AddrPort, to membership.DaemonID, m *pb.PeerDatagram) error {
	return b.node.messenger.SendTo(addr, to, m)
}

func (b lateBinding) Current() *config.Snapshot { return b.node.relay.Current() }

func (b lateBinding) Subscribe(f func(previous, current *config.Snapshot)) { b.node.relay.Subscribe(f) }

// NewNode returns a daemon that Run starts.
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
		Suspended:    o.Suspended,
		Rand:         rand.New(rand.NewPCG(o.Seed, 1)),
	})
	n.messenger = peer.NewMessenger(peer.MessengerOptions{
		Self: o.Self.ID, Incarnation: n.membership.SelfIncarnation, Key: o.Key, Conn: o.PeerConn, Gather: []wire.Conn{o.DataConn},
		Viewer: late, Counters: o.Counters, Logger: o.Logger, Budget: o.Budget, OnRead: n.membership.AccountSuspension,
	})
	n.notices = newNoticeQueue(n.messenger.Send, o.Budget, o.Counters)
	n.dispatcher = &dispatcher{conn: o.DataConn, config: n.relay, forwarder: n.messenger,
		verifier: wire.NewVerifier(o.Key), counters: o.Counters, paused: n.membership.Paused}
	n.buildRoles(o)
	n.messenger.SetHandler(n.handlePeerDatagram)
	n.messenger.SetForwardHandler(n.dispatcher.handleForwarded)
	n.membership.Subscribe(func(previous, current *membership.View) {
		n.ownership.OnViewChange(previous, current)
		n.notices.removeUnreachable(current)
		if hasNewReachableMember(previous, current) {
			time.AfterFunc(announceDelay, n.announceUpstreams)
		}
	})
	n.relay.Subscribe(func(_, _ *config.Snapshot) { n.ownership.OnConfigurationChange() })
	return n
}

// buildRoles builds the two roles that hold resources, flow owner and admission holder, and the
// ownership of the resources.
func (n *Node) buildRoles(o Options) {
	routes := &lateRouter{n}
	n.dispatcher.router = routes
	n.steerer = steering.New(steering.Options{
		Config: n.relay, Router: routes, Sender: n.messenger, Output: steeringOutput{n.dispatcher},
		Counters: o.Counters, Logger: o.Logger, Budget: o.Budget,
		Isolated: func() bool { return n.membership.Paused() || !n.membership.View().HasReachableMajority() },
	})
	n.requests = request.New(request.Options{
		Self: o.Self.ID, Config: n.relay, Router: routes, Load: n.load,
		Output:   requestOutput{d: n.dispatcher, notify: n.notifyDaemons},
		Counters: o.Counters, Logger: o.Logger, Rand: rand.New(rand.NewPCG(o.Seed, 2)),
	})
	n.dispatcher.steerer, n.dispatcher.admitter = n.steerer, n.requests
	n.ownership = ownership.New(ownership.Options{
		Self: o.Self.ID, Viewer: n.membership, Clients: n.clients,
		Handlers: map[pb.ResourceKind]ownership.ResourceHandler{
			pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION: n.steerer,
			pb.ResourceKind_RESOURCE_KIND_ADMISSION:      n.requests,
		},
		Resources: n.resources, Zone: n.preferredZone, Settled: n.membership.Settled,
		Counters: o.Counters, Logger: o.Logger,
	})
}

// lateRouter forwards the calls of the roles to ownership, which is built after them.
type lateRouter struct{ node *Node }

func (r *lateRouter) Route(res ownership.Resource) (to membership.DaemonID, active, ok bool) {
	return r.node.ownership.Route(res)
}

func (r *lateRouter) Successor(res ownership.Resource) (membership.DaemonID, bool) {
	return r.node.ownership.Successor(res)
}

func (r *lateRouter) PreviousHolders(res ownership.Resource) []membership.DaemonID {
	return r.node.ownership.PreviousHolders(res)
}

// resources returns all resources of the configuration in force.
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

// preferredZone returns the zone whose daemons are preferred as holders of a resource, or "". For an
// admission that is the zone of the upstream, so that after a network partition between zones the
// holder is on the side that reaches the upstream.
func (n *Node) preferredZone(r ownership.Resource) string {
	if r.Kind != pb.ResourceKind_RESOURCE_KIND_ADMISSION {
		return ""
	}
	u, _, _, ok := n.relay.Current().Upstream(r.Index)
	if !ok {
		return ""
	}
	return u.GetZone()
}

// handlePeerDatagram passes a datagram of another daemon to the component that handles its kind.
func (n *Node) handlePeerDatagram(from membership.DaemonID, m *pb.PeerDatagram) {
	switch body := m.GetBody().(type) {
	case *pb.PeerDatagram_UpstreamNotice:
		n.steerer.HandlePeer(from, m)
		n.load.Update(body.UpstreamNotice)
	default:
		if !n.membership.HandleDatagram(from, m) && !n.steerer.HandlePeer(from, m) {
			n.counters.CountDrop("unknown_message")
		}
	}
}

// announceDelay is the time in which a daemon that joined receives the view; until then it refuses the
// messages of daemons that it does not know.
const announceDelay = time.Second

// hasNewReachableMember reports whether a member that can own resources became reachable between two
// views.
func hasNewReachableMember(previous, current *membership.View) bool {
	for _, m := range current.Members {
		before, known := previous.Member(m.ID)
		if m.CanOwn() && (!known || !before.IsReachable()) {
			return true
		}
	}
	return false
}

// announceUpstreams sends the states of the upstreams whose admissions this daemon holds: a daemon
// that joined has none of them, and states are otherwise sent only when they change. The other daemons
// receive the states that they already have.
func (n *Node) announceUpstreams() {
	for _, service := range n.relay.Current().Services() {
		for _, u := range service.GetUpstreams() {
			n.requests.Announce(u.GetNumber())
		}
	}
}

// notifyDaemons sends a change of an upstream's state to all daemons, including this one.
func (n *Node) notifyDaemons(notice *pb.UpstreamNotice) {
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

// PeerService returns the handler of other daemons' calls, which tests also use as a client.
func (n *Node) PeerService() peerServiceHandler { return peerService{n} }

// IsReady reports whether the daemon has a configuration and is neither leaving nor rejoining.
func (n *Node) IsReady() bool {
	return n.relay.Current().Generation() > 0 && !n.leaving.Load() && !n.rejoining.Load()
}

// Run serves until ctx is cancelled. For a graceful shutdown, call Leave first.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	tasks := map[string]func(context.Context) error{
		"messenger": n.messenger.Run, "membership": n.membership.Run, "ownership": n.ownership.Run,
		"relay": n.relay.Run, "steering": n.steerer.Run, "request": n.runRequests, "ingress": n.readPackets,
		"drain": n.applyDeclaredState, "janitor": n.runJanitor,
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

// janitorInterval is the time between two removals of unreferenced content objects.
const janitorInterval = 10 * time.Minute

// runJanitor periodically removes unreferenced content objects from the store while this daemon
// watches the store for its zone.
func (n *Node) runJanitor(ctx context.Context) error {
	holder := fmt.Sprintf("%s/%d", n.self.ID, n.membership.SelfIncarnation())
	return commit.NewJanitor(n.store, holder, n.counters, n.logger).Run(ctx, janitorInterval, n.relay.IsWatcher)
}

func (n *Node) runRequests(ctx context.Context) error {
	n.requests.Run(ctx)
	return nil
}

// readBatchSize is the maximum number of datagrams that one read of the data socket returns.
const readBatchSize = 64

// readPackets reads and handles packets of the data socket until the socket is closed.
func (n *Node) readPackets(ctx context.Context) error {
	batch := make([]wire.Datagram, readBatchSize)
	for {
		count, err := n.dispatcher.conn.ReadBatch(batch)
		if err != nil {
			if errors.Is(err, wire.ErrClosed) {
				return ctx.Err()
			}
			return fmt.Errorf("read packets: %w", err)
		}
		n.membership.AccountSuspension()
		n.handleBatch(batch[:count])
	}
}

// handleBatch handles the datagrams of one read. If there are several, it gathers the datagrams sent
// in response and sends them with few system calls.
func (n *Node) handleBatch(batch []wire.Datagram) {
	if len(batch) == 1 {
		n.dispatcher.handleIngress(batch[0].Data)
		return
	}
	failed := wire.Gather([]wire.Conn{n.dispatcher.conn, n.peerConn}, func() {
		for _, d := range batch {
			n.dispatcher.handleIngress(d.Data)
		}
	})
	if failed > 0 {
		n.counters.Add("drop.send_failed", int64(failed))
	}
}

// drainPollInterval is the time between two checks of a leaving daemon for requests in progress.
const drainPollInterval = 50 * time.Millisecond

// Leave announces the leave, hands over all resources and waits until this daemon has no request in
// progress. It returns the context's error if ctx ends first. The process must end afterwards.
func (n *Node) Leave(ctx context.Context) error {
	n.leaveMu.Lock()
	n.stopping = true
	n.announceLeave()
	n.leaveMu.Unlock()
	return n.handOver(ctx)
}

// announceLeave announces the leave, so that this daemon receives no new resources and is not ready.
// The caller holds n.leaveMu.
func (n *Node) announceLeave() {
	n.leaving.Store(true)
	n.rejoining.Store(false)
	n.membership.Leave()
}

// handOver hands over all resources. It returns when other daemons have claimed them and this daemon
// has no request in progress.
func (n *Node) handOver(ctx context.Context) error {
	if err := n.ownership.Leave(ctx); err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	return n.waitForRequests(ctx)
}

// waitForRequests waits until this daemon has no request in progress.
func (n *Node) waitForRequests(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for n.requests.InProgress() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("finish %d requests: %w", n.requests.InProgress(), ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
