// Package inband steers packets by a token that the balancer wrote into an earlier packet of the
// flow and that the endpoints of the flow echo. Any daemon finds the upstream of an open flow from
// the packet and the catalog alone. A Steerer also keeps a table of the flows that it has seen. The
// table is used only for load tracking and passive health checks and may be lost at any time.
package inband
