package outlier

import (
	"net/netip"
	"time"
)

// evidenceLifetime is how long a response counts as evidence. It is long enough for reports to reach
// all daemons of a large fleet, and short enough for an upstream that has recovered.
const evidenceLifetime = 2 * time.Second

// Report is what one daemon has observed of an upstream within evidenceLifetime.
type Report struct {
	// Upstream is the key of the upstream's incarnation.
	Upstream uint64
	// Origin is the address of the observing daemon. It is the zero address in reports of this
	// daemon.
	Origin netip.Addr
	// Serial increases with each report of a daemon.
	Serial     uint32
	ObservedAt time.Time
	// Slow and Fast are the numbers of slow and other responses. Requests that wait for longer
	// than a slow response takes count as slow responses.
	Slow, Fast int
}

// responseCounts counts the responses of the present and the previous half of evidenceLifetime.
type responseCounts struct {
	halfBegan                              time.Time
	slow, fast, previousSlow, previousFast int
}

// advance starts another half if the present one is over.
func (c *responseCounts) advance(now time.Time) {
	const half = evidenceLifetime / 2
	switch age := now.Sub(c.halfBegan); {
	case age < half:
		return
	case age < 2*half:
		c.previousSlow, c.previousFast = c.slow, c.fast
	default:
		c.previousSlow, c.previousFast = 0, 0
	}
	c.slow, c.fast, c.halfBegan = 0, 0, now
}

func (c *responseCounts) add(isSlow bool, now time.Time) {
	c.advance(now)
	if isSlow {
		c.slow++
	} else {
		c.fast++
	}
}

// recent returns the numbers of slow and other responses within evidenceLifetime.
func (c *responseCounts) recent(now time.Time) (slow, fast int) {
	c.advance(now)
	return c.slow + c.previousSlow, c.fast + c.previousFast
}

// totals sums up the evidence of this daemon and of others.
type totals struct {
	// ownSlow and ownFast are the responses that this daemon has observed, slow and fast those of
	// all daemons.
	ownSlow, ownFast, slow, fast int
	// slowOrigins is the number of daemons that have observed slow responses.
	slowOrigins int
}

// totals returns the evidence on the upstream within evidenceLifetime, and drops older reports.
func (s *upstreamState) totals(now time.Time) totals {
	var t totals
	t.ownSlow, t.ownFast = s.own.recent(now)
	t.slow, t.fast = t.ownSlow, t.ownFast
	if t.ownSlow > 0 {
		t.slowOrigins++
	}
	for origin, r := range s.reports {
		if now.Sub(r.ObservedAt) > evidenceLifetime {
			delete(s.reports, origin)
			continue
		}
		t.slow += r.Slow
		t.fast += r.Fast
		if r.Slow > 0 {
			t.slowOrigins++
		}
	}
	return t
}

// slowReports returns the number of other daemons that have reported slow responses lately.
func (s *upstreamState) slowReports(now time.Time) int {
	count := 0
	for _, r := range s.reports {
		if r.Slow > 0 && now.Sub(r.ObservedAt) <= evidenceLifetime {
			count++
		}
	}
	return count
}
