package request

import (
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// recordRetention is how long the record of a finished request is kept. It is longer than the
	// time within which a request with a deadline of a minute can be retransmitted.
	recordRetention = 120 * time.Second
	// maxRecords limits the records of one admission to about 56 MB.
	maxRecords = 65536
	// maxWatermarks limits the low-water marks of one admission to about 2 MB.
	maxWatermarks = 65536
	// maxAnswerBytes limits the memory for the recorded answers of one admission.
	maxAnswerBytes = 1 << 20
)

// guard is the at-most-once guard of one admission. It keeps the records of its requests.
type guard struct {
	records map[requestKey]*record
	// ended holds the finished and redirected records in the order in which they ended.
	ended []*record
	// watermarks holds for each flow the highest request ID whose record was removed.
	watermarks map[wire.FlowKey]uint64

	// cachedAnswers holds the records that still have their answer, the oldest first.
	cachedAnswers []*record
	cachedBytes   int
}

func newGuard() guard {
	return guard{records: map[requestKey]*record{}, watermarks: map[wire.FlowKey]uint64{}}
}

// isBelowWatermark reports whether the record of a request may have been removed, because its ID is
// not above the watermark of its flow.
func (g *guard) isBelowWatermark(k requestKey) bool { return k.id <= g.watermarks[k.flow] }

// finish marks a record as finished. Its answer, if there is one, is kept until the recorded answers
// exceed maxAnswerBytes.
func (g *guard) finish(r *record, now time.Time) {
	r.state, r.endedAt, r.packet, r.redirectPacket = finished, now, nil, nil
	r.parts = answerParts{}
	g.ended = append(g.ended, r)
	if len(r.answer) == 0 {
		return
	}
	g.cachedAnswers = append(g.cachedAnswers, r)
	g.cachedBytes += answerSize(r)
	for g.cachedBytes > maxAnswerBytes {
		g.evictAnswer()
	}
}

// evictAnswer discards the oldest recorded answer.
func (g *guard) evictAnswer() {
	oldest := g.cachedAnswers[0]
	g.cachedAnswers[0] = nil
	g.cachedAnswers = g.cachedAnswers[1:]
	g.cachedBytes -= answerSize(oldest)
	oldest.answer = nil
}

func answerSize(r *record) int {
	const perPacket = 200 // about the size of a Packet without its payload
	n := 0
	for _, p := range r.answer {
		n += perPacket + len(p.GetPayload())
	}
	return n
}

// expire removes the oldest ended records while they exceed recordRetention or the records exceed
// maxRecords, and raises the watermarks of their flows. It reports whether there are more than
// maxWatermarks watermarks.
func (g *guard) expire(now time.Time) (overflow bool) {
	for len(g.ended) > 0 {
		r := g.ended[0]
		if r.occupiesSlot || (now.Sub(r.endedAt) < recordRetention && len(g.records) <= maxRecords) {
			break
		}
		g.ended[0] = nil
		g.ended = g.ended[1:]
		if len(g.cachedAnswers) > 0 && g.cachedAnswers[0] == r {
			g.evictAnswer()
		}
		delete(g.records, r.key)
		g.watermarks[r.key.flow] = max(g.watermarks[r.key.flow], r.key.id)
	}
	return len(g.watermarks) > maxWatermarks
}

// replace replaces a finished record by a new one for the same request. The finished record is
// removed from ended, so that its expiry does not remove the new one.
func (g *guard) replace(old, r *record) {
	for i, e := range g.ended {
		if e == old {
			g.ended = append(g.ended[:i], g.ended[i+1:]...)
			break
		}
	}
	g.records[r.key] = r
}
