package edge

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the memory of the lines that wait for a slow reader to about 200 KB.
const maxQueuedLines = 1024

// Names of the events in log lines, in the field "event".
const (
	eventStarted         = "daemon_started"
	eventStopping        = "daemon_stopping"
	eventStopped         = "daemon_stopped"
	eventReady           = "daemon_ready"
	eventReloaded        = "settings_reloaded"
	eventReloadRefused   = "settings_refused"
	eventRestartNeeded   = "settings_need_restart"
	eventBoundLimited    = "bound_limited"
	eventStoreAddress    = "store_address_changed"
	eventLinesSuppressed = "log_lines_left_out"
	eventLinesDropped    = "log_lines_lost"
	eventFlow            = "flow"
	eventUpstreamHealth  = "upstream_belief"
	eventUpstreamOutlier = "upstream_outlier"
	eventUpstreamSpeed   = "upstream_speed"
	eventFlowEnded       = "flow_ended"
	eventPacketSendError = "packet_send_failed"
	// eventReadDeadlineError means that the deadline that wakes the daemon for held packets could not be set.
	eventReadDeadlineError = "read_deadline_failed"
	eventLimited           = "admission_limited"
	eventUnlimited         = "admission_unlimited"
)

// asyncWriter writes lines in a goroutine of its own and drops lines while the reader is slow, so
// that no caller waits for the reader.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// stop ends the goroutine; done is closed after its end.
	stop, done chan struct{}
	stopOnce   sync.Once
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for {
			select {
			case line := <-a.lines:
				// If the reader has closed the output, the lines are lost; the daemon continues.
				_, _ = w.Write(line)
			case <-a.stop:
				a.drain(w)
				return
			}
		}
	}()
	return a
}

// drain writes the queued lines.
func (a *asyncWriter) drain(w io.Writer) {
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// Write implements io.Writer and never blocks.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// takeDropped returns how many lines were dropped since the last call because the reader was slow.
func (a *asyncWriter) takeDropped() int64 {
	if a.dropped.Load() == 0 {
		return 0
	}
	return a.dropped.Swap(0)
}

// flush writes the queued lines within at most the given time. Lines that other goroutines write
// afterwards are lost.
func (a *asyncWriter) flush(within time.Duration) {
	a.stopOnce.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(within):
	}
}

// rateLimiter bounds the rate of the log lines about single flows. It is not safe for concurrent
// use.
type rateLimiter struct {
	perSecond    int
	windowStart  time.Time
	usedInWindow int
	suppressed   int64
}

// allow reports whether one more line may be written, and counts it.
func (r *rateLimiter) allow(now time.Time) bool {
	if now.Sub(r.windowStart) >= time.Second {
		r.windowStart, r.usedInWindow = now, 0
	}
	if r.usedInWindow >= r.perSecond {
		r.suppressed++
		return false
	}
	r.usedInWindow++
	return true
}

// timeFormat includes milliseconds, since flows open within a few milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"
