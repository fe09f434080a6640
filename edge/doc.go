// Package edge is the daemon process that steers packets by their tokens: settings, sockets, the
// readiness check and the metrics, signals and logs. It owns the sockets.
package edge
