package summary

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/fulmarfield/fulmarfield/standin/loadgen"
)

const msPerSecond = 1000

// phase holds the sums from one event to the next.
type phase struct {
	fromMS int64
	text   string
	sums   loadgen.Second
	broken int
}

// phases sums the results of callers between the events. The requests of one second belong to the
// phase in which that second begins.
func (r *Run) phases() []phase {
	all := []phase{{fromMS: r.Load.StartedMS, text: "start of the load"}}
	for _, e := range r.Events {
		all = append(all, phase{fromMS: max(e.AtMS, r.Load.StartedMS), text: e.Text})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].fromMS < all[j].fromMS })
	at := func(ms int64) *phase {
		i := sort.Search(len(all), func(i int) bool { return all[i].fromMS > ms })
		return &all[max(i-1, 0)]
	}
	for _, s := range r.Load.Services {
		for i, second := range s.Timeline {
			p := at(r.Load.StartedMS + int64(i)*msPerSecond)
			p.sums.Requests += second.Requests
			p.sums.OK += second.OK
			p.sums.NotRun += second.NotRun
			p.sums.Unknown += second.Unknown
			p.sums.SlowestMS = max(p.sums.SlowestMS, second.SlowestMS)
		}
		for _, b := range s.Broken {
			at(b.AtMS).broken++
		}
	}
	return all
}

// WritePhases writes one line for each event with the results of the requests until the next event.
func (r *Run) WritePhases(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "from\trequests\tok\tnot run\tunknown\tslowest ms\tbroken\tevent") // Flush returns the error.
	for _, p := range r.phases() {
		_, _ = fmt.Fprintf(t, "%.1fs\t%d\t%d\t%d\t%d\t%d\t%d\t%.60s\n", float64(p.fromMS-r.Load.StartedMS)/msPerSecond,
			p.sums.Requests, p.sums.OK, p.sums.NotRun, p.sums.Unknown, p.sums.SlowestMS, p.broken, p.text)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write phases: %w", err)
	}
	return nil
}
