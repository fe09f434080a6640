package discovery

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// The pause between calls of a store that does not answer is shared by the tasks of a daemon,
	// begins at a quarter of its longest and doubles. The longest is half of the 2 s after an
	// outage in which lapsed upstreams come back. The first daemon that is served again tells the
	// others, so that each of many may ask less often, up to the 4 s for which a store must have
	// been calm.
	leastLongestPause = time.Second
	pausePerDaemon    = 40 * time.Millisecond
	mostLongestPause  = 4 * time.Second
	firstPauseShare   = 0.25
)

// longestPause returns the longest pause between failed calls of one of many daemons.
func longestPause(daemons int) time.Duration {
	return min(max(leastLongestPause, time.Duration(daemons)*pausePerDaemon), mostLongestPause)
}

// breaker keeps the tasks of a daemon from calling a store that does not answer. Its methods may
// be called concurrently.
type breaker struct {
	mu sync.Mutex
	// answersSince is when the store began to answer; the zero time while it does not.
	answersSince time.Time
	// next is when it may be called again, pause the time from the last failure to then.
	next  time.Time
	pause time.Duration
}

// allows reports whether the store may be called.
func (b *breaker) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pause == 0 || !now.Before(b.next)
}

// isOpen reports whether the last call failed.
func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pause > 0
}

// failed notes a call without an answer, and reports whether it was the first one.
func (b *breaker) failed(now time.Time, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isFirst := b.pause == 0
	longest := longestPause(daemons)
	b.pause = min(max(2*b.pause, time.Duration(firstPauseShare*float64(longest))), longest)
	b.next = now.Add(b.pause/2 + rand.N(b.pause))
	b.answersSince = time.Time{}
	return isFirst
}

// answered notes an answer, and reports whether it was the first one.
func (b *breaker) answered(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause = 0
	isFirst := b.answersSince.IsZero()
	if isFirst {
		b.answersSince = now
	}
	return isFirst
}

// answering returns since when the store answers, the zero time while it does not.
func (b *breaker) answering() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answersSince
}
