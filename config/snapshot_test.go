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

func keyTo(service string) wire.FlowKey {
	k, _ := wire.NewFlowKey(netip.MustParseAddrPort("127.9.0.1:4000"), netip.MustParseAddrPort(service))
	return k
}

// Guards against a flow that is taken for one of another service: addresses that differ in the
// port or in one part of the IP number only, and addresses that are not IPv4.
func TestServiceOf(t *testing.T) {
	g := NewWithT(t)
	s := config.NewSnapshot(&pb.Configuration{Services: []*pb.Service{
		{Number: 1, Address: "127.2.1.1:8001"}, {Number: 2, Address: "127.2.1.1:8002"}, {Number: 3, Address: "127.2.1.2:8001"},
		{Number: 4, Address: "[::1]:8001"}, {Number: 5, Address: "nowhere"},
	}})
	for address, want := range map[string]uint32{"127.2.1.1:8001": 1, "127.2.1.1:8002": 2, "127.2.1.2:8001": 3} {
		found, ok := s.ServiceOf(keyTo(address))
		g.Expect(ok).To(BeTrue())
		g.Expect(found.GetNumber()).To(Equal(want))
	}
	for _, address := range []string{"127.2.1.2:8002", "127.2.2.1:8001", "0.0.0.1:8001"} {
		_, ok := s.ServiceOf(keyTo(address))
		g.Expect(ok).To(BeFalse(), address)
	}
}

// Reports the time of finding the service of a packet as a ratio to a map by netip.AddrPort,
// which take turns in the same run.
func BenchmarkServiceOf(b *testing.B) {
	for _, services := range []int{2, 100, 1000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			c := &pb.Configuration{}
			byAddress := map[netip.AddrPort]*pb.Service{}
			keys := make([]wire.FlowKey, services)
			for i := range services {
				address := fmt.Sprintf("127.2.%d.%d:8001", i/250+1, i%250+1)
				c.Services = append(c.Services, &pb.Service{Number: uint32(i + 1), Address: address})
				byAddress[netip.MustParseAddrPort(address)] = c.Services[i]
				keys[i] = keyTo(address)
			}
			s := config.NewSnapshot(c)
			const turn = 10_000
			var found, compared time.Duration
			n := 0
			for b.Loop() {
				start := time.Now()
				for i := range turn {
					if _, ok := s.ServiceOf(keys[i%services]); !ok {
						b.Fatal("not found")
					}
				}
				middle := time.Now()
				for i := range turn {
					if byAddress[keys[i%services].Service()] == nil {
						b.Fatal("not found")
					}
				}
				found += middle.Sub(start)
				compared += time.Since(middle)
				n++
			}
			b.ReportMetric(float64(found.Nanoseconds())/float64(n*turn), "ns/lookup")
			b.ReportMetric(found.Seconds()/compared.Seconds(), "of-map-by-address")
		})
	}
}
