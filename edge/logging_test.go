package edge

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Guards against packets that wait for the reader of the log. A reader that has stopped reading
// must cost only lines, whose number is counted.
func TestStalledLogReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		reader, writer := io.Pipe()
		a := newAsyncWriter(writer)
		const extra = 500
		for range maxQueuedLines + 1 + extra {
			n, err := a.Write([]byte("line\n"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(Equal(5))
			synctest.Wait()
		}
		g.Expect(a.dropped.Load()).To(Equal(int64(extra)))
		began := time.Now()
		a.flush(flushTimeout)
		g.Expect(time.Since(began)).To(Equal(flushTimeout))
		g.Expect(reader.Close()).To(Succeed())
	})
}

// Guards against lines that were dropped because of a slow reader without a report.
func TestDroppedLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	l := &packetLoop{
		lineLimiter: rateLimiter{perSecond: 1}, output: &asyncWriter{}, counters: telemetry.NewCounters(), logger: zerolog.New(&out),
	}
	l.output.dropped.Store(7)
	now := time.Unix(1_700_000_000, 0)
	g.Expect(l.allowLine(now)).To(BeTrue())
	g.Expect(l.allowLine(now.Add(time.Second))).To(BeTrue())
	g.Expect(strings.Count(out.String(), eventLinesDropped)).To(Equal(1))
	g.Expect(l.counters.Get("log.reader_slow")).To(Equal(int64(7)))
}

// Guards against a process that crashes at its exit because a goroutine still logs, and against
// last lines that are not written.
func TestLinesAfterFlush(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	a := newAsyncWriter(&out)
	for range 10 {
		_, err := a.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	a.flush(time.Minute)
	g.Expect(strings.Count(out.String(), "line")).To(Equal(10))
	_, err := a.Write([]byte("late\n"))
	g.Expect(err).NotTo(HaveOccurred())
	a.flush(time.Minute)
}

// Guards against log volume that grows with the load.
func TestLineRateLimit(t *testing.T) {
	g := NewWithT(t)
	r := rateLimiter{perSecond: 50}
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for i := range 10_000 {
		if r.allow(now.Add(time.Duration(i) * time.Millisecond)) {
			written++
		}
	}
	g.Expect(written).To(Equal(500))
	g.Expect(r.suppressed).To(Equal(int64(9_500)))
}
