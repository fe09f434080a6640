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

// parallel is the number of cases that run at once; the machine is shared.
const parallel = 4

// progressEvery is the wall-clock time between progress lines.
const progressEvery = 5 * time.Second

// Case is one policy in one scenario of an experiment.
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

// run simulates a case and hands its progress to the given function. It must be called in a
// bubble.
func (c Case) run(progress func(done time.Duration)) *Measures {
	return simulate(c.declaration, c.policy, c.scenario, c.seed, progress)
}

// InBubbles runs body in the test framework, because testing/synctest gives simulated time
// only there, and ends the process: with status 1 if body returns an error.
func InBubbles(body func(t *testing.T) error) {
	stdout := os.Stdout
	// The framework prints its own verdict there.
	if null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0); err == nil {
		os.Stdout = null
	}
	os.Args = []string{os.Args[0], fmt.Sprintf("-test.parallel=%d", parallel), "-test.timeout=0"}
	flag.CommandLine = flag.NewFlagSet(os.Args[0], flag.ExitOnError)
	all := func(string, string) (bool, error) { return true, nil }
	testing.Main(all, []testing.InternalTest{{Name: "experiment", F: func(t *testing.T) {
		framework := os.Stdout
		os.Stdout = stdout
		defer func() { os.Stdout = framework }()
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
	p := &progress{log: log, name: d.Name, total: len(cases), last: time.Now()}
	t.Run(d.Name, func(t *testing.T) {
		for i, c := range cases {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) { r.Measures[i] = c.run(p.simulated) })
				p.done()
			})
		}
	})
	return r
}

func (r *Report) runNotices(t *testing.T, seed uint64) {
	n := r.Declaration.Notices
	for _, rate := range n.Rates {
		for _, v := range n.variants(rate) {
			synctest.Test(t, func(*testing.T) { r.notices = append(r.notices, n.run(rate, v, seed)) })
		}
	}
}

// progress prints a line now and then. Time inside a bubble is simulated, so lines are only
// printed between cases.
type progress struct {
	mu       sync.Mutex
	log      io.Writer
	name     string
	total    int
	finished int
	seconds  int
	last     time.Time
}

// simulated counts simulated seconds.
func (p *progress) simulated(time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seconds++
}

func (p *progress) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished++
	if time.Since(p.last) >= progressEvery || p.finished == p.total {
		p.last = time.Now()
		_, _ = fmt.Fprintf(p.log, "%s: %d of %d cases, %d simulated seconds\n", p.name, p.finished, p.total, p.seconds)
	}
}
