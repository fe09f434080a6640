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

// pathDaemon forwards what a Steerer decides to one address.
type pathDaemon struct {
	snapshot *config.Snapshot
	conn     wire.Conn
	to       netip.AddrPort
}

func (p *pathDaemon) Current() *config.Snapshot                        { return p.snapshot }
func (p *pathDaemon) Subscribe(func(_, _ *config.Snapshot))            {}
func (p *pathDaemon) ToAdmission(_, _ uint32, raw []byte)              { _ = p.conn.Send(p.to, raw) }
func (p *pathDaemon) ToCaller(*pb.Packet)                              {}
func (p *pathDaemon) Send(membership.DaemonID, *pb.PeerDatagram) error { return nil }
func (p *pathDaemon) Route(ownership.Resource) (membership.DaemonID, bool, bool) {
	return "a", true, true
}
func (p *pathDaemon) Successor(ownership.Resource) (membership.DaemonID, bool) { return "", false }
func (p *pathDaemon) PreviousHolders(ownership.Resource) []membership.DaemonID { return nil }

func listen(b *testing.B) wire.Conn {
	c, err := wire.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

// relay hands each datagram to f until the connection is closed.
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

// gather is relay as a daemon reads: what f sends on the connections goes out together.
func gather(c wire.Conn, out []wire.Conn, f func(data []byte)) {
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

// pathPackets returns a packet of each of n flows.
func pathPackets(n int) [][]byte {
	raws := make([][]byte, n)
	for i := range raws {
		raws[i], _ = wire.EncodePacket(&pb.Packet{Flow: wire.FlowKey{CallerIP: 0x7f090001, CallerPort: uint16(1024 + i),
			ServiceIP: serviceIP, ServicePort: servicePort}.Proto(), Kind: pb.Kind_KIND_DATA, Payload: make([]byte, 200)})
	}
	return raws
}

// pass sends datagrams through a relay, with at most 64 on the way, and returns the time taken.
func pass(b *testing.B, through netip.AddrPort, sink wire.Conn, n int) time.Duration {
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
	raws := pathPackets(1000)
	start := time.Now()
	for i := range n {
		select {
		case <-credit:
		case <-time.After(50 * time.Millisecond): // a lost datagram
		}
		_ = source.Send(through, raws[i%len(raws)])
	}
	return time.Since(start)
}

// pathService is the service of the path benchmarks.
func pathService() *pb.Service {
	s := &pb.Service{Number: serviceNumber, Address: "127.2.1.1:8001"}
	for i := range uint32(15) {
		s.Upstreams = append(s.Upstreams, &pb.Upstream{Number: i + 1, Weight: 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 0, byte(i)}), 9000).String()})
	}
	return s
}

