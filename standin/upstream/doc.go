// Package upstream is a stand-in for an upstream of a service. It runs requests in a few
// slots, answers through the service address, injects faults at run time and records each
// run, so that a test can verify which requests ran, how often, and on which upstream.
//
// The package owns the flows, the slots and the record of runs of each stand-in. It calls
// wire for packets and telemetry for counters.
package upstream
