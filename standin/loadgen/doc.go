// Package loadgen generates the load of many callers: it opens flows to services, sends requests on
// them, checks each answer, replaces broken flows and reports all results.
//
// The package owns the flows that it opens and the record of the run. It calls caller for the
// packet protocol and the upstream stand-in for payloads by which an answer can be matched to its
// request.
package loadgen
