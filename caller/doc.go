// Package caller implements the callers' side of the packet protocol: it opens flows to a
// service, retransmits requests until their deadline and reassembles answers. It owns the state
// of its flows and calls wire and telemetry.
package caller
