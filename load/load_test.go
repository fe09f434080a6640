package load_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/load"
)

const (
	stateOK       = pb.UpstreamState_UPSTREAM_STATE_OK
	stateCold     = pb.UpstreamState_UPSTREAM_STATE_COLD
	stateShedding = pb.UpstreamState_UPSTREAM_STATE_SHEDDING
	stateSilent   = pb.UpstreamState_UPSTREAM_STATE_SILENT
	stateDraining = pb.UpstreamState_UPSTREAM_STATE_DRAINING
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against reports that free slots which this daemon knows are in use, and against
// frozen ones that hold slots for ever.
func TestReportsOnlyLowerTrust(t *testing.T) {
	g := NewWithT(t)
	tr := load.NewTracker(4)
	tr.Started(start)
	tr.Started(start)
	tr.Report(start, &pb.LoadReport{InProgress: 0, Slots: 100})
	g.Expect(tr.Free(start)).To(Equal(2), "a report below the own count is ignored")
	tr.Report(start, &pb.LoadReport{InProgress: 3})
	g.Expect(tr.Free(start)).To(Equal(1), "one above it is believed")
	tr.Report(start, &pb.LoadReport{InProgress: 1000})
	g.Expect(tr.Free(start)).To(Equal(0))
	g.Expect(tr.Free(at(1100*time.Millisecond))).To(Equal(2), "but not for long")
	tr.Report(at(2*time.Second), &pb.LoadReport{InProgress: 1000})
	tr.Abandoned()
	tr.Abandoned()
	g.Expect(tr.Free(at(2*time.Second))).To(BeNumerically(">=", 1), "and never holds back the first request")
}

// Guards against states that flap, and against one that never ends without traffic.
func TestStates(t *testing.T) {
	g := NewWithT(t)
	tr := load.NewTracker(8)
	g.Expect(tr.State(start)).To(Equal(stateOK))

	tr.Started(start)
	tr.Refused(start, 0.5)
	g.Expect(tr.State(start)).To(Equal(stateShedding))
	g.Expect(tr.Usable(start)).To(BeZero())
	g.Expect(tr.Usable(at(101*time.Millisecond))).To(Equal(1), "one request tries whether it takes work again")
	tr.Started(at(101 * time.Millisecond))
	tr.Finished(at(150*time.Millisecond), 49*time.Millisecond)
	g.Expect(tr.State(at(150*time.Millisecond))).To(Equal(stateShedding), "at least 1 s")
	g.Expect(tr.Usable(at(150 * time.Millisecond))).To(Equal(8))
	g.Expect(tr.State(at(6 * time.Second))).To(Equal(stateOK))

	tr.Started(at(10 * time.Second))
	g.Expect(tr.State(at(13 * time.Second))).To(Equal(stateOK))
	g.Expect(tr.State(at(15 * time.Second))).To(Equal(stateSilent))
	tr.Heard(at(16 * time.Second))
	g.Expect(tr.State(at(16 * time.Second))).To(Equal(stateCold))
	tr.Finished(at(16*time.Second), time.Second)
	for d, want := range map[time.Duration]int{0: 2, 4 * time.Second: 5, 9 * time.Second: 8} {
		g.Expect(tr.Usable(at(16*time.Second + d))).To(Equal(want))
	}
	g.Expect(tr.State(at(26 * time.Second))).To(Equal(stateOK))

	tr.Report(at(30*time.Second), &pb.LoadReport{Cold: true})
	tr.Report(at(39*time.Second), &pb.LoadReport{Cold: true})
	g.Expect(tr.State(at(39 * time.Second))).To(Equal(stateCold))
	g.Expect(tr.State(at(41*time.Second))).To(Equal(stateOK), "one start for each time it turns cold")
	tr.Declare(8, true)
	g.Expect(tr.State(at(42 * time.Second))).To(Equal(stateDraining))
}

// Guards against a back-off without bound or jitter.
func TestBackoffDoubles(t *testing.T) {
	g := NewWithT(t)
	for _, jitter := range []float64{0, 0.999} {
		tr, now := load.NewTracker(2), start
		for i := range 10 {
			tr.Started(now)
			tr.Refused(now, jitter)
			mean := min(100*time.Millisecond<<min(i, 6), 5*time.Second)
			wait := time.Duration(float64(mean) * (0.5 + jitter))
			g.Expect(tr.Usable(now.Add(wait - time.Millisecond))).To(BeZero())
			now = now.Add(wait + time.Millisecond)
			g.Expect(tr.Usable(now)).To(Equal(1))
		}
	}
}

// Guards against notices that repeat or that cost more than a few bytes a second.
func TestNoticesOnlyOnChange(t *testing.T) {
	g := NewWithT(t)
	var a load.Announcer
	n := func(s pb.UpstreamState, queued uint32) *pb.UpstreamNotice {
		return &pb.UpstreamNotice{State: s, Queued: queued}
	}
	g.Expect(a.Due(start, n(stateOK, 0))).To(BeTrue())
	g.Expect(a.Due(at(time.Minute), n(stateOK, 0))).To(BeFalse())
	g.Expect(a.Due(at(time.Minute), n(stateCold, 0))).To(BeTrue())
	sent := 0
	for i := range 1000 {
		if a.Due(at(time.Minute+time.Duration(i)*10*time.Millisecond), n(stateCold, uint32(i%20))) {
			sent++
		}
	}
	g.Expect(sent).To(BeNumerically("<=", 2), "10 s of a queue that comes and goes")
}

// Guards against new flows that all go to a cold upstream at once.
func TestShareOfNewFlows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := load.NewTable()
		g.Expect(table.Share(1)).To(Equal(1.0), "nothing known")
		table.Learn(&pb.UpstreamNotice{Upstream: 1, State: stateCold})
		g.Expect(table.Share(1)).To(Equal(0.25))
		time.Sleep(5 * time.Second)
		table.Learn(&pb.UpstreamNotice{Upstream: 1, State: stateCold, Queued: 3})
		g.Expect(table.Share(1)).To(BeNumerically("~", 0.625, 0.001))
		table.Learn(&pb.UpstreamNotice{Upstream: 1, State: stateSilent})
		g.Expect(table.Share(1)).To(BeZero())
		k, _ := table.Known(1)
		k.InProgress, k.Queued = 2, 5
		g.Expect(k.ExpectedWait(2, time.Second)).To(Equal(3 * time.Second))
		table.Forget(1)
		g.Expect(table.Usable(1)).To(BeTrue())
	})
}

// Guards against policies that leave the candidates, and against two choices that pass the
// bound or use an upstream that is not usable.
func TestPolicies(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	two := load.TwoChoices{BoundPercent: 105}
	for _, p := range []load.Policy{load.NewRandom(r), &load.RoundRobin{}, load.Modulo{}, load.TableOnly{}, load.Reported{}, two} {
		t.Run(p.Name(), func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(p.Choose(1, 0, nil)).To(Equal(-1))
			candidates := make([]load.Candidate, 15)
			candidates[3].State = stateSilent
			const flows = 30_000
			for range flows {
				h := r.Uint64()
				i := p.Choose(h, int(h>>40)%15, candidates)
				candidates[i].Flows++
				candidates[i].Reported++
			}
			most := 0
			for _, c := range candidates {
				most = max(most, c.Flows)
			}
			ratio := float64(most) / (flows / 14.0)
			t.Logf("largest over mean of the usable: %.3f, on the silent one: %d", ratio, candidates[3].Flows)
			if p == load.Policy(two) {
				g.Expect(candidates[3].Flows).To(BeZero())
				g.Expect(ratio).To(BeNumerically("<", 1.06))
			}
		})
	}
}
