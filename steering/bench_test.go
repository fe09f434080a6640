package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// discardOutput is an Output that drops everything.
type discardOutput struct{}

func (discardOutput) ToAdmission(uint32, uint32, []byte) {}
func (discardOutput) ToCaller(*pb.Packet)                {}

// benchSteerer returns a Steerer that has the given numbers of flows and upstreams, has no
// successor and is not running.
func benchSteerer(flows, upstreams int) (*Steerer, *cluster) {
	c := &cluster{}
	c.current.Store(config.NewSnapshot(&pb.Configuration{}))
	n := &daemon{cluster: c, id: "a"}
	c.declare(func(s *pb.Service) {
		for i := range upstreams {
			s.Upstreams = append(s.Upstreams, testUpstream(uint32(i+1)))
		}
	})
	n.Steerer = New(Options{Config: c, Router: n, Sender: n, Output: discardOutput{},
		Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
	n.activate(nil, ownership.Fresh)
	for i := range flows {
		n.HandleCaller(wire.Header{Flow: testFlow(i), Kind: kindOpen}, nil)
	}
	return n.Steerer, c
}

// Measures how long the owner takes to steer a packet of a recorded flow.
func BenchmarkSteerKnownFlow(b *testing.B) {
	const flows = 200_000
	s, _ := benchSteerer(flows, 15)
	raw, _ := wire.EncodePacket(&pb.Packet{Flow: testFlow(5).Proto(), Kind: kindData, Payload: make([]byte, 200)})
	for _, parallel := range []bool{false, true} {
		b.Run(fmt.Sprintf("parallel=%t", parallel), func(b *testing.B) {
			b.ReportAllocs()
			if !parallel {
				for i := 0; b.Loop(); i++ {
					s.HandleCaller(wire.Header{Flow: testFlow(i % flows), Kind: kindData}, raw)
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for i := rand.IntN(flows); pb.Next(); i++ {
					s.HandleCaller(wire.Header{Flow: testFlow(i % flows), Kind: kindData}, raw)
				}
			})
		})
	}
}

// Measures how long the owner takes to place a new flow and to close it.
func BenchmarkOpenFlow(b *testing.B) {
	for _, upstreams := range []int{15, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			s, _ := benchSteerer(0, upstreams)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h := wire.Header{Flow: testFlow(i % 200_000), Kind: kindOpen}
				s.HandleCaller(h, nil)
				h.Kind = pb.Kind_KIND_CLOSE
				s.HandleCaller(h, nil)
			}
		})
	}
}

// Measures how long a full batch of exceptions takes to encode.
func BenchmarkEncodeExceptions(b *testing.B) {
	m := fullBatch()
	b.ReportAllocs()
	b.SetBytes(int64(proto.Size(m)))
	for b.Loop() {
		if _, err := proto.Marshal(m); err != nil {
			b.Fatal(err)
		}
	}
}

// reportTable reports the imbalance of a table and the share of buckets that change their upstream
// when one is drained.
func reportTable(b *testing.B, build func([]target) []uint16, upstreams int) {
	b.ReportMetric(spread(build(equalTargets(upstreams)), upstreams), "max/mean")
	b.ReportMetric(100*(movedAtDrain(build, upstreams)+1/float64(upstreams)), "%moved")
}

// Measures how long one owner takes to apply a drain, or the end of one, to 30,000 flows, and how
// long the table alone takes, both incrementally and from the whole history.
func BenchmarkTableChange(b *testing.B) {
	for _, upstreams := range []int{15, 100, 1000} {
		s, c := benchSteerer(30_000, upstreams)
		before, _ := c.Current().Service(testService)
		c.declare(drain(3))
		after, _ := c.Current().Service(testService)
		for range maxTableHistory {
			c.declare(drain(4))
		}
		history, _ := c.Current().Service(testService)
		old := newTable(before, nil)
		b.Run(fmt.Sprintf("table/upstreams=%d", upstreams), func(b *testing.B) {
			for b.Loop() {
				newTable(after, old)
			}
			reportTable(b, maglev, upstreams)
		})
		b.Run(fmt.Sprintf("history/upstreams=%d", upstreams), func(b *testing.B) {
			for b.Loop() {
				newTable(history, nil)
			}
		})
		b.Run(fmt.Sprintf("rendezvous/upstreams=%d", upstreams), func(b *testing.B) {
			for b.Loop() {
				rendezvous(old.targets)
			}
			reportTable(b, rendezvous, upstreams)
		})
		b.Run(fmt.Sprintf("flows/upstreams=%d", upstreams), func(b *testing.B) {
			svc := s.service(testService, false)
			views := []*serviceView{newServiceView(c.Current().Proto, before, svc.view.Load()),
				newServiceView(c.Current().Proto, after, svc.view.Load())}
			start := time.Now()
			for i := 0; b.Loop(); i++ {
				for k := range svc.partitions {
					s.applyView(svc.partitions[k].Load(), views[i%2])
				}
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(b.N)/30_000, "ns/flow")
		})
	}
}

// Reports the processor time and the bytes for the handover of a flow partition with its records:
// release, encoding, decoding and activation.
func BenchmarkHandOver(b *testing.B) {
	for _, flows := range []int{0, 100, 1500} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			s, _ := benchSteerer(flows*ownership.PartitionCount, 15)
			r := ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: testService, Index: 7}
			bytes, moved := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				raw, err := proto.Marshal(s.Release(r))
				if err != nil {
					b.Fatal(err)
				}
				records := &pb.ResourceRecords{}
				if err := proto.Unmarshal(raw, records); err != nil {
					b.Fatal(err)
				}
				s.Activate(r, records, ownership.Transferred)
				bytes, moved = len(raw), len(records.GetFlows())
			}
			b.ReportMetric(float64(bytes), "B/partition")
			b.ReportMetric(float64(moved), "flows")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(max(moved, 1)), "ns/flow")
		})
	}
}

// Reports the memory of a service without flows: its tables and the partitions that a daemon holds.
func BenchmarkServiceMemory(b *testing.B) {
	const services, upstreams = 100, 12
	declared := &pb.Configuration{Generation: 1}
	for i := range uint32(services) {
		s := &pb.Service{Number: i + 1, Address: fmt.Sprintf("127.2.1.%d:8001", i+1), TableGeneration: 1}
		for k := range uint32(upstreams) {
			s.Upstreams = append(s.Upstreams, testUpstream(i*upstreams+k+1))
		}
		declared.Services = append(declared.Services, s)
	}
	for _, held := range []int{1, ownership.PartitionCount / 6, ownership.PartitionCount} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapGrowth(func() any {
					c := &cluster{}
					c.current.Store(config.NewSnapshot(declared))
					n := &daemon{cluster: c, id: "a"}
					s := New(Options{Config: c, Router: n, Sender: n, Output: discardOutput{}, Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
					for number := range uint32(services) {
						for i := range held {
							s.Activate(ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: number + 1, Index: uint32(i)}, nil, ownership.Fresh)
						}
					}
					return s
				})/services, "B/service")
			}
		})
	}
}
