package suspicion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/suspicion"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an upstream that becomes suspect because of a lost packet: the caller of one flow
// retransmits its data once while those of other flows receive packets from the upstream.
func TestLostPacketIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	tr.RecordProgress(1, at(0), at(0))
	g.Expect(retransmit(tr, 1, 10, 1, 0, 200)).To(BeFalse())
	g.Expect(retransmit(tr, 1, 10, 1, 300, 500)).To(BeFalse())
	g.Expect(tr.IsSuspect(1, at(500))).To(BeFalse())
}

// Guards against new flows to an upstream that does not respond, and against an upstream that stays
// suspect for ever or although it responds again.
func TestUnresponsiveUpstreamIsSuspect(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	tr.RecordProgress(1, at(0), at(0))
	retransmit(tr, 1, 10, 1, 200, 400)
	g.Expect(retransmit(tr, 1, 11, 1, 210, 410)).To(BeFalse(), "one retransmission is not enough")
	g.Expect(tr.IsSuspect(1, at(410))).To(BeTrue(), "data of two flows was retransmitted")
	recordProgressDuring(tr, 2, 200, 800)
	g.Expect(retransmit(tr, 1, 10, 2, 200, 800)).To(BeTrue())
	tr.RecordProgress(1, at(900), at(900))
	g.Expect(tr.IsSuspect(1, at(900))).To(BeFalse())
	tr.RecordOpenRetransmission(1, at(800), at(1000))
	g.Expect(tr.IsSuspect(1, at(1000))).To(BeTrue())
	g.Expect(tr.IsSuspect(1, at(4000))).To(BeFalse())
	g.Expect(tr.IsSuspect(2, at(1000))).To(BeFalse())
}

// Guards against an upstream that refuses every flow and so never causes a retransmission of an
// opening packet: its callers retry at once and may be sent to it again. An upstream that makes
// progress on other flows does not become suspect, since the packets of the caller may have gone to
// another daemon.
func TestRefusedOpens(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	tr.RecordProgress(1, at(110), at(110))
	g.Expect(tr.RecordUnansweredOpen(1, at(100), at(400))).To(BeFalse())
	g.Expect(tr.IsSuspect(1, at(400))).To(BeFalse())
	g.Expect(tr.RecordUnansweredOpen(1, at(120), at(420))).To(BeTrue())
	g.Expect(tr.IsSuspect(1, at(420))).To(BeTrue())
}

// Guards against callers that wait one after the other for an upstream that responds on no flow, and
// against an upstream that counts as dead because a single flow failed, or although it made progress
// since.
func TestDeadUpstream(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	tr.RecordProgress(1, at(0), at(0))
	recordProgressDuring(tr, 2, 100, 1100)
	retransmit(tr, 1, 10, 1, 100, 400)
	retransmit(tr, 1, 10, 2, 100, 700)
	g.Expect(tr.IsDead(1, at(700))).To(BeFalse(), "only one flow is stalled")
	retransmit(tr, 1, 11, 1, 550, 750)
	g.Expect(tr.IsDead(1, at(750))).To(BeFalse(), "neither of the two flows waits long enough")
	retransmit(tr, 1, 11, 2, 550, 1150)
	g.Expect(tr.IsDead(1, at(1150))).To(BeTrue())
	g.Expect(tr.IsDead(1, at(2200))).To(BeFalse(), "without further evidence the upstream may have recovered")
	recordProgressDuring(tr, 2, 1200, 2300)
	retransmit(tr, 1, 11, 3, 550, 2300)
	g.Expect(tr.IsDead(1, at(2300))).To(BeTrue())
	tr.RecordProgress(1, at(2400), at(2400))
	g.Expect(tr.IsDead(1, at(2400))).To(BeFalse())
}

// Guards against all upstreams that count as dead at once, whose flows would all end, while the callers receive nothing:
// they or the way back to them stand still (review/1 with TROUBLE=0). Silence is no evidence against an upstream while
// the others are silent as well, nor when the first of them respond again.
func TestSilenceOfAllUpstreamsIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	tr := suspicion.NewTracker()
	send := func(count, ms int) (dead int) {
		for upstream := range uint64(6) {
			for flow := range uint64(5) {
				if retransmit(tr, upstream, 10*upstream+flow, count, 10, ms) || tr.IsDead(upstream, at(ms)) {
					dead++
				}
			}
		}
		return dead
	}
	for upstream := range uint64(6) {
		tr.RecordProgress(upstream, at(20), at(20))
	}
	for count, ms := range []int{0, 210, 610, 1410, 3010} {
		if count > 0 {
			g.Expect(send(count, ms)).To(BeZero())
		}
	}
	tr.RecordProgress(3, at(3100), at(3100))
	g.Expect(send(4, 3110)).To(BeZero(), "the others respond a moment later")
	recordProgressDuring(tr, 3, 3100, 4600)
	g.Expect(send(5, 4610)).To(BeNumerically(">=", 20), "all but the one that responds")
	g.Expect(tr.IsDead(3, at(4610))).To(BeFalse())
}

// recordProgressDuring records progress of an upstream every 100 ms.
func recordProgressDuring(tr *suspicion.Tracker, upstream uint64, fromMS, toMS int) {
	for ms := fromMS; ms <= toMS; ms += 100 {
		tr.RecordProgress(upstream, at(ms), at(ms))
	}
}

// retransmit records the count-th retransmission of data that was sent at sentMS. Callers send the copies 200, 600 and
// 1,400 ms after the data, and so on.
func retransmit(tr *suspicion.Tracker, upstream, flow uint64, count, sentMS, nowMS int) bool {
	copiedMS := sentMS + 200*(1<<(count-1)-1)
	return tr.RecordRetransmission(upstream, flow, count, at(sentMS), at(copiedMS), at(nowMS))
}
