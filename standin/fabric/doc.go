// Package fabric is a stand-in for the network between callers, balancers, upstreams and the
// platform, for runs on one machine. It hands each datagram for a service address to a random
// balancer, relays UDP and TCP between VMs, and injects faults at run time.
//
// The package owns the list of balancers that datagrams go to, the faults in force and the
// counters. It reads packet headers with wire and changes no datagram.
package fabric
