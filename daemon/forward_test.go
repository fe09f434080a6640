package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/steering"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// forwardingDaemon provides the dependencies of one of two daemons. Daemon "a" holds no resources and
// forwards all packets to daemon "b", which holds all resources.
type forwardingDaemon struct {
	id       membership.DaemonID
	snapshot *config.Snapshot
	// steeredPackets counts the packets that leave the flow owner.
	steeredPackets int
}

func (f *forwardingDaemon) Current() *config.Snapshot             { return f.snapshot }
func (f *forwardingDaemon) Subscribe(func(_, _ *config.Snapshot)) {}
func (f *forwardingDaemon) Route(ownership.Resource) (membership.DaemonID, bool, bool) {
	return "b", f.id == "b", true
}
func (f *forwardingDaemon) Successor(ownership.Resource) (membership.DaemonID, bool) {
	return "", false
}
func (f *forwardingDaemon) PreviousHolders(ownership.Resource) []membership.DaemonID { return nil }
func (f *forwardingDaemon) Send(membership.DaemonID, *pb.PeerDatagram) error         { return nil }
func (f *forwardingDaemon) ToAdmission(_, _ uint32, _ []byte)                        { f.steeredPackets++ }
func (f *forwardingDaemon) ToCaller(*pb.Packet)                                      {}

// loopConn returns the datagram of the last Send from ReadBatch. ReadBatch first calls next, which
// sends the next datagram, so that both daemons run in one goroutine.
type loopConn struct {
	wire.Conn
	sendNext func() bool
	last     []byte
}

func (c *loopConn) Send(_ netip.AddrPort, data []byte) error {
	c.last = append(c.last[:0], data...)
	return nil
}

func (c *loopConn) ReadBatch(ds []wire.Datagram) (int, error) {
	if !c.sendNext() {
		return 0, wire.ErrClosed
	}
	ds[0] = wire.Datagram{Data: c.last}
	return 1, nil
}

func (c *loopConn) Close() error { return nil }

// benchFlows is the number of flows of the benchmark.
const benchFlows = 10_000

// benchPackets returns one data packet for each flow.
func benchPackets() [][]byte {
	raws := make([][]byte, benchFlows)
	for i := range raws {
		key, _ := wire.NewFlowKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, 1}), uint16(1024+i)), netip.MustParseAddrPort("127.2.1.1:8001"))
		raws[i], _ = wire.EncodePacket(&pb.Packet{Flow: key.Proto(), Kind: pb.Kind_KIND_DATA, Payload: make([]byte, 200)})
	}
	return raws
}

// benchDaemon returns the dispatcher and the messenger of a daemon with its dependencies. The steerer of
// daemon "b" has records of the flows of benchPackets.
func benchDaemon(id membership.DaemonID, conn wire.Conn) (*forwardingDaemon, *dispatcher, *peer.Messenger) {
	s := &pb.Service{Number: 1, Address: "127.2.1.1:8001"}
	for i := range uint32(15) {
		s.Upstreams = append(s.Upstreams, &pb.Upstream{Number: i + 1, Weight: 1, Address: fmt.Sprintf("127.1.1.%d:9000", i+1)})
	}
	f := &forwardingDaemon{id: id, snapshot: config.NewSnapshot(&pb.Configuration{Generation: 1, Services: []*pb.Service{s}})}
	counters := telemetry.NewCounters()
	view := &membership.View{Members: []membership.Member{
		{ID: "a", PeerAddress: netip.MustParseAddrPort("127.1.0.1:7400"), Incarnation: 5, State: pb.MemberState_MEMBER_STATE_ALIVE},
		{ID: "b", PeerAddress: netip.MustParseAddrPort("127.1.0.2:7400"), Incarnation: 5, State: pb.MemberState_MEMBER_STATE_ALIVE},
	}}
	messenger := peer.NewMessenger(peer.MessengerOptions{Self: id, Incarnation: func() uint64 { return 5 }, Key: []byte("cluster key"),
		Conn: conn, Viewer: membership.ViewerFunc(func() *membership.View { return view }), Counters: counters, Logger: zerolog.Nop()})
	steerer := steering.New(steering.Options{Config: f, Router: f, Sender: f, Output: f, Counters: counters, Logger: zerolog.Nop()})
	d := &dispatcher{config: f, router: f, forwarder: messenger, steerer: steerer, counters: counters}
	messenger.SetForwardHandler(d.handleForwarded)
	if id == "b" {
		for i := range uint32(ownership.PartitionCount) {
			steerer.Activate(ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: 1, Index: i}, nil, ownership.Fresh)
		}
		for _, raw := range benchPackets() {
			h, _ := wire.ParseHeader(raw)
			h.Kind = pb.Kind_KIND_OPEN
			steerer.HandleCaller(h, raw)
		}
		f.steeredPackets = 0
	}
	return f, d, messenger
}

// Measures the processor time of a packet of a recorded flow without sockets: steered at the daemon
// that receives it, and forwarded to its owner (envelope, MAC, replay window, dispatch) and steered
// there.
func BenchmarkForward(b *testing.B) {
	raws := benchPackets()
	local := 0.0
	b.Run("local", func(b *testing.B) {
		_, d, _ := benchDaemon("b", &loopConn{})
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			d.handleIngress(raws[i%benchFlows])
		}
		local = float64(b.Elapsed()) / float64(b.N)
	})
	b.Run("forwarded", func(b *testing.B) {
		conn := &loopConn{}
		_, a, _ := benchDaemon("a", conn)
		f, _, owner := benchDaemon("b", conn)
		sent := 0
		conn.sendNext = func() bool {
			if !b.Loop() {
				return false
			}
			a.handleIngress(raws[sent%benchFlows])
			sent++
			return true
		}
		b.ReportAllocs()
		if err := owner.Run(context.Background()); err != nil || f.steeredPackets != sent {
			b.Fatalf("%d of %d packets arrived: %v", f.steeredPackets, sent, err)
		}
		b.ReportMetric(float64(b.Elapsed())/float64(b.N)/local, "of-local")
	})
}
