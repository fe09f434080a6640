package suspicion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/suspicion"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an upstream that is avoided for a lost packet: one flow repeats its data once
// while others hear from the upstream.
func TestLostPacketIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	tr.Progress(1, at(0))
	g.Expect(tr.Retransmitted(1, 10, 1, at(0), at(200))).To(BeFalse())
	g.Expect(tr.Retransmitted(1, 10, 1, at(300), at(500))).To(BeFalse())
	g.Expect(tr.IsSuspect(1, at(500))).To(BeFalse())
}

// Guards against an upstream that is silent and keeps getting flows, and against one that stays
// suspect though it answers again, or for ever.
func TestSilenceIsSuspect(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	tr.Progress(1, at(0))
	tr.Retransmitted(1, 10, 1, at(200), at(400))
	g.Expect(tr.Retransmitted(1, 11, 1, at(210), at(410))).To(BeFalse(), "no flow is given up yet")
	g.Expect(tr.IsSuspect(1, at(410))).To(BeTrue(), "two flows repeat their data")
	g.Expect(tr.Retransmitted(1, 10, 2, at(200), at(800))).To(BeTrue())
	tr.Progress(1, at(900))
	g.Expect(tr.IsSuspect(1, at(900))).To(BeFalse())
	tr.OpeningCopied(1, at(800), at(1000))
	g.Expect(tr.IsSuspect(1, at(1000))).To(BeTrue())
	g.Expect(tr.IsSuspect(1, at(4000))).To(BeFalse())
	g.Expect(tr.IsSuspect(2, at(1000))).To(BeFalse())
}

// Guards against an upstream that refuses every flow and so never causes a copy: its callers try
// again at once, and may be sent there again. One that others hear from is not suspect, since
// a caller's packets may have gone to another daemon.
func TestRefusedOpenings(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	tr.Progress(1, at(110))
	g.Expect(tr.OpeningUnanswered(1, at(100), at(400))).To(BeFalse())
	g.Expect(tr.IsSuspect(1, at(400))).To(BeFalse())
	g.Expect(tr.OpeningUnanswered(1, at(120), at(420))).To(BeTrue())
	g.Expect(tr.IsSuspect(1, at(420))).To(BeTrue())
}

// Guards against callers that wait one after the other for an upstream that answers nobody, and
// against one that counts as dead because a single flow is lost, or after it was heard again.
func TestDeadUpstream(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	tr.Progress(1, at(0))
	tr.Retransmitted(1, 10, 1, at(100), at(400))
	tr.Retransmitted(1, 10, 2, at(100), at(700))
	g.Expect(tr.IsDead(1, at(700))).To(BeFalse(), "one flow")
	tr.Retransmitted(1, 11, 1, at(550), at(750))
	g.Expect(tr.IsDead(1, at(750))).To(BeFalse(), "no flow of two has waited long enough")
	tr.Retransmitted(1, 11, 2, at(550), at(1150))
	g.Expect(tr.IsDead(1, at(1150))).To(BeTrue())
	g.Expect(tr.IsDead(1, at(2200))).To(BeFalse(), "without further signs it may be back")
	tr.Retransmitted(1, 11, 3, at(550), at(2300))
	g.Expect(tr.IsDead(1, at(2300))).To(BeTrue())
	tr.Progress(1, at(2400))
	g.Expect(tr.IsDead(1, at(2400))).To(BeFalse())
}
