// Package fabric is a stand-in for the network between callers, balancers, upstreams and the
// platform, for runs on one machine. It forwards each datagram for a service address to a random
// balancer, relays UDP and TCP between VMs, and injects faults at run time.
//
// The package owns the list of balancers that receive datagrams, the injected faults and the
// counters. It parses packet headers with wire and modifies no datagram.
package fabric
