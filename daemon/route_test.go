package daemon_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// step returns the answer of one step of a route.
func step(rows []string, name string) string {
	for _, r := range rows {
		if answer, found := strings.CutPrefix(r, name+" | "); found {
			return answer
		}
	}
	return ""
}

// flowRow returns the upstream, the owner and the kind of an open flow.
func (c operators) flowRow(who string) (upstream, owner, on string) {
	c.t.Helper()
	rows := c.rows("schuur-1", "show flows of "+who)
	c.Expect(rows).To(HaveLen(1))
	cells := strings.Split(rows[0], " | ")
	return cells[2], cells[3], cells[4]
}

// Guards against daemons that answer differently for one flow, against unknown for what the
// flow's owner could tell, and against a guess when the owner cannot be asked.
func TestRouteIsTheSameFromEachDaemon(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		f := c.open("bindery")
		c.ask(f)
		who := f.Key().Caller().String()
		upstream, owner, _ := c.flowRow(who)
		want := c.rows(owner, "show route of "+who+" to bindery")
		c.Expect(step(want, "flow owner")).To(HavePrefix(owner + ", which holds partition "))
		c.Expect(step(want, "bucket")).To(MatchRegexp(`^\d+, upstream ` + upstream + `, stable$`))
		c.Expect(step(want, "record")).To(HavePrefix("on " + upstream + ", on its bucket's upstream"))
		c.Expect(step(want, "next packet")).To(Equal("goes to " + upstream))
		for _, d := range c.Live() {
			c.Expect(c.rows(string(d.Member.ID), "show route of "+who+" to bindery")).To(Equal(want))
		}
		c.Kill(owner)
		time.Sleep(100 * time.Millisecond)
		rows := c.rows(string(c.Live()[0].Member.ID), "show route of "+who+" to bindery")
		c.Expect(step(rows, "flow owner")).To(Equal(owner + ", which did not answer"))
		for _, name := range []string{"record", "next packet"} {
			c.Expect(step(rows, name)).To(Equal("unknown: the flow owner cannot be asked"), name)
		}
		c.Expect(step(rows, "bucket")).To(HaveSuffix(", upstream unknown: the flow owner cannot be asked"))
	})
}

// Guards against a prediction for a new flow, or for an open one without a record, that does
// not come true.
func TestRouteOfAFlowWithoutARecord(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		c.commit("schuur-1", "drain upstream bindery-1", "drain-1")
		time.Sleep(time.Second)
		for range 20 {
			// Caller addresses are given in order, so that the next one can be predicted.
			probe := c.open("galerij")
			address := probe.Key().Caller().Addr().Next().String() + ":40000"
			at := c.Live()[int(probe.Key().Hash()%6)]
			rows := c.rows(string(at.Member.ID), "show route of "+address+" to bindery")
			c.Expect(step(rows, "record")).To(Equal("none"))
			f := c.open("bindery")
			c.Expect(f.Key().Caller().String()).To(Equal(address))
			c.ask(f)
			upstream, owner, _ := c.flowRow(address)
			c.Expect(step(rows, "flow owner")).To(HavePrefix(owner + ", which holds partition "))
			c.Expect(step(rows, "new flow")).To(HavePrefix("opens on " + upstream + ", "))
			c.Expect(step(rows, "open flow")).To(Or(HavePrefix("goes to "), MatchRegexp(`^[a-z]+-\d(, [a-z]+-\d)* are asked for its record`)))
		}
	})
}

// Guards against a route that does not tell an exception, or names another upstream than the
// one that the flow stays on.
func TestRouteOfAnException(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		f := c.open("bindery")
		c.ask(f)
		who := f.Key().Caller().String()
		upstream, owner, _ := c.flowRow(who)
		c.commit("schuur-1", "drain upstream "+upstream, "drain-1")
		time.Sleep(2 * time.Second)
		for _, d := range c.Live() {
			rows := c.rows(string(d.Member.ID), "show route of "+who+" to bindery")
			c.Expect(step(rows, "flow owner")).To(HavePrefix(owner + ", which holds partition "))
			c.Expect(step(rows, "record")).To(HavePrefix("on " + upstream + ", exception"))
			c.Expect(step(rows, "next packet")).To(Equal("goes to " + upstream))
			c.Expect(step(rows, "bucket")).To(HaveSuffix(", changed within the idle limit"))
			c.Expect(slices.ContainsFunc(rows, func(r string) bool { return strings.Contains(r, "unknown") })).To(BeFalse())
		}
	})
}

// Guards against an answer from a zone that is cut off which takes the other side's owner for
// its own, or the other way round.
func TestRouteInAZoneCutOff(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		f := c.open("bindery")
		c.ask(f)
		who := f.Key().Caller().String()
		_, owner, _ := c.flowRow(who)
		for _, zone := range []int{1, 2, testcluster.PlatformZone} {
			c.Cut(3, zone)
		}
		time.Sleep(200 * time.Millisecond)
		at := "winkel-1"
		if strings.HasPrefix(owner, "winkel") {
			at = "schuur-1"
		}
		rows := c.rows(at, "show route of "+who+" to bindery")
		c.Expect(step(rows, "next packet")).To(Equal("unknown: the flow owner cannot be asked"))
	})
}
