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

// benchMembership returns a Membership that knows size daemons and has passed on all changes.
func benchMembership(size int) (*membership.Membership, *recorder) {
	m, r, _ := newMembership()
	for i := 1; i < size; i++ {
		tell(m, benchMember(i, 5))
	}
	for range 40 * size {
		tellFrom(m, "m0001")
		r.take()
	}
	return m, r
}

func benchMember(i int, incarnation uint64) *pb.Member {
	p := member(fmt.Sprintf("m%04d", i), incarnation, alive)
	p.Zone, p.ControlAddress = "zone-1", "127.1.0.1:7500"
	return p
}

func tellFrom(m *membership.Membership, from membership.DaemonID, changes ...*pb.Member) {
	m.HandleDatagram(from, &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{Nonce: 1, Changes: changes}}})
}

// Reports the processor time and bytes of a probe without news, answered by an ack.
func BenchmarkProbe(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			m, r := benchMembership(size)
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				tellFrom(m, "m0001")
				bytes = proto.Size(r.take()[0])
			}
			b.ReportMetric(float64(bytes), "B/ack")
		})
	}
}

// Reports the processor time of a probe that brings one change of a member, which replaces the
// view, without subscribers.
func BenchmarkMemberChange(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			m, r := benchMembership(size)
			b.ReportAllocs()
			incarnation := uint64(5)
			for b.Loop() {
				incarnation++
				tellFrom(m, "m0001", benchMember(2, incarnation))
				r.take()
			}
		})
	}
}

// Reports the memory of a member in the view.
func BenchmarkMemberMemory(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m, _ := benchMembership(size)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(m)
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(size), "B/member")
			}
		})
	}
}
