package experiment

import (
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// parallelCases bounds the cases that run at the same time, since other work runs on the machine.
const parallelCases = 4

// progressInterval is the least wall-clock time between progress lines.
const progressInterval = 5 * time.Second

// Case is one policy in one scenario of an experiment, with a seed.
type Case struct {
	declaration *Declaration
	policy      Policy
	scenario    Scenario
	seed        uint64
}

// Cases returns all combinations of scenario and policy, all with the same seed, so that they
// see the same load.
func (d *Declaration) Cases(seed uint64) []Case {
	var cases []Case
	for _, sc := range d.Scenarios {
		for _, p := range d.Policies {
			cases = append(cases, Case{d, p, sc, seed})
		}
	}
	return cases
}

// run simulates a case and calls progress after each simulated sample interval. It must be called in
// a synctest bubble.
func (c Case) run(progress func(done time.Duration)) *Measures {
	return simulate(c.declaration, c.policy, c.scenario, c.seed, progress)
}

// RunInTestFramework runs body as a test, because testing/synctest provides simulated time only to
// tests. It ends the process, with status 1 if body returns an error.
func RunInTestFramework(body func(t *testing.T) error) {
	stdout := os.Stdout
	// The test framework prints its own result to standard output.
	if devNull, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0); err == nil {
		os.Stdout = devNull
	}
	os.Args = []string{os.Args[0], fmt.Sprintf("-test.parallel=%d", parallelCases), "-test.timeout=0"}
	flag.CommandLine = flag.NewFlagSet(os.Args[0], flag.ExitOnError)
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{{Name: "experiment", F: func(t *testing.T) {
		frameworkStdout := os.Stdout
		os.Stdout = stdout
		defer func() { os.Stdout = frameworkStdout }()
		if err := body(t); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			t.Fail()
		}
	}}}, nil, nil)
}

// Run runs all cases of an experiment and returns the report. Progress lines go to log.
func Run(t *testing.T, d *Declaration, seed uint64, log io.Writer) *Report {
	r := &Report{Declaration: d, Seed: seed}
	if d.Kind == kindNotices {
		r.runNotices(t, seed)
		return r
	}
	cases := d.Cases(seed)
	r.Measures = make([]*Measures, len(cases))
	p := &progress{log: log, name: d.Name, total: len(cases), lastPrinted: time.Now()}
	t.Run(d.Name, func(t *testing.T) {
		for i, c := range cases {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) { r.Measures[i] = c.run(p.addSimulatedSecond) })
				p.recordFinishedCase()
			})
		}
	})
	return r
}

// runNotices runs all variants of a notices experiment, one after the other.
func (r *Report) runNotices(t *testing.T, seed uint64) {
	n := r.Declaration.Notices
	for _, rate := range n.Rates {
		for _, v := range n.variants(rate) {
			synctest.Test(t, func(*testing.T) { r.notices = append(r.notices, n.run(rate, v, seed)) })
		}
	}
}

// progress prints a line at most every progressInterval and at the end. Time inside a bubble is
// simulated, so lines are printed only when a case has finished.
type progress struct {
	mu               sync.Mutex
	log              io.Writer
	name             string
	total            int
	finished         int
	simulatedSeconds int
	lastPrinted      time.Time
}

// addSimulatedSecond counts a second that a case has simulated.
func (p *progress) addSimulatedSecond(time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.simulatedSeconds++
}

// recordFinishedCase counts a finished case and prints a line if one is due.
func (p *progress) recordFinishedCase() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished++
	if time.Since(p.lastPrinted) >= progressInterval || p.finished == p.total {
		p.lastPrinted = time.Now()
		_, _ = fmt.Fprintf(p.log, "%s: %d of %d cases, %d simulated seconds\n",
			p.name, p.finished, p.total, p.simulatedSeconds)
	}
}
