// Package summary merges the reports of callers, upstreams and balancers on a run into one table,
// and checks the invariants of a run. It reads the files of a run directory and owns no state.
package summary