// newPathSteerer returns a Steerer that holds all partitions and sends from conn to a sink.
func newPathSteerer(conn wire.Conn, to netip.AddrPort) *steering.Steerer {
	p := &pathDaemon{conn: conn, to: to, snapshot: config.NewSnapshot(&pb.Configuration{Generation: 1, Services: []*pb.Service{pathService()}})}
	steerer := steering.New(steering.Options{Config: p, Router: p, Sender: p, Output: p, Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
	for _, r := range partitions() {
		steerer.Activate(r, nil, ownership.Fresh)
	}
	return steerer
}

// steerRaw steers a serialized packet.
func steerRaw(s *steering.Steerer, data []byte) {
	if h, err := wire.ParseHeader(data); err == nil {
		s.HandleCaller(h, data)
	}
}

// newPathMessenger returns the messenger of one of the daemons "a" and "b".
func newPathMessenger(b *testing.B, id membership.DaemonID, conn wire.Conn, peers map[membership.DaemonID]netip.AddrPort, out wire.Conn) *peer.Messenger {
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

// Reports packets a second through receive, steering and forward of one daemon, and through an
// ingress that forwards to the flow owner, as ratios to one bare UDP relay in the same run. The
// second passes two sockets, so two bare relays in a row are measured as well. The bare relays
// and "single-sends" make a system call for each datagram that they send.
func BenchmarkDaemonPath(b *testing.B) {
	const packets = 20_000
	var relayed, twice, steered, single, forwarded time.Duration
	for b.Loop() {
		bareSink, bare := listen(b), listen(b)
		go relay(bare, func(data []byte) { _ = bare.Send(bareSink.LocalAddr(), data) })
		sink, daemon := listen(b), listen(b)
		steerer := newPathSteerer(daemon, sink.LocalAddr())
		go gather(daemon, []wire.Conn{daemon}, func(data []byte) { steerRaw(steerer, data) })
		singleSink, plain := listen(b), listen(b)
		plainSteerer := newPathSteerer(plain, singleSink.LocalAddr())
		go relay(plain, func(data []byte) { steerRaw(plainSteerer, data) })

		twoSink, first, second := listen(b), listen(b), listen(b)
		go relay(first, func(data []byte) { _ = first.Send(second.LocalAddr(), data) })
		go relay(second, func(data []byte) { _ = second.Send(twoSink.LocalAddr(), data) })

		ownerSink, ingress, out, peerA, peerB := listen(b), listen(b), listen(b), listen(b), listen(b)
		owner := newPathSteerer(out, ownerSink.LocalAddr())
		peers := map[membership.DaemonID]netip.AddrPort{"a": peerA.LocalAddr(), "b": peerB.LocalAddr()}
		a, o := newPathMessenger(b, "a", peerA, peers, nil), newPathMessenger(b, "b", peerB, peers, out)
		o.HandleForward(func(_ membership.DaemonID, _ uint32, _ pb.ForwardRole, data []byte) { steerRaw(owner, data) })
		go gather(ingress, []wire.Conn{peerA}, func(data []byte) {
			if _, err := wire.ParseHeader(data); err == nil {
				_ = a.SendForward("b", 1, pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER, data)
			}
		})

		relayed += pass(b, bare.LocalAddr(), bareSink, packets)
		steered += pass(b, daemon.LocalAddr(), sink, packets)
		single += pass(b, plain.LocalAddr(), singleSink, packets)
		forwarded += pass(b, ingress.LocalAddr(), ownerSink, packets)
		twice += pass(b, first.LocalAddr(), twoSink, packets)
	}
	b.ReportMetric(relayed.Seconds()/steered.Seconds(), "of-bare-relay")
	b.ReportMetric(relayed.Seconds()/single.Seconds(), "single-sends-of-bare-relay")
	b.ReportMetric(relayed.Seconds()/forwarded.Seconds(), "forwarded-of-bare-relay")
	b.ReportMetric(twice.Seconds()/forwarded.Seconds(), "forwarded-of-two-relays")
	b.ReportMetric(steered.Seconds()/forwarded.Seconds(), "forwarded-of-local")
	b.ReportMetric(float64(packets)*float64(b.N)/steered.Seconds(), "packets/s")
}

// coreStep is the number of packets that wait in a socket before one step reads them. They fit
// the default receive buffer of the kernel.
const coreStep = 96

// corePath is one way of handling packets whose processor time is compared.
type corePath struct {
	conn, sink wire.Conn
	handle     func(data []byte)
	gathers    bool
	took       time.Duration
}

// threadTime returns the processor time of this thread. Wall-clock time would count the work of
// others on a busy machine.
func threadTime() time.Duration {
	const ofThread = 1 // RUSAGE_THREAD, which package syscall does not name
	var usage syscall.Rusage
	if syscall.Getrusage(ofThread, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// step sends packets to the path and times how it reads, handles and sends them on.
func (p *corePath) step(source wire.Conn, raws [][]byte, batch []wire.Datagram) {
	for _, raw := range raws {
		_ = source.Send(p.conn.LocalAddr(), raw)
	}
	start := threadTime()
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
		if p.gathers {
			wire.Gather([]wire.Conn{p.conn}, all)
		} else {
			all()
		}
	}
	p.took += threadTime() - start
	for left := len(raws); left > 0; {
		n, err := p.sink.ReadBatch(batch)
		if err != nil {
			return
		}
		left -= n
	}
}

// Reports packets a second of one thread that reads, steers and sends packets of known flows, by
// its processor time, as ratios to one that only reads and sends them on, with a system call for
// each datagram sent and with gathered ones. The variants take turns.
func BenchmarkOneCore(b *testing.B) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	raws := pathPackets(coreStep)
	source := listen(b)
	paths := make([]*corePath, 4)
	for i := range paths {
		p := &corePath{conn: listen(b), sink: listen(b), gathers: i%2 == 1}
		p.handle = func(data []byte) { _ = p.conn.Send(p.sink.LocalAddr(), data) }
		if i >= 2 {
			steerer := newPathSteerer(p.conn, p.sink.LocalAddr())
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
	bare := paths[0].took.Seconds()
	b.ReportMetric(bare/paths[2].took.Seconds(), "single-sends-of-bare-relay")
	b.ReportMetric(bare/paths[3].took.Seconds(), "gathered-of-bare-relay")
	b.ReportMetric(bare/paths[1].took.Seconds(), "bare-gathered-of-bare-relay")
	b.ReportMetric(float64(n*coreStep)/paths[3].took.Seconds(), "packets/s")
}
