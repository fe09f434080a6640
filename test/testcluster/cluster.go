// Package testcluster runs a whole deployment in one process on an in-memory network, for
// tests in virtual time: daemons, upstreams, the platform and the fabric. It injects cuts between
// zones and pauses, kills and stops daemons.
package testcluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/daemon"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	standinplatform "github.com/fulmarfield/fulmarfield/standin/platform"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

// One-way latencies of the deployments.
const (
	latencyInZone       = 100 * time.Microsecond
	latencyBetweenZones = 500 * time.Microsecond
	latencyCaller       = 3 * time.Millisecond
)

// Ports of a daemon.
const (
	dataPort    = 7000
	peerPort    = 7001
	controlPort = 7002
)

// PlatformZone is the zone number of the platform in Cut and Heal.
const PlatformZone = 99

// Options configures a cluster.
type Options struct {
	// Declaration is the path of the declaration file of the deployment.
	Declaration string
	Seed        uint64
	MeanService time.Duration
	// Suspended returns for how long each daemon's VM has been suspended; nil means never.
	Suspended func() time.Duration
	// Log receives the daemons' log lines; nil discards them.
	Log *os.File
}

// Cluster is a running deployment.
type Cluster struct {
	Platform        *standinplatform.Platform
	Upstreams       map[string]*upstream.Upstream
	Declaration     *declaration.Declaration
	DeclarationText []byte

	t         *testing.T
	options   Options
	network   *memnet.Network
	mu        sync.Mutex
	rng       *rand.Rand
	daemons   map[string]*Daemon
	added     []string // names of daemons that are not in the declaration, sorted
	cuts      map[[2]int]bool
	tamper    func(from, to netip.AddrPort, data []byte, delay time.Duration) []time.Duration
	callers   uint16
	shutdowns []func()
	wg        sync.WaitGroup
}

// Daemon is one balancer of the cluster.
type Daemon struct {
	Node     *daemon.Node
	Member   membership.Member
	alive    bool
	isRouted bool // the fabric has a route to the daemon
	cancel   context.CancelFunc
	budget   *peer.Budget
	// Both gates are closed while the daemon is paused. The peer gate also blocks the daemon's calls
	// and the timers that send to other daemons.
	dataGate, peerGate gate
}

// Start starts the processes of the deployment; Apply installs its declaration. Start must be called
// in a synctest bubble. Close stops everything.
func Start(t *testing.T, o Options) *Cluster {
	t.Helper()
	data, err := os.ReadFile(o.Declaration)
	if err != nil {
		t.Fatal(err)
	}
	d, errs := declaration.Parse(o.Declaration, data)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	if o.MeanService == 0 {
		o.MeanService = 8 * time.Millisecond
	}
	c := &Cluster{
		Platform: standinplatform.New(standinplatform.Options{}), Upstreams: map[string]*upstream.Upstream{},
		Declaration: d, DeclarationText: data, t: t, options: o, rng: rand.New(rand.NewPCG(o.Seed, 7)),
		daemons: map[string]*Daemon{}, cuts: map[[2]int]bool{},
	}
	c.network = memnet.New(c.deliveryPolicy)
	c.Platform.PutDeployment(d)
	for _, s := range d.Services {
		c.startFabric(s.Address)
	}
	for i, u := range d.Upstreams {
		c.StartUpstream(u, uint64(i))
	}
	for _, dd := range d.Daemons {
		c.StartDaemon(dd.Name, dd.Zone, dd.Address)
	}
	time.Sleep(3 * time.Second)
	return c
}

// Close stops all daemons, the upstreams and the fabric.
func (c *Cluster) Close() {
	c.mu.Lock()
	for _, d := range c.daemons {
		d.dataGate.open()
		d.peerGate.open()
		if d.alive {
			d.alive = false
			d.cancel()
		}
	}
	shutdowns := c.shutdowns
	c.mu.Unlock()
	for _, f := range shutdowns {
		f()
	}
	c.wg.Wait()
}

func (c *Cluster) listen(address netip.AddrPort) wire.Conn {
	conn, err := c.network.Listen(address)
	if err != nil {
		c.t.Fatal(err)
	}
	return conn
}

// closeOnShutdown makes Close close conn.
func (c *Cluster) closeOnShutdown(conn wire.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutdowns = append(c.shutdowns, func() { _ = conn.Close() })
}

// StartUpstream starts the stand-in of a declared upstream.
func (c *Cluster) StartUpstream(u declaration.Upstream, seed uint64) *upstream.Upstream {
	var service netip.AddrPort
	for _, s := range c.Declaration.Services {
		if s.Name == u.Service {
			service = s.Address
		}
	}
	conn := c.listen(u.Address)
	up := upstream.New(upstream.Config{
		Name: u.Name, Service: service, Slots: int(u.Slots), Queue: 2, MeanService: c.options.MeanService,
		Distribution: upstream.Constant, Seed: c.options.Seed + seed, Log: zerolog.Nop(),
	}, conn)
	c.wg.Go(func() { _ = up.Run() })
	c.mu.Lock()
	c.shutdowns = append(c.shutdowns, func() { _ = up.Close() })
	c.mu.Unlock()
	c.Upstreams[u.Name] = up
	return up
}

