// Package request admits requests to upstreams. It enforces the number of slots, bounds the queue
// by length and deadline, runs each request at most once, retries within a budget, reassembles
// answers from their parts and detects half-open flows. It manages the request records of each
// admission that this daemon holds. It calls the packages config, ownership and load, and sends
// through its Output.
//
// Each admission is a struct protected by a mutex. The goroutine that received a packet handles
// it, and one more goroutine per admission handles timers: deadlines, back-offs and probes.
// Packets are sent after the mutex is unlocked, so an Output may call the Engine.
package request
