package admission

import (
	"slices"
	"time"
)

const (
	// minFactor and maxFactor bound the number of requests in progress per slot. An upstream queues 8 requests in
	// addition to those in its slots and refuses further ones at once, which looks like a fast response. Therefore
	// response times alone cannot show that the limit is too high, and the factor needs an upper bound.
	minFactor, maxFactor = 0.7, 2.5
	// expectedQuantile is the quantile of the response times that is expected of a new flow. With the median, half of
	// the flows that are released last would be answered late.
	expectedQuantile = 0.8
	// headroomShare is the share of its objective within which a response leaves headroom.
	headroomShare = 0.75
	// maxSlowShare is the share of responses without headroom above which the factor falls. Losses of packets and
	// requests that take several times as long as others make a tenth of the responses slow on their own.
	maxSlowShare = 0.2
	// decrease multiplies the factor, and increase is added to it, after each interval.
	decrease, increase = 0.85, 0.1
	// calmShare is the share of responses without headroom up to which a service is calm, and slowWeight the weight of
	// an interval in its average. While a service is calm, its limit is higher by calmAllowance requests: where each
	// daemon sees few requests, several begin at once by chance although slots are free.
	calmShare, slowWeight, calmAllowance = 0.15, 0.2, 3
	// minInterval and minResponses are the shortest time and the smallest number of responses after which the
	// factor is changed.
	minInterval  = 50 * time.Millisecond
	minResponses = 4
	// maxResponses bounds the response times that are kept in an interval.
	maxResponses = 512
	// evidenceLifetime is the time without responses after which what was learned from them is forgotten.
	evidenceLifetime = time.Second
)

// pace is what the response times of a service show.
type pace struct {
	factor float64
	// expected is the response time that is expected at present, 0 if it is not known.
	expected time.Duration
	// took are the response times of the present interval, and slow is the number of those without headroom.
	took []time.Duration
	slow int
	// slowShare is the average share of responses without headroom.
	slowShare   float64
	began, last time.Time
}

func newPace() pace { return pace{factor: maxFactor} }

// record adds a response time and adapts the factor at the end of an interval.
func (p *pace) record(objective, took time.Duration, now time.Time) {
	p.forgetOld(now)
	if len(p.took) == 0 {
		p.began = now
	}
	p.last = now
	if len(p.took) < maxResponses {
		p.took = append(p.took, took)
		if float64(took) > headroomShare*float64(objective) {
			p.slow++
		}
	}
	if len(p.took) < minResponses || now.Sub(p.began) < minInterval {
		return
	}
	share := float64(p.slow) / float64(len(p.took))
	p.slowShare += slowWeight * (share - p.slowShare)
	if share > maxSlowShare {
		p.factor = max(p.factor*decrease, minFactor)
	} else {
		p.factor = min(p.factor+increase, maxFactor)
	}
	slices.Sort(p.took)
	quantile := p.took[int(expectedQuantile*float64(len(p.took)))]
	if p.expected == 0 {
		p.expected = quantile
	}
	p.expected = (p.expected + quantile) / 2
	p.took, p.slow = p.took[:0], 0
}

// allowance returns the number of requests that may be in progress in addition to those of the factor.
func (p *pace) allowance() float64 {
	if p.slowShare <= calmShare {
		return 1 + calmAllowance
	}
	return 1
}

// forgetOld returns to the initial state if there has been no response lately.
func (p *pace) forgetOld(now time.Time) {
	if !p.last.IsZero() && now.Sub(p.last) > evidenceLifetime {
		*p = newPace()
	}
}
