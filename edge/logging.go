package edge

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queuedLines bounds the memory of lines that wait for a slow reader, about 200 KB.
const queuedLines = 1024

// Event names of the daemon's own log lines, in the field "event".
const (
	eventStarted         = "daemon_started"
	eventStopping        = "daemon_stopping"
	eventStopped         = "daemon_stopped"
	eventReady           = "daemon_ready"
	eventReloaded        = "settings_reloaded"
	eventReloadRefused   = "settings_refused"
	eventRestartNeeded   = "settings_need_restart"
	eventLinesLeftOut    = "log_lines_left_out"
	eventLinesLost       = "log_lines_lost"
	eventFlow            = "flow"
	eventUpstreamBelief  = "upstream_belief"
	eventFlowEnded       = "flow_ended"
	eventPacketSendError = "packet_send_failed"
)

// asyncWriter writes lines in a task of its own and leaves them out when the reader is slow, so
// that no caller waits for it.
type asyncWriter struct {
	lines chan []byte
	lost  atomic.Int64
	// stop ends the task, done is closed when it has ended.
	stop, done chan struct{}
	stopping   sync.Once
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, queuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for {
			select {
			case line := <-a.lines:
				// A reader that went away takes the log with it; the daemon goes on.
				_, _ = w.Write(line)
			case <-a.stop:
				a.drain(w)
				return
			}
		}
	}()
	return a
}

// drain writes what is queued.
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
		a.lost.Add(1)
	}
	return len(line), nil
}

// takeLost returns how many lines were left out since the last call because the reader was slow.
func (a *asyncWriter) takeLost() int64 {
	if a.lost.Load() == 0 {
		return 0
	}
	return a.lost.Swap(0)
}

// flush writes what is queued for at most the given time. Lines that tasks which have not ended
// yet write afterwards are lost.
func (a *asyncWriter) flush(within time.Duration) {
	a.stopping.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(within):
	}
}

// lineBudget bounds the lines on single flows. It belongs to one task.
type lineBudget struct {
	perSecond int
	second    time.Time
	used      int
	leftOut   int64
}

// take reports whether one more line may be written.
func (b *lineBudget) take(now time.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.used = now, 0
	}
	if b.used >= b.perSecond {
		b.leftOut++
		return false
	}
	b.used++
	return true
}

// timeFormat has milliseconds, since flows open within a few.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"
