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

// changeForms has one line for each form of a command, in an order in which each is possible, and
// "apply" for an applied declaration. ID is replaced by the id of an earlier change.
var changeForms = []string{
	"add upstream galerij-9 to galerij zone schuur address 127.1.1.90:9000 slots 2",
	"drain upstream galerij-9", "undrain upstream galerij-9", "remove upstream galerij-9 force",
	"drain daemon schuur-2", "undrain daemon schuur-2", "set aim of galerij balance",
	"set limit of galerij queue-length 33", "drain upstream bindery-3", "abort ID", "apply",
}

// platformFaults are the faults of the platform and the network under which each change is tried.
var platformFaults = map[string]func(c fixture){
	"down":                 func(c fixture) { c.Platform.SetOutage(true) },
	"slow":                 func(c fixture) { c.Platform.SetDelay(400 * time.Millisecond) },
	"very slow":            func(c fixture) { c.Platform.SetDelay(time.Hour) },
	"losing half":          func(c fixture) { c.Platform.LoseAnswerShare(0.5) },
	"losing all":           func(c fixture) { c.Platform.LoseAnswerShare(1) },
	"losing all then down": loseAnswersThenStop,
	"a zone cut off":       cutZone3,
	"in a zone cut off":    cutZone3,
}

// cutZone3 separates zone 3 from the other zones and from the platform.
func cutZone3(c fixture) {
	for _, zone := range []int{1, 2, testcluster.PlatformZone} {
		c.Cut(3, zone)
	}
}

// loseAnswersThenStop makes the platform lose its responses and become unavailable 2 ms later.
func loseAnswersThenStop(c fixture) {
	c.Platform.LoseAnswerShare(1)
	time.AfterFunc(2*time.Millisecond, func() { c.Platform.SetOutage(true) })
}

// clearFaults ends all faults of platformFaults.
func (c fixture) clearFaults() {
	c.Platform.SetOutage(false)
	c.Platform.SetDelay(0)
	c.Platform.LoseAnswerShare(0)
	for _, zone := range []int{1, 2, testcluster.PlatformZone} {
		c.Heal(3, zone)
	}
}

// changeResult is the result of a change as reported to the operator.
type changeResult struct {
	daemon, line, id, reason string
	outcome                  pb.Outcome
	inForce, notConfirmed    []string
}

