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

// sink discards what the Engine sends, but keeps the token of the last notice and the reason of
// the last packet to a caller.
type sink struct {
	token  atomic.Uint64
	reason atomic.Int32
}

func (*sink) ToUpstream(netip.AddrPort, *pb.Packet)  {}
func (s *sink) ToCaller(p *pb.Packet)                { s.reason.Store(int32(p.GetReason())) }
func (*sink) ToAdmission(uint32, uint32, *pb.Packet) {}
func (*sink) ToFlowOwner(*pb.Packet)                 {}
func (s *sink) Notify(n *pb.UpstreamNotice)          { s.token.Store(n.GetGuardToken()) }

type fixed struct{ *config.Snapshot }

func (f fixed) Current() *config.Snapshot           { return f.Snapshot }
func (fixed) Subscribe(func(_, _ *config.Snapshot)) {}
func newKey(caller string) wire.FlowKey {
	k, _ := wire.NewFlowKey(netip.MustParseAddrPort(caller), serviceAddr)
	return k
}

// newSink returns an Engine that holds the admission of one upstream, without a network.
func newSink() (*request.Engine, *sink) {
	service := &pb.Service{Number: 1, Address: serviceAddr.String(),
		Upstreams: []*pb.Upstream{{Number: 1, Address: "127.0.3.1:900", Slots: 2}}}
	out := &sink{}
	e := request.New(request.Options{Self: "a", Output: out,
		Config: fixed{config.NewSnapshot(&pb.Configuration{Services: []*pb.Service{service}})}})
	e.Activate(ownership.Admission(1, 1), nil, ownership.Fresh)
	return e, out
}

// Guards against low-water marks without bound, and against running an old request after the
// marks were given up: the token must change with them.
func TestTooManyFlows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e, out := newSink()
		ctx, cancel := context.WithCancel(context.Background())
		go e.Run(ctx)
		defer cancel()
		first := out.token.Load()
		p := &pb.Packet{Flow: newKey("127.0.9.1:4000").Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Attempt: 1,
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

// BenchmarkAdmission measures one request and its answer through the guard, the slots and the
// records, without the network.
func BenchmarkAdmission(b *testing.B) {
	e, out := newSink()
	key := newKey("127.0.9.1:4000").Proto()
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

// BenchmarkDuplicate measures a retransmission of a request in progress.
func BenchmarkDuplicate(b *testing.B) {
	e, p := requestInProgress()
	b.ReportAllocs()
	for b.Loop() {
		e.HandleCaller(p)
	}
}

// BenchmarkParallel compares the mutex of an admission with one task that takes packets from a
// channel, both with packets from all processors.
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

// requestInProgress returns an Engine and a request that it has sent.
func requestInProgress() (*request.Engine, *pb.Packet) {
	e, out := newSink()
	p := &pb.Packet{Flow: newKey("127.0.9.1:4000").Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Attempt: 1, Service: 1,
		Upstream: 1, DeadlineMs: 60_000, GuardToken: out.token.Load()}
	e.HandleCaller(p)
	return e, p
}

// pair joins two admissions of one Engine by the serialized form of a packet handed on.
type pair struct {
	sink
	engine *request.Engine
	table  *load.Table
	spills int
}

func (p *pair) Notify(n *pb.UpstreamNotice) { p.table.UpdateLocal(n) }

func (p *pair) ToAdmission(_, _ uint32, packet *pb.Packet) {
	raw, err := wire.EncodePacket(packet)
	if err != nil {
		return
	}
	moved := &pb.Packet{}
	if proto.Unmarshal(raw, moved) == nil {
		p.spills++
		p.engine.HandleCaller(moved)
	}
}

// BenchmarkRetryElsewhere measures an idempotent request that finds the queue of its upstream
// full, is handed on to another upstream and answered there.
func BenchmarkRetryElsewhere(b *testing.B) {
	service := &pb.Service{Number: 1, Address: serviceAddr.String(), Limits: &pb.Limits{QueueLength: 4}, Upstreams: []*pb.Upstream{
		{Number: 1, Address: "127.0.3.1:900", Slots: 2}, {Number: 2, Address: "127.0.3.2:900", Slots: 2}}}
	out := &pair{table: load.NewTable()}
	e := request.New(request.Options{Self: "a", Output: out, Load: out.table, Tuning: request.Tuning{NoRetryBudget: true},
		Config: fixed{config.NewSnapshot(&pb.Configuration{Services: []*pb.Service{service}})}})
	out.engine = e
	e.Activate(ownership.Admission(1, 1), nil, ownership.Fresh)
	e.Activate(ownership.Admission(1, 2), nil, ownership.Fresh)
	key := newKey("127.0.9.1:4000").Proto()
	first, _ := out.table.Status(1)
	ask := func(id uint64, idempotent bool) {
		e.HandleCaller(&pb.Packet{Flow: key, Kind: pb.Kind_KIND_REQUEST, RequestId: id, Attempt: 1, Service: 1, Upstream: 1,
			DeadlineMs: 600_000, GuardToken: first.Token, Idempotent: idempotent, Payload: make([]byte, 200)})
	}
	id := uint64(0)
	for id < 6 {
		id++
		ask(id, false)
	}
	answer := make([]byte, 200)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		id++
		n++
		ask(id, true)
		e.HandleUpstream(&pb.Packet{Flow: key, Kind: pb.Kind_KIND_ANSWER, RequestId: id, Service: 1, Upstream: 2,
			Status: pb.Status_STATUS_OK, Parts: 1, Payload: answer})
	}
	if out.spills != n || e.Status(2).GetInProgress() != 0 {
		b.Fatalf("%d of %d requests were handed on, %d not answered", out.spills, n, e.Status(2).GetInProgress())
	}
}

// BenchmarkRecordMemory reports the memory of a finished request, whose record is kept for
// 120 s, and of an admission without requests.
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
		e, out := newSink()
		for i := range n {
			p := &pb.Packet{Flow: newKey("127.0.9.1:4000").Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: uint64(i/1000 + 1), Attempt: 1,
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
				e, _ := newSink()
				for i := range uint32(upstreams) {
					e.Activate(ownership.Admission(1, i+2), nil, ownership.Fresh)
				}
				return e
			})/upstreams, "B/upstream")
		}
	})
}
