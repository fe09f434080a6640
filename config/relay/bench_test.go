package relay_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/config/relay"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// upstreamsPerService is the mean at the design size of 65,000 upstreams and 5,600 services.
const upstreamsPerService = 12

var benchSizes = []int{2, 100, 1000}

// benchConfiguration returns generation 2 with the given number of services.
func benchConfiguration(services int) *pb.Configuration {
	c := &pb.Configuration{Generation: 2, ChangeId: "change-2", Author: "operator"}
	for i := range services {
		s := &pb.Service{Number: uint32(i + 1), Name: fmt.Sprintf("service-%d", i+1), Address: fmt.Sprintf("127.2.%d.%d:8001", i/250+1, i%250+1)}
		for k := range upstreamsPerService {
			n := i*upstreamsPerService + k + 1
			s.Upstreams = append(s.Upstreams, &pb.Upstream{Number: uint32(n), Name: fmt.Sprintf("service-%d-%d", i+1, k+1), Zone: "zone-1",
				Address: fmt.Sprintf("127.1.%d.%d:9000", n/250+1, n%250+1), Slots: 2, Weight: 1, State: pb.DeclaredState_DECLARED_STATE_ACTIVE})
		}
		c.Services = append(c.Services, s)
	}
	c.LastUpstreamNumber = uint32(services * upstreamsPerService)
	return c
}

// newBenchRelay returns a relay at generation 0 whose Run is not called.
func newBenchRelay(counters *telemetry.Counters) *relay.Relay {
	return relay.New(relay.Options{Self: "a", Zone: "zone-1", Counters: counters, Logger: zerolog.Nop()})
}

// BenchmarkHandlePush reports the CPU time in which a daemon decodes a pushed configuration and puts it
// in force, without subscribers, and the bytes of the push.
func BenchmarkHandlePush(b *testing.B) {
	for _, services := range benchSizes {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			raw, err := proto.Marshal(&pb.PushConfigurationRequest{Configuration: benchConfiguration(services)})
			if err != nil {
				b.Fatal(err)
			}
			counters := telemetry.NewCounters()
			b.ReportAllocs()
			for b.Loop() {
				request := &pb.PushConfigurationRequest{}
				if err := proto.Unmarshal(raw, request); err != nil {
					b.Fatal(err)
				}
				if newBenchRelay(counters).HandlePush(request).GetGeneration() != 2 {
					b.Fatal("not in force")
				}
			}
			b.ReportMetric(float64(len(raw)), "B/change")
		})
	}
}

// BenchmarkHandleGet reports the CPU time of a response to one pull, with its encoding.
func BenchmarkHandleGet(b *testing.B) {
	for _, services := range benchSizes {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			r := newBenchRelay(telemetry.NewCounters())
			r.HandlePush(&pb.PushConfigurationRequest{Configuration: benchConfiguration(services)})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := proto.Marshal(r.HandleGet(&pb.GetConfigurationRequest{HaveGeneration: 1})); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshotMemory reports the heap memory of a snapshot per service, upstreams included.
func BenchmarkSnapshotMemory(b *testing.B) {
	for _, services := range benchSizes {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				snapshot := config.NewSnapshot(benchConfiguration(services))
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(snapshot)
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(services), "B/service")
			}
		})
	}
}

// BenchmarkDelta reports the CPU time to send a change of one service as a delta, the CPU time to receive
// it and put it in force, without subscribers, and the bytes of the message.
func BenchmarkDelta(b *testing.B) {
	for _, services := range benchSizes {
		base := benchConfiguration(services)
		changed := proto.CloneOf(base)
		changed.Generation, changed.ChangeId = 3, "change-3"
		changed.Services[0].Upstreams[0].State = pb.DeclaredState_DECLARED_STATE_DRAINING
		sender := newBenchRelay(telemetry.NewCounters())
		sender.HandlePush(&pb.PushConfigurationRequest{Configuration: base})
		sender.HandlePush(&pb.PushConfigurationRequest{Configuration: changed})
		b.Run(fmt.Sprintf("send/services=%d", services), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				raw, err := proto.Marshal(sender.HandleGet(&pb.GetConfigurationRequest{HaveGeneration: 2}))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(raw)
			}
			b.ReportMetric(float64(bytes), "B/change")
		})
		b.Run(fmt.Sprintf("receive/services=%d", services), func(b *testing.B) {
			delta := sender.HandleGet(&pb.GetConfigurationRequest{HaveGeneration: 2}).GetDelta()
			if delta == nil {
				b.Fatal("the whole configuration was sent")
			}
			raw, err := proto.Marshal(&pb.PushConfigurationRequest{Delta: delta})
			if err != nil {
				b.Fatal(err)
			}
			counters := telemetry.NewCounters()
			receivers := make([]*relay.Relay, b.N)
			for i := range receivers {
				receivers[i] = newBenchRelay(counters)
				receivers[i].HandlePush(&pb.PushConfigurationRequest{Configuration: base})
			}
			b.ResetTimer()
			for _, receiver := range receivers {
				request := &pb.PushConfigurationRequest{}
				if err := proto.Unmarshal(raw, request); err != nil {
					b.Fatal(err)
				}
				if receiver.HandlePush(request).GetGeneration() != 3 {
					b.Fatal("not in force")
				}
			}
		})
	}
}
