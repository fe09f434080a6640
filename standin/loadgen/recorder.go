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
	// Latencies are kept from 1 µs to 60 s with 2 significant digits.
	maxLatencyUS     = 60_000_000
	latencyDigits    = 2
	microsPerMilli   = 1000.0
	percentileMedian = 50
	percentileTail   = 99
)

// outcome is what became of one request.
type outcome struct {
	name       string
	answer     caller.Answer
	idempotent bool
	latency    time.Duration
	wrong      bool
	// local is set when the request ended on the caller's side, by a reset or the run's end.
	local bool
}

// recorder gathers what happens on the flows of one service.
type recorder struct {
	service Service
	started time.Time
	mu      sync.Mutex
	report  ServiceReport
	open    map[*session]struct{}
	latency *hdrhistogram.Histogram
	opening *hdrhistogram.Histogram
}

func newRecorder(s Service) *recorder {
	return &recorder{
		service: s, started: time.Now(), open: map[*session]struct{}{},
		latency: hdrhistogram.New(1, maxLatencyUS, latencyDigits),
		opening: hdrhistogram.New(1, maxLatencyUS, latencyDigits),
		report: ServiceReport{
			Name: s.Name, Address: s.Address.String(), OpenRefusals: map[string]int64{}, Statuses: map[string]int64{},
			Refusals: map[string]int64{}, Unknown: map[string]int64{}, Errors: map[string]int64{}, FlowsByUpstream: map[uint32]int64{},
			Broken: []Break{}, NotRun: []string{}, Wrong: []string{},
		},
	}
}

func (r *recorder) opened(s *session, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.FlowsOpened++
	r.open[s] = struct{}{}
	_ = r.opening.RecordValue(took.Microseconds())
}

func (r *recorder) openFailed(cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.OpenRefusals[cause]++
}

func (r *recorder) broken(s *session, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.open[s]; !open {
		return
	}
	delete(r.open, s)
	r.report.Broken = append(r.report.Broken, Break{
		Flow: s.flow.Key().String(), Cause: cause, AtMS: time.Now().UnixMilli(), Upstream: s.flow.Upstream(),
	})
}

// closed ends a flow. A long-lived one counts for the imbalance if it was open at the end.
func (r *recorder) closed(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.open[s]; !open {
		return
	}
	delete(r.open, s)
	if s.long && s.runner.load.Err() != nil {
		r.report.FlowsAtEnd++
		r.report.FlowsByUpstream[s.flow.Upstream()]++
	}
}

func (r *recorder) finished(_ *session, o outcome) {
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
	r.note(o)
	if o.local {
		r.report.Statuses["flow_ended"]++
		return
	}
	r.report.Statuses[statusName(status)]++
	switch status {
	case pb.Status_STATUS_OK:
		_ = r.latency.RecordValue(o.latency.Microseconds())
		if o.wrong {
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

// note adds the request to its second.
func (r *recorder) note(o outcome) {
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

func (r *recorder) progress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.report
	return fmt.Sprintf("%s: flows %d, requests %d, ok %d, not run %d, unknown %d, broken %d, wrong %d", p.Name, len(r.open), p.Requests,
		p.Statuses[statusName(pb.Status_STATUS_OK)], p.Statuses[statusName(pb.Status_STATUS_NOT_RUN)],
		p.Statuses[statusName(pb.Status_STATUS_OUTCOME_UNKNOWN)], len(p.Broken), len(p.Wrong))
}

func (r *recorder) finish() ServiceReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtPercentile(q)) / microsPerMilli
	}
	r.report.LatencyMS = Quantiles{Median: ms(r.latency, percentileMedian), P99: ms(r.latency, percentileTail)}
	r.report.OpeningMS = Quantiles{Median: ms(r.opening, percentileMedian), P99: ms(r.opening, percentileTail)}
	return r.report
}
