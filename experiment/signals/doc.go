// Package signals measures how well in-band daemons, which see only the packets of callers, distinguish
// upstreams that are dead, hanging or slow from links that lose packets. It simulates callers and upstreams
// in simulated time and passes their packets to real steerers. A simulation owns all state of one case.
package signals
