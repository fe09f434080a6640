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

// Guards against packets that wait for the reader of the log: one that has stopped reading costs
// lines, not time, and it is known how many.
func TestStalledLogReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		reader, writer := io.Pipe()
		a := newAsyncWriter(writer)
		const extra = 500
		for range queuedLines + 1 + extra {
			n, err := a.Write([]byte("line\n"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(Equal(5))
			synctest.Wait()
		}
		g.Expect(a.lost.Load()).To(Equal(int64(extra)))
		began := time.Now()
		a.flush(flushTimeout)
		g.Expect(time.Since(began)).To(Equal(flushTimeout))
		g.Expect(reader.Close()).To(Succeed())
	})
}

// Guards against lines that a slow reader cost and nobody hears of.
func TestLostLinesAreTold(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	l := &packetLoop{
		budget: lineBudget{perSecond: 1}, output: &asyncWriter{}, counters: telemetry.NewCounters(), logger: zerolog.New(&out),
	}
	l.output.lost.Store(7)
	now := time.Unix(1_700_000_000, 0)
	g.Expect(l.takeLine(now)).To(BeTrue())
	g.Expect(l.takeLine(now.Add(time.Second))).To(BeTrue())
	g.Expect(strings.Count(out.String(), eventLinesLost)).To(Equal(1))
	g.Expect(l.counters.Get("log.reader_slow")).To(Equal(int64(7)))
}

// Guards against a process that crashes at its end because a task still logs, and against last lines
// that are not written.
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
func TestLineBudget(t *testing.T) {
	g := NewWithT(t)
	b := lineBudget{perSecond: 50}
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for i := range 10_000 {
		if b.take(now.Add(time.Duration(i) * time.Millisecond)) {
			written++
		}
	}
	g.Expect(written).To(Equal(500))
	g.Expect(b.leftOut).To(Equal(int64(9_500)))
}
