package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a pause that is not known yet when the packets that waited meanwhile are handled, that is
// forgotten with the next tick, or that is assumed while the process runs.
func TestPauseDetector(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	p := newPauseDetector(start)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for ms := 100; ms <= 1000; ms += 100 {
		p.tick(at(ms))
	}
	g.Expect(p.lastResumption(at(1200))).To(Equal(start))
	g.Expect(p.lastResumption(at(9000))).To(Equal(at(9000)), "no tick has shown it yet")
	p.tick(at(9001))
	g.Expect(p.lastResumption(at(9010))).To(Equal(at(9001)))
	p.tick(at(9100))
	g.Expect(p.lastResumption(at(9110))).To(Equal(at(9001)))
}
