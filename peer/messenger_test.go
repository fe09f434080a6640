package peer_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

var (
	key          = []byte("cluster key")
	addrA        = netip.MustParseAddrPort("127.1.0.1:7400")
	addrB        = netip.MustParseAddrPort("127.1.0.2:7400")
	addrAttacker = netip.MustParseAddrPort("127.1.0.66:7400")
)

// testMessenger is a Messenger that records the datagrams that it receives.
type testMessenger struct {
	*peer.Messenger
	counters    *telemetry.Counters
	incarnation uint64
	received    []*pb.PeerDatagram
}

func testView() *membership.View {
	return &membership.View{Members: []membership.Member{
		{ID: "a", PeerAddress: addrA, Incarnation: 5, State: pb.MemberState_MEMBER_STATE_ALIVE},
		{ID: "b", PeerAddress: addrB, Incarnation: 5, State: pb.MemberState_MEMBER_STATE_ALIVE},
	}}
}

func newTestMessenger(t *testing.T, conn wire.Conn, id membership.DaemonID, key []byte) *testMessenger {
	t.Helper()
	s := &testMessenger{counters: telemetry.NewCounters(), incarnation: 5}
	s.Messenger = peer.NewMessenger(peer.MessengerOptions{
		Self: id, Incarnation: func() uint64 { return s.incarnation }, Key: key, Conn: conn,
		Viewer: membership.ViewerFunc(testView), Counters: s.counters,
	})
	s.SetHandler(func(_ membership.DaemonID, m *pb.PeerDatagram) { s.received = append(s.received, m) })
	return s
}

func newProbe() *pb.PeerDatagram {
	return &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{Nonce: 1}}}
}

// runWithNetwork runs f in virtual time with the messengers of the daemons a and b on one network.
func runWithNetwork(t *testing.T, f func(g *WithT, n *memnet.Network, a, b *testMessenger)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := memnet.New(nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		listen := func(id membership.DaemonID, addr netip.AddrPort) *testMessenger {
			conn, err := n.Listen(addr)
			g.Expect(err).NotTo(HaveOccurred())
			s := newTestMessenger(t, conn, id, key)
			go func() { _ = s.Run(ctx) }()
			return s
		}
		f(g, n, listen("a", addrA), listen("b", addrB))
	})
}

// Guards against a datagram that arrives without its header fields or is counted as another kind.
func TestSend(t *testing.T) {
	runWithNetwork(t, func(g *WithT, _ *memnet.Network, a, b *testMessenger) {
		g.Expect(a.Send("b", newProbe())).To(Succeed())
		g.Expect(a.SendForward("b", 2, pb.ForwardRole_FORWARD_ROLE_ANSWER, []byte("packet"))).To(Succeed())
		synctest.Wait()
		g.Expect(b.received).To(HaveLen(2))
		want := &pb.PeerDatagram{Sender: "a", Receiver: "b", Incarnation: 5, Sequence: 2,
			Body: &pb.PeerDatagram_Forward{Forward: &pb.Forward{Hops: 2, Role: pb.ForwardRole_FORWARD_ROLE_ANSWER, Packet: []byte("packet")}}}
		g.Expect(proto.Equal(b.received[1], want)).To(BeTrue(), "the fast path must encode as protobuf: %v", b.received[1])
		g.Expect(a.counters.Get("control.sent.probe")).To(BeNumerically(">", 28))
		g.Expect(b.counters.Get("control.received.probe")).To(Equal(a.counters.Get("control.sent.probe")))
		g.Expect(b.counters.Get("forward.received")).To(Equal(a.counters.Get("forward.sent")))
		g.Expect(a.counters.Get("control.sent.forward")).To(BeZero(), "a forward is not control traffic")

		g.Expect(a.Send("unknown", newProbe())).To(MatchError(peer.ErrUnknownPeer))
		large := &pb.PeerDatagram{Body: &pb.PeerDatagram_Forward{Forward: &pb.Forward{Packet: make([]byte, 3000)}}}
		g.Expect(a.Send("b", large)).To(MatchError(peer.ErrTooLarge))
		g.Expect(a.SendForward("b", 1, 1, make([]byte, 3000))).To(MatchError(peer.ErrTooLarge))
		g.Expect(a.SendForward("b", 1, 1, make([]byte, wire.MaxPacketBytes))).To(Succeed())
	})
}

