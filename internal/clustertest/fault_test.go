package clustertest_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/internal/clustertest"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
)

func cutOffZone(zone string) func(a, b *clustertest.Daemon) bool {
	return func(a, b *clustertest.Daemon) bool { return (a.Self.Zone == zone) != (b.Self.Zone == zone) }
}

// expectDistinctTokens checks that no two daemons serve a resource with the same guard token.
func expectDistinctTokens(g *WithT, c *clustertest.Cluster) {
	for _, r := range c.Resources {
		seen := map[uint64]bool{}
		for _, d := range c.ActiveHolders(r) {
			g.Expect(seen[d.Handler.Token(r)]).To(BeFalse(), "two holders share a guard token")
			seen[d.Handler.Token(r)] = true
		}
	}
}

// Guards against a daemon that resumes after a pause longer than the drop timeout and continues to
// serve resources that other daemons recovered during the pause.
func TestPauseLongerThanDropTimeout(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		paused := daemons[1]
		before := paused.Membership.SelfIncarnation()
		held := map[ownership.Resource]uint64{}
		for _, r := range c.Resources {
			if paused.Handler.Serves(r) {
				held[r] = paused.Handler.Token(r)
			}
		}
		paused.Pause()
		time.Sleep(5 * time.Second)
		for r := range held {
			g.Expect(c.ActiveHolders(r)).To(HaveLen(2), "other daemons recover the resource during the pause")
		}
		paused.Resume()
		took := waitSettled(t, c, 3*time.Second)
		t.Logf("one holder each %v after the pause", took)
		g.Expect(paused.Membership.SelfIncarnation()).To(BeNumerically(">", before))
		g.Expect(paused.Counters.Get("membership.paused")).To(Equal(int64(1)))
		time.Sleep(5 * time.Second)
		g.Expect(c.Unsettled()).To(BeEmpty())
		for r, token := range held {
			g.Expect(c.ActiveHolders(r)[0].Handler.Token(r)).NotTo(Equal(token), "the guard token from before the pause must not be used again")
		}
	})
}

// Guards against two sides of a cut that do not rejoin after it heals, or that lose the records of
// one side.
func TestZoneCutAndHeal(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		c.SetCut(cutOffZone("z1"))
		time.Sleep(20 * time.Second)
		expectDistinctTokens(g, c)
		flows := map[ownership.Resource][]uint32{}
		for _, r := range c.Resources {
			active := c.ActiveHolders(r)
			g.Expect(active).To(HaveLen(2), "each side of the cut has a holder")
			for i, d := range active {
				d.Handler.AddFlow(r, uint32(i+1))
				flows[r] = append(flows[r], uint32(i+1))
			}
		}
		incarnations := map[membership.DaemonID]uint64{}
		for _, d := range daemons {
			incarnations[d.Self.ID] = d.Membership.SelfIncarnation()
		}
		c.SetCut(nil)
		took := waitSettled(t, c, 15*time.Second)
		t.Logf("one holder each %v after the heal", took)
		for r, callers := range flows {
			for _, caller := range callers {
				g.Expect(c.ActiveHolders(r)[0].Handler.HasFlow(r, caller)).To(BeTrue(), "records of both sides are merged")
			}
		}
		for _, d := range daemons {
			g.Expect(d.Membership.SelfIncarnation()).To(BeNumerically(">", incarnations[d.Self.ID]),
				"a member that was dropped is accepted again after a refutation")
		}
		time.Sleep(10 * time.Second)
		g.Expect(c.Unsettled()).To(BeEmpty())
	})
}

// Guards against a daemon that is dropped and loses its resources because other daemons could not
// reach it for a short time.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		time.Sleep(5 * time.Second)
		victim := daemons[3]
		c.SetCut(func(a, b *clustertest.Daemon) bool { return a == victim || b == victim })
		for suspicionCount(daemons, victim) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		c.SetCut(nil)
		time.Sleep(3 * time.Second)
		g.Expect(victim.Counters.Get("membership.refuted")).To(BeNumerically(">", 0))
		for _, d := range daemons {
			g.Expect(d.Counters.Get("membership.dropped")).To(BeZero())
			member, _ := d.Membership.View().Member(victim.Self.ID)
			g.Expect(member.State).To(Equal(pb.MemberState_MEMBER_STATE_ALIVE))
		}
		g.Expect(c.Unsettled()).To(BeEmpty())
	})
}

func suspicionCount(daemons []*clustertest.Daemon, victim *clustertest.Daemon) int64 {
	n := int64(0)
	for _, d := range daemons {
		if d != victim {
			n += d.Counters.Get("membership.suspect")
		}
	}
	return n
}

// Guards against a daemon that is suspected although only the path between two daemons is cut.
func TestIndirectProbeAvoidsSuspicion(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		time.Sleep(time.Second)
		x, y := daemons[0], daemons[1]
		c.SetCut(func(a, b *clustertest.Daemon) bool { return a == x && b == y || a == y && b == x })
		time.Sleep(20 * time.Second)
		for _, d := range daemons {
			g.Expect(d.Counters.Get("membership.suspect")).To(BeZero(), string(d.Self.ID))
		}
	})
}

