package ownership

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// PartitionCount is the number of flow partitions of each service.
const PartitionCount = 256

// Resource is something that one daemon holds at a time: a flow partition of a service, or
// the admission of an upstream.
type Resource struct {
	Kind    pb.ResourceKind
	Service uint32
	// Index is the partition number or the upstream number.
	Index uint32
}

// FlowPartition returns the resource that a flow hash falls into.
func FlowPartition(service uint32, flowHash uint64) Resource {
	// The upper bits: the bucket table uses the hash modulo its size.
	return Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: service, Index: uint32(flowHash >> 56)}
}

// Admission returns the resource for the admission of an upstream.
func Admission(service, upstream uint32) Resource {
	return Resource{Kind: pb.ResourceKind_RESOURCE_KIND_ADMISSION, Service: service, Index: upstream}
}

// Provenance says how complete the records of an activated resource are.
type Provenance int

const (
	// Fresh means that no daemon held the resource before.
	Fresh Provenance = iota + 1
	// Transferred means that the previous holder handed over everything.
	Transferred
	// Recovered means that the previous holder is lost; records may be missing.
	Recovered
)

// Keeper serves one kind of resource. Its methods are called one at a time for a resource.
type Keeper interface {
	// Activate starts to serve r with the given records, which may be nil.
	Activate(r Resource, records *pb.ResourceRecords, p Provenance)
	// Release stops serving r and returns everything known of it.
	Release(r Resource) *pb.ResourceRecords
	// Merge adds records of another former holder to r, which is being served.
	Merge(r Resource, records *pb.ResourceRecords)
}

// Router tells where packets for a resource go.
type Router interface {
	// Route returns the daemon that packets for r go to now. active is true when this
	// daemon serves r itself. ok is false when no daemon is known.
	Route(r Resource) (to membership.DaemonID, active, ok bool)
	// Successor returns the daemon that would hold r if this one were lost.
	Successor(r Resource) (membership.DaemonID, bool)
	// PreviousHolders returns other daemons that may know records of r, the likeliest first.
	PreviousHolders(r Resource) []membership.DaemonID
}
