// Package request admits requests to upstreams: exact slots, a queue bounded by length and
// deadline, the at-most-once guard, retries within a budget, gathered answers and the detection
// of half-open flows. It owns the request records of each admission that this daemon holds, and
// calls config, ownership and load; it sends through its Output.
//
// Each admission is a struct under a mutex, served by the goroutine that received the packet,
// and one task that acts on time: deadlines, back-offs, probes. Packets leave after the mutex
// is released, so an Output may call back into the Engine.
package request
