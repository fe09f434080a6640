package experiment

import (
	"context"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

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

// forwarder sends each packet that a Steerer forwards to one address. It acts as daemon "a", which holds all
// resources.
type forwarder struct {
	snapshot *config.Snapshot
	conn     wire.Conn
	to       netip.AddrPort
}

func (p *forwarder) Current() *config.Snapshot                        { return p.snapshot }
func (p *forwarder) Subscribe(func(_, _ *config.Snapshot))            {}
func (p *forwarder) ToAdmission(_, _ uint32, raw []byte)              { _ = p.conn.Send(p.to, raw) }
func (p *forwarder) ToCaller(*pb.Packet)                              {}
func (p *forwarder) Send(membership.DaemonID, *pb.PeerDatagram) error { return nil }
func (p *forwarder) Route(ownership.Resource) (membership.DaemonID, bool, bool) {
	return "a", true, true
}
func (p *forwarder) Successor(ownership.Resource) (membership.DaemonID, bool) { return "", false }
func (p *forwarder) PreviousHolders(ownership.Resource) []membership.DaemonID { return nil }

func listen(b *testing.B) wire.Conn {
	c, err := wire.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

// relay calls f with each received datagram until the connection is closed.
func relay(c wire.Conn, f func(data []byte)) {
	batch := make([]wire.Datagram, 32)
	for {
		n, err := c.ReadBatch(batch)
		if err != nil {
			return
		}
		for _, d := range batch[:n] {
			f(d.Data)
		}
	}
}

// relayGathered is like relay, but sends as a daemon does: the datagrams that f sends on the given
// connections while it handles a batch are sent in one system call.
func relayGathered(c wire.Conn, out []wire.Conn, f func(data []byte)) {
	batch := make([]wire.Datagram, 64)
	for {
		n, err := c.ReadBatch(batch)
		if err != nil {
			return
		}
		if n == 1 {
			f(batch[0].Data)
			continue
		}
		wire.Gather(out, func() {
			for _, d := range batch[:n] {
				f(d.Data)
			}
		})
	}
}

// benchmarkPackets returns a packet of each of n flows.
func benchmarkPackets(n int) [][]byte {
	raws := make([][]byte, n)
	for i := range raws {
		raws[i], _ = wire.EncodePacket(&pb.Packet{Flow: wire.FlowKey{CallerIP: 0x7f090001, CallerPort: uint16(1024 + i),
			ServiceIP: serviceIP, ServicePort: servicePort}.Proto(), Kind: pb.Kind_KIND_DATA, Payload: make([]byte, 200)})
	}
	return raws
}

// sendThroughRelay sends n datagrams through a relay to the sink, with at most 64 in flight, and returns the
// time that this takes.
func sendThroughRelay(b *testing.B, through netip.AddrPort, sink wire.Conn, n int) time.Duration {
	const window = 64
	source := listen(b)
	credit := make(chan struct{}, window)
	for range window {
		credit <- struct{}{}
	}
	go relay(sink, func([]byte) {
		select {
		case credit <- struct{}{}:
		default:
		}
	})
	raws := benchmarkPackets(1000)
	start := time.Now()
	for i := range n {
		select {
		case <-credit:
		case <-time.After(50 * time.Millisecond): // A datagram was lost.
		}
		_ = source.Send(through, raws[i%len(raws)])
	}
	return time.Since(start)
}

// benchmarkService returns the service of the benchmarks.
func benchmarkService() *pb.Service {
	s := &pb.Service{Number: serviceNumber, Address: "127.2.1.1:8001"}
	for i := range uint32(15) {
		s.Upstreams = append(s.Upstreams, &pb.Upstream{Number: i + 1, Weight: 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 0, byte(i)}), 9000).String()})
	}
	return s
}