// StartDaemon starts a daemon, registers its VM at the platform and adds a route to the fabric.
func (c *Cluster) StartDaemon(name, zone string, address netip.Addr) *Daemon {
	member := membership.Member{
		ID: membership.DaemonID(name), Zone: zone,
		PeerAddress: netip.AddrPortFrom(address, peerPort), ControlAddress: netip.AddrPortFrom(address, controlPort),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	c.Platform.PutVM(store.VM{
		Name: name, Kind: store.KindDaemon, Zone: zone, PeerAddress: member.PeerAddress,
		ControlAddress: member.ControlAddress, DataAddress: netip.AddrPortFrom(address, dataPort), State: store.StateLive,
	})
	log := zerolog.Nop()
	if c.options.Log != nil {
		log = zerolog.New(c.options.Log).With().Str("daemon", name).Timestamp().Logger()
	}
	counters := telemetry.NewCounters()
	budget := peer.NewDaemonBudget()
	store := daemon.MeterPlatform(c.Platform.Store(address), counters, budget)
	d := &Daemon{Member: member, alive: true, isRouted: true, budget: budget}
	d.Node = daemon.NewNode(daemon.Options{
		Self: member, Key: []byte("a key of at least 16 bytes"), Store: store,
		DataConn: &gatedConn{c.listen(netip.AddrPortFrom(address, dataPort)), &d.dataGate},
		PeerConn: &gatedConn{c.listen(member.PeerAddress), &d.peerGate},
		Seeds:    daemon.SeedsFrom(member.ID, nil, store),
		Clients: func(v membership.Viewer) daemon.Clients {
			return &clients{cluster: c, self: address, viewer: v, gate: &d.peerGate}
		},
		Counters: counters, Logger: log, Seed: c.options.Seed + xxhash.Sum64String(name),
		Budget: budget, Suspended: c.options.Suspended,
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	c.mu.Lock()
	c.daemons[name] = d
	c.added = c.addedNames()
	c.mu.Unlock()
	c.wg.Go(func() {
		if err := d.Node.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			c.t.Errorf("daemon %s: %v", name, err)
		}
	})
	return d
}

// Daemon returns a daemon by name.
func (c *Cluster) Daemon(name string) *Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[name]
}

// Live returns the running daemons: those of the declaration in its order, then the others by name.
func (c *Cluster) Live() []*Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*Daemon
	for _, dd := range c.Declaration.Daemons {
		if d := c.daemons[dd.Name]; d != nil && d.alive {
			live = append(live, d)
		}
	}
	for _, name := range c.added {
		if d := c.daemons[name]; d.alive {
			live = append(live, d)
		}
	}
	return live
}

// withdrawAfter is how long the fabric still sends packets to a killed daemon.
const withdrawAfter = time.Second

// Kill stops a daemon without a hand-over; its memory is lost. The fabric withdraws its route after
// withdrawAfter.
func (c *Cluster) Kill(name string) {
	c.mu.Lock()
	d := c.daemons[name]
	d.alive = false
	c.mu.Unlock()
	d.dataGate.open()
	d.peerGate.open()
	d.cancel()
	time.AfterFunc(withdrawAfter, func() { c.Withdraw(name) })
}

// Withdraw removes the fabric's route to a daemon.
func (c *Cluster) Withdraw(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[name].isRouted = false
}

// Stop withdraws a daemon's route, lets it hand its resources over and removes its VM.
func (c *Cluster) Stop(ctx context.Context, name string) error {
	d := c.Daemon(name)
	c.Withdraw(name)
	err := d.Node.Leave(ctx)
	c.mu.Lock()
	d.alive = false
	c.mu.Unlock()
	d.cancel()
	c.Platform.RemoveVM(name)
	return err
}

// Open opens a flow to a service from a new caller address.
func (c *Cluster) Open(ctx context.Context, service string) (*caller.Flow, error) {
	c.mu.Lock()
	c.callers++
	n := c.callers
	seed := c.rng.Uint64()
	c.mu.Unlock()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(n >> 8), byte(n)}), 40000)
	for _, s := range c.Declaration.Services {
		if s.Name == service {
			conn := c.listen(address)
			c.closeOnShutdown(conn)
			return caller.New(caller.Options{
				Conn: conn, Service: s.Address, Logger: zerolog.Nop(),
				Counters: telemetry.NewCounters(), Rand: rand.New(rand.NewPCG(seed, 1)),
			}).Open(ctx)
		}
	}
	return nil, fmt.Errorf("service %s is not declared", service)
}

// Send sends a datagram from a new caller address to an address of one daemon, as the fabric does.
func (c *Cluster) Send(to netip.AddrPort, data []byte) error {
	c.mu.Lock()
	c.callers++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(c.callers >> 8), byte(c.callers)}), 40000)
	c.mu.Unlock()
	conn := c.listen(address)
	c.closeOnShutdown(conn)
	return conn.Send(to, data)
}

// Run sends one line of the operators' language to a daemon.
func (c *Cluster) Run(ctx context.Context, daemonName, line, changeID, author string) (*pb.RunResponse, error) {
	r, err := c.Daemon(daemonName).Node.OperatorService().Run(ctx, connect.NewRequest(&pb.RunRequest{
		Line: line, ChangeId: changeID, Author: author, WaitMs: 3000,
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// Apply applies a declaration at a daemon.
func (c *Cluster) Apply(ctx context.Context, daemonName, changeID, author string) (*pb.ApplyResponse, error) {
	r, err := c.Daemon(daemonName).Node.OperatorService().Apply(ctx, connect.NewRequest(&pb.ApplyRequest{
		FileName: c.options.Declaration, Declaration: c.DeclarationText, ChangeId: changeID, Author: author, WaitMs: 3000,
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}
