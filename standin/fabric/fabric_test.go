package fabric_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/standin/fabric"
	"github.com/fulmarfield/fulmarfield/wire"
)

// No deployment uses zones 61 and 62, so the tests can run beside one.
var (
	service = netip.MustParseAddrPort("127.2.61.1:8001")
	daemonA = netip.MustParseAddrPort("127.0.61.1:7000")
	daemonB = netip.MustParseAddrPort("127.0.62.1:7000")
)

func startFabric(t *testing.T, services ...netip.AddrPort) *fabric.Fabric {
	t.Helper()
	f, err := fabric.Start(fabric.Config{
		Services: services, VMs: []netip.Addr{daemonA.Addr(), daemonB.Addr(), netip.MustParseAddr("127.0.61.51")}, Seed: 1, Log: zerolog.Nop(),
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = f.Close() })
	return f
}

func listen(t *testing.T, at netip.AddrPort) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func sendTo(t *testing.T, c *net.UDPConn, to netip.AddrPort, n int, data string) {
	t.Helper()
	for range n {
		_, err := c.WriteToUDPAddrPort([]byte(data), to)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	}
}

// countReceived counts the datagrams that arrive until none has arrived for 100 ms.
func countReceived(c *net.UDPConn) int {
	buffer := make([]byte, 2048)
	for n := 0; ; n++ {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, _, err := c.ReadFromUDPAddrPort(buffer); err != nil {
			return n
		}
	}
}

// Guards against a fabric that prefers one balancer, or sends to a balancer that was removed from the
// list or has weight 0.
func TestDatagramsSpreadOverListedBalancers(t *testing.T) {
	g := NewWithT(t)
	f := startFabric(t, service)
	a, b := listen(t, daemonA), listen(t, daemonB)
	caller := listen(t, netip.MustParseAddrPort("127.9.61.1:0"))
	f.AddDaemon(daemonA, 1)
	f.AddDaemon(daemonB, 1)
	sendTo(t, caller, service, 200, "x")
	countA := countReceived(a)
	g.Expect(countA).To(BeNumerically("~", 100, 40))
	g.Expect(countReceived(b)).To(Equal(200 - countA))
	f.AddDaemon(daemonB, 0)
	sendTo(t, caller, service, 50, "x")
	g.Expect(countReceived(b)).To(BeZero())
	g.Expect(countReceived(a)).To(Equal(50))
	f.RemoveDaemon(daemonA)
	sendTo(t, caller, service, 10, "x")
	g.Expect(countReceived(a)).To(BeZero())
	g.Eventually(func() int64 { return f.Counters().Get("drop.no_daemon") }).Should(BeEquivalentTo(10))
}

// Guards against a relay that hides the sender's address, and against a cut that passes datagrams or
// also affects other paths.
func TestCutStopsOnlyItsPath(t *testing.T) {
	g := NewWithT(t)
	f := startFabric(t)
	a, b := listen(t, daemonA), listen(t, daemonB)
	toB := netip.MustParseAddrPort("127.1.62.1:7000")
	sendTo(t, a, toB, 1, "x")
	buffer := make([]byte, 16)
	g.Expect(b.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	_, from, err := b.ReadFromUDPAddrPort(buffer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(from).To(Equal(netip.MustParseAddrPort("127.1.61.1:7000")), "the receiver must see an address that it can reply to")
	f.CutZones(62, 61)
	sendTo(t, a, toB, 5, "x")
	g.Expect(countReceived(b)).To(BeZero())
	other := listen(t, netip.MustParseAddrPort("127.0.62.2:0"))
	sendTo(t, other, toB, 5, "x")
	g.Expect(countReceived(b)).To(Equal(5), "traffic within the zone is not cut")
	f.CutVM(daemonB.Addr())
	sendTo(t, other, toB, 5, "x")
	g.Expect(countReceived(b)).To(BeZero())
	f.HealAll()
	sendTo(t, a, toB, 5, "x")
	g.Expect(countReceived(b)).To(Equal(5))
}

// Guards against a fabric that has to be restarted after a daemon restarts, and against a cut that
// does not break open connections.
func TestTCPRelayAfterRestartAndCut(t *testing.T) {
	g := NewWithT(t)
	f := startFabric(t)
	relayed := "127.1.61.1:7002"
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 62, 1)}}
	dial := func() net.Conn {
		c, err := dialer.Dial("tcp4", relayed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.SetDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
		return c
	}
	// The relay accepts and then resets the connection. Dial returns an error if the reset arrives first.
	refused, err := dialer.Dial("tcp4", relayed)
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
	}
	g.Expect(err).To(HaveOccurred(), "nothing listens yet")
	for range 2 {
		l, err := net.Listen("tcp4", "127.0.61.1:7002")
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			if c, err := l.Accept(); err == nil {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}
		}()
		c := dial()
		_, err = c.Write([]byte("ping"))
		g.Expect(err).NotTo(HaveOccurred())
		echoed := make([]byte, 4)
		_, err = io.ReadFull(c, echoed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(echoed)).To(Equal("ping"))
		g.Expect(l.Close()).To(Succeed())
		f.CutZones(61, 62)
		_, err = c.Read(echoed)
		g.Expect(err).To(HaveOccurred())
		g.Expect(err).NotTo(MatchError(ContainSubstring("timeout")), "the cut must break the connection")
		f.HealZones(61, 62)
	}
}

