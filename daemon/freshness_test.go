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

func (c operators) basis(at string) *pb.Basis {
	c.t.Helper()
	return c.run(at, "show daemons", "").GetBasis()
}

// Guards against a daemon that is named as missing for ever after it left or died, and against
// one that is left out while it may still serve.
func TestMissingDaemons(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		c.Expect(c.basis("schuur-1").GetMissing()).To(BeEmpty())
		c.Expect(c.Stop(context.Background(), "winkel-1")).To(Succeed())
		time.Sleep(5 * time.Second)
		c.Expect(c.basis("schuur-1").GetMissing()).To(BeEmpty(), "a daemon that left")
		c.Kill("winkel-2")
		for _, wait := range []time.Duration{100 * time.Millisecond, 5 * time.Second, time.Minute} {
			time.Sleep(wait)
			c.Expect(c.basis("schuur-1").GetMissing()).To(Equal([]string{"winkel-2"}))
		}
		c.Platform.RemoveVM("winkel-2")
		time.Sleep(5 * time.Second)
		c.Expect(c.basis("schuur-1").GetMissing()).To(BeEmpty(), "a VM that is gone")
		c.Platform.SetOutage(true)
		c.Expect(c.basis("schuur-1").GetMissing()).To(ContainElement("winkel-2"), "nobody can say that its VM is gone")
	})
}

// Guards against an answer from one side of a cut that looks complete.
func TestAnswersOfAZoneCutOff(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		for _, zone := range []int{1, 2, testcluster.PlatformZone} {
			c.Cut(3, zone)
		}
		time.Sleep(10 * time.Second)
		inside, outside := c.basis("winkel-1"), c.basis("schuur-1")
		c.Expect(inside.GetHeard()).To(Equal([]string{"winkel-1", "winkel-2"}))
		c.Expect(inside.GetMissing()).To(Equal([]string{"droogvloer-1", "droogvloer-2", "schuur-1", "schuur-2"}))
		c.Expect(inside.GetPlatformReachable()).To(BeFalse())
		c.Expect(outside.GetMissing()).To(Equal([]string{"winkel-1", "winkel-2"}))
		c.Expect(outside.GetPlatformReachable()).To(BeTrue())
		c.Expect(c.rows("winkel-1", "show connections of bindery")[0]).To(ContainSubstring("at least"))
		c.Expect(c.run("winkel-1", "drain upstream bindery-1", "in-1").GetReason()).To(ContainSubstring("nothing was committed"))
		r := c.run("schuur-1", "drain upstream bindery-1", "out-1")
		c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
		c.Expect(r.GetNotConfirmed()).To(Equal([]string{"winkel-1", "winkel-2"}))
		for _, zone := range []int{1, 2, testcluster.PlatformZone} {
			c.Heal(3, zone)
		}
		time.Sleep(20 * time.Second)
		healed := c.basis("winkel-1")
		c.Expect(healed.GetMissing()).To(BeEmpty())
		c.Expect(healed.GetGeneration()).To(Equal(uint64(2)))
		c.Expect(healed.GetPlatformReachable()).To(BeTrue())
	})
}

// Guards against an outcome that is guessed: the write took effect, its answer was lost and
// the platform was gone before it could be read back.
func TestUnknownOutcomeIsSaidAndResolvedLater(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		store := c.Platform.Store(netip.MustParseAddr("127.1.1.1"))
		before, err := store.Get(context.Background(), commit.HeadKey)
		c.Expect(err).NotTo(HaveOccurred())
		c.Platform.LoseAnswerShare(1)
		answers := make(chan *pb.RunResponse)
		go func() { answers <- c.run("schuur-1", "drain upstream bindery-1", "drain-1") }()
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
		c.Expect(c.run("winkel-1", "drain upstream bindery-1", "drain-1").GetOutcome()).To(Equal(pb.Outcome_OUTCOME_UNCHANGED))
	})
}

// Guards against two operators who both believe that their command is in force, whatever the
// platform does, and against a command that waits for a slow platform without end.
func TestTwoOperatorsAtOnceOnASlowPlatform(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		c.Platform.SetDelay(300 * time.Millisecond)
		outcomes := make(chan *pb.RunResponse)
		for at, line := range map[string]string{"schuur-1": "drain upstream bindery-1", "winkel-2": "remove upstream bindery-1 force"} {
			go func() { outcomes <- c.run(at, line, "race-"+at) }()
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
		r := c.run("schuur-1", "drain upstream bindery-2", "slow-1")
		c.Expect(r.GetOutcome()).To(BeElementOf(pb.Outcome_OUTCOME_REFUSED, pb.Outcome_OUTCOME_UNKNOWN))
		c.Expect(r.GetBasis().GetPlatformReachable()).To(BeFalse())
		c.Expect(time.Since(started)).To(BeNumerically("<", 15*time.Second))
		c.Platform.SetDelay(0)
	})
}

// Guards against an answer without what it rests on, also when the line is wrong.
func TestEveryAnswerCarriesItsBasis(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		for _, line := range []string{"show services", "show", "dance", "drain upstream", "drain upstream none", "set aim of bindery balance"} {
			b := c.run("schuur-1", line, "change-"+line).GetBasis()
			c.Expect(b.GetGeneration()).NotTo(BeZero(), line)
			c.Expect(b.GetHeard()).NotTo(BeEmpty(), line)
		}
	})
}
