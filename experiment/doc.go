// Package experiment runs declared experiments in simulated time. A model of callers, upstreams
// and faults surrounds the project's own steering and request admission, which are compared with
// simpler policies. The package contains the model's clock and events, the measures of a run and
// the reports. It calls steering, request, load and config, and opens no socket.
//
// Steerers and Engines read the time and start goroutines of their own, so a run must be inside a
// bubble of testing/synctest, where the time that they read is simulated.
package experiment
