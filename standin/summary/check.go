package summary

import (
	"fmt"
	"sort"
	"strings"

	"github.com/fulmarfield/fulmarfield/standin/loadgen"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
)

const (
	// drainGraceMS is the time after a committed drain in which new flows may still arrive.
	drainGraceMS = 3000
	// listed is the number of names in a violation; the reports hold all.
	listed = 3
	okName = "ok"
	// drainEvent begins the text of the event of a committed drain, before the name.
	drainEvent = "drain "
)

// Violation is something that must never happen.
type Violation struct {
	Rule  string
	Count int64
	// Examples are the first few cases.
	Examples []string
}

func (v Violation) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s: %d %s", v.Rule, v.Count, strings.Join(v.Examples, " ")))
}

type checker struct{ violations []Violation }

func (c *checker) add(rule string, names []string) {
	if len(names) > 0 {
		sort.Strings(names)
		c.violations = append(c.violations, Violation{Rule: rule, Count: int64(len(names)), Examples: names[:min(listed, len(names))]})
	}
}

// Check returns what a run violated. Connections that break before the first fault count as
// broken by a planned change.
func (r *Run) Check() []Violation {
	c := &checker{}
	r.checkComplete(c)
	runs := r.mergedRuns()
	var twice, falseNotRun, wrong, planned, misrouted []string
	for name, run := range runs {
		if run.Count > 1 && !run.Idempotent {
			twice = append(twice, name)
		}
	}
	fault, hasFault := r.firstFault()
	for _, s := range r.Load.Services {
		wrong = append(wrong, s.Wrong...)
		for _, name := range s.NotRun {
			if runs[name].Count > 0 {
				falseNotRun = append(falseNotRun, name)
			}
		}
		for _, b := range s.Broken {
			if !hasFault || b.AtMS < fault {
				planned = append(planned, b.Flow+" ("+b.Cause+")")
			}
		}
	}
	for _, u := range r.Upstreams {
		if u.WrongService > 0 {
			misrouted = append(misrouted, fmt.Sprintf("%s (%d)", u.Name, u.WrongService))
		}
	}
	if n := r.Load.Counters["drop.wrong_flow"]; n > 0 {
		c.violations = append(c.violations, Violation{Rule: "packets to the wrong caller", Count: n})
	}
	c.add("upstreams with packets of another service", misrouted)
	c.add("non-idempotent requests run more than once", twice)
	c.add("false not run", falseNotRun)
	c.add("wrong answers", wrong)
	c.add("connections broken by a planned change", planned)
	c.add("new flows on a draining upstream after 3 s", r.lateOpens())
	c.add("configurations that went back", r.reverts())
	return c.violations
}

// reverts finds balancers that went to an older generation. One that has no configuration
// yet, after a restart, reports generation 0.
func (r *Run) reverts() []string {
	newest := map[string]uint64{}
	var all []string
	for _, s := range r.Seen {
		if s.Generation > 0 && s.Generation < newest[s.Daemon] {
			all = append(all, fmt.Sprintf("%s (%d after %d)", s.Daemon, s.Generation, newest[s.Daemon]))
		}
		newest[s.Daemon] = max(newest[s.Daemon], s.Generation)
	}
	return all
}

// checkComplete refuses a run that proves nothing: without answers, or without the report of
// each upstream.
func (r *Run) checkComplete(c *checker) {
	var idle, missing []string
	for _, s := range r.Load.Services {
		if s.Statuses[okName] == 0 {
			idle = append(idle, s.Name)
		}
	}
	if len(r.Load.Services) == 0 {
		idle = append(idle, "all")
	}
	c.add("services without any answer", idle)
	have := map[string]bool{}
	for _, u := range r.Upstreams {
		have[u.Name] = true
	}
	for _, name := range r.Expected {
		if !have[name] {
			missing = append(missing, name)
		}
	}
	c.add("upstreams without a report", missing)
}

// mergedRuns adds up the runs of each request over all upstreams.
func (r *Run) mergedRuns() map[string]upstream.Run {
	all := map[string]upstream.Run{}
	for _, u := range r.Upstreams {
		for name, run := range u.Runs {
			before, seen := all[name]
			// A request that any upstream took for non-idempotent must run once.
			run.Idempotent = run.Idempotent && (!seen || before.Idempotent)
			run.Count += before.Count
			all[name] = run
		}
	}
	return all
}

func (r *Run) firstFault() (atMS int64, ok bool) {
	for _, e := range r.Events {
		if e.Kind == Fault && (!ok || e.AtMS < atMS) {
			atMS, ok = e.AtMS, true
		}
	}
	return atMS, ok
}

// drained maps the drained upstreams to the Unix time in milliseconds of the commit.
func (r *Run) drained() map[string]int64 {
	drains := map[string]int64{}
	for _, e := range r.Events {
		if name, ok := strings.CutPrefix(e.Text, drainEvent); ok && e.Kind == Planned {
			drains[name] = e.AtMS
		}
	}
	return drains
}

func (r *Run) lateOpens() []string {
	var late []string
	drains := r.drained()
	for _, u := range r.Upstreams {
		if at, ok := drains[u.Name]; ok && u.LastOpenMS > at+drainGraceMS {
			late = append(late, fmt.Sprintf("%s (%d ms after)", u.Name, u.LastOpenMS-at))
		}
	}
	return late
}

// imbalance returns the largest number of flows over the mean for each service address,
// without the given upstreams.
func imbalance(reports []upstream.Report, without map[string]int64) map[string]float64 {
	flows := map[string]map[string]int64{}
	for _, u := range reports {
		if _, left := without[u.Name]; left {
			continue
		}
		if flows[u.Service] == nil {
			flows[u.Service] = map[string]int64{}
		}
		flows[u.Service][u.Name] = int64(u.FlowsKnown)
	}
	ratios := map[string]float64{}
	for service, counts := range flows {
		ratios[service] = loadgen.Imbalance(counts)
	}
	return ratios
}
