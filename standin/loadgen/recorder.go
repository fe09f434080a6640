package loadgen

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	// The histograms hold latencies from 1 µs to 60 s with 2 significant digits.
	maxLatencyUS     = 60_000_000
	latencyDigits    = 2
	microsPerMilli   = 1000.0
	percentileMedian = 50
	percentileTail   = 99
)

// outcome is the result of one request.
type outcome struct {
	name          string
	answer        caller.Answer
	idempotent    bool
	latency       time.Duration
	isWrongAnswer bool
	// endedLocally is set if the request ended without an answer, because the flow was reset or the
	// run ended.
	endedLocally bool
}

// recorder records the events on the flows of one service.
type recorder struct {
	service     Service
	started     time.Time
	mu          sync.Mutex
	report      ServiceReport
	open        map[*session]struct{}
	latency     *hdrhistogram.Histogram
	openLatency *hdrhistogram.Histogram
}

func newRecorder(s Service) *recorder {
	return &recorder{
		service: s, started: time.Now(), open: map[*session]struct{}{},
		latency:     hdrhistogram.New(1, maxLatencyUS, latencyDigits),
		openLatency: hdrhistogram.New(1, maxLatencyUS, latencyDigits),
		report: ServiceReport{
			Name: s.Name, Address: s.Address.String(), OpenRefusals: map[string]int64{}, Statuses: map[string]int64{},
			Refusals: map[string]int64{}, Unknown: map[string]int64{}, Errors: map[string]int64{}, FlowsByUpstream: map[uint32]int64{},
			Broken: []BrokenConnection{}, NotRun: []string{}, Wrong: []string{},
		},
	}
}

func (r *recorder) recordOpened(s *session, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.FlowsOpened++
	r.open[s] = struct{}{}
	_ = r.openLatency.RecordValue(took.Microseconds())
}

func (r *recorder) recordOpenFailure(cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.OpenRefusals[cause]++
}

func (r *recorder) recordBroken(s *session, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.open[s]; !open {
		return
	}
	delete(r.open, s)
	r.report.Broken = append(r.report.Broken, BrokenConnection{
		Flow: s.flow.Key().String(), Cause: cause, AtMS: time.Now().UnixMilli(), Upstream: s.flow.Upstream(),
	})
}

// recordClosed removes a flow. A long-lived flow that was open at the end of the load counts for the
// imbalance.
func (r *recorder) recordClosed(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.open[s]; !open {
		return
	}
	delete(r.open, s)
	if s.isLongLived && s.runner.load.Err() != nil {
		r.report.FlowsAtEnd++
		r.report.FlowsByUpstream[s.flow.Upstream()]++
	}
}

func (r *recorder) recordRequest(_ *session, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if !o.idempotent {
		r.report.NonIdempotent++
	}
	if o.answer.Attempts > 1 {
		r.report.Retransmissions += int64(o.answer.Attempts - 1)
	}
	reason := telemetry.ReasonName(o.answer.Reason)
	status := o.answer.Status
	r.addToTimeline(o)
	if o.endedLocally {
		r.report.Statuses["flow_ended"]++
		return
	}
	r.report.Statuses[statusName(status)]++
	switch status {
	case pb.Status_STATUS_OK:
		_ = r.latency.RecordValue(o.latency.Microseconds())
		if o.isWrongAnswer {
			r.report.Wrong = append(r.report.Wrong, o.name)
		}
	case pb.Status_STATUS_NOT_RUN:
		r.report.Refusals[reason]++
		r.report.NotRun = append(r.report.NotRun, o.name)
	case pb.Status_STATUS_OUTCOME_UNKNOWN:
		r.report.Unknown[reason]++
	default:
		r.report.Errors[reason]++
	}
}

// addToTimeline counts the request in the second in which it ended.
func (r *recorder) addToTimeline(o outcome) {
	second := int(time.Since(r.started) / time.Second)
	for len(r.report.Timeline) <= second {
		r.report.Timeline = append(r.report.Timeline, Second{})
	}
	s := &r.report.Timeline[second]
	s.Requests++
	switch o.answer.Status {
	case pb.Status_STATUS_OK:
		s.OK++
		s.SlowestMS = max(s.SlowestMS, o.latency.Milliseconds())
	case pb.Status_STATUS_NOT_RUN:
		s.NotRun++
	case pb.Status_STATUS_OUTCOME_UNKNOWN:
		s.Unknown++
	}
}

func (r *recorder) formatProgress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.report
	return fmt.Sprintf("%s: flows %d, requests %d, ok %d, not run %d, unknown %d, broken %d, wrong %d", p.Name, len(r.open), p.Requests,
		p.Statuses[statusName(pb.Status_STATUS_OK)], p.Statuses[statusName(pb.Status_STATUS_NOT_RUN)],
		p.Statuses[statusName(pb.Status_STATUS_OUTCOME_UNKNOWN)], len(p.Broken), len(p.Wrong))
}

func (r *recorder) buildReport() ServiceReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtPercentile(q)) / microsPerMilli
	}
	r.report.LatencyMS = Quantiles{Median: ms(r.latency, percentileMedian), P99: ms(r.latency, percentileTail)}
	r.report.OpeningMS = Quantiles{Median: ms(r.openLatency, percentileMedian), P99: ms(r.openLatency, percentileTail)}
	return r.report
}