// Guards against a member that is dropped because a stale VM list does not contain it any more, and
// against a joining daemon that is not found because the list does not contain it yet.
func TestStaleVMList(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		missing := membership.Member{ID: "z9-99", PeerAddress: daemons[0].Self.PeerAddress, ControlAddress: daemons[0].Self.ControlAddress}
		c.Seeds = func() []membership.Member { return []membership.Member{daemons[0].Self, missing} }
		joined := c.Start("z2", 50)
		time.Sleep(3 * time.Second)
		for _, d := range c.Daemons() {
			g.Expect(d.Membership.View().Members).To(HaveLen(7), string(d.Self.ID))
		}
		g.Expect(joined.Ownership.NumHeld()).To(BeNumerically(">", 0))
		time.Sleep(2 * time.Minute)
		for _, d := range c.Daemons() {
			g.Expect(d.Counters.Get("membership.dropped")).To(BeZero())
		}
		g.Expect(c.Unsettled()).To(BeEmpty())
	})
}

// Guards against a daemon that waits for ever at its start because the VM list contains no other
// running daemon.
func TestStartWithoutSeeds(t *testing.T) {
	runInCluster(t, 1, func(_ *WithT, c *clustertest.Cluster, _ []*clustertest.Daemon) {
		took := waitSettled(t, c, 2*time.Second)
		t.Logf("a single daemon serves all resources after %v", took)
	})
}

// Guards against resources without a holder, and lost records, after the claimer or the holder is
// killed during a claim.
func TestKillDuringClaim(t *testing.T) {
	for _, victim := range []string{"claimer", "holder"} {
		t.Run(victim, func(t *testing.T) {
			runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, _ []*clustertest.Daemon) {
				waitSettled(t, c, time.Second)
				for i, r := range c.Resources {
					c.ActiveHolders(r)[0].Handler.AddFlow(r, uint32(i))
				}
				var killed atomic.Bool
				c.BeforeClaim = func(from, to *clustertest.Daemon) {
					if from.Self.ID != clustertest.DaemonID("z0", 60) || killed.Swap(true) {
						return
					}
					if victim == "claimer" {
						from.Kill()
					} else {
						to.Kill()
					}
				}
				c.Start("z0", 60)
				time.Sleep(500 * time.Millisecond)
				took := waitSettled(t, c, 6*time.Second)
				t.Logf("one holder each %v after the kill of the %s", took+500*time.Millisecond, victim)
				g.Expect(killed.Load()).To(BeTrue())
				expectDistinctTokens(g, c)
				for i, r := range c.Resources {
					if victim == "claimer" {
						g.Expect(c.ActiveHolders(r)[0].Handler.HasFlow(r, uint32(i))).To(BeTrue(),
							"the former holder must keep the records that it released to the killed claimer")
					}
				}
			})
		})
	}
}

// Guards against records that are lost when a daemon joins while another one leaves.
func TestJoinDuringLeave(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		for i, r := range c.Resources {
			c.ActiveHolders(r)[0].Handler.AddFlow(r, uint32(i))
		}
		c.Start("z1", 70)
		g.Expect(daemons[0].Leave()).To(Succeed())
		waitSettled(t, c, 5*time.Second)
		for i, r := range c.Resources {
			g.Expect(c.ActiveHolders(r)[0].Handler.HasFlow(r, uint32(i))).To(BeTrue())
		}
	})
}

// Guards against records that are lost because the response to a claim is lost after the claim
// took effect.
func TestLostAnswerToClaim(t *testing.T) {
	runInCluster(t, 4, func(g *WithT, c *clustertest.Cluster, _ []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		tokens := map[ownership.Resource]uint64{}
		for i, r := range c.Resources {
			c.ActiveHolders(r)[0].Handler.AddFlow(r, uint32(i))
			tokens[r] = c.ActiveHolders(r)[0].Handler.Token(r)
		}
		joined := c.Start("z1", 80)
		for len(joined.Membership.View().Members) == 1 {
			time.Sleep(time.Millisecond)
		}
		c.SetAnswerLoss(1)
		time.Sleep(300 * time.Millisecond)
		c.SetAnswerLoss(0)
		waitSettled(t, c, 5*time.Second)
		g.Expect(joined.Ownership.NumHeld()).To(BeNumerically(">", 0))
		for i, r := range c.Resources {
			g.Expect(c.ActiveHolders(r)[0].Handler.HasFlow(r, uint32(i))).To(BeTrue())
			g.Expect(c.ActiveHolders(r)[0].Handler.Token(r)).To(Equal(tokens[r]))
		}
	})
}

// Guards against a suspicion that spreads with the regular probes only. The last daemon would then
// drop a dead member up to a second after the first.
func TestSuspicionReachesAllWithin100Milliseconds(t *testing.T) {
	runInCluster(t, 9, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		time.Sleep(5 * time.Second)
		daemons[4].Kill()
		for suspicionCount(daemons, daemons[4]) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		first := time.Now()
		for suspicionCount(daemons, daemons[4]) < 8 {
			time.Sleep(5 * time.Millisecond)
		}
		g.Expect(time.Since(first)).To(BeNumerically("<=", 100*time.Millisecond))
	})
}

// Guards against an admission that is held outside the upstream's zone although a daemon of the
// zone is alive, and against an admission without a holder after all daemons of the zone failed.
func TestAdmissionPrefersZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := clustertest.New(1)
		c.Resources = clustertest.PartitionsAndAdmissions(0, 12)
		c.Zone = func(ownership.Resource) string { return "z1" }
		defer c.StopAll()
		daemons := c.StartAll(6)
		waitSettled(t, c, 2*time.Second)
		time.Sleep(3 * time.Second)
		for _, r := range c.Resources {
			g.Expect(c.ActiveHolders(r)[0].Self.Zone).To(Equal("z1"))
		}
		for _, d := range daemons {
			if d.Self.Zone == "z1" {
				d.Kill()
			}
		}
		waitSettled(t, c, 5*time.Second)
	})
}
