// Package steering decides the upstream of each flow on the flow owner's side. It owns the
// bucket tables, the records of the flows in the partitions that this daemon holds, the
// exceptions of those flows and the replicas of other owners' exceptions.
//
// It calls config for the upstream sets, ownership for successors and previous holders, and
// peer to send queries and exceptions. No lock of this package is held during such a call,
// nor while a packet is handed to the Output.
package steering
