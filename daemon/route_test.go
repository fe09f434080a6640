package daemon_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// stepAnswer returns the answer of one step of a route table, or "".
func stepAnswer(rows []string, name string) string {
	for _, r := range rows {
		if answer, found := strings.CutPrefix(r, name+" | "); found {
			return answer
		}
	}
	return ""
}

// queryFlow returns the upstream, the owner and the placement, bucket or exception, of an open flow.
func (c fixture) queryFlow(callerAddress string) (upstream, owner, placement string) {
	c.t.Helper()
	rows := c.rows("schuur-1", "show flows of "+callerAddress)
	c.Expect(rows).To(HaveLen(1))
	cells := strings.Split(rows[0], " | ")
	return cells[2], cells[3], cells[4]
}

// Guards against daemons that return different routes for one flow, against unknown values that the
// flow's owner can provide, and against a guess if the owner does not respond.
func TestDaemonsAgreeOnARoute(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		f := c.openFlow("bindery")
		c.sendRequest(f)
		callerAddress := f.Key().Caller().String()
		upstream, owner, _ := c.queryFlow(callerAddress)
		want := c.rows(owner, "show route of "+callerAddress+" to bindery")
		c.Expect(stepAnswer(want, "flow owner")).To(HavePrefix(owner + ", which holds partition "))
		c.Expect(stepAnswer(want, "bucket")).To(MatchRegexp(`^\d+, upstream ` + upstream + `, stable$`))
		c.Expect(stepAnswer(want, "record")).To(HavePrefix("on " + upstream + ", on its bucket's upstream"))
		c.Expect(stepAnswer(want, "next packet")).To(Equal("goes to " + upstream))
		for _, d := range c.Live() {
			c.Expect(c.rows(string(d.Member.ID), "show route of "+callerAddress+" to bindery")).To(Equal(want))
		}
		c.Kill(owner)
		time.Sleep(100 * time.Millisecond)
		rows := c.rows(string(c.Live()[0].Member.ID), "show route of "+callerAddress+" to bindery")
		c.Expect(stepAnswer(rows, "flow owner")).To(Equal(owner + ", which did not answer"))
		for _, name := range []string{"record", "next packet"} {
			c.Expect(stepAnswer(rows, name)).To(Equal("unknown: the flow owner cannot be asked"), name)
		}
		c.Expect(stepAnswer(rows, "bucket")).To(HaveSuffix(", upstream unknown: the flow owner cannot be asked"))
	})
}

// Guards against a wrong prediction for a new flow, and against a wrong answer for an open flow without
// a record.
func TestRouteOfAFlowWithoutARecord(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		c.mustCommit("schuur-1", "drain upstream bindery-1", "drain-1")
		time.Sleep(time.Second)
		for range 20 {
			// The cluster assigns caller addresses in order, so that the next address can be predicted.
			probe := c.openFlow("galerij")
			address := probe.Key().Caller().Addr().Next().String() + ":40000"
			at := c.Live()[int(probe.Key().Hash()%6)]
			rows := c.rows(string(at.Member.ID), "show route of "+address+" to bindery")
			c.Expect(stepAnswer(rows, "record")).To(Equal("none"))
			f := c.openFlow("bindery")
			c.Expect(f.Key().Caller().String()).To(Equal(address))
			c.sendRequest(f)
			upstream, owner, _ := c.queryFlow(address)
			c.Expect(stepAnswer(rows, "flow owner")).To(HavePrefix(owner + ", which holds partition "))
			c.Expect(stepAnswer(rows, "new flow")).To(HavePrefix("opens on " + upstream + ", "))
			c.Expect(stepAnswer(rows, "open flow")).To(Or(HavePrefix("goes to "), MatchRegexp(`^[a-z]+-\d(, [a-z]+-\d)* are asked for its record`)))
		}
	})
}

// Guards against a route that does not report an exception, or that does not name the upstream that the
// flow stays on.
func TestRouteOfAnException(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		f := c.openFlow("bindery")
		c.sendRequest(f)
		callerAddress := f.Key().Caller().String()
		upstream, owner, _ := c.queryFlow(callerAddress)
		c.mustCommit("schuur-1", "drain upstream "+upstream, "drain-1")
		time.Sleep(2 * time.Second)
		for _, d := range c.Live() {
			rows := c.rows(string(d.Member.ID), "show route of "+callerAddress+" to bindery")
			c.Expect(stepAnswer(rows, "flow owner")).To(HavePrefix(owner + ", which holds partition "))
			c.Expect(stepAnswer(rows, "record")).To(HavePrefix("on " + upstream + ", exception"))
			c.Expect(stepAnswer(rows, "next packet")).To(Equal("goes to " + upstream))
			c.Expect(stepAnswer(rows, "bucket")).To(HaveSuffix(", changed within the idle limit"))
			c.Expect(slices.ContainsFunc(rows, func(r string) bool { return strings.Contains(r, "unknown") })).To(BeFalse())
		}
	})
}

// Guards against a route that names an owner on the other side of a network partition as if it could be
// reached.
func TestRouteInAnIsolatedZone(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		f := c.openFlow("bindery")
		c.sendRequest(f)
		callerAddress := f.Key().Caller().String()
		_, owner, _ := c.queryFlow(callerAddress)
		for _, zone := range []int{1, 2, testcluster.PlatformZone} {
			c.Cut(3, zone)
		}
		time.Sleep(200 * time.Millisecond)
		at := "winkel-1"
		if strings.HasPrefix(owner, "winkel") {
			at = "schuur-1"
		}
		rows := c.rows(at, "show route of "+callerAddress+" to bindery")
		c.Expect(stepAnswer(rows, "next packet")).To(Equal("unknown: the flow owner cannot be asked"))
	})
}
