package daemon_test

import (
	"context"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// plan returns the plan of a declaration.
func (c fixture) plan(text string) *pb.PlanResponse {
	c.t.Helper()
	r, err := c.Daemon("schuur-1").Node.OperatorService().Plan(context.Background(),
		connect.NewRequest(&pb.PlanRequest{FileName: "new.yaml", Declaration: []byte(text)}))
	c.Expect(err).NotTo(HaveOccurred())
	return r.Msg
}

// apply applies a declaration without force.
func (c fixture) apply(text, id string, expected uint64) *pb.ApplyResponse {
	c.t.Helper()
	return c.applyWith(text, id, expected, false)
}

func (c fixture) applyWith(text, id string, expected uint64, force bool) *pb.ApplyResponse {
	c.t.Helper()
	r, err := c.Daemon("winkel-1").Node.OperatorService().Apply(context.Background(), connect.NewRequest(&pb.ApplyRequest{
		FileName: "new.yaml", Declaration: []byte(text), ChangeId: id, Author: "anna", ExpectedGeneration: expected, WaitMs: 3000, Force: force,
	}))
	c.Expect(err).NotTo(HaveOccurred())
	return r.Msg
}

// Guards against a plan that omits the flows that a change would break, and against an apply that
// overwrites another operator's change, applies a declaration of another deployment, or commits the
// same change twice.
func TestPlanAndApply(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		f := c.openFlow("bindery")
		c.sendRequest(f)
		upstream := strings.Split(c.rows("schuur-1", "show flows of "+f.Key().Caller().String())[0], " | ")[2]
		same := string(c.DeclarationText)
		c.Expect(c.plan(same).GetLines()).To(ContainElement("no bucket moves; no established flow is touched"))
		without := regexp.MustCompile(`(?m)^.*\bname: `+upstream+`\b.*\n`).ReplaceAllString(same, "")
		c.Expect(without).NotTo(Equal(same))
		lines := c.plan(without).GetLines()
		c.Expect(lines).To(ContainElements(
			"bindery: upstream "+upstream+" loses buckets, 6.7 % to 0.0 %",
			"bindery: removing upstream "+upstream+" ends 1",
			"established flows on upstreams that lose buckets: 1; flows that break: 1"))
		draining := strings.Replace(strings.Replace(same, "name: "+upstream+", ", "name: "+upstream+", state: draining, ", 1),
			"127.1.1.57:9000\", slots: 2", "127.1.1.57:9000\", slots: 3", 1)
		c.Expect(c.plan(draining).GetLines()).To(ContainElements(
			"bindery: upstream "+upstream+" loses buckets, 6.7 % to 0.0 %; established flows that stay: 1",
			MatchRegexp(`^bindery: upstream bindery-\d+ gains buckets, 6.7 % to 7.1 %$`),
			"galerij: upstream galerij-4 gains slots, 2 to 3",
			"established flows on upstreams that lose buckets: 1; flows that break: 0"))
		c.Expect(c.rows("schuur-1", "show history")).To(HaveLen(1), "a plan changes nothing")

		c.Expect(c.apply(without, "apply-2", 7).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_REFUSED), "expected generation")
		c.Expect(c.apply(without, "apply-2", 1).GetReason()).To(ContainSubstring("upstream is not draining"))
		done := c.applyWith(without, "apply-2", 1, true)
		c.Expect(done.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
		c.Expect(done.GetInForce()).To(HaveLen(6))
		for _, id := range []string{"apply-2", "apply-3"} {
			again := c.apply(without, id, 0)
			c.Expect(again.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_UNCHANGED))
			c.Expect(again.GetGeneration()).To(Equal(uint64(2)))
		}
		other, err := os.ReadFile("../deployments/kelpiestone-engraving.yaml")
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(c.plan(string(other)).GetErrors()).To(ConsistOf(ContainSubstring("declaration is of another deployment")))
		refused := c.apply(string(other), "apply-4", 0)
		c.Expect(refused.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_REFUSED))
		c.Expect(refused.GetReason()).To(ContainSubstring("declaration is of another deployment"))
		faulty := c.apply("zones: 3\n", "apply-5", 0)
		c.Expect(faulty.GetErrors()).To(ContainElement(MatchRegexp(`^new.yaml:\d+: zones`)))
	})
}

// Guards against a removal without force that breaks established flows: of an active upstream, of a
// draining one that still has flows, and while a daemon that may have flows does not respond.
func TestRemovalThatEndsFlowsIsRefused(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		f := c.openFlow("galerij")
		c.sendRequest(f)
		name := strings.Split(c.rows("schuur-1", "show flows of "+f.Key().Caller().String())[0], " | ")[2]
		without := regexp.MustCompile(`(?m)^.*\bname: `+name+`\b.*\n`).ReplaceAllString(string(c.DeclarationText), "")
		refused := func(reason string) {
			r := c.runLine("schuur-1", "remove upstream "+name, "remove-"+reason)
			c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_REFUSED))
			c.Expect(r.GetReason()).To(ContainSubstring(reason))
			c.Expect(r.GetReason()).To(ContainSubstring("allowed: "))
			applied := c.apply(without, "apply-"+reason, 0)
			c.Expect(applied.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_REFUSED))
			c.Expect(applied.GetReason()).To(ContainSubstring(reason))
		}
		refused("upstream is not draining")
		c.mustCommit("schuur-1", "drain upstream "+name, "drain-1")
		time.Sleep(5 * time.Second)
		refused("has established flows")
		c.sendRequest(f)
		f.Close()
		time.Sleep(time.Second)
		c.Kill("winkel-2")
		time.Sleep(5 * time.Second)
		refused("daemons did not answer: winkel-2")
		c.mustCommit("schuur-1", "remove upstream "+name+" force", "remove-1")
	})
}

// Guards against a removal that is refused although the upstream is drained and has no flows.
func TestDrainedUpstreamIsRemoved(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		f := c.openFlow("galerij")
		c.sendRequest(f)
		name := strings.Split(c.rows("schuur-1", "show flows of "+f.Key().Caller().String())[0], " | ")[2]
		c.mustCommit("schuur-1", "drain upstream "+name, "drain-1")
		f.Close()
		time.Sleep(5 * time.Second)
		c.mustCommit("schuur-1", "remove upstream "+name, "remove-1")
	})
}
