package daemon_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// fixture is a cluster whose declaration is in force, with methods to use it as an operator or as a
// caller.
type fixture struct {
	*testcluster.Cluster
	Gomega
	t *testing.T
}

// runWithCluster runs a test on a new cluster in virtual time.
func runWithCluster(t *testing.T, o testcluster.Options, test func(c fixture)) {
	synctest.Test(t, func(t *testing.T) {
		if o.Declaration == "" {
			o.Declaration = "../deployments/hopkrans-hoeve.yaml"
		}
		o.Seed = 1
		c := fixture{testcluster.Start(t, o), NewWithT(t), t}
		defer c.Close()
		r, err := c.Apply(context.Background(), "schuur-1", "apply-1", "anna")
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
		time.Sleep(2 * time.Second)
		test(c)
	})
}

// runLine sends a line of the operators' language to a daemon.
func (c fixture) runLine(daemon, line, id string) *pb.RunResponse {
	c.t.Helper()
	r, err := c.Run(context.Background(), daemon, line, id, "anna")
	c.Expect(err).NotTo(HaveOccurred())
	return r
}

// mustCommit runs a command and checks that it is committed.
func (c fixture) mustCommit(daemon, line, id string) {
	c.t.Helper()
	r := c.runLine(daemon, line, id)
	c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMMITTED), line+": "+r.GetReason())
}

// rows returns the rows of the table of a query, with cells joined by " | ".
func (c fixture) rows(daemon, line string) []string {
	c.t.Helper()
	r := c.runLine(daemon, line, "")
	c.Expect(r.GetErrors()).To(BeEmpty(), line)
	var rows []string
	for _, row := range r.GetTable().GetRows() {
		rows = append(rows, strings.Join(row.GetCells(), " | "))
	}
	return rows
}

// openFlow opens a flow to a service.
func (c fixture) openFlow(service string) *caller.Flow {
	c.t.Helper()
	f, err := c.Open(context.Background(), service)
	c.Expect(err).NotTo(HaveOccurred())
	return f
}

// sendRequest sends a request on a flow and checks that it succeeds.
func (c fixture) sendRequest(f *caller.Flow) {
	c.t.Helper()
	a, err := f.Request(context.Background(), caller.Request{Payload: []byte("ask"), Deadline: 5 * time.Second})
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(a.Status).To(Equal(pb.Status_STATUS_OK))
}

// Guards against a drain of the last active daemon, whose resources no other daemon can take over.
func TestTheLastDaemonIsNotDrained(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		for _, name := range []string{"schuur-1", "schuur-2", "droogvloer-1", "droogvloer-2", "winkel-2"} {
			c.mustCommit("winkel-1", "drain daemon "+name, "drain-"+name)
			time.Sleep(3 * time.Second)
		}
		r := c.runLine("winkel-1", "drain daemon winkel-1", "drain-last")
		c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_REFUSED))
		c.Expect(r.GetReason()).To(ContainSubstring("no other declared daemon is active"))
		c.sendRequest(c.openFlow("bindery"))
	})
}

// Guards against an abort that finds only the few changes of the configuration that daemons relay, that
// reverses another change, or that reports success although it has no effect.
func TestAbortReversesItsChangeOnly(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		c.mustCommit("schuur-1", "drain upstream bindery-1", "drain-1")
		time.Sleep(time.Second)
		c.mustCommit("schuur-1", "drain upstream bindery-2", "drain-2")
		for _, n := range []string{"21", "22", "23", "24", "25", "26"} {
			c.mustCommit("schuur-1", "set limit of galerij queue-length "+n, "limit-"+n)
		}
		c.mustCommit("winkel-1", "drain daemon schuur-2", "drain-3")
		time.Sleep(time.Second)
		c.mustCommit("winkel-1", "abort drain-1", "abort-1")
		time.Sleep(time.Second)
		c.Expect(c.rows("winkel-1", "show upstreams of bindery")).To(ContainElements(
			MatchRegexp(`^bindery-1 \|.*\| active \|`), MatchRegexp(`^bindery-2 \|.*\| draining \|`)))
		c.mustCommit("winkel-1", "abort drain-3", "abort-3")
		c.Expect(c.rows("winkel-1", "show change abort-3")[0]).To(ContainSubstring("daemon schuur-2 is active"))
		again := c.runLine("winkel-1", "abort drain-1", "abort-again")
		c.Expect(again.GetReason()).To(ContainSubstring("change began no drain that is still going on"))
		c.Expect(c.runLine("winkel-1", "abort drain-1", "abort-1").GetOutcome()).To(Equal(pb.Outcome_OUTCOME_UNCHANGED))
		c.Expect(c.runLine("winkel-1", "abort nothing", "abort-4").GetReason()).To(HavePrefix(`column 7 of "abort nothing": change id is not among`))
	})
}

// Guards against "not committed" for a change that may have been committed, and against a history
// without the source that it was read from.
func TestOutcomeOfAChange(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		for _, n := range []string{"21", "22", "23", "24", "25", "26"} {
			c.mustCommit("schuur-1", "set limit of galerij queue-length "+n, "limit-"+n)
		}
		c.Expect(c.rows("winkel-2", "show change limit-21")[0]).To(HavePrefix("limit-21 | committed | 2 | anna"))
		c.Expect(c.rows("winkel-2", "show change never")[0]).To(HavePrefix("never | not committed"))
		c.Expect(c.rows("winkel-2", "show history")).To(HaveLen(7))
		c.Platform.SetOutage(true)
		time.Sleep(time.Second)
		c.Expect(c.rows("winkel-2", "show change never")[0]).To(HavePrefix("never | unknown"))
		c.Expect(c.rows("winkel-2", "show change limit-26")[0]).To(HavePrefix("limit-26 | committed"))
		history := c.runLine("winkel-2", "show history", "")
		c.Expect(history.GetBasis().GetPlatformReachable()).To(BeFalse())
		c.Expect(history.GetTable().GetRows()[0].GetCells()).To(ContainElement("daemon"))
	})
}

// Guards against a drain query that omits the requests that the drain waits for.
func TestDrainListsItsBlockers(t *testing.T) {
	runWithCluster(t, testcluster.Options{MeanService: 2 * time.Second}, func(c fixture) {
		f := c.openFlow("bindery")
		done := make(chan struct{})
		go func() { defer close(done); c.sendRequest(f) }()
		time.Sleep(time.Second)
		upstream := strings.Split(c.rows("schuur-1", "show flows of "+f.Key().Caller().String())[0], " | ")[2]
		rows := c.rows("schuur-1", "show drain of "+upstream)
		holder := strings.TrimPrefix(rows[4], "admission held by | ")
		c.Expect(c.rows(holder, "show drain of "+upstream)).To(ContainElement(
			MatchRegexp(`^blocked by \| request \d+ of ` + f.Key().Caller().String() + `, in progress for .*s, .*s to its deadline$`)))
		<-done
	})
}
