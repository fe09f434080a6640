package steering

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

const testService = 7

// cluster connects the Steerers of several daemons by a network that can lose datagrams, and serves
// one configuration to them.
type cluster struct {
	g       *WithT
	mu      sync.Mutex
	current atomic.Pointer[config.Snapshot]
	subs    []func(previous, current *config.Snapshot)
	daemons map[membership.DaemonID]*daemon
	isLost  func(from, to membership.DaemonID, m *pb.PeerDatagram) bool
}

// daemon is a Steerer together with stand-ins for its router, sender and output. It records the
// upstreams to which packets were forwarded, and the packets sent to callers.
type daemon struct {
	*Steerer
	cluster         *cluster
	id              membership.DaemonID
	successor       membership.DaemonID
	previousHolders []membership.DaemonID
	sent            []uint32
	toCaller        []*pb.Packet
}

func (c *cluster) Current() *config.Snapshot { return c.current.Load() }

func (c *cluster) Subscribe(f func(previous, current *config.Snapshot)) { c.subs = append(c.subs, f) }

// declare commits a new generation of the only service and adds the current upstream set to its
// history.
func (c *cluster) declare(change func(s *pb.Service)) {
	old := c.Current()
	s := &pb.Service{Number: testService, Name: "bindery", Address: "127.2.1.1:8001",
		// The bound is so high that only notices divert a flow, unless a test sets another bound.
		Limits: &pb.Limits{LoadBoundPercent: 1000}}
	if before, ok := old.Service(testService); ok {
		s = cloneService(before)
		version := &pb.TableVersion{Generation: s.TableGeneration, SinceMs: s.TableSinceMs}
		for _, t := range activeTargets(s) {
			version.Entries = append(version.Entries, &pb.TableEntry{Upstream: t.upstream, Weight: t.weight})
		}
		s.Previous = append([]*pb.TableVersion{version}, s.Previous...)
	}
	s.TableGeneration, s.TableSinceMs = old.Generation()+1, time.Now().UnixMilli()
	change(s)
	next := config.NewSnapshot(&pb.Configuration{Generation: old.Generation() + 1, LastUpstreamNumber: 100, Services: []*pb.Service{s}})
	c.current.Store(next)
	for _, f := range c.subs {
		f(old, next)
	}
}

func (n *daemon) Route(ownership.Resource) (membership.DaemonID, bool, bool) { return n.id, true, true }
func (n *daemon) Successor(ownership.Resource) (membership.DaemonID, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.successor, n.successor != ""
}
func (n *daemon) PreviousHolders(ownership.Resource) []membership.DaemonID { return n.previousHolders }

func (n *daemon) Send(to membership.DaemonID, m *pb.PeerDatagram) error {
	n.cluster.mu.Lock()
	lost := n.cluster.isLost != nil && n.cluster.isLost(n.id, to, m)
	n.cluster.mu.Unlock()
	if lost {
		return nil
	}
	time.AfterFunc(500*time.Microsecond, func() {
		if target := n.cluster.daemons[to]; target != nil {
			target.HandlePeer(n.id, m)
		}
	})
	return nil
}

func (n *daemon) ToAdmission(service, upstream uint32, raw []byte) {
	h, err := wire.ParseHeader(raw)
	n.cluster.g.Expect(err).NotTo(HaveOccurred())
	n.cluster.g.Expect([]uint32{h.Service, h.Upstream}).To(Equal([]uint32{service, upstream}))
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.sent = append(n.sent, upstream)
}

func (n *daemon) ToCaller(p *pb.Packet) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.toCaller = append(n.toCaller, p)
}

// takeOutput returns and clears the recorded output of the daemon.
func (n *daemon) takeOutput() ([]uint32, []*pb.Packet) {
	synctest.Wait()
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	sent, toCaller := n.sent, n.toCaller
	n.sent, n.toCaller = nil, nil
	return sent, toCaller
}

// runInCluster runs f in virtual time with the daemons "a" (active for every partition), "b" (its
// successor) and "c", and a service with the given number of upstreams, numbered from 1.
func runInCluster(t *testing.T, upstreams int, f func(g *WithT, c *cluster, a, b *daemon)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, stop := newCluster(g, upstreams)
		defer stop()
		f(g, c, c.daemons["a"], c.daemons["b"])
	})
}

