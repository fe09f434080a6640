package discovery

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxPauseFloor, maxPausePerDaemon and maxPauseCeiling determine the maximum pause between calls
	// to a store that does not respond. All tasks of a daemon share the pause. It starts at a quarter
	// of its maximum (initialPauseShare) and doubles. The maximum is at least half of the 2 s after
	// an outage in which upstreams with expired entries register again. It grows with the fleet,
	// since the first daemon that the store serves again notifies the others. It is at most 4 s: when
	// the store has been undisturbed for that long, changes must again be in force in time.
	maxPauseFloor     = time.Second
	maxPausePerDaemon = 40 * time.Millisecond
	maxPauseCeiling   = 4 * time.Second
	initialPauseShare = 0.25
)

// maxPause returns the longest pause between failed calls of a daemon that can reach the given
// number of other daemons.
func maxPause(daemons int) time.Duration {
	return min(max(maxPauseFloor, time.Duration(daemons)*maxPausePerDaemon), maxPauseCeiling)
}

// breaker is a circuit breaker: it keeps the tasks of a daemon from calling a store that does not
// respond. Its methods may be called concurrently.
type breaker struct {
	mu sync.Mutex
	// availableSince is when the store began to respond; it is the zero time while the store does
	// not.
	availableSince time.Time
	// retryAt is when the store may be called again, and pause the nominal delay after the last
	// failure; pause is 0 while the store responds.
	retryAt time.Time
	pause   time.Duration
}

// allows reports whether the store may be called.
func (b *breaker) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pause == 0 || !now.Before(b.retryAt)
}

// isOpen reports whether the last call failed.
func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pause > 0
}

// trip records a call that failed, sets the next pause, and reports whether the breaker was closed
// before.
func (b *breaker) trip(now time.Time, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isFirst := b.pause == 0
	longest := maxPause(daemons)
	b.pause = min(max(2*b.pause, time.Duration(initialPauseShare*float64(longest))), longest)
	b.retryAt = now.Add(b.pause/2 + rand.N(b.pause))
	b.availableSince = time.Time{}
	return isFirst
}

// recordSuccess records a response, closes the breaker, and reports whether it is the first
// response after the start of the daemon or after a failure.
func (b *breaker) recordSuccess(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause = 0
	isFirst := b.availableSince.IsZero()
	if isFirst {
		b.availableSince = now
	}
	return isFirst
}

// restartAvailability counts a store that responds as available only since now.
func (b *breaker) restartAvailability(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.availableSince.IsZero() {
		b.availableSince = now
	}
}

// storeAvailableSince returns since when the store has responded, the zero time while it does not.
func (b *breaker) storeAvailableSince() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.availableSince
}
