package request_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/load"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/request"
	"github.com/fulmarfield/fulmarfield/wire"
)

// discardOutput is an Output that discards all packets. It keeps the token of the last notice and
// the reason of the last packet to a caller.
type discardOutput struct {
	token  atomic.Uint64
	reason atomic.Int32
}

func (*discardOutput) ToUpstream(netip.AddrPort, *pb.Packet)  {}
func (s *discardOutput) ToCaller(p *pb.Packet)                { s.reason.Store(int32(p.GetReason())) }
func (*discardOutput) ToAdmission(uint32, uint32, *pb.Packet) {}
func (*discardOutput) ToFlowOwner(*pb.Packet)                 {}
func (s *discardOutput) Notify(n *pb.UpstreamNotice)          { s.token.Store(n.GetGuardToken()) }

// staticConfig is a config.Provider with a configuration that does not change.
type staticConfig struct{ *config.Snapshot }

func (f staticConfig) Current() *config.Snapshot           { return f.Snapshot }
func (staticConfig) Subscribe(func(_, _ *config.Snapshot)) {}
func newFlowKey(caller string) wire.FlowKey {
	k, _ := wire.NewFlowKey(netip.MustParseAddrPort(caller), serviceAddr)
	return k
}

// newSingleAdmission returns an Engine that holds the admission of one upstream, and its Output.
func newSingleAdmission() (*request.Engine, *discardOutput) {
	service := &pb.Service{Number: 1, Address: serviceAddr.String(),
		Upstreams: []*pb.Upstream{{Number: 1, Address: "127.0.3.1:900", Slots: 2}}}
	out := &discardOutput{}
	e := request.New(request.Options{Self: "a", Output: out,
		Config: staticConfig{config.NewSnapshot(&pb.Configuration{Services: []*pb.Service{service}})}})
	e.Activate(ownership.Admission(1, 1), nil, ownership.Fresh)
	return e, out
}

// Guards against an unbounded number of low-water marks, and against running an old request after
// the marks were discarded: the guard token must change with them.
func TestTooManyWatermarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e, out := newSingleAdmission()
		ctx, cancel := context.WithCancel(context.Background())
		go e.Run(ctx)
		defer cancel()
		first := out.token.Load()
		p := &pb.Packet{Flow: newFlowKey("127.0.9.1:4000").Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Attempt: 1,
			Service: 1, Upstream: 1, DeadlineMs: 1000, GuardToken: first}
		for range 66_000 {
			p = proto.CloneOf(p)
			p.Flow.CallerIp++
			e.HandleCaller(p)
		}
		g.Expect(pb.Reason(out.reason.Load())).To(Equal(pb.Reason_REASON_QUEUE_FULL))
		time.Sleep(125 * time.Second)
		g.Expect(out.token.Load()).NotTo(Equal(first))
		e.HandleCaller(proto.CloneOf(p))
		g.Expect(pb.Reason(out.reason.Load())).To(Equal(pb.Reason_REASON_STALE_GUARD))
	})
}

// BenchmarkAdmission measures the handling of one request and its answer by the guard, the slots and
// the records, without the network.
func BenchmarkAdmission(b *testing.B) {
	e, out := newSingleAdmission()
	key := newFlowKey("127.0.9.1:4000").Proto()
	payload := make([]byte, 200)
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		e.HandleCaller(&pb.Packet{Flow: key, Kind: pb.Kind_KIND_REQUEST, RequestId: id, Attempt: 1, Service: 1, Upstream: 1,
			DeadlineMs: 1000, GuardToken: out.token.Load(), Payload: payload})
		e.HandleUpstream(&pb.Packet{Flow: key, Kind: pb.Kind_KIND_ANSWER, RequestId: id, Service: 1, Upstream: 1,
			Status: pb.Status_STATUS_OK, Parts: 1, Payload: payload})
	}
	if e.Status(1).GetInProgress() != 0 {
		b.Fatal("requests were not finished")
	}
}

// BenchmarkDuplicate measures the handling of a retransmission of a request in progress.
func BenchmarkDuplicate(b *testing.B) {
	e, p := requestInProgress()
	b.ReportAllocs()
	for b.Loop() {
		e.HandleCaller(p)
	}
}

// BenchmarkParallel compares the mutex of an admission with a single goroutine that receives
// packets from a channel. In both cases all processors send packets.
func BenchmarkParallel(b *testing.B) {
	b.Run("mutex", func(b *testing.B) {
		e, p := requestInProgress()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				e.HandleCaller(p)
			}
		})
	})
	b.Run("channel", func(b *testing.B) {
		e, p := requestInProgress()
		commands := make(chan *pb.Packet, 1024)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for c := range commands {
				e.HandleCaller(c)
			}
		}()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				commands <- p
			}
		})
		close(commands)
		<-done
	})
}

