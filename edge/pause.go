package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fulmarfield/fulmarfield/internal/wait"
)

const (
	// pauseTickInterval is how often a pauseDetector shows that this process runs.
	pauseTickInterval = 100 * time.Millisecond
	// minPause is the time without a tick from which on this process counts as paused. It is shorter
	// than the time after which a request without a response counts as slow.
	minPause = 250 * time.Millisecond
)

// pauseDetector detects that this process did not run for a while: because it was stopped, or its VM was
// frozen or starved. Packets that waited meanwhile are read at once afterwards, so that the times between
// them tell nothing about upstreams. Its methods may be called concurrently.
type pauseDetector struct {
	began time.Time
	// lastTick and resumedAt are in nanoseconds after began.
	lastTick, resumedAt atomic.Int64
}

func newPauseDetector(now time.Time) *pauseDetector { return &pauseDetector{began: now} }

// run ticks until the context is cancelled.
func (p *pauseDetector) run(ctx context.Context) {
	for wait.For(ctx, pauseTickInterval) == nil {
		p.tick(time.Now())
	}
}

// tick records that this process runs, and that it resumed if the last tick was long ago.
func (p *pauseDetector) tick(now time.Time) {
	at := now.Sub(p.began)
	if at-time.Duration(p.lastTick.Load()) > minPause {
		p.resumedAt.Store(int64(at))
	}
	p.lastTick.Store(int64(at))
}

// lastResumption returns when this process last resumed, as far as is known at a time: also if no tick
// has shown it yet.
func (p *pauseDetector) lastResumption(now time.Time) time.Time {
	if now.Sub(p.began)-time.Duration(p.lastTick.Load()) > minPause {
		return now
	}
	return p.began.Add(time.Duration(p.resumedAt.Load()))
}
