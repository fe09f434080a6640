package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Report contains the results of an experiment that was run with one seed.
type Report struct {
	Declaration *Declaration
	Seed        uint64
	Measures    []*Measures
	notices     []*noticeResult
}

// column is a column of the table.
type column struct {
	name  string
	value func(m *Measures) string
}

func flowColumns() []column {
	return []column{
		{"scenario", func(m *Measures) string { return m.Scenario }},
		{"policy", func(m *Measures) string { return m.Policy }},
		{"broken", func(m *Measures) string { return fmt.Sprint(m.Broken()) }},
		{"% of flows", func(m *Measures) string { return fmt.Sprintf("%.2f", percentOf(m.Broken(), m.Settings.Flows)) }},
		{"by cause", func(m *Measures) string { return formatCounts(m.broken) }},
		{"imbalance mean", func(m *Measures) string { return fmt.Sprintf("%.3f", m.meanImbalance) }},
		{"most", func(m *Measures) string { return fmt.Sprintf("%.3f", m.maxImbalance) }},
		{"60 s after drain", func(m *Measures) string { return formatOrDash(m.imbalanceAt60s > 0, "%.3f", m.imbalanceAt60s) }},
		{"left on drained", func(m *Measures) string { return formatOrDash(m.imbalanceAt60s > 0, "%.0f", m.drainingFlowsAt60s) }},
		{"diverted %", func(m *Measures) string {
			return formatOrDash(m.placed > 0, "%.1f", 100*float64(m.diverted)/float64(max(m.placed, 1)))
		}},
		{"exceptions %", func(m *Measures) string {
			return formatOrDash(m.placed > 0, "%.1f", percentOf(int(m.exceptions), m.flowsAtEnd))
		}},
		{"control B/s", func(m *Measures) string { return formatOrDash(m.controlRate > 0, "%.0f", m.controlRate) }},
	}
}

func requestColumns() []column {
	seconds := func(m *Measures) float64 { return m.measuredTime.Seconds() }
	return []column{
		{"scenario", func(m *Measures) string { return m.Scenario }},
		{"policy", func(m *Measures) string { return m.Policy }},
		{"offered/s", func(m *Measures) string { return fmt.Sprintf("%.0f", float64(m.offered)/seconds(m)) }},
		{"goodput/s", func(m *Measures) string { return fmt.Sprintf("%.0f", float64(m.statuses["OK"])/seconds(m)) }},
		{"of capacity", func(m *Measures) string {
			return fmt.Sprintf("%.2f", float64(m.statuses["OK"])/seconds(m)/m.capacity)
		}},
		{"wait p50 ms", func(m *Measures) string { return formatMillis(m.waitTimes.ValueAtQuantile(50)) }},
		{"p99 ms", func(m *Measures) string { return formatMillis(m.waitTimes.ValueAtQuantile(99)) }},
		{"answer p99 ms", func(m *Measures) string { return formatMillis(m.latency.ValueAtQuantile(99)) }},
		{"work/slots", func(m *Measures) string { return fmt.Sprintf("%.1f", m.maxWorkPerSlot) }},
		{"busiest upstream", func(m *Measures) string {
			return fmt.Sprintf("%.2f", float64(m.maxRuns*m.Settings.Upstreams)/float64(max(m.runs, 1)))
		}},
		{"recovery s", formatRecoveryTime},
		{"caller retries", func(m *Measures) string { return fmt.Sprint(m.callerRetries) }},
		{"not answered", func(m *Measures) string { return formatFailures(m.statuses) }},
		{"retries", func(m *Measures) string { return formatCounts(m.retries) }},
		{"control B/s", func(m *Measures) string { return formatOrDash(m.controlRate > 0, "%.0f", m.controlRate) }},
	}
}

// Broken returns the number of broken connections. Connections that a declared drain limit ended do not
// count.
func (m *Measures) Broken() int {
	sum := 0
	for cause, n := range m.broken {
		if cause != "drain limit" {
			sum += n
		}
	}
	return sum
}

func percentOf(part, total int) float64 { return 100 * float64(part) / float64(max(total, 1)) }

