package summary

import (
	"fmt"
	"sort"
	"strings"

	"github.com/fulmarfield/fulmarfield/standin/loadgen"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
)

const (
	// drainGraceMS is the time after a committed drain during which new flows may still arrive.
	drainGraceMS = 3000
	// maxExamples limits the names in a violation; the reports contain all of them.
	maxExamples = 3
	okStatus    = "ok"
	// drainEvent is the prefix of the text of a committed drain's event; the upstream's name follows.
	drainEvent = "drain "
)

// Violation is a violated invariant of a run.
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
		c.violations = append(c.violations, Violation{Rule: rule, Count: int64(len(names)), Examples: names[:min(maxExamples, len(names))]})
	}
}

// Check returns the invariants that a run violated. Connections that break before the first fault
// count as broken by a planned change.
func (r *Run) Check() []Violation {
	c := &checker{}
	r.checkComplete(c)
	runs := r.mergedRuns()
	var ranTwice, falseNotRun, wrong, planned, misrouted []string
	for name, run := range runs {
		if run.Count > 1 && !run.Idempotent {
			ranTwice = append(ranTwice, name)
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
	c.add("non-idempotent requests run more than once", ranTwice)
	c.add("false not run", falseNotRun)
	c.add("wrong answers", wrong)
	c.add("connections broken by a planned change", planned)
	c.add("new flows on a draining upstream after 3 s", r.lateOpens())
	c.add("configurations that went back", r.generationRollbacks())
	return c.violations
}

// generationRollbacks lists the balancers whose configuration went back to an older generation. It
// ignores generation 0, which a balancer without a configuration reports after a restart.
func (r *Run) generationRollbacks() []string {
	newest := map[string]uint64{}
	var all []string
	for _, s := range r.ObservedGenerations {
		if s.Generation > 0 && s.Generation < newest[s.Daemon] {
			all = append(all, fmt.Sprintf("%s (%d after %d)", s.Daemon, s.Generation, newest[s.Daemon]))
		}
		newest[s.Daemon] = max(newest[s.Daemon], s.Generation)
	}
	return all
}

// checkComplete adds a violation if the run cannot show that the invariants hold, because a service
// has no answers or the report of an upstream is missing.
func (r *Run) checkComplete(c *checker) {
	var idle, missing []string
	for _, s := range r.Load.Services {
		if s.Statuses[okStatus] == 0 {
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
	for _, name := range r.ExpectedUpstreams {
		if !have[name] {
			missing = append(missing, name)
		}
	}
	c.add("upstreams without a report", missing)
}

// mergedRuns sums the runs of each request over all upstreams.
func (r *Run) mergedRuns() map[string]upstream.Run {
	all := map[string]upstream.Run{}
	for _, u := range r.Upstreams {
		for name, run := range u.Runs {
			before, seen := all[name]
			// A request must run once if any upstream received it as non-idempotent.
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

// drainTimes maps each drained upstream to the time of the commit in Unix milliseconds.
func (r *Run) drainTimes() map[string]int64 {
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
	drains := r.drainTimes()
	for _, u := range r.Upstreams {
		if at, ok := drains[u.Name]; ok && u.LastOpenMS > at+drainGraceMS {
			late = append(late, fmt.Sprintf("%s (%d ms after)", u.Name, u.LastOpenMS-at))
		}
	}
	return late
}

// imbalance returns for each service address the ratio of the largest number of flows on an upstream
// to the mean, without the given upstreams.
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
