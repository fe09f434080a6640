package upstream

import (
	"fmt"
	"sort"
)

// Report is the state of a stand-in, for the check after a run.
type Report struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	ServiceNumber uint32 `json:"service_number"`
	FlowsKnown    int    `json:"flows_known"`
	InProgress    int    `json:"in_progress"`
	Queued        int    `json:"queued"`
	RequestsRun   int64  `json:"requests_run"`
	// WrongService counts packets whose service number or address is not the upstream's own.
	WrongService int64 `json:"wrong_service"`
	// RunAgain lists the non-idempotent requests that ran more than once on this upstream.
	RunAgain []string `json:"run_again"`
	// LastOpenMS is the Unix time in milliseconds of the last new flow, 0 for none.
	LastOpenMS int64            `json:"last_open_ms"`
	Counters   map[string]int64 `json:"counters"`
	// Runs maps the name of a request, "caller>service#id", to its record. Short reports omit it.
	Runs map[string]Run `json:"runs,omitempty"`
}

// Run records how often one request ran.
type Run struct {
	Count      int  `json:"n"`
	Idempotent bool `json:"i,omitempty"`
}

// Report returns the present state, with the records of all requests if withRuns is set.
func (u *Upstream) Report(withRuns bool) Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := Report{
		Name: u.config.Name, Service: u.config.Service.String(), ServiceNumber: u.serviceNumber,
		FlowsKnown: len(u.flows), InProgress: len(u.running), Queued: len(u.queue),
		RequestsRun: u.counters.Get("run"), WrongService: u.counters.Get("wrong_service"),
		RunAgain: []string{}, Counters: u.counters.Snapshot(),
	}
	if !u.lastOpen.IsZero() {
		r.LastOpenMS = u.lastOpen.UnixMilli()
	}
	if withRuns {
		r.Runs = make(map[string]Run, len(u.runs))
	}
	for key, run := range u.runs {
		name := RequestName(key.flow.String(), key.id)
		if run.count > 1 && !run.idempotent {
			r.RunAgain = append(r.RunAgain, name)
		}
		if withRuns {
			r.Runs[name] = Run{Count: run.count, Idempotent: run.idempotent}
		}
	}
	sort.Strings(r.RunAgain)
	return r
}

// RequestName returns the name of a request in reports.
func RequestName(flow string, id uint64) string { return fmt.Sprintf("%s#%d", flow, id) }