func packet(t *testing.T, caller *net.UDPConn, kind pb.Kind) string {
	t.Helper()
	key, err := wire.NewFlowKey(caller.LocalAddr().(*net.UDPAddr).AddrPort(), service)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	raw, err := wire.EncodePacket(&pb.Packet{Flow: key.Proto(), Kind: kind})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// Guards against a half-open fault that also affects flows opened after it.
func TestBlackholeAffectsOnlyEstablishedFlows(t *testing.T) {
	g := NewWithT(t)
	f := startFabric(t, service)
	f.AddDaemon(daemonA, 1)
	daemon := listen(t, daemonA)
	upstream := listen(t, netip.MustParseAddrPort("127.0.61.51:9000"))
	toUpstream := netip.MustParseAddrPort("127.1.61.51:9000")
	before, after := listen(t, netip.MustParseAddrPort("127.9.61.1:0")), listen(t, netip.MustParseAddrPort("127.9.61.2:0"))
	sendTo(t, before, service, 1, packet(t, before, pb.Kind_KIND_OPEN))
	g.Expect(countReceived(daemon)).To(Equal(1))
	affected, err := f.Blackhole(1, fabric.HopUpstream, 1, service)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(affected).To(Equal(1))
	sendTo(t, after, service, 1, packet(t, after, pb.Kind_KIND_OPEN))
	sendTo(t, before, service, 1, packet(t, before, pb.Kind_KIND_REQUEST))
	g.Expect(countReceived(daemon)).To(Equal(2), "the black hole does not affect the hop from the caller")
	sendTo(t, daemon, toUpstream, 1, packet(t, before, pb.Kind_KIND_REQUEST))
	g.Expect(countReceived(upstream)).To(BeZero())
	sendTo(t, daemon, toUpstream, 1, packet(t, after, pb.Kind_KIND_REQUEST))
	g.Expect(countReceived(upstream)).To(Equal(1))
}

// Guards against shares that are not applied, and against duplication that omits a hop.
func TestLossDuplicationDelay(t *testing.T) {
	g := NewWithT(t)
	f := startFabric(t)
	a, b := listen(t, daemonA), listen(t, daemonB)
	upstream := listen(t, netip.MustParseAddrPort("127.0.61.51:9000"))
	toB := netip.MustParseAddrPort("127.1.62.1:7000")
	g.Expect(f.SetLoss(0.5)).To(Succeed())
	sendTo(t, a, toB, 200, "x")
	g.Expect(countReceived(b)).To(BeNumerically("~", 100, 40))
	f.HealAll()
	g.Expect(f.SetDuplication(1)).To(Succeed())
	sendTo(t, a, toB, 10, "x")
	g.Expect(countReceived(b)).To(Equal(20))
	sendTo(t, a, netip.MustParseAddrPort("127.1.61.51:9000"), 10, "x")
	g.Expect(countReceived(upstream)).To(Equal(20))
	f.HealAll()
	g.Expect(f.SetDelay(fabric.Delay{Share: 1, Min: 20 * time.Millisecond, Max: 40 * time.Millisecond})).To(Succeed())
	start := time.Now()
	sendTo(t, a, toB, 10, "x")
	g.Expect(countReceived(b)).To(Equal(10))
	g.Expect(time.Since(start)).To(BeNumerically(">=", 20*time.Millisecond))
	g.Expect(f.SetLoss(2)).To(MatchError(fabric.ErrBadShare))
}
