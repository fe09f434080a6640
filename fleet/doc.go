// Package fleet implements the gossip between the daemons of a fleet: they advertise the records that they
// have validated, so that few of them read the store. It owns the list of reachable daemons and the
// socket between daemons. There is no consensus: a daemon that reaches no other daemon reads the
// store itself.
package fleet
