package membership_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

var benchSizes = []int{6, 96, 1000}

// newBenchMembership returns a Membership whose view has size daemons and whose gossip queue is empty.
func newBenchMembership(size int) (*membership.Membership, *recordingSender) {
	m, r, _ := newMembership()
	for i := 1; i < size; i++ {
		sendProbe(m, newBenchMember(i, 5))
	}
	for range 40 * size {
		sendProbeFrom(m, "m0001")
		r.takeSent()
	}
	return m, r
}

func newBenchMember(i int, incarnation uint64) *pb.Member {
	p := member(fmt.Sprintf("m%04d", i), incarnation, alive)
	p.Zone, p.ControlAddress = "zone-1", "127.1.0.1:7500"
	return p
}

func sendProbeFrom(m *membership.Membership, from membership.DaemonID, changes ...*pb.Member) {
	m.HandleDatagram(from, &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{Nonce: 1, Changes: changes}}})
}

// BenchmarkProbe reports the processor time of handling a probe without changes, and the bytes of its
// ack.
func BenchmarkProbe(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			m, r := newBenchMembership(size)
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				sendProbeFrom(m, "m0001")
				bytes = proto.Size(r.takeSent()[0])
			}
			b.ReportMetric(float64(bytes), "B/ack")
		})
	}
}

// BenchmarkMemberChange reports the processor time of handling a probe that carries one member change,
// which replaces the view. There are no subscribers.
func BenchmarkMemberChange(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			m, r := newBenchMembership(size)
			b.ReportAllocs()
			incarnation := uint64(5)
			for b.Loop() {
				incarnation++
				sendProbeFrom(m, "m0001", newBenchMember(2, incarnation))
				r.takeSent()
			}
		})
	}
}

// BenchmarkMemberMemory reports the memory that a member in the view uses.
func BenchmarkMemberMemory(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m, _ := newBenchMembership(size)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(m)
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(size), "B/member")
			}
		})
	}
}
