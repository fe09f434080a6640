package request

import (
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// recordLife is longer than any retransmission of a request whose deadline is a minute.
	recordLife = 120 * time.Second
	// maxRecords bounds the records of one admission to about 56 MB.
	maxRecords = 65536
	// maxMarks bounds the low-water marks of one admission to about 2 MB.
	maxMarks = 65536
	// maxAnswerBytes bounds the recorded answers of one admission.
	maxAnswerBytes = 1 << 20
)

// guard keeps the records of one admission.
type guard struct {
	records map[requestKey]*record
	// ended holds finished records in the order in which they finished.
	ended []*record
	// marks holds for each flow the highest request id whose record was removed.
	marks map[wire.FlowKey]uint64

	cached      []*record
	cachedBytes int
}

func newGuard() guard {
	return guard{records: map[requestKey]*record{}, marks: map[wire.FlowKey]uint64{}}
}

// isBelowMark reports whether the record of such a request may have been removed.
func (g *guard) isBelowMark(k requestKey) bool { return k.id <= g.marks[k.flow] }

// finish marks a record as finished; its answer is kept while the cache has room.
func (g *guard) finish(r *record, now time.Time) {
	r.state, r.ended, r.packet, r.forward = finished, now, nil, nil
	r.parts = gather{}
	g.ended = append(g.ended, r)
	if len(r.answer) == 0 {
		return
	}
	g.cached = append(g.cached, r)
	g.cachedBytes += answerBytes(r)
	for g.cachedBytes > maxAnswerBytes {
		g.uncache()
	}
}

// uncache removes the oldest recorded answer.
func (g *guard) uncache() {
	oldest := g.cached[0]
	g.cached[0] = nil
	g.cached = g.cached[1:]
	g.cachedBytes -= answerBytes(oldest)
	oldest.answer = nil
}

func answerBytes(r *record) int {
	const perPacket = 200 // about the size of a Packet without its payload
	n := 0
	for _, p := range r.answer {
		n += perPacket + len(p.GetPayload())
	}
	return n
}

// expire removes records that are old or too many and raises the marks of their flows. It
// reports whether there are too many marks.
func (g *guard) expire(now time.Time) (overflow bool) {
	for len(g.ended) > 0 {
		r := g.ended[0]
		if r.slot || (now.Sub(r.ended) < recordLife && len(g.records) <= maxRecords) {
			break
		}
		g.ended[0] = nil
		g.ended = g.ended[1:]
		if len(g.cached) > 0 && g.cached[0] == r {
			g.uncache()
		}
		delete(g.records, r.key)
		g.marks[r.key.flow] = max(g.marks[r.key.flow], r.key.id)
	}
	return len(g.marks) > maxMarks
}

// replace puts a new record in the place of a finished one, which must not expire later.
func (g *guard) replace(old, r *record) {
	for i, e := range g.ended {
		if e == old {
			g.ended = append(g.ended[:i], g.ended[i+1:]...)
			break
		}
	}
	g.records[r.key] = r
}
