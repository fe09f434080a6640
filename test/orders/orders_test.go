package orders_test

import (
	"flag"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// CI plays the same few scenarios in each run, with less variety than the order in which goroutines run.
// -rapid.seed=0 -rapid.checks=20000 draws others.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "30")

var showCounts = flag.Bool("orders.counts", false, "print how often each verdict was reached")

// withKinds selects scenarios with more kinds of events each.
var withKinds = flag.String("orders.with", "", "names of kinds of events that each scenario has, separated by commas")

// shrinkPlays is how often a scenario is played while a failure is shrunk: goroutines run in another order each
// time, so that a failure does not always show.
const shrinkPlays = 6

// Guards against orders of events in which callers or upstreams see a broken rule. A failing run is shrunk to
// few events and printed as a scenario.
func TestOrders(t *testing.T) {
	total, runs, sent, answered := map[string]int{}, 0, 0, 0
	failures := map[string]string{}
	rapid.Check(t, func(rt *rapid.T) {
		s := draw(rt)
		plays := 1
		if len(failures) > 0 {
			plays = shrinkPlays
		}
		for ; plays > 0 && failures[s.String()] == ""; plays-- {
			j := play(t, s)
			runs++
			sent, answered = sent+j.sent, answered+j.answered
			for name, n := range j.counts {
				total[name] += n
			}
			for _, e := range s.Events {
				total["event "+e.Kind.String()]++
			}
			if len(j.violations) > 0 {
				failures[s.String()] = j.violations[0]
			}
		}
		if violation := failures[s.String()]; violation != "" {
			rt.Fatalf("%s\n%s", s, violation)
		}
	})
	if *showCounts {
		t.Logf("%d runs, %d of %d requests answered", runs, answered, sent)
		for _, name := range slices.Sorted(maps.Keys(total)) {
			t.Logf("%9d %s", total[name], name)
		}
	}
}
