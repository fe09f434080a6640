// Package inband steers packets of callers whose peers echo a token that the balancer wrote into
// the flow's packets. Any daemon finds the upstream of an open flow from the packet and the
// catalog alone. A Steerer owns a table of the flows that it has seen, which serves load and
// suspicion only and may be lost at any time.
package inband
