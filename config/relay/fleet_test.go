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

// fleet runs relays in three zones in virtual time, with simulated probes and calls between them.
type fleet struct {
	g        Gomega
	ctx      context.Context
	platform *standin.Platform
	operator *standin.Store

	mu      sync.Mutex
	daemons map[membership.DaemonID]*daemon
	view    *membership.View
	// isolatedZone is partitioned from the other zones; "" for no zone.
	isolatedZone string
	// noProbes and noCalls disable all probes and all calls between daemons.
	noProbes, noCalls bool
}

// daemon is a relay with its simulated membership view and peers.
type daemon struct {
	*relay.Relay
	fleet    *fleet
	member   membership.Member
	counters *telemetry.Counters
	stop     context.CancelFunc
	// installs lists the generations that came into force, in order.
	installs []installEvent
}

// installEvent is the time at which a generation came into force on a daemon.
type installEvent struct {
	generation uint64
	at         time.Time
}

// runWithFleet runs a test with a fleet of the given size in which generation 1 is in force.
func runWithFleet(t *testing.T, size int, test func(g Gomega, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{g: NewWithT(t), platform: standin.New(standin.Options{}), daemons: map[membership.DaemonID]*daemon{}}
		ctx, cancel := context.WithCancel(t.Context())
		f.ctx = ctx
		f.operator = f.platform.Store(netip.MustParseAddr("127.0.1.200"))
		f.commit("change-1", 2)
		for i := range size {
			f.startDaemon(i)
		}
		f.waitForGeneration(1, 10*time.Second)
		test(f.g, f)
		cancel()
		synctest.Wait()
	})
}

// commit commits a declaration of one service with one upstream that has the given slots.
func (f *fleet) commit(id string, slots int) {
	text := fmt.Sprintf(`
deployment: hopkrans-hoeve
zones: [zone-1, zone-2, zone-3]
services:
  - {name: bindery, address: "127.2.1.1:8001", aim: connections}
upstreams:
  - {name: bindery-1, service: bindery, zone: zone-1, address: "127.1.1.51:9000", slots: %d}
`, slots)
	d, errs := declaration.Parse("test.yaml", []byte(text))
	f.g.Expect(errs).To(BeEmpty())
	f.commitDeclaration(id, d)
}

// startDaemon starts or restarts the i-th daemon, without a configuration.
func (f *fleet) startDaemon(i int) *daemon {
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
		d.installs = append(d.installs, installEvent{current.Generation(), time.Now()})
	})
	f.mu.Lock()
	f.daemons[id] = d
	f.refreshView()
	f.mu.Unlock()
	go func() { _ = d.Run(ctx) }()
	go d.runProbes(ctx)
	return d
}

// View implements membership.Viewer. All daemons have the same view.
func (d *daemon) View() *membership.View {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.fleet.view
}

// refreshView rebuilds the common view. The caller holds f.mu.
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

// isPartitionedFrom reports whether two daemons cannot reach each other. The caller holds the mutex of
// the fleet.
func (d *daemon) isPartitionedFrom(other *daemon) bool {
	isolated := d.fleet.isolatedZone
	return isolated != "" && (d.member.Zone == isolated) != (other.member.Zone == isolated)
}

// runProbes exchanges generations with randomly chosen daemons, like the probes of package membership.
func (d *daemon) runProbes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval/2 + rand.N(probeInterval)):
		}
		d.fleet.mu.Lock()
		other := d.fleet.daemons[d.fleet.view.Members[rand.N(len(d.fleet.view.Members))].ID]
		noProbe := d.fleet.noProbes || other != nil && d.isPartitionedFrom(other)
		d.fleet.mu.Unlock()
		if other != d && !noProbe {
			other.OnPeerGeneration(d.member.ID, d.Current().Generation())
			d.OnPeerGeneration(other.member.ID, other.Current().Generation())
		}
	}
}

// client is the simulated connection from one daemon to another.
type client struct {
	fulmarfieldv1connect.PeerServiceClient
	from, to *daemon
}

var errStopped = errors.New("daemon is stopped")

func (c client) GetConfiguration(ctx context.Context, r *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	if err := c.simulateCall(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(c.to.HandleGet(r.Msg)), nil
}

func (c client) PushConfiguration(ctx context.Context, r *connect.Request[pb.PushConfigurationRequest]) (*connect.Response[pb.PushConfigurationResponse], error) {
	if err := c.simulateCall(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(c.to.HandlePush(r.Msg)), nil
}

// simulateCall waits for the latency of a call. A call to a partitioned daemon takes an hour, so that
// the context ends it.
func (c client) simulateCall(ctx context.Context) error {
	f := c.to.fleet
	f.mu.Lock()
	latency := peerLatency
	if c.from.isPartitionedFrom(c.to) {
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

// killDaemon stops a daemon and removes it from the view.
func (f *fleet) killDaemon(id membership.DaemonID) {
	f.mu.Lock()
	d := f.daemons[id]
	delete(f.daemons, id)
	f.refreshView()
	f.mu.Unlock()
	d.stop()
}

// allDaemons returns the running daemons.
func (f *fleet) allDaemons() []*daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var allDaemons []*daemon
	for _, d := range f.daemons {
		allDaemons = append(allDaemons, d)
	}
	return allDaemons
}

// waitForGeneration waits until at least the generation is in force on all daemons and returns how long
// that took. It fails the test after the limit.
func (f *fleet) waitForGeneration(generation uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for {
		behind := 0
		for _, d := range f.allDaemons() {
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

func (f *fleet) setProbesDisabled(disabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noProbes = disabled
}

// sum returns the sum of a counter over all daemons.
func (f *fleet) sum(counter string) int64 {
	sum := int64(0)
	for _, d := range f.allDaemons() {
		sum += d.counters.Get(counter)
	}
	return sum
}

// countWatchers returns the number of daemons that watch the store.
func (f *fleet) countWatchers() int {
	n := 0
	for _, d := range f.allDaemons() {
		if d.IsWatcher() {
			n++
		}
	}
	return n
}