// newBenchmarkSteerer returns a Steerer that holds all partitions and sends packets from conn to one
// address.
func newBenchmarkSteerer(conn wire.Conn, to netip.AddrPort) *steering.Steerer {
	p := &forwarder{conn: conn, to: to,
		snapshot: config.NewSnapshot(&pb.Configuration{Generation: 1, Services: []*pb.Service{benchmarkService()}})}
	steerer := steering.New(steering.Options{Config: p, Router: p, Sender: p, Output: p, Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
	for _, r := range allPartitions() {
		steerer.Activate(r, nil, ownership.Fresh)
	}
	return steerer
}

// steerRaw calls the Steerer with a serialized packet.
func steerRaw(s *steering.Steerer, data []byte) {
	if h, err := wire.ParseHeader(data); err == nil {
		s.HandleCaller(h, data)
	}
}

// newBenchmarkMessenger returns the messenger of one of the daemons "a" and "b".
func newBenchmarkMessenger(b *testing.B, id membership.DaemonID, conn wire.Conn,
	peers map[membership.DaemonID]netip.AddrPort, out wire.Conn) *peer.Messenger {
	view := &membership.View{}
	for _, other := range []membership.DaemonID{"a", "b"} {
		view.Members = append(view.Members, membership.Member{ID: other, PeerAddress: peers[other], Incarnation: 1, State: pb.MemberState_MEMBER_STATE_ALIVE})
	}
	m := peer.NewMessenger(peer.MessengerOptions{Self: id, Incarnation: func() uint64 { return 1 }, Key: []byte("key"), Conn: conn, Gather: []wire.Conn{out},
		Viewer: membership.ViewerFunc(func() *membership.View { return view }), Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = m.Run(ctx) }()
	return m
}

// Reports the packet rate of one daemon that receives, steers and forwards, and that of an ingress which
// forwards to the flow owner, as ratios to one bare UDP relay in the same run. The path through an ingress
// has two sockets, so two bare relays in a row are measured as well. The bare relays and "single-sends"
// make a system call for each datagram that they send.
func BenchmarkDaemonPath(b *testing.B) {
	const packets = 20_000
	var relayed, relayedTwice, steered, single, forwarded time.Duration
	for b.Loop() {
		bareSink, bare := listen(b), listen(b)
		go relay(bare, func(data []byte) { _ = bare.Send(bareSink.LocalAddr(), data) })
		sink, daemon := listen(b), listen(b)
		steerer := newBenchmarkSteerer(daemon, sink.LocalAddr())
		go relayGathered(daemon, []wire.Conn{daemon}, func(data []byte) { steerRaw(steerer, data) })
		singleSink, plain := listen(b), listen(b)
		plainSteerer := newBenchmarkSteerer(plain, singleSink.LocalAddr())
		go relay(plain, func(data []byte) { steerRaw(plainSteerer, data) })

		twoSink, first, second := listen(b), listen(b), listen(b)
		go relay(first, func(data []byte) { _ = first.Send(second.LocalAddr(), data) })
		go relay(second, func(data []byte) { _ = second.Send(twoSink.LocalAddr(), data) })

		ownerSink, ingress, out, peerA, peerB := listen(b), listen(b), listen(b), listen(b), listen(b)
		owner := newBenchmarkSteerer(out, ownerSink.LocalAddr())
		peers := map[membership.DaemonID]netip.AddrPort{"a": peerA.LocalAddr(), "b": peerB.LocalAddr()}
		ingressMessenger, ownerMessenger := newBenchmarkMessenger(b, "a", peerA, peers, nil),
			newBenchmarkMessenger(b, "b", peerB, peers, out)
		ownerMessenger.SetForwardHandler(
			func(_ membership.DaemonID, _ uint32, _ pb.ForwardRole, data []byte) { steerRaw(owner, data) })
		go relayGathered(ingress, []wire.Conn{peerA}, func(data []byte) {
			if _, err := wire.ParseHeader(data); err == nil {
				_ = ingressMessenger.SendForward("b", 1, pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER, data)
			}
		})

		relayed += sendThroughRelay(b, bare.LocalAddr(), bareSink, packets)
		steered += sendThroughRelay(b, daemon.LocalAddr(), sink, packets)
		single += sendThroughRelay(b, plain.LocalAddr(), singleSink, packets)
		forwarded += sendThroughRelay(b, ingress.LocalAddr(), ownerSink, packets)
		relayedTwice += sendThroughRelay(b, first.LocalAddr(), twoSink, packets)
	}
	b.ReportMetric(relayed.Seconds()/steered.Seconds(), "of-bare-relay")
	b.ReportMetric(relayed.Seconds()/single.Seconds(), "single-sends-of-bare-relay")
	b.ReportMetric(relayed.Seconds()/forwarded.Seconds(), "forwarded-of-bare-relay")
	b.ReportMetric(relayedTwice.Seconds()/forwarded.Seconds(), "forwarded-of-two-relays")
	b.ReportMetric(steered.Seconds()/forwarded.Seconds(), "forwarded-of-local")
	b.ReportMetric(float64(packets)*float64(b.N)/steered.Seconds(), "packets/s")
}

// packetsPerStep is the number of packets that are queued in a socket before one step reads them. They fit
// in the kernel's default receive buffer.
const packetsPerStep = 96

// measuredPath is one of the ways to handle packets whose processor times are compared.
type measuredPath struct {
	conn, sink wire.Conn
	handle     func(data []byte)
	usesGather bool
	cpuTime    time.Duration
}

// threadCPUTime returns the processor time of this thread. Wall-clock time would include the work of other
// processes on a busy machine.
func threadCPUTime() time.Duration {
	const rusageThread = 1 // RUSAGE_THREAD, which package syscall does not name
	var usage syscall.Rusage
	if syscall.Getrusage(rusageThread, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// step sends packets to the path and measures the processor time in which it reads, handles and forwards
// them.
func (p *measuredPath) step(source wire.Conn, raws [][]byte, batch []wire.Datagram) {
	for _, raw := range raws {
		_ = source.Send(p.conn.LocalAddr(), raw)
	}
	start := threadCPUTime()
	for left := len(raws); left > 0; {
		n, err := p.conn.ReadBatch(batch)
		if err != nil {
			return
		}
		left -= n
		all := func() {
			for _, d := range batch[:n] {
				p.handle(d.Data)
			}
		}
		if p.usesGather {
			wire.Gather([]wire.Conn{p.conn}, all)
		} else {
			all()
		}
	}
	p.cpuTime += threadCPUTime() - start
	for left := len(raws); left > 0; {
		n, err := p.sink.ReadBatch(batch)
		if err != nil {
			return
		}
		left -= n
	}
}

// Reports the packet rate of one thread that reads, steers and forwards packets of known flows, by its
// processor time, as ratios to that of a thread which only reads and forwards. Each is measured with a
// system call for each datagram sent and with one for a batch of datagrams. The variants take turns.
func BenchmarkOneCore(b *testing.B) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	raws := benchmarkPackets(packetsPerStep)
	source := listen(b)
	paths := make([]*measuredPath, 4)
	for i := range paths {
		p := &measuredPath{conn: listen(b), sink: listen(b), usesGather: i%2 == 1}
		p.handle = func(data []byte) { _ = p.conn.Send(p.sink.LocalAddr(), data) }
		if i >= 2 {
			steerer := newBenchmarkSteerer(p.conn, p.sink.LocalAddr())
			p.handle = func(data []byte) { steerRaw(steerer, data) }
		}
		paths[i] = p
	}
	batch := make([]wire.Datagram, 64)
	n := 0
	for b.Loop() {
		n++
		for _, p := range paths {
			p.step(source, raws, batch)
		}
	}
	bare := paths[0].cpuTime.Seconds()
	b.ReportMetric(bare/paths[2].cpuTime.Seconds(), "single-sends-of-bare-relay")
	b.ReportMetric(bare/paths[3].cpuTime.Seconds(), "gathered-of-bare-relay")
	b.ReportMetric(bare/paths[1].cpuTime.Seconds(), "bare-gathered-of-bare-relay")
	b.ReportMetric(float64(n*packetsPerStep)/paths[3].cpuTime.Seconds(), "packets/s")
}
