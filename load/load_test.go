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

// Guards against reports that make slots available although requests of this daemon use them, and
// against outdated reports that occupy slots for ever.
func TestReportsOnlyLowerFreeSlots(t *testing.T) {
	g := NewWithT(t)
	tr := load.NewTracker(4)
	tr.RecordStart(start)
	tr.RecordStart(start)
	tr.RecordReport(start, &pb.LoadReport{InProgress: 0, Slots: 100})
	g.Expect(tr.FreeSlots(start)).To(Equal(2), "a report of less work than the tracker counts is ignored")
	tr.RecordReport(start, &pb.LoadReport{InProgress: 3})
	g.Expect(tr.FreeSlots(start)).To(Equal(1), "a report of more work is applied")
	tr.RecordReport(start, &pb.LoadReport{InProgress: 1000})
	g.Expect(tr.FreeSlots(start)).To(Equal(0))
	g.Expect(tr.FreeSlots(at(1100*time.Millisecond))).To(Equal(2), "a report is ignored after 1 s")
	tr.RecordReport(at(2*time.Second), &pb.LoadReport{InProgress: 1000})
	tr.ReleaseSlot()
	tr.ReleaseSlot()
	g.Expect(tr.FreeSlots(at(2*time.Second))).To(BeNumerically(">=", 1), "a report never blocks the first request")
}

// Guards against states that flap, and against a state that never ends without traffic.
func TestStates(t *testing.T) {
	g := NewWithT(t)
	tr := load.NewTracker(8)
	g.Expect(tr.State(start)).To(Equal(stateOK))

	tr.RecordStart(start)
	tr.RecordRefusal(start, 0.5)
	g.Expect(tr.State(start)).To(Equal(stateShedding))
	g.Expect(tr.UsableSlots(start)).To(BeZero())
	g.Expect(tr.UsableSlots(at(101*time.Millisecond))).To(Equal(1), "one request tests whether the upstream accepts work again")
	tr.RecordStart(at(101 * time.Millisecond))
	tr.RecordFinish(at(150*time.Millisecond), 49*time.Millisecond)
	g.Expect(tr.State(at(150*time.Millisecond))).To(Equal(stateShedding), "shedding lasts at least 1 s")
	g.Expect(tr.UsableSlots(at(150 * time.Millisecond))).To(Equal(8))
	g.Expect(tr.State(at(6 * time.Second))).To(Equal(stateOK))

	tr.RecordStart(at(10 * time.Second))
	g.Expect(tr.State(at(13 * time.Second))).To(Equal(stateOK))
	g.Expect(tr.State(at(15 * time.Second))).To(Equal(stateSilent))
	tr.RecordContact(at(16 * time.Second))
	g.Expect(tr.State(at(16 * time.Second))).To(Equal(stateCold))
	tr.RecordFinish(at(16*time.Second), time.Second)
	for d, want := range map[time.Duration]int{0: 2, 4 * time.Second: 5, 9 * time.Second: 8} {
		g.Expect(tr.UsableSlots(at(16*time.Second + d))).To(Equal(want))
	}
	g.Expect(tr.State(at(26 * time.Second))).To(Equal(stateOK))

	tr.RecordReport(at(30*time.Second), &pb.LoadReport{Cold: true})
	tr.RecordReport(at(39*time.Second), &pb.LoadReport{Cold: true})
	g.Expect(tr.State(at(39 * time.Second))).To(Equal(stateCold))
	g.Expect(tr.State(at(41*time.Second))).To(Equal(stateOK), "repeated reports do not extend the slow start")
	tr.Configure(8, true)
	g.Expect(tr.State(at(42 * time.Second))).To(Equal(stateDraining))
}

// Guards against a back-off without an upper limit or without jitter.
func TestBackoffDoubles(t *testing.T) {
	g := NewWithT(t)
	for _, jitter := range []float64{0, 0.999} {
		tr, now := load.NewTracker(2), start
		for i := range 10 {
			tr.RecordStart(now)
			tr.RecordRefusal(now, jitter)
			mean := min(100*time.Millisecond<<min(i, 6), 5*time.Second)
			wait := time.Duration(float64(mean) * (0.5 + jitter))
			g.Expect(tr.UsableSlots(now.Add(wait - time.Millisecond))).To(BeZero())
			now = now.Add(wait + time.Millisecond)
			g.Expect(tr.UsableSlots(now)).To(Equal(1))
		}
	}
}

// Guards against notices without a change, and against notices that take more than a few bytes per second.
func TestNoticesOnlyOnChange(t *testing.T) {
	g := NewWithT(t)
	var a load.Announcer
	n := func(s pb.UpstreamState, queued uint32) *pb.UpstreamNotice {
		return &pb.UpstreamNotice{State: s, Queued: queued}
	}
	g.Expect(a.RecordIfDue(start, n(stateOK, 0))).To(BeTrue())
	g.Expect(a.RecordIfDue(at(time.Minute), n(stateOK, 0))).To(BeFalse())
	g.Expect(a.RecordIfDue(at(time.Minute), n(stateCold, 0))).To(BeTrue())
	sent := 0
	for i := range 1000 {
		if a.RecordIfDue(at(time.Minute+time.Duration(i)*10*time.Millisecond), n(stateCold, uint32(i%20))) {
			sent++
		}
	}
	g.Expect(sent).To(BeNumerically("<=", 2), "10 s with a queue that grows and empties")
}

// Guards against a cold upstream that gets its full share of new flows at once.
func TestNewFlowShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := load.NewTable()
		g.Expect(table.NewFlowShare(1)).To(Equal(1.0), "no notice was received")
		table.Update(&pb.UpstreamNotice{Upstream: 1, State: stateCold})
		g.Expect(table.NewFlowShare(1)).To(Equal(0.25))
		time.Sleep(5 * time.Second)
		table.Update(&pb.UpstreamNotice{Upstream: 1, State: stateCold, Queued: 3})
		g.Expect(table.NewFlowShare(1)).To(BeNumerically("~", 0.625, 0.001))
		table.Update(&pb.UpstreamNotice{Upstream: 1, State: stateSilent})
		g.Expect(table.NewFlowShare(1)).To(BeZero())
		s, _ := table.Status(1)
		s.InProgress, s.Queued = 2, 5
		g.Expect(s.ExpectedWait(2, time.Second)).To(Equal(3 * time.Second))
		table.Remove(1)
		g.Expect(table.IsUsable(1)).To(BeTrue())
	})
}

// Guards against policies that return an index outside the candidates, and against a TwoChoices policy
// that exceeds its bound or chooses an upstream that is not usable.
func TestPolicies(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	twoChoices := load.TwoChoices{BoundPercent: 105}
	for _, p := range []load.Policy{
		load.NewRandom(r), &load.RoundRobin{}, load.Modulo{}, load.TableOnly{}, load.LeastReported{}, twoChoices} {
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
				candidates[i].ReportedInProgress++
			}
			most := 0
			for _, c := range candidates {
				most = max(most, c.Flows)
			}
			ratio := float64(most) / (flows / 14.0)
			t.Logf("largest over mean of the usable: %.3f, on the silent one: %d", ratio, candidates[3].Flows)
			if p == load.Policy(twoChoices) {
				g.Expect(candidates[3].Flows).To(BeZero())
				g.Expect(ratio).To(BeNumerically("<", 1.06))
			}
		})
	}
}
