package steering

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

const (
	kindOpen = pb.Kind_KIND_OPEN
	kindData = pb.Kind_KIND_DATA
)

// Guards against a flow that changes its upstream when upstreams are drained or added, or when its
// partition is handed over.
func TestFlowsKeepUpstreamAtPlannedChanges(t *testing.T) {
	runInCluster(t, 15, func(g *WithT, c *cluster, a, b *daemon) {
		placed := map[int]uint32{}
		for i := range 1000 {
			placed[i], _ = a.steerPacket(i, kindOpen, 0)
			if placed[i] == 0 {
				time.Sleep(60 * time.Millisecond)
				sent, _ := a.takeOutput()
				placed[i] = sent[0]
			}
			a.steerPacket(i, kindData, 0)
		}
		c.declare(drain(3))
		c.declare(func(s *pb.Service) { s.Upstreams = append(s.Upstreams, testUpstream(16)) })
		for i := range 1000 {
			up, _ := a.steerPacket(i, kindData, 0)
			g.Expect(up).To(Equal(placed[i]))
		}
		b.activate(a.release(), ownership.Transferred)
		c.declare(removeUpstream(5))
		for i := range 1000 {
			up, reason := b.steerPacket(i, kindData, 0)
			if placed[i] == 5 {
				g.Expect(reason).To(Equal(pb.Reason_REASON_UPSTREAM_REMOVED))
				continue
			}
			g.Expect(up).To(Equal(placed[i]))
		}
	})
}
