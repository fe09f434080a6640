package summary

import (
	"fmt"
	"io"
	"strings"

	"github.com/fulmarfield/fulmarfield/standin/loadgen"
)

// WriteRow writes the row of this run for a table of many runs, on one line with tabs between the
// fields: verdict, broken connections by cause, refused requests by reason, requests of unknown
// outcome by reason, errors by reason, and the number of requests. The numbers are sums over all services.
func (r *Run) WriteRow(w io.Writer, violations []Violation) error {
	verdict := "held"
	if len(violations) > 0 {
		var all []string
		for _, v := range violations {
			all = append(all, v.String())
		}
		verdict = "VIOLATED " + strings.Join(all, "; ")
	}
	broken, refused, unknown, failed := map[string]int64{}, map[string]int64{}, map[string]int64{}, map[string]int64{}
	requests := int64(0)
	for _, s := range r.Load.Services {
		addCounts(broken, loadgen.CountCauses(s.Broken))
		addCounts(refused, s.Refusals)
		addCounts(unknown, s.Unknown)
		addCounts(failed, s.Errors)
		requests += s.Requests
	}
	_, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", verdict,
		loadgen.FormatCounts(broken), loadgen.FormatCounts(refused), loadgen.FormatCounts(unknown), loadgen.FormatCounts(failed), requests)
	if err != nil {
		return fmt.Errorf("write row: %w", err)
	}
	return nil
}

func addCounts(sums, more map[string]int64) {
	for name, n := range more {
		sums[name] += n
	}
}
