// Package daemon wires the balancer daemon: settings, logs, sockets, the path of packets
// between ingress, flow owner and admission, the interfaces for peers and operators, and the
// order of start and shutdown. It owns no state of its own beyond the sockets.
package daemon