// Guards against acting on a forged, replayed, misdirected or malformed datagram.
func TestReceiveRefuses(t *testing.T) {
	runWithNetwork(t, func(g *WithT, n *memnet.Network, a, b *testMessenger) {
		var captured []byte
		n.SetPolicy(func(_, _ netip.AddrPort, data []byte) []time.Duration {
			captured = append([]byte(nil), data...)
			return []time.Duration{0}
		})
		g.Expect(a.Send("b", newProbe())).To(Succeed())
		authentic := captured
		synctest.Wait()
		g.Expect(b.received).To(HaveLen(1))
		attacker, err := n.Listen(addrAttacker)
		g.Expect(err).NotTo(HaveOccurred())

		g.Expect(attacker.Send(addrB, authentic)).To(Succeed())
		g.Expect(attacker.Send(addrA, authentic)).To(Succeed())
		g.Expect(a.SendTo(addrB, "c", newProbe())).To(Succeed())
		g.Expect(newTestMessenger(t, attacker, "a", []byte("guessed")).Send("b", newProbe())).To(Succeed())
		g.Expect(attacker.Send(addrB, []byte("noise"))).To(Succeed())
		g.Expect(attacker.Send(addrB, wire.NewSealer(key).Seal(nil, []byte{0xff}))).To(Succeed())
		synctest.Wait()
		g.Expect(b.received).To(HaveLen(1))
		g.Expect(a.received).To(BeEmpty())
		g.Expect(b.counters.Get("drop.peer_replayed")).To(Equal(int64(1)))
		g.Expect(a.counters.Get("drop.peer_wrong_receiver")).To(Equal(int64(1)), "a reflected datagram")
		g.Expect(b.counters.Get("drop.peer_wrong_receiver")).To(Equal(int64(1)), "a datagram for a third daemon")
		g.Expect(b.counters.Get("drop.peer_forged")).To(Equal(int64(1)))
		g.Expect(b.counters.Get("drop.peer_malformed")).To(Equal(int64(2)))
	})
}

// Guards against a replayed datagram of an earlier incarnation of its sender that a restarted daemon
// accepts because its replay window is empty.
func TestReceiveRefusesOlderIncarnationThanView(t *testing.T) {
	runWithNetwork(t, func(g *WithT, _ *memnet.Network, a, b *testMessenger) {
		a.incarnation = 4
		g.Expect(a.Send("b", newProbe())).To(Succeed())
		a.incarnation = 6
		g.Expect(a.Send("b", newProbe())).To(Succeed())
		synctest.Wait()
		g.Expect(b.received).To(HaveLen(1))
		g.Expect(b.counters.Get("drop.peer_replayed")).To(Equal(int64(1)))
	})
}

// discardConn is a Conn that drops all datagrams sent on it.
type discardConn struct{ wire.Conn }

func (discardConn) Send(netip.AddrPort, []byte) error { return nil }

// Guards against an allocation for each forwarded packet.
func TestSendForwardDoesNotAllocate(t *testing.T) {
	if raceEnabled {
		t.Skip("sync.Pool drops items at random under the race detector")
	}
	g := NewWithT(t)
	v := testView()
	m := peer.NewMessenger(peer.MessengerOptions{
		Self: "a", Incarnation: func() uint64 { return 5 }, Key: key, Conn: discardConn{},
		Viewer: membership.ViewerFunc(func() *membership.View { return v }), Counters: telemetry.NewCounters(),
	})
	packet := make([]byte, 1400)
	g.Expect(testing.AllocsPerRun(200, func() { _ = m.SendForward("b", 1, 1, packet) })).To(BeZero())
}

// Guards against a forward whose fields the fast path decodes wrongly, and against a forward that
// reaches the handler of other datagrams, which allocates a protobuf message for each packet.
func TestReceiveForward(t *testing.T) {
	runWithNetwork(t, func(g *WithT, _ *memnet.Network, a, b *testMessenger) {
		var received []string
		b.SetForwardHandler(func(from membership.DaemonID, hops uint32, role pb.ForwardRole, packet []byte) {
			received = append(received, fmt.Sprintf("%s %d %v %s", from, hops, role, packet))
		})
		g.Expect(a.SendForward("b", 3, pb.ForwardRole_FORWARD_ROLE_ADMISSION, []byte("packet"))).To(Succeed())
		g.Expect(a.Send("b", newProbe())).To(Succeed())
		synctest.Wait()
		g.Expect(received).To(Equal([]string{"a 3 FORWARD_ROLE_ADMISSION packet"}))
		g.Expect(b.received).To(HaveLen(1), "datagrams of other kinds are passed to the function of SetHandler")
	})
}
