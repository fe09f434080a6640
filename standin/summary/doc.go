// Package summary merges what callers, upstreams and balancers reported of a run into one
// table, and checks what must hold in every run. It reads the files of a run directory and
// owns no state.
package summary
