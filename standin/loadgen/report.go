package loadgen

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Report holds the results of a run as callers observed them.
type Report struct {
	Seed       uint64           `json:"seed"`
	StartedMS  int64            `json:"started_ms"` // Unix time
	DurationMS int64            `json:"duration_ms"`
	Services   []ServiceReport  `json:"services"`
	Counters   map[string]int64 `json:"counters"`
}

// ServiceReport holds the results of the callers of one service.
type ServiceReport struct {
	Name            string             `json:"name"`
	Address         string             `json:"address"`
	FlowsOpened     int64              `json:"flows_opened"`
	FlowsAtEnd      int64              `json:"flows_at_end"`
	OpenRefusals    map[string]int64   `json:"open_refusals"`
	Requests        int64              `json:"requests"`
	NonIdempotent   int64              `json:"non_idempotent"`
	Statuses        map[string]int64   `json:"statuses"`
	Refusals        map[string]int64   `json:"refusals"` // not run, by reason
	Unknown         map[string]int64   `json:"unknown"`  // outcome unknown, by reason
	Errors          map[string]int64   `json:"errors"`
	Retransmissions int64              `json:"retransmissions"`
	Broken          []BrokenConnection `json:"broken"`
	NotRun          []string           `json:"not_run"` // names of the requests with this status
	Wrong           []string           `json:"wrong_answers"`
	// FlowsByUpstream counts the long-lived flows at the end by upstream number.
	FlowsByUpstream map[uint32]int64 `json:"flows_by_upstream"`
	// Timeline has one entry for each second from the start of the run.
	Timeline  []Second  `json:"timeline"`
	LatencyMS Quantiles `json:"latency_ms"`
	OpeningMS Quantiles `json:"opening_ms"`
}

// BrokenConnection records when and why the connection of one flow broke.
type BrokenConnection struct {
	Flow     string `json:"flow"`
	Cause    string `json:"cause"`
	AtMS     int64  `json:"at_ms"` // Unix time when the caller detected it
	Upstream uint32 `json:"upstream"`
}

// Second counts the requests that ended within one second.
type Second struct {
	Requests int64 `json:"requests"`
	OK       int64 `json:"ok"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	// SlowestMS is the longest latency of an answer with STATUS_OK.
	SlowestMS int64 `json:"slowest_ms"`
}

// Quantiles are the quantiles of a duration in milliseconds.
type Quantiles struct {
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
}

func statusName(s pb.Status) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATUS_"))
}

// Imbalance returns the ratio of the largest number of flows on an upstream to the mean, 0 without
// flows.
func Imbalance[K comparable](flows map[K]int64) float64 {
	var largest, sum int64
	for _, n := range flows {
		largest, sum = max(largest, n), sum+n
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(len(flows)) / float64(sum)
}

// FormatCounts formats counts as "name n, name n", largest first, or "none".
func FormatCounts(counts map[string]int64) string {
	var names []string
	for name, n := range counts {
		if n != 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := counts[names[i]], counts[names[j]]
		return a > b || (a == b && names[i] < names[j])
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	return strings.Join(names, ", ")
}

// CountCauses counts broken connections by cause.
func CountCauses(breaks []BrokenConnection) map[string]int64 {
	causes := map[string]int64{}
	for _, b := range breaks {
		causes[b.Cause]++
	}
	return causes
}

// Table writes the report as a short table with one column for each service.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value func(s *ServiceReport) string) {
		cells := []string{name}
		for i := range r.Services {
			cells = append(cells, value(&r.Services[i]))
		}
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t")) // Flush returns the error.
	}
	row("service", func(s *ServiceReport) string { return s.Name })
	row("flows opened / at end", func(s *ServiceReport) string { return fmt.Sprintf("%d / %d", s.FlowsOpened, s.FlowsAtEnd) })
	row("flows refused", func(s *ServiceReport) string { return FormatCounts(s.OpenRefusals) })
	row("requests (non-idempotent)", func(s *ServiceReport) string { return fmt.Sprintf("%d (%d)", s.Requests, s.NonIdempotent) })
	row("statuses", func(s *ServiceReport) string { return FormatCounts(s.Statuses) })
	row("not run, by reason", func(s *ServiceReport) string { return FormatCounts(s.Refusals) })
	row("outcome unknown, by reason", func(s *ServiceReport) string { return FormatCounts(s.Unknown) })
	row("errors, by reason", func(s *ServiceReport) string { return FormatCounts(s.Errors) })
	row("retransmissions", func(s *ServiceReport) string { return fmt.Sprint(s.Retransmissions) })
	row("broken connections, by cause", func(s *ServiceReport) string { return FormatCounts(CountCauses(s.Broken)) })
	row("wrong answers", func(s *ServiceReport) string { return fmt.Sprint(len(s.Wrong)) })
	row("imbalance of flows at end", func(s *ServiceReport) string { return fmt.Sprintf("%.3f", Imbalance(s.FlowsByUpstream)) })
	row("latency p50 / p99, ms", func(s *ServiceReport) string { return fmt.Sprintf("%.1f / %.1f", s.LatencyMS.Median, s.LatencyMS.P99) })
	row("opening p50 / p99, ms", func(s *ServiceReport) string { return fmt.Sprintf("%.1f / %.1f", s.OpeningMS.Median, s.OpeningMS.P99) })
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
