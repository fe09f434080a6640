// Package daemon assembles the balancer daemon from the other packages: settings, logs, sockets, the
// dispatch of packets between ingress, flow owner and admission holder, the interfaces for other
// daemons and for operators, and the order of start, drain and shutdown. Apart from the sockets and
// the queue of upstream notices it keeps no state.
package daemon
