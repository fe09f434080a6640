package daemon_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// freshness returns the freshness metadata of a response of the daemon.
func (c fixture) freshness(daemon string) *pb.Basis {
	c.t.Helper()
	return c.runLine(daemon, "show daemons", "").GetBasis()
}

// Guards against a daemon that is reported as missing indefinitely after it left or its VM was removed,
// and against an unreachable daemon that is not reported although it may still serve.
func TestMissingDaemons(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		c.Expect(c.freshness("schuur-1").GetMissing()).To(BeEmpty())
		c.Expect(c.Stop(context.Background(), "winkel-1")).To(Succeed())
		time.Sleep(5 * time.Second)
		c.Expect(c.freshness("schuur-1").GetMissing()).To(BeEmpty(), "a daemon that left")
		c.Kill("winkel-2")
		for _, wait := range []time.Duration{100 * time.Millisecond, 5 * time.Second, time.Minute} {
			time.Sleep(wait)
			c.Expect(c.freshness("schuur-1").GetMissing()).To(Equal([]string{"winkel-2"}))
		}
		c.Platform.RemoveVM("winkel-2")
		time.Sleep(5 * time.Second)
		c.Expect(c.freshness("schuur-1").GetMissing()).To(BeEmpty(), "a daemon whose VM was removed")
		c.Platform.SetOutage(true)
		c.Expect(c.freshness("schuur-1").GetMissing()).To(ContainElement("winkel-2"), "no VM list confirms that the VM was removed")
	})
}

// Guards against a response from one side of a network partition that appears complete.
func TestResponsesInAnIsolatedZone(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		for _, zone := range []int{1, 2, testcluster.PlatformZone} {
			c.Cut(3, zone)
		}
		time.Sleep(10 * time.Second)
		inside, outside := c.freshness("winkel-1"), c.freshness("schuur-1")
		c.Expect(inside.GetHeard()).To(Equal([]string{"winkel-1", "winkel-2"}))
		c.Expect(inside.GetMissing()).To(Equal([]string{"droogvloer-1", "droogvloer-2", "schuur-1", "schuur-2"}))
		c.Expect(inside.GetPlatformReachable()).To(BeFalse())
		c.Expect(outside.GetMissing()).To(Equal([]string{"winkel-1", "winkel-2"}))
		c.Expect(outside.GetPlatformReachable()).To(BeTrue())
		c.Expect(c.rows("winkel-1", "show connections of bindery")[0]).To(ContainSubstring("at least"))
		c.Expect(c.runLine("winkel-1", "drain upstream bindery-1", "in-1").GetReason()).To(ContainSubstring("nothing was committed"))
		r := c.runLine("schuur-1", "drain upstream bindery-1", "out-1")
		c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
		c.Expect(r.GetNotConfirmed()).To(Equal([]string{"winkel-1", "winkel-2"}))
		for _, zone := range []int{1, 2, testcluster.PlatformZone} {
			c.Heal(3, zone)
		}
		time.Sleep(20 * time.Second)
		healed := c.freshness("winkel-1")
		c.Expect(healed.GetMissing()).To(BeEmpty())
		c.Expect(healed.GetGeneration()).To(Equal(uint64(2)))
		c.Expect(healed.GetPlatformReachable()).To(BeTrue())
	})
}

// Guards against a change that is reported as refused or committed although the daemon cannot know the
// outcome: the write took effect, its response was lost, and the platform became unavailable before the
// daemon could read the write back.
func TestUnknownOutcomeIsReportedAndResolvedLater(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		store := c.Platform.Store(netip.MustParseAddr("127.1.1.1"))
		before, err := store.Get(context.Background(), commit.HeadKey)
		c.Expect(err).NotTo(HaveOccurred())
		c.Platform.LoseAnswerShare(1)
		answers := make(chan *pb.RunResponse)
		go func() { answers <- c.runLine("schuur-1", "drain upstream bindery-1", "drain-1") }()
		for {
			now, err := store.Get(context.Background(), commit.HeadKey)
			c.Expect(err).NotTo(HaveOccurred())
			if now.Version != before.Version {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.Platform.SetOutage(true)
		r := <-answers
		c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_UNKNOWN))
		c.Expect(r.GetChangeId()).To(Equal("drain-1"))
		c.Platform.SetOutage(false)
		c.Expect(c.rows("winkel-1", "show change drain-1")[0]).To(HavePrefix("drain-1 | committed | 2"))
		c.Platform.LoseAnswerShare(0)
		c.Expect(c.runLine("winkel-1", "drain upstream bindery-1", "drain-1").GetOutcome()).To(Equal(pb.Outcome_OUTCOME_UNCHANGED))
	})
}

// Guards against two conflicting concurrent commands that are both reported as committed while the
// platform is slow, and against a command that waits for a slow platform without a time limit.
func TestConcurrentChangesOnASlowPlatform(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		c.Platform.SetDelay(300 * time.Millisecond)
		outcomes := make(chan *pb.RunResponse)
		for at, line := range map[string]string{"schuur-1": "drain upstream bindery-1", "winkel-2": "remove upstream bindery-1 force"} {
			go func() { outcomes <- c.runLine(at, line, "race-"+at) }()
		}
		committed := 0
		for range 2 {
			r := <-outcomes
			if r.GetOutcome() == pb.Outcome_OUTCOME_COMMITTED {
				committed++
				continue
			}
			c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_REFUSED))
			c.Expect(r.GetReason()).To(And(ContainSubstring("another change was committed first"), ContainSubstring("generation 2 by anna")))
		}
		c.Expect(committed).To(Equal(1))
		c.Platform.SetDelay(time.Hour)
		started := time.Now()
		r := c.runLine("schuur-1", "drain upstream bindery-2", "slow-1")
		c.Expect(r.GetOutcome()).To(BeElementOf(pb.Outcome_OUTCOME_REFUSED, pb.Outcome_OUTCOME_UNKNOWN))
		c.Expect(r.GetBasis().GetPlatformReachable()).To(BeFalse())
		c.Expect(time.Since(started)).To(BeNumerically("<", 15*time.Second))
		c.Platform.SetDelay(0)
	})
}

// Guards against a response without freshness metadata, also to an invalid line.
func TestEveryResponseHasFreshness(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		for _, line := range []string{"show services", "show", "dance", "drain upstream", "drain upstream none", "set aim of bindery balance"} {
			b := c.runLine("schuur-1", line, "change-"+line).GetBasis()
			c.Expect(b.GetGeneration()).NotTo(BeZero(), line)
			c.Expect(b.GetHeard()).NotTo(BeEmpty(), line)
		}
	})
}
