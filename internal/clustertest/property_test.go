package clustertest_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmarfield/fulmarfield/internal/clustertest"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// Each run uses the same random cases, so that its result is reproducible. -rapid.seed=0 draws
// other cases.
var _ = flag.Set("rapid.seed", "1")

// convergeLimit limits the time from the end of the last fault until each resource has exactly one
// active holder. It is the sum of the longest back-off of a retry (5 s and jitter), a drop in
// progress (2.5 s), and an offer (2 s) after its back-off (up to 8 s).
const convergeLimit = 20 * time.Second

// step is one action of a generated sequence and the pause after it. Selector selects the
// daemon that the action applies to.
type step struct {
	Action   string
	Selector int
	Pause    time.Duration
}

func stepSequences() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Action:   rapid.SampledFrom([]string{"kill", "join", "leave", "drain", "cut zone", "cut one", "cut pair", "heal", "pause", "resume", "lose answers"}).Draw(t, "action"),
			Selector: rapid.IntRange(0, 99).Draw(t, "which"),
			Pause:    time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 1, 8)
}

// Guards against sequences of faults that leave a resource without a holder or with two, or that
// let two daemons use the same guard token.
func TestSingleHolderAfterFaultSequence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := stepSequences().Draw(rt, "history")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runSteps(history) })
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}

// runSteps applies the steps and returns a description of the first failure, or "".
func runSteps(history []step) string {
	c := clustertest.New(7)
	c.Resources = clustertest.PartitionsAndAdmissions(1, 6)[ownership.PartitionCount-24:]
	c.Zone = func(r ownership.Resource) string { return fmt.Sprintf("z%d", r.Index%4) }
	defer c.StopAll()
	c.StartAll(5)
	next := 6
	time.Sleep(1500 * time.Millisecond)
	for _, s := range history {
		applyStep(c, s, &next)
		for range 4 {
			time.Sleep(s.Pause / 4)
			if failure := findSharedToken(c); failure != "" {
				return failure
			}
		}
	}
	c.SetCut(nil)
	c.SetAnswerLoss(0)
	for _, d := range c.Daemons() {
		d.Resume()
	}
	return checkConvergence(c)
}

func applyStep(c *clustertest.Cluster, s step, next *int) {
	daemons := c.Daemons()
	slices.SortFunc(daemons, func(a, b *clustertest.Daemon) int { return compareIDs(a.Self.ID, b.Self.ID) })
	chosen := daemons[s.Selector%len(daemons)]
	switch s.Action {
	case "kill":
		if len(daemons) > 2 {
			chosen.Kill()
		}
	case "join":
		c.Start(fmt.Sprintf("z%d", s.Selector%3), *next)
		*next++
	case "leave":
		if len(daemons) > 2 {
			go func() { _ = chosen.Leave() }()
		}
	case "drain":
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.Pause)
			defer cancel()
			_ = chosen.Drain(ctx)
			chosen.Undrain()
		}()
	case "cut zone":
		c.SetCut(cutOffZone(chosen.Self.Zone))
	case "cut one":
		c.SetCut(func(a, b *clustertest.Daemon) bool { return a == chosen || b == chosen })
	case "cut pair":
		other := daemons[(s.Selector/7)%len(daemons)]
		c.SetCut(func(a, b *clustertest.Daemon) bool { return a == chosen && b == other || a == other && b == chosen })
	case "lose answers":
		c.SetAnswerLoss(float64(s.Selector) / 200)
	case "heal":
		c.SetCut(nil)
		c.SetAnswerLoss(0)
	case "pause":
		chosen.Pause()
	case "resume":
		for _, d := range daemons {
			d.Resume()
		}
	}
}

func compareIDs(a, b membership.DaemonID) int {
	if a < b {
		return -1
	}
	return 1
}

// findSharedToken describes two daemons that serve a resource with the same guard token, or returns "".
func findSharedToken(c *clustertest.Cluster) string {
	for _, r := range c.Resources {
		seen := map[uint64]membership.DaemonID{}
		for _, d := range c.ActiveHolders(r) {
			if other, shared := seen[d.Handler.Token(r)]; shared {
				return fmt.Sprintf("%v: %s and %s serve with one guard token", r, other, d.Self.ID)
			}
			seen[d.Handler.Token(r)] = d.Self.ID
		}
	}
	return ""
}

// checkConvergence waits until each resource has one holder. It then checks that each resource keeps
// exactly one holder and that packets from each daemon reach the holder within the hop limit. It returns a
// description of the first failure, or "".
func checkConvergence(c *clustertest.Cluster) string {
	for began := time.Now(); !c.IsSettled(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > convergeLimit {
			r := c.Unsettled()[0]
			return fmt.Sprintf("%d resources unsettled after %v, for example %+v with %d holders", len(c.Unsettled()), convergeLimit, r, len(c.ActiveHolders(r)))
		}
	}
	time.Sleep(convergeLimit)
	if n := len(c.Unsettled()); n > 0 {
		return fmt.Sprintf("%d resources became unsettled again", n)
	}
	for _, r := range c.Resources {
		for _, d := range c.Daemons() {
			if failure := followRoute(c, d, r); failure != "" {
				return failure
			}
		}
	}
	for _, d := range c.Daemons() {
		if len(d.Handler.ContractViolations) > 0 {
			return fmt.Sprintf("%s: %v", d.Self.ID, d.Handler.ContractViolations)
		}
	}
	return ""
}

// followRoute follows the routes of a resource from a daemon to the active holder. It returns a
// description of a missing route or a loop, or "".
func followRoute(c *clustertest.Cluster, d *clustertest.Daemon, r ownership.Resource) string {
	const hopLimit = 4
	path := []membership.DaemonID{d.Self.ID}
	for range hopLimit + 1 {
		to, active, ok := d.Ownership.Route(r)
		if active {
			return ""
		}
		if !ok || c.Daemon(to) == nil {
			return fmt.Sprintf("%v: no route after %v", r, path)
		}
		d = c.Daemon(to)
		path = append(path, to)
	}
	return fmt.Sprintf("%v: packets loop on %v", r, path)
}

// Guards against kills and joins that leave a resource without a holder or with two while 5 % of the
// datagrams are lost.
func TestSingleHolderWithDatagramLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clustertest.New(3)
		c.Resources = clustertest.PartitionsAndAdmissions(1, 6)
		c.SetLoss(0.05)
		defer c.StopAll()
		c.StartAll(6)
		next := 7
		random := rand.New(rand.NewPCG(3, 3))
		for range 6 {
			time.Sleep(5 * time.Second)
			applyStep(c, step{Action: []string{"kill", "join"}[random.IntN(2)], Selector: random.IntN(100)}, &next)
		}
		if failure := checkConvergence(c); failure != "" {
			t.Fatal(failure)
		}
	})
}
