package relay_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/config/relay"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	standin "github.com/fulmarfield/fulmarfield/standin/platform"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	zones         = 3
	probeInterval = 250 * time.Millisecond
	peerLatency   = 500 * time.Microsecond
	watcherCount  = 2 * zones
)

// fleet is a number of relays over three zones with probes and connect calls between them, in
// virtual time.
type fleet struct {
	g        Gomega
	ctx      context.Context
	platform *standin.Platform
	operator *standin.Store

	mu      sync.Mutex
	daemons map[membership.DaemonID]*daemon
	view    *membership.View
	// cutZone has no connection to the others, "" for none.
	cutZone string
	// noProbes and noCalls silence the daemons towards each other.
	noProbes, noCalls bool
}

type daemon struct {
	*relay.Relay
	fleet    *fleet
	member   membership.Member
	counters *telemetry.Counters
	stop     context.CancelFunc
	// inForce is the time at which each generation came into force, in their order.
	inForce []installed
}

type installed struct {
	generation uint64
	at         time.Time
}

func runFleet(t *testing.T, size int, test func(g Gomega, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{g: NewWithT(t), platform: standin.New(standin.Options{}), daemons: map[membership.DaemonID]*daemon{}}
		ctx, cancel := context.WithCancel(t.Context())
		f.ctx = ctx
		f.operator = f.platform.Store(netip.MustParseAddr("127.0.1.200"))
		f.commit("change-1", 2)
		for i := range size {
			f.start(i)
		}
		f.waitAll(1, 10*time.Second)
		test(f.g, f)
		cancel()
		synctest.Wait()
	})
}

// commit declares one service whose upstreams have the given slots.
func (f *fleet) commit(id string, slots int) {
	text := fmt.Sprintf(`
deployment: hopkrans-hoeve
zones: [zone-1, zone-2, zone-3]
services:
  - {name: bindery, address: "127.2.1.1:8001", aim: connections}
upstreams:
  - {name: bindery-1, service: bindery, zone: zone-1, address: "127.1.1.51:9000", slots: %d}
`, slots)
	d, faults := declaration.Parse("test.yaml", []byte(text))
	f.g.Expect(faults).To(BeEmpty())
	f.commitDeclaration(id, d)
}

// start starts or restarts the i-th daemon with nothing but its settings.
func (f *fleet) start(i int) *daemon {
	zone := i%zones + 1
	id := membership.DaemonID(fmt.Sprintf("zone-%d-%d", zone, i/zones+1))
	ctx, cancel := context.WithCancel(f.ctx)
	d := &daemon{fleet: f, counters: telemetry.NewCounters(), stop: cancel, member: membership.Member{
		ID: id, Zone: fmt.Sprintf("zone-%d", zone), State: pb.MemberState_MEMBER_STATE_ALIVE,
	}}
	source := netip.AddrFrom4([4]byte{127, 0, byte(zone), byte(i/zones + 1)})
	d.Relay = relay.New(relay.Options{
		Self: id, Zone: d.member.Zone, Store: f.platform.Store(source), Viewer: d, Clients: d,
		Counters: d.counters, Logger: zerolog.Nop(),
	})
	d.Subscribe(func(_, current *config.Snapshot) {
		f.mu.Lock()
		defer f.mu.Unlock()
		d.inForce = append(d.inForce, installed{current.Generation(), time.Now()})
	})
	f.mu.Lock()
	f.daemons[id] = d
	f.refreshView()
	f.mu.Unlock()
	go func() { _ = d.Run(ctx) }()
	go d.probe(ctx)
	return d
}

// View implements membership.Viewer: everyone knows everyone.
func (d *daemon) View() *membership.View {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.fleet.view
}

// refreshView rebuilds the common view; f.mu is held.
func (f *fleet) refreshView() {
	f.view = &membership.View{}
	for _, d := range f.daemons {
		f.view.Members = append(f.view.Members, d.member)
	}
	slices.SortFunc(f.view.Members, func(a, b membership.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// Client implements peer.Clients.
func (d *daemon) Client(id membership.DaemonID) (fulmarfieldv1connect.PeerServiceClient, error) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	other, ok := d.fleet.daemons[id]
	if !ok {
		return nil, peer.ErrUnknownPeer
	}
	return client{from: d, to: other}, nil
}

// isCutFrom reports whether no packet passes between two daemons; f.mu is held.
func (d *daemon) isCutFrom(other *daemon) bool {
	cut := d.fleet.cutZone
	return cut != "" && (d.member.Zone == cut) != (other.member.Zone == cut)
}

// probe exchanges generations with a random daemon, as membership does.
func (d *daemon) probe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval/2 + rand.N(probeInterval)):
		}
		d.fleet.mu.Lock()
		other := d.fleet.daemons[d.fleet.view.Members[rand.N(len(d.fleet.view.Members))].ID]
		silent := d.fleet.noProbes || other != nil && d.isCutFrom(other)
		d.fleet.mu.Unlock()
		if other != d && !silent {
			other.OnPeerGeneration(d.member.ID, d.Current().Generation())
			d.OnPeerGeneration(other.member.ID, other.Current().Generation())
		}
	}
}

type client struct {
	fulmarfieldv1connect.PeerServiceClient
	from, to *daemon
}

var errStopped = errors.New("daemon is stopped")

func (c client) GetConfiguration(ctx context.Context, r *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	if err := c.hop(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(c.to.HandleGet(r.Msg)), nil
}

func (c client) PushConfiguration(ctx context.Context, r *connect.Request[pb.PushConfigurationRequest]) (*connect.Response[pb.PushConfigurationResponse], error) {
	if err := c.hop(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(c.to.HandlePush(r.Msg)), nil
}

// hop takes the time of a call; a call to a daemon that is cut off is never answered.
func (c client) hop(ctx context.Context) error {
	f := c.to.fleet
	f.mu.Lock()
	latency := peerLatency
	if c.from.isCutFrom(c.to) {
		latency = time.Hour
	}
	stopped := f.daemons[c.to.member.ID] != c.to || f.noCalls
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(latency):
	}
	if stopped {
		return errStopped
	}
	return nil
}

// kill stops a daemon and takes it out of the view.
func (f *fleet) kill(id membership.DaemonID) {
	f.mu.Lock()
	d := f.daemons[id]
	delete(f.daemons, id)
	f.refreshView()
	f.mu.Unlock()
	d.stop()
}

func (f *fleet) all() []*daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*daemon
	for _, d := range f.daemons {
		all = append(all, d)
	}
	return all
}

// waitAll waits until the generation is in force everywhere and returns the time that took.
func (f *fleet) waitAll(generation uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for {
		behind := 0
		for _, d := range f.all() {
			if d.Current().Generation() < generation {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start)
		}
		f.g.Expect(time.Since(start)).To(BeNumerically("<", limit), "%d daemons are behind", behind)
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) silenceProbes(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noProbes = on
}

// sum adds a counter up over the fleet.
func (f *fleet) sum(counter string) int64 {
	sum := int64(0)
	for _, d := range f.all() {
		sum += d.counters.Get(counter)
	}
	return sum
}

func (f *fleet) watchers() int {
	n := 0
	for _, d := range f.all() {
		if d.IsWatcher() {
			n++
		}
	}
	return n
}
