package summary

import (
	"fmt"
	"io"
	"strings"

	"github.com/fulmarfield/fulmarfield/standin/loadgen"
)

// WriteRow writes what a table of many runs shows of this one, on one line with tabs between the
// fields: verdict, broken connections by cause, refused requests by reason, requests of unknown
// outcome by reason, errors by reason, and the number of requests. Services are added up.
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
		addAll(broken, loadgen.Causes(s.Broken))
		addAll(refused, s.Refusals)
		addAll(unknown, s.Unknown)
		addAll(failed, s.Errors)
		requests += s.Requests
	}
	_, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", verdict,
		loadgen.List(broken), loadgen.List(refused), loadgen.List(unknown), loadgen.List(failed), requests)
	if err != nil {
		return fmt.Errorf("write row: %w", err)
	}
	return nil
}

func addAll(sums, more map[string]int64) {
	for name, n := range more {
		sums[name] += n
	}
}