func formatMillis(microseconds int64) string { return fmt.Sprintf("%.1f", float64(microseconds)/1000) }

// formatOrDash formats v, or returns a dash if there is no value.
func formatOrDash(ok bool, format string, v float64) string {
	if !ok {
		return "-"
	}
	return fmt.Sprintf(format, v)
}

// formatRecoveryTime returns the cell of the time to recover from an overload.
func formatRecoveryTime(m *Measures) string {
	switch {
	case m.Settings.Overload == 0:
		return "-"
	case m.recoveryTime < 0:
		return "none"
	}
	return fmt.Sprintf("%.0f", m.recoveryTime.Seconds())
}

// formatCounts returns the counts other than 0 with their names, in alphabetical order.
func formatCounts[V int | int64](byName map[string]V) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if byName[name] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", strings.ToLower(name), byName[name]))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// formatFailures returns the counts of all statuses other than OK.
func formatFailures(statuses map[string]int) string {
	rest := maps.Clone(statuses)
	delete(rest, "OK")
	return formatCounts(rest)
}

// rows returns the header and one row for each case.
func (r *Report) rows() [][]string {
	if r.notices != nil {
		return noticeRows(r.notices)
	}
	columns := flowColumns()
	if r.Declaration.Kind == kindRequests {
		columns = requestColumns()
	}
	header := make([]string, len(columns))
	for i, c := range columns {
		header[i] = c.name
	}
	rows := [][]string{header}
	for _, m := range r.Measures {
		row := make([]string, len(columns))
		for i, c := range columns {
			row[i] = c.value(m)
		}
		rows = append(rows, row)
	}
	return rows
}

// WriteTable writes the report as an aligned table with the settings above it. It returns the error
// of w.
func (r *Report) WriteTable(w io.Writer) error {
	d := r.Declaration
	lines := []string{fmt.Sprintf("%s: %s", d.Name, d.Title)}
	if d.Kind == kindNotices {
		lines = append(lines, fmt.Sprintf("seed %d, settings %+v", r.Seed, d.Notices))
	} else {
		lines = append(lines, fmt.Sprintf("seed %d, %s simulated, measured from %s", r.Seed, d.Duration, d.MeasureFrom),
			fmt.Sprintf("settings %+v", d.Settings))
	}
	return writeTable(w, lines, r.rows())
}

// writeTable writes the lines and below them the aligned rows, of which the first is the header.
func writeTable(w io.Writer, lines []string, rows [][]string) error {
	widths := make([]int, len(rows[0]))
	for _, row := range rows {
		for i, cell := range row {
			widths[i] = max(widths[i], len(cell))
		}
	}
	for n, row := range rows {
		lines = append(lines, formatRow(row, widths))
		if n == 0 {
			rule := make([]string, len(row))
			for i := range rule {
				rule[i] = strings.Repeat("-", widths[i])
			}
			lines = append(lines, formatRow(rule, widths))
		}
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

func formatRow(cells []string, widths []int) string {
	var b strings.Builder
	for i, cell := range cells {
		_, _ = fmt.Fprintf(&b, "| %-*s ", widths[i], cell)
	}
	return b.String() + "|"
}

// Write writes the table, the CSV, the percentiles of the wait and the plots to a directory. It returns the
// error of the file system.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return fmt.Errorf("create report directory: %w", err)
	}
	base := filepath.Join(dir, r.Declaration.Name)
	write := func(suffix string, f func(w io.Writer) error) error { return writeFile(base+suffix, f) }
	if err := write(".txt", r.WriteTable); err != nil {
		return err
	}
	if err := write(".csv", func(w io.Writer) error { return csv.NewWriter(w).WriteAll(r.rows()) }); err != nil {
		return err
	}
	for i, m := range r.Measures {
		if !m.hasRequests {
			continue
		}
		err := write(fmt.Sprintf("-%02d-wait.hgrm", i), func(w io.Writer) error {
			_, err := m.waitTimes.PercentilesPrint(w, 1, float64(time.Millisecond/time.Microsecond))
			return err
		})
		if err != nil {
			return err
		}
	}
	return r.plot(base)
}
