// Package experiment runs declared experiments in simulated time: a model of callers, upstreams
// and faults around the project's own steering and request admission, beside simpler policies.
// It owns the model's clock and events, the measures of a run and the reports. It calls
// steering, request, load and config, and opens no socket.
//
// Steerers and Engines read the time and start tasks of their own, so a run must be inside a
// bubble of testing/synctest, where that time is simulated.
package experiment
