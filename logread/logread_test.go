package logread_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/logread"
)

const sampleLog = `something else
  1.2 front-2 {"daemon":"front-2","event":"flow","flow":"100.64.0.7:1051>198.18.0.1:8443","action":"reset","reason":"upstream_dead","generation":7,"upstreams_age_ms":400,"time":"2026-12-04T09:00:02.500Z"}
{"daemon":"front-1","event":"daemon_started","time":"2026-12-04T09:00:00.000Z"}
{"daemon":"front-1","event":"configuration_changed","generation":7,"time":"2026-12-04T09:00:00.100Z"}
{"daemon":"front-1","event":"upstreams_changed","version":31,"upstreams":17,"time":"2026-12-04T09:00:00.200Z"}
{"daemon":"front-1","event":"flow","flow":"100.64.0.7:1051>198.18.0.1:8443","action":"forward","reason":"placed","upstream":"i-a1","zone":"schuur","generation":7,"upstreams_age_ms":300,"time":"2026-12-04T09:00:01.000Z"}
{"daemon":"front-1","event":"flow","flow":"100.64.0.8:1051>198.18.0.1:8443","action":"forward","reason":"placed","upstream":"i-b2","time":"2026-12-04T09:00:01.100Z"}
{"daemon":"front-2","event":"upstream_belief","upstream":"i-a1","belief":"dead","evidence":"data was repeated","time":"2026-12-04T09:00:02.400Z"}
{"daemon":"front-2","event":"upstream_outlier","upstream":"i-b2","state":"ejected","evidence":"3 slow and 0 other responses","time":"2026-12-04T09:00:02.420Z"}
{"daemon":"front-2","event":"flow_ended","flow":"100.64.0.9:1>198.18.0.1:8443","reason":"upstream_dead","upstream":"i-b2","zone":"winkel","time":"2026-12-04T09:00:02.430Z"}
{"daemon":"front-2","event":"upstream_outlier","upstream":"i-b2","state":"accepted","evidence":"0 slow and 3 other responses","time":"2026-12-04T09:00:03.100Z"}
{"daemon":"front-1","event":"store_lost","time":"2026-12-04T09:00:03.000Z"}
`

func readSampleLog(t *testing.T) []logread.Line {
	lines, err := logread.Read("log", strings.NewReader(sampleLog))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return lines
}

// Guards against a timeline that omits the lines of another daemon, mixes flows, or is out of order.
func TestFlowTimeline(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	n, err := logread.WriteFlowTimeline(&out, readSampleLog(t), "100.64.0.7:1051")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(3))
	g.Expect(out.String()).To(Equal(`09:00:01.000 front-1              forward: placed, upstream i-a1 in schuur (generation 7, upstreams 300 ms old)
09:00:02.400 front-2              upstream i-a1 is dead: data was repeated
09:00:02.500 front-2              reset: upstream_dead (generation 7, upstreams 400 ms old)
`))
	n, err = logread.WriteFlowTimeline(&out, readSampleLog(t), "100.64.0.10")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeZero())
}

// Guards against a timeline of an upstream that omits when and on what evidence it was ejected and accepted
// again, or what that meant for its flows.
func TestUpstreamTimeline(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	n, err := logread.WriteUpstreamTimeline(&out, readSampleLog(t), "i-b2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(3))
	g.Expect(out.String()).To(Equal(`09:00:02.420 front-2              upstream i-b2 is ejected: 3 slow and 0 other responses
09:00:02.430 front-2              reset while idle: upstream_dead, upstream i-b2 in winkel
09:00:03.100 front-2              upstream i-b2 is accepted: 0 slow and 3 other responses
`))
}

// Guards against a state that includes changes logged after the requested time.
func TestDaemonStates(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	n, err := logread.WriteDaemonStates(&out, readSampleLog(t), time.Date(2026, 12, 4, 9, 0, 2, 450_000_000, time.UTC))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(2))
	g.Expect(out.String()).To(Equal(`front-1              running   generation 7, 17 upstreams as of 31, store not heard, suspects: , outliers: 
front-2              running   generation -, - upstreams as of -, store not heard, suspects: i-a1 dead, outliers: i-b2 ejected
`))
}

// Guards against a malformed log line that is skipped instead of reported with its line number.
func TestMalformedLine(t *testing.T) {
	for _, text := range []string{"{", `{"event":"flow"}`, `{"time":"noon"}`} {
		_, err := logread.Read("front-1.log", strings.NewReader("fine\n"+text))
		NewWithT(t).Expect(err).To(MatchError(logread.ErrLine), text)
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring("front-1.log:2")), text)
	}
}
