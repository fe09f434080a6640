package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// changes has one line of each form of a command, in an order in which each is possible, and
// "apply", which stands for a declaration.
var changes = []string{
	"add upstream galerij-9 to galerij zone schuur address 127.1.1.90:9000 slots 2",
	"drain upstream galerij-9", "undrain upstream galerij-9", "remove upstream galerij-9 force",
	"drain daemon schuur-2", "undrain daemon schuur-2", "set aim of galerij balance",
	"set limit of galerij queue-length 33", "drain upstream bindery-3", "abort ID", "apply",
}

// platformFaults are the states of the platform under which each change is tried.
var platformFaults = map[string]func(c operators){
	"down":                 func(c operators) { c.Platform.SetOutage(true) },
	"slow":                 func(c operators) { c.Platform.SetDelay(400 * time.Millisecond) },
	"very slow":            func(c operators) { c.Platform.SetDelay(time.Hour) },
	"losing half":          func(c operators) { c.Platform.LoseAnswerShare(0.5) },
	"losing all":           func(c operators) { c.Platform.LoseAnswerShare(1) },
	"losing all then down": losingAllThenDown,
	"a zone cut off":       cutZone3,
	"in a zone cut off":    cutZone3,
}

func cutZone3(c operators) {
	for _, zone := range []int{1, 2, testcluster.PlatformZone} {
		c.Cut(3, zone)
	}
}

func losingAllThenDown(c operators) {
	c.Platform.LoseAnswerShare(1)
	time.AfterFunc(2*time.Millisecond, func() { c.Platform.SetOutage(true) })
}

func (c operators) heal() {
	c.Platform.SetOutage(false)
	c.Platform.SetDelay(0)
	c.Platform.LoseAnswerShare(0)
	for _, zone := range []int{1, 2, testcluster.PlatformZone} {
		c.Heal(3, zone)
	}
}

// answer is what an operator was told of a change.
type answer struct {
	at, line, id, reason  string
	outcome               pb.Outcome
	inForce, notConfirmed []string
}

// change gives one of the changes and checks what the answer says of daemons at once.
func (c operators) change(at, line, id string) answer {
	c.t.Helper()
	started := time.Now()
	a := answer{at: at, line: line, id: id}
	if line == "apply" {
		r := c.apply(string(bytes.Replace(c.DeclarationText, []byte("aim: connections"), []byte("aim: balance"), 1)), id, 0)
		a.outcome, a.reason, a.inForce, a.notConfirmed = r.GetOutcome(), r.GetReason(), r.GetInForce(), r.GetNotConfirmed()
	} else {
		r := c.run(at, line, id)
		c.Expect(r.GetErrors()).To(BeEmpty(), line)
		a.outcome, a.reason, a.inForce, a.notConfirmed = r.GetOutcome(), r.GetReason(), r.GetInForce(), r.GetNotConfirmed()
	}
	c.Expect(time.Since(started)).To(BeNumerically("<", 20*time.Second), "%+v", a)
	if a.outcome == pb.Outcome_OUTCOME_REFUSED || a.outcome == pb.Outcome_OUTCOME_UNKNOWN {
		c.Expect(a.reason).NotTo(BeEmpty(), "%+v", a)
		c.Expect(a.inForce).To(BeEmpty(), "%+v", a)
		return a
	}
	c.Expect(len(a.inForce)+len(a.notConfirmed)).To(Equal(6), "%+v", a)
	return a
}

// committed returns the generations of all committed changes by their ids, from the store.
func (c operators) committed() map[string]uint64 {
	c.t.Helper()
	found := map[string]uint64{}
	for _, r := range c.rows("schuur-1", "show history") {
		cells := strings.Split(r, " | ")
		n, err := strconv.ParseUint(cells[0], 10, 64)
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(cells[len(cells)-1]).To(Equal("store"))
		found[cells[1]] = n
	}
	return found
}

