// Package load tracks the load and state of upstreams and implements the balancing policies. A
// Tracker belongs to the admission of one upstream and derives its state from work in progress, load
// reports and time-outs. A Table holds the status of all upstreams on this daemon, from its own
// admissions and from the notices of other daemons. Of this module, the package imports only the
// generated code.
package load