// makeChange runs one of the changes. It checks that the response comes within 20 s, gives a reason for a
// refused or unknown outcome, and otherwise names each daemon as in force or not confirmed.
func (c fixture) makeChange(daemon, line, id string) changeResult {
	c.t.Helper()
	started := time.Now()
	a := changeResult{daemon: daemon, line: line, id: id}
	if line == "apply" {
		r := c.apply(string(bytes.Replace(c.DeclarationText, []byte("aim: connections"), []byte("aim: balance"), 1)), id, 0)
		a.outcome, a.reason, a.inForce, a.notConfirmed = r.GetOutcome(), r.GetReason(), r.GetInForce(), r.GetNotConfirmed()
	} else {
		r := c.runLine(daemon, line, id)
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

// committedChanges returns the generations of all committed changes in the store by their ids.
func (c fixture) committedChanges() map[string]uint64 {
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

// expectOutcomeMatchesStore checks a reported outcome against the changes in the store. The platform has
// to be available again.
func (c fixture) expectOutcomeMatchesStore(a changeResult, committed map[string]uint64) {
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

// Guards against a reported outcome that differs from the store, for each command and for apply, while
// the platform is down, slow or loses responses, or a zone is isolated, and against a repeated change
// that is committed again.
func TestOutcomesMatchTheStore(t *testing.T) {
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
			runWithCluster(t, testcluster.Options{}, func(c fixture) {
				last := ""
				for i, form := range changeForms {
					id := fmt.Sprintf("change-%d", i)
					line := strings.Replace(form, "ID", last, 1)
					last = id
					fault(c)
					time.Sleep(time.Millisecond)
					a := c.makeChange(at, line, id)
					c.clearFaults()
					time.Sleep(pause)
					committedChanges := c.committedChanges()
					c.expectOutcomeMatchesStore(a, committedChanges)
					again := c.makeChange("droogvloer-1", line, id)
					if _, isCommitted := committedChanges[id]; isCommitted {
						c.Expect(again.outcome).To(Equal(pb.Outcome_OUTCOME_UNCHANGED), "%+v", again)
						c.Expect(c.committedChanges()).To(HaveLen(len(committedChanges)))
					}
					time.Sleep(time.Second)
				}
				c.Expect(c.rows("winkel-2", "show upstreams of bindery")).To(ContainElement(MatchRegexp(`^bindery-3 \|.*\| active \|`)))
				c.sendRequest(c.openFlow("bindery"))
			})
		})
	}
	g := NewWithT(t)
	for _, form := range command.Forms {
		words := strings.Fields(form)
		g.Expect(changeForms).To(ContainElement(HavePrefix(words[0]+" ")), form)
	}
}

// Guards against two conflicting concurrent changes that are both reported as committed, for each
// command and for apply, while the platform is slow or loses responses.
func TestOutcomesOfConcurrentChanges(t *testing.T) {
	for _, name := range []string{"slow", "losing half"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithCluster(t, testcluster.Options{}, func(c fixture) {
				last := ""
				for i, form := range changeForms {
					line := strings.Replace(form, "ID", last, 1)
					platformFaults[name](c)
					answers := make([]changeResult, 2)
					var wg sync.WaitGroup
					for n, at := range []string{"schuur-1", "winkel-1"} {
						wg.Go(func() { answers[n] = c.makeChange(at, line, fmt.Sprintf("change-%d-%d", i, n)) })
					}
					wg.Wait()
					c.clearFaults()
					time.Sleep(2 * time.Second)
					committedChanges := c.committedChanges()
					for _, a := range answers {
						c.expectOutcomeMatchesStore(a, committedChanges)
						if _, isCommitted := committedChanges[a.id]; isCommitted {
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

// sumPattern matches a cell with a sum over daemons.
var sumPattern = regexp.MustCompile(`^(at least )?(\d+)$`)

// sumQueries are the queries whose tables contain sums over daemons.
var sumQueries = []string{
	"show services", "show upstreams", "show connections", "show refusals", "show retries", "show drops", "show drain of bindery-1",
}

// Guards against a sum over daemons that appears complete while daemons are missing, and against one
// that exceeds the complete sum.
func TestSumsAreCompleteOrLowerBounds(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		for i := range 60 {
			c.sendRequest(c.openFlow([]string{"bindery", "galerij"}[i%2]))
		}
		complete := map[string][]string{}
		for _, line := range sumQueries {
			complete[line] = c.rows("schuur-1", line)
			for _, d := range c.Live() {
				c.Expect(c.rows(string(d.Member.ID), line)).To(Equal(complete[line]), line)
			}
		}
		c.Expect(strings.Join(complete["show services"], "\n")).To(And(ContainSubstring("| 30"), Not(ContainSubstring("at least"))))
		for _, fault := range []string{"down", "very slow", "losing all"} {
			platformFaults[fault](c)
			for _, line := range sumQueries {
				if line != "show retries" { // The daemons retry calls to the platform meanwhile.
					c.Expect(c.rows("winkel-2", line)).To(Equal(complete[line]), fault+": "+line)
				}
			}
			c.clearFaults()
		}
		platformFaults["a zone cut off"](c)
		time.Sleep(200 * time.Millisecond)
		for _, at := range []string{"schuur-1", "winkel-2"} {
			for _, line := range sumQueries {
				c.expectBounds(line, c.rows(at, line), complete[line])
			}
		}
		time.Sleep(10 * time.Second)
		for _, at := range []string{"schuur-1", "winkel-2"} {
			for _, line := range sumQueries[:3] {
				c.expectBounds(line, c.rows(at, line), complete[line])
			}
		}
	})
}

// expectBounds checks that the sums of an incomplete response are marked as lower bounds and, for
// services and upstreams, do not exceed those of the complete response.
func (c fixture) expectBounds(line string, got, complete []string) {
	c.t.Helper()
	completeCells := map[string][]string{}
	for _, r := range complete {
		cells := strings.Split(r, " | ")
		completeCells[cells[0]] = cells
	}
	for _, r := range got {
		cells := strings.Split(r, " | ")
		want := completeCells[cells[0]]
		for i, cell := range cells {
			m := sumPattern.FindStringSubmatch(cell)
			if m == nil || want == nil || !isSumColumn(line, i, len(cells)) {
				continue
			}
			c.Expect(m[1]).NotTo(BeEmpty(), "%s: %s", line, r)
			n, err := strconv.Atoi(m[2])
			c.Expect(err).NotTo(HaveOccurred())
			limit, err := strconv.Atoi(want[i])
			c.Expect(err).NotTo(HaveOccurred())
			if line == "show services" || line == "show upstreams" {
				c.Expect(n).To(BeNumerically("<=", limit), "%s: %s", line, r)
			}
		}
		if line == "show connections" {
			c.Expect(cells[2]).To(Equal("unknown"), r)
		}
	}
}

// isSumColumn reports whether column i of n is a sum over daemons and not a value of the configuration.
func isSumColumn(line string, i, n int) bool {
	switch line {
	case "show services":
		return i == n-1
	case "show upstreams":
		return i >= n-3
	default:
		return i > 0
	}
}

// Guards against a change that is reported as in force at a daemon with an older generation.
func TestInForceDaemonsHaveTheGeneration(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
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