// expectTrue checks an answer against the store once the platform is well again.
func (c operators) expectTrue(a answer, committed map[string]uint64) {
	c.t.Helper()
	_, isCommitted := committed[a.id]
	switch a.outcome {
	case pb.Outcome_OUTCOME_COMMITTED:
		c.Expect(isCommitted).To(BeTrue(), "%+v", a)
	case pb.Outcome_OUTCOME_REFUSED:
		c.Expect(isCommitted).To(BeFalse(), "%+v", a)
	case pb.Outcome_OUTCOME_UNCHANGED, pb.Outcome_OUTCOME_UNKNOWN:
	default:
		c.t.Errorf("outcome %v: %+v", a.outcome, a)
	}
	want := "not committed"
	if isCommitted {
		want = "committed"
	}
	c.Expect(c.rows("winkel-1", "show change "+a.id)[0]).To(HavePrefix(a.id+" | "+want+" | "), "%+v", a)
}

// Guards against an outcome that is not true, for each command and for apply, while the platform
// is down, slow or loses answers, or a zone is cut off, and against a repeat that changes
// something again.
func TestOutcomesAreTrue(t *testing.T) {
	for name, fault := range platformFaults {
		at, pause := "schuur-1", 2*time.Second
		if strings.HasSuffix(name, "a zone cut off") {
			pause = 8 * time.Second
		}
		if strings.HasPrefix(name, "in ") {
			at = "winkel-1"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withCluster(t, testcluster.Options{}, func(c operators) {
				last := ""
				for i, form := range changes {
					id := fmt.Sprintf("change-%d", i)
					line := strings.Replace(form, "ID", last, 1)
					last = id
					fault(c)
					time.Sleep(time.Millisecond)
					a := c.change(at, line, id)
					c.heal()
					time.Sleep(pause)
					committed := c.committed()
					c.expectTrue(a, committed)
					again := c.change("droogvloer-1", line, id)
					if _, was := committed[id]; was {
						c.Expect(again.outcome).To(Equal(pb.Outcome_OUTCOME_UNCHANGED), "%+v", again)
						c.Expect(c.committed()).To(HaveLen(len(committed)))
					}
					time.Sleep(time.Second)
				}
				c.Expect(c.rows("winkel-2", "show upstreams of bindery")).To(ContainElement(MatchRegexp(`^bindery-3 \|.*\| active \|`)))
				c.ask(c.open("bindery"))
			})
		})
	}
	g := NewWithT(t)
	for _, form := range command.Forms {
		words := strings.Fields(form)
		g.Expect(changes).To(ContainElement(HavePrefix(words[0]+" ")), form)
	}
}

// Guards against two operators who are both told that their change is in force when only one
// can be, for each command and for apply, on a platform that is slow or loses answers.
func TestOutcomesOfTwoOperatorsAtOnce(t *testing.T) {
	for _, name := range []string{"slow", "losing half"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withCluster(t, testcluster.Options{}, func(c operators) {
				last := ""
				for i, form := range changes {
					line := strings.Replace(form, "ID", last, 1)
					platformFaults[name](c)
					answers := make([]answer, 2)
					var wg sync.WaitGroup
					for n, at := range []string{"schuur-1", "winkel-1"} {
						wg.Go(func() { answers[n] = c.change(at, line, fmt.Sprintf("change-%d-%d", i, n)) })
					}
					wg.Wait()
					c.heal()
					time.Sleep(2 * time.Second)
					committed := c.committed()
					for _, a := range answers {
						c.expectTrue(a, committed)
						if _, was := committed[a.id]; was {
							last = a.id
						}
					}
					both := answers[0].outcome == pb.Outcome_OUTCOME_COMMITTED && answers[1].outcome == pb.Outcome_OUTCOME_COMMITTED
					c.Expect(both).To(BeFalse(), "%+v", answers)
					time.Sleep(time.Second)
				}
			})
		})
	}
}

var figure = regexp.MustCompile(`^(at least )?(\d+)$`)

