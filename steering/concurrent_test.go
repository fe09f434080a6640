package steering

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against data races, deadlocks and counts that deviate from the records when packets,
// configuration changes, notices, handovers and operator queries are processed concurrently.
func TestConcurrentUse(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *cluster, a, b *daemon) {
		var work sync.WaitGroup
		for w := range 4 {
			work.Go(func() {
				r := rand.New(rand.NewPCG(uint64(w), 1))
				for range 3000 {
					kind := []pb.Kind{kindOpen, kindData, kindData, pb.Kind_KIND_CLOSE}[r.IntN(4)]
					k := testFlow(r.IntN(500))
					raw, _ := wire.EncodePacket(&pb.Packet{Flow: k.Proto(), Kind: kind})
					a.HandleCaller(wire.Header{Flow: k, Kind: kind}, raw)
					if r.IntN(10) == 0 {
						time.Sleep(time.Millisecond)
					}
				}
			})
		}
		work.Go(func() {
			for i := range uint32(20) {
				c.declare(func(s *pb.Service) { s.Upstreams = append(s.Upstreams, testUpstream(7+i)) })
				c.declare(drain(i + 1))
				a.sendNotice(i+2, pb.UpstreamState(1+i%4))
				time.Sleep(10 * time.Millisecond)
				c.declare(removeUpstream(i + 1))
				a.Stats()
				a.Flows("", 10)
			}
		})
		work.Go(func() {
			for i := range uint32(400) {
				r := ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: testService, Index: i % 256}
				records := a.Release(r)
				b.Activate(r, records, ownership.Transferred)
				time.Sleep(time.Millisecond)
				a.Activate(r, b.Release(r), ownership.Transferred)
			}
		})
		work.Wait()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		counted := map[uint32]uint32{}
		for _, f := range a.Flows("", 1<<20) {
			counted[f.Upstream]++
		}
		g.Expect(a.Stats().ByUpstream).To(Equal(counted))
		g.Expect(b.Stats().Flows).To(BeZero())
		for _, p := range a.heldPartitions() {
			g.Expect(p.waits).To(BeEmpty())
			for flow := range p.exceptions {
				g.Expect(p.flows[flow].has(flagException)).To(BeTrue())
			}
		}
	})
}
