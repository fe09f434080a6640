// Package steering selects the upstream of each flow at the flow owner. It maintains the bucket
// tables, the records of the flows in the partitions that this daemon holds, the exceptions among
// those flows, and the replicas of other owners' exceptions.
//
// It calls config for the upstream sets, ownership for successors and previous holders, and
// peer to send queries and exceptions. No lock of this package is held during such a call,
// nor while a packet is passed to the Output.
package steering