// requestInProgress returns an Engine and the packet of a request that it has sent to the upstream.
func requestInProgress() (*request.Engine, *pb.Packet) {
	e, out := newSingleAdmission()
	p := &pb.Packet{Flow: newFlowKey("127.0.9.1:4000").Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Attempt: 1, Service: 1,
		Upstream: 1, DeadlineMs: 60_000, GuardToken: out.token.Load()}
	e.HandleCaller(p)
	return e, p
}

// loopbackOutput connects the two admissions of one Engine. It serializes and parses each redirected
// request.
type loopbackOutput struct {
	discardOutput
	engine    *request.Engine
	table     *load.Table
	redirects int
}

func (p *loopbackOutput) Notify(n *pb.UpstreamNotice) { p.table.UpdateLocal(n) }

func (p *loopbackOutput) ToAdmission(_, _ uint32, packet *pb.Packet) {
	raw, err := wire.EncodePacket(packet)
	if err != nil {
		return
	}
	redirected := &pb.Packet{}
	if proto.Unmarshal(raw, redirected) == nil {
		p.redirects++
		p.engine.HandleCaller(redirected)
	}
}

// BenchmarkRedirect measures an idempotent request that is redirected because the queue of its
// upstream is full, and answered by the other upstream.
func BenchmarkRedirect(b *testing.B) {
	service := &pb.Service{Number: 1, Address: serviceAddr.String(), Limits: &pb.Limits{QueueLength: 4}, Upstreams: []*pb.Upstream{
		{Number: 1, Address: "127.0.3.1:900", Slots: 2}, {Number: 2, Address: "127.0.3.2:900", Slots: 2}}}
	out := &loopbackOutput{table: load.NewTable()}
	e := request.New(request.Options{Self: "a", Output: out, Load: out.table, Tuning: request.Tuning{NoRetryBudget: true},
		Config: staticConfig{config.NewSnapshot(&pb.Configuration{Services: []*pb.Service{service}})}})
	out.engine = e
	e.Activate(ownership.Admission(1, 1), nil, ownership.Fresh)
	e.Activate(ownership.Admission(1, 2), nil, ownership.Fresh)
	key := newFlowKey("127.0.9.1:4000").Proto()
	first, _ := out.table.Status(1)
	sendRequest := func(id uint64, idempotent bool) {
		e.HandleCaller(&pb.Packet{Flow: key, Kind: pb.Kind_KIND_REQUEST, RequestId: id, Attempt: 1, Service: 1, Upstream: 1,
			DeadlineMs: 600_000, GuardToken: first.Token, Idempotent: idempotent, Payload: make([]byte, 200)})
	}
	id := uint64(0)
	for id < 6 {
		id++
		sendRequest(id, false)
	}
	answer := make([]byte, 200)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		id++
		n++
		sendRequest(id, true)
		e.HandleUpstream(&pb.Packet{Flow: key, Kind: pb.Kind_KIND_ANSWER, RequestId: id, Service: 1, Upstream: 2,
			Status: pb.Status_STATUS_OK, Parts: 1, Payload: answer})
	}
	if out.redirects != n || e.Status(2).GetInProgress() != 0 {
		b.Fatalf("%d of %d requests were redirected, %d not answered", out.redirects, n, e.Status(2).GetInProgress())
	}
}

// BenchmarkRecordMemory reports the memory for the record of a finished request, which is kept for
// 120 s, and for an admission without requests.
func BenchmarkRecordMemory(b *testing.B) {
	heap := func(build func() any) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
		return float64(after.HeapAlloc) - float64(before.HeapAlloc)
	}
	requests := func(n int) any {
		e, out := newSingleAdmission()
		for i := range n {
			p := &pb.Packet{Flow: newFlowKey("127.0.9.1:4000").Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: uint64(i/1000 + 1), Attempt: 1,
				Service: 1, Upstream: 1, DeadlineMs: 1000, GuardToken: out.token.Load(), Payload: make([]byte, 200)}
			p.Flow.CallerIp += uint32(i % 1000)
			e.HandleCaller(p)
			e.HandleUpstream(&pb.Packet{Flow: p.Flow, Kind: pb.Kind_KIND_ANSWER, RequestId: p.RequestId, Service: 1, Upstream: 1,
				Status: pb.Status_STATUS_OK, Parts: 1, Payload: make([]byte, 200)})
		}
		return e
	}
	for _, n := range []int{1000, 10_000, 60_000} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heap(func() any { return requests(n) })/float64(n), "B/request")
			}
		})
	}
	b.Run("upstream", func(b *testing.B) {
		const upstreams = 1000
		for b.Loop() {
			b.ReportMetric(heap(func() any {
				e, _ := newSingleAdmission()
				for i := range uint32(upstreams) {
					e.Activate(ownership.Admission(1, i+2), nil, ownership.Fresh)
				}
				return e
			})/upstreams, "B/upstream")
		}
	})
}
