// Package caller is the callers' side of the packet protocol: it opens flows to a service,
// sends requests until their deadline and gathers answers. It owns the state of its flows and
// calls wire and telemetry.
package caller
