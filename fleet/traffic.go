package fleet

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// controlBytesPerSecond and controlBurstBytes limit the datagrams that this daemon sends to other daemons, headers
	// included. They leave a margin to 2 KB/s.
	controlBytesPerSecond = 1900
	controlBurstBytes     = 20_000
)

// trafficBudget is the budget of all datagrams to other daemons. Advertisements and the sketch, which has a budget of its
// own, take from it without being refused: the freshness of records and the limit for cold upstreams depend on
// them. Reports get what is left. Its methods may be called concurrently.
type trafficBudget struct{ limiter *rate.Limiter }

func newTrafficBudget() *trafficBudget {
	return &trafficBudget{rate.NewLimiter(controlBytesPerSecond, controlBurstBytes)}
}

// take records bytes that are sent in any case. The debt is bounded, so that reports are sent again soon after a time
// with many advertisements.
func (b *trafficBudget) take(bytes int, now time.Time) {
	if b.limiter.TokensAt(now) > -controlBytesPerSecond {
		b.limiter.ReserveN(now, bytes)
	}
}

// allows reports whether bytes may be sent that can be left out, and records that they are sent.
func (b *trafficBudget) allows(bytes int, now time.Time) bool { return b.limiter.AllowN(now, bytes) }
