// Package loadgen is a population of callers: it opens flows to services, sends requests on
// them, checks each answer, reconnects broken flows and reports all that happened.
//
// The package owns the flows that it opens and the record of the run. It calls caller for the
// packet protocol and the upstream stand-in for payloads that prove whose answer arrived.
package loadgen
