package config_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/wire"
)

func flowKeyTo(service string) wire.FlowKey {
	k, _ := wire.NewFlowKey(netip.MustParseAddrPort("127.9.0.1:4000"), netip.MustParseAddrPort(service))
	return k
}

// Guards against a look-up that returns the service of another address: addresses that differ only in
// the port or in one octet, addresses that are not IPv4, and addresses that do not parse.
func TestServiceForFlow(t *testing.T) {
	g := NewWithT(t)
	s := config.NewSnapshot(&pb.Configuration{Services: []*pb.Service{
		{Number: 1, Address: "127.2.1.1:8001"}, {Number: 2, Address: "127.2.1.1:8002"}, {Number: 3, Address: "127.2.1.2:8001"},
		{Number: 4, Address: "[::1]:8001"}, {Number: 5, Address: "nowhere"},
	}})
	for address, want := range map[string]uint32{"127.2.1.1:8001": 1, "127.2.1.1:8002": 2, "127.2.1.2:8001": 3} {
		found, ok := s.ServiceForFlow(flowKeyTo(address))
		g.Expect(ok).To(BeTrue())
		g.Expect(found.GetNumber()).To(Equal(want))
	}
	for _, address := range []string{"127.2.1.2:8002", "127.2.2.1:8001", "0.0.0.1:8001"} {
		_, ok := s.ServiceForFlow(flowKeyTo(address))
		g.Expect(ok).To(BeFalse(), address)
	}
}

// BenchmarkServiceForFlow reports the time to look up the service of a packet, also as a ratio to a map
// with netip.AddrPort keys. Batches of the two variants alternate in the same run.
func BenchmarkServiceForFlow(b *testing.B) {
	for _, services := range []int{2, 100, 1000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			c := &pb.Configuration{}
			byAddress := map[netip.AddrPort]*pb.Service{}
			keys := make([]wire.FlowKey, services)
			for i := range services {
				address := fmt.Sprintf("127.2.%d.%d:8001", i/250+1, i%250+1)
				c.Services = append(c.Services, &pb.Service{Number: uint32(i + 1), Address: address})
				byAddress[netip.MustParseAddrPort(address)] = c.Services[i]
				keys[i] = flowKeyTo(address)
			}
			s := config.NewSnapshot(c)
			const batch = 10_000
			var indexed, compared time.Duration
			batches := 0
			for b.Loop() {
				start := time.Now()
				for i := range batch {
					if _, ok := s.ServiceForFlow(keys[i%services]); !ok {
						b.Fatal("not found")
					}
				}
				middle := time.Now()
				for i := range batch {
					if byAddress[keys[i%services].Service()] == nil {
						b.Fatal("not found")
					}
				}
				indexed += middle.Sub(start)
				compared += time.Since(middle)
				batches++
			}
			b.ReportMetric(float64(indexed.Nanoseconds())/float64(batches*batch), "ns/lookup")
			b.ReportMetric(indexed.Seconds()/compared.Seconds(), "of-map-by-address")
		})
	}
}
