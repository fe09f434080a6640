// Package load says what is known of each upstream: work in progress, reports, silence and the
// resulting state. A Tracker belongs to the admission of one upstream; a Table holds what this
// daemon knows of all upstreams, from its own admissions and from other daemons' notices. The
// package calls only the generated code.
package load