func newCluster(g *WithT, upstreams int) (c *cluster, stop func()) {
	c = &cluster{g: g, daemons: map[membership.DaemonID]*daemon{}}
	c.current.Store(config.NewSnapshot(&pb.Configuration{}))
	c.declare(func(s *pb.Service) {
		for i := range upstreams {
			s.Upstreams = append(s.Upstreams, testUpstream(uint32(i+1)))
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	for _, id := range []membership.DaemonID{"a", "b", "c"} {
		n := &daemon{cluster: c, id: id}
		n.Steerer = New(Options{Config: c, Router: n, Sender: n, Output: n,
			Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
		c.daemons[id] = n
		go func() { _ = n.Run(ctx) }()
	}
	c.daemons["a"].successor, c.daemons["b"].successor, c.daemons["c"].successor = "b", "c", "a"
	c.daemons["a"].activate(nil, ownership.Fresh)
	return c, func() {
		cancel()
		synctest.Wait()
	}
}

func (n *daemon) changeSuccessor(successor membership.DaemonID) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.successor = successor
}

// sendNotice delivers a notice of the state of an upstream to the daemon.
func (n *daemon) sendNotice(upstream uint32, state pb.UpstreamState) {
	n.HandlePeer("c", &pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{
		UpstreamNotice: &pb.UpstreamNotice{Service: testService, Upstream: upstream, State: state}}})
}

// flowsHashedTo returns the first count flow numbers whose bucket is assigned to the given upstream.
func (n *daemon) flowsHashedTo(upstream uint32, count int) (found []int) {
	for i := 0; len(found) < count; i++ {
		if n.Explain(testFlow(i)).BucketUpstream == upstream {
			found = append(found, i)
		}
	}
	return found
}

func (n *daemon) activate(records []*pb.ResourceRecords, p ownership.Provenance) {
	for i := range uint32(ownership.PartitionCount) {
		r := ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: testService, Index: i}
		var initial *pb.ResourceRecords
		if records != nil {
			initial = records[i]
		}
		n.Activate(r, initial, p)
	}
}

func (n *daemon) release() (records []*pb.ResourceRecords) {
	for i := range uint32(ownership.PartitionCount) {
		r := ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: testService, Index: i}
		records = append(records, n.Release(r))
	}
	return records
}

// steerPacket passes one packet of flow number i to the daemon and returns the upstream to which it
// was forwarded within d, or the reason of the reset.
func (n *daemon) steerPacket(i int, kind pb.Kind, d time.Duration) (upstream uint32, reason pb.Reason) {
	k := testFlow(i)
	raw, err := wire.EncodePacket(&pb.Packet{Flow: k.Proto(), Kind: kind})
	n.cluster.g.Expect(err).NotTo(HaveOccurred())
	n.takeOutput()
	n.HandleCaller(wire.Header{Flow: k, Kind: kind}, raw)
	if d > 0 {
		time.Sleep(d)
	}
	synctest.Wait()
	sent, toCaller := n.takeOutput()
	for _, u := range sent {
		upstream = u
	}
	for _, p := range toCaller {
		if p.Kind == pb.Kind_KIND_RESET && wire.FlowKeyFromProto(p.Flow) == k {
			reason = p.Reason
		}
	}
	return upstream, reason
}

// testFlow returns the key of flow number i.
func testFlow(i int) wire.FlowKey {
	return wire.FlowKey{CallerIP: 0x7f090000 + uint32(i>>15), CallerPort: uint16(i&0x7fff) + 1024,
		ServiceIP: 0x7f020101, ServicePort: 8001}
}

func testUpstream(number uint32) *pb.Upstream {
	return &pb.Upstream{Number: number, Name: fmt.Sprintf("u%d", number), Slots: 2, Weight: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(number >> 8), byte(number)}), 9000).String()}
}

func drain(number uint32) func(s *pb.Service) {
	return func(s *pb.Service) {
		for _, u := range s.Upstreams {
			if u.Number == number {
				u.State, u.DrainingSinceMs = pb.DeclaredState_DECLARED_STATE_DRAINING, time.Now().UnixMilli()
			}
		}
	}
}

func undrain(number uint32) func(s *pb.Service) {
	return func(s *pb.Service) {
		for _, u := range s.Upstreams {
			if u.Number == number {
				u.State, u.DrainingSinceMs = pb.DeclaredState_DECLARED_STATE_ACTIVE, 0
			}
		}
	}
}

func removeUpstream(number uint32) func(s *pb.Service) {
	return func(s *pb.Service) {
		s.Upstreams = slices.DeleteFunc(s.Upstreams, func(u *pb.Upstream) bool { return u.Number == number })
	}
}

func cloneService(s *pb.Service) *pb.Service { return proto.Clone(s).(*pb.Service) }