// sums are the queries that sum over daemons.
var sums = []string{
	"show services", "show upstreams", "show connections", "show refusals", "show retries", "show drops", "show drain of bindery-1",
}

// Guards against a sum that looks complete while daemons are missing from it, and against one
// that is above the truth.
func TestSumsAreTrue(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		for i := range 60 {
			c.ask(c.open([]string{"bindery", "galerij"}[i%2]))
		}
		truth := map[string][]string{}
		for _, line := range sums {
			truth[line] = c.rows("schuur-1", line)
			for _, d := range c.Live() {
				c.Expect(c.rows(string(d.Member.ID), line)).To(Equal(truth[line]), line)
			}
		}
		c.Expect(strings.Join(truth["show services"], "\n")).To(And(ContainSubstring("| 30"), Not(ContainSubstring("at least"))))
		for _, fault := range []string{"down", "very slow", "losing all"} {
			platformFaults[fault](c)
			for _, line := range sums {
				if line != "show retries" { // Calls to the platform are tried again.
					c.Expect(c.rows("winkel-2", line)).To(Equal(truth[line]), fault+": "+line)
				}
			}
			c.heal()
		}
		platformFaults["a zone cut off"](c)
		time.Sleep(200 * time.Millisecond)
		for _, at := range []string{"schuur-1", "winkel-2"} {
			for _, line := range sums {
				c.expectBounds(line, c.rows(at, line), truth[line])
			}
		}
		time.Sleep(10 * time.Second)
		for _, at := range []string{"schuur-1", "winkel-2"} {
			for _, line := range sums[:3] {
				c.expectBounds(line, c.rows(at, line), truth[line])
			}
		}
	})
}

// expectBounds checks the figures of a partial answer against those of the complete one. What
// the configuration says and what it does not are told apart by the columns' names.
func (c operators) expectBounds(line string, got, truth []string) {
	c.t.Helper()
	complete := map[string][]string{}
	for _, r := range truth {
		cells := strings.Split(r, " | ")
		complete[cells[0]] = cells
	}
	for _, r := range got {
		cells := strings.Split(r, " | ")
		want := complete[cells[0]]
		for i, cell := range cells {
			m := figure.FindStringSubmatch(cell)
			if m == nil || want == nil || !sumColumn(line, i, len(cells)) {
				continue
			}
			c.Expect(m[1]).NotTo(BeEmpty(), "%s: %s", line, r)
			n, err := strconv.Atoi(m[2])
			c.Expect(err).NotTo(HaveOccurred())
			most, err := strconv.Atoi(want[i])
			c.Expect(err).NotTo(HaveOccurred())
			if line == "show services" || line == "show upstreams" {
				c.Expect(n).To(BeNumerically("<=", most), "%s: %s", line, r)
			}
		}
		if line == "show connections" {
			c.Expect(cells[2]).To(Equal("unknown"), r)
		}
	}
}

// sumColumn reports whether a cell is a sum over daemons, not a figure of the configuration.
func sumColumn(line string, i, n int) bool {
	switch line {
	case "show services":
		return i == n-1
	case "show upstreams":
		return i >= n-3
	default:
		return i > 0
	}
}

// Guards against a change that is said to be in force where it is not.
func TestInForceIsTrue(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		platformFaults["a zone cut off"](c)
		for i, wait := range []time.Duration{0, 500 * time.Millisecond, 5 * time.Second} {
			time.Sleep(wait)
			r, err := c.Run(context.Background(), "schuur-1", fmt.Sprintf("set limit of bindery queue-length %d", 20+i), fmt.Sprintf("limit-%d", i), "anna")
			c.Expect(err).NotTo(HaveOccurred())
			c.Expect(r.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
			generation := uint64(2 + i)
			for _, name := range r.GetInForce() {
				c.Expect(c.Daemon(name).Node.Status("").GetGeneration()).To(BeNumerically(">=", generation), name)
			}
			c.Expect(r.GetNotConfirmed()).To(ContainElements("winkel-1", "winkel-2"))
		}
	})
}
