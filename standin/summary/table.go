package summary

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/fulmarfield/fulmarfield/standin/loadgen"
)

// WriteTable writes the table of the run and its violations.
func (r *Run) WriteTable(w io.Writer, violations []Violation) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(cells ...string) {
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t")) // Flush returns the error.
	}
	services := func(name string, value func(s *loadgen.ServiceReport) string) {
		cells := []string{name}
		for i := range r.Load.Services {
			cells = append(cells, value(&r.Load.Services[i]))
		}
		line(cells...)
	}
	fault, hasFault := r.firstFault()
	steady, end := imbalance(r.SteadyReports, nil), imbalance(r.EndReports, r.drainTimes())
	services("service", func(s *loadgen.ServiceReport) string { return s.Name })
	services("connections opened", func(s *loadgen.ServiceReport) string { return fmt.Sprint(s.FlowsOpened) })
	services("requests", func(s *loadgen.ServiceReport) string { return fmt.Sprint(s.Requests) })
	services("answers", func(s *loadgen.ServiceReport) string { return fmt.Sprint(s.Statuses[okStatus]) })
	services("refusals (not run)", func(s *loadgen.ServiceReport) string { return loadgen.FormatCounts(s.Refusals) })
	services("outcome unknown", func(s *loadgen.ServiceReport) string { return loadgen.FormatCounts(s.Unknown) })
	services("errors", func(s *loadgen.ServiceReport) string { return loadgen.FormatCounts(s.Errors) })
	services("openings refused", func(s *loadgen.ServiceReport) string { return loadgen.FormatCounts(s.OpenRefusals) })
	services("retransmissions by callers", func(s *loadgen.ServiceReport) string { return fmt.Sprint(s.Retransmissions) })
	services("broken before any fault", func(s *loadgen.ServiceReport) string {
		return loadgen.FormatCounts(loadgen.CountCauses(filterBreaks(s.Broken, func(b loadgen.BrokenConnection) bool { return !hasFault || b.AtMS < fault })))
	})
	services("broken after a fault", func(s *loadgen.ServiceReport) string {
		return loadgen.FormatCounts(loadgen.CountCauses(filterBreaks(s.Broken, func(b loadgen.BrokenConnection) bool { return hasFault && b.AtMS >= fault })))
	})
	services("imbalance, steady", func(s *loadgen.ServiceReport) string { return formatRatio(steady, s.Address) })
	services("imbalance, end", func(s *loadgen.ServiceReport) string { return formatRatio(end, s.Address) })
	services("latency p50 / p99, ms", func(s *loadgen.ServiceReport) string {
		return fmt.Sprintf("%.1f / %.1f", s.LatencyMS.Median, s.LatencyMS.P99)
	})
	line("retries by balancers", loadgen.FormatCounts(r.daemonCounts("retry.")))
	line("refusals by balancers", loadgen.FormatCounts(r.daemonCounts("refusal.")))
	line("drops by balancers", loadgen.FormatCounts(r.daemonCounts("drop.")))
	line("generation in force", r.formatGenerations())
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return writeVerdict(w, violations)
}

func writeVerdict(w io.Writer, violations []Violation) error {
	text := "every invariant held\n"
	if len(violations) > 0 {
		text = ""
		for _, v := range violations {
			text += "VIOLATION " + v.String() + "\n"
		}
	}
	if _, err := io.WriteString(w, text); err != nil {
		return fmt.Errorf("write verdict: %w", err)
	}
	return nil
}

// WriteBrokenConnections writes each broken connection with its cause and the last event before it.
func (r *Run) WriteBrokenConnections(w io.Writer) error {
	for _, s := range r.Load.Services {
		for _, b := range s.Broken {
			at := time.Duration(b.AtMS-r.Load.StartedMS) * time.Millisecond
			_, err := fmt.Fprintf(w, "broken %s at %.1fs upstream %d cause %s after %s\n", b.Flow, at.Seconds(), b.Upstream, b.Cause, r.eventBefore(b.AtMS))
			if err != nil {
				return fmt.Errorf("write broken connections: %w", err)
			}
		}
	}
	return nil
}

func (r *Run) eventBefore(atMS int64) string {
	text, last := "start", int64(0)
	for _, e := range r.Events {
		if e.AtMS <= atMS && e.AtMS >= last {
			text, last = e.Text, e.AtMS
		}
	}
	return text
}

func filterBreaks(breaks []loadgen.BrokenConnection, wanted func(loadgen.BrokenConnection) bool) []loadgen.BrokenConnection {
	var some []loadgen.BrokenConnection
	for _, b := range breaks {
		if wanted(b) {
			some = append(some, b)
		}
	}
	return some
}

func formatRatio(ratios map[string]float64, service string) string {
	if v, ok := ratios[service]; ok {
		return fmt.Sprintf("%.3f", v)
	}
	return "unknown"
}

// daemonCounts sums the counters with the prefix over all balancers. Names may be nested
// and may end in ".count", as metrics libraries write them.
func (r *Run) daemonCounts(prefix string) map[string]int64 {
	sums := map[string]int64{}
	for _, numbers := range r.Daemons {
		for name, n := range numbers {
			_, counter, found := strings.Cut("."+name, "."+prefix)
			if found {
				sums[strings.TrimSuffix(counter, ".count")] += int64(n)
			}
		}
	}
	return sums
}

func (r *Run) formatGenerations() string {
	var all []string
	for name, generation := range r.Generations {
		all = append(all, name+" "+generation)
	}
	if len(all) == 0 {
		return "unknown"
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}
