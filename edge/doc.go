// Package edge wires the daemon that steers packets by their tokens: settings, sockets, the ready
// and metrics addresses, signals and logs. It owns the sockets.
package edge
