// Package signals measures how well what in-band daemons see of callers' packets tells upstreams that
// are dead, hang or are slow from links that lose packets. It plays callers and upstreams in
// simulated time against real steerers. A world owns all state of one case.
package signals
