package ownership

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// PartitionCount is the number of flow partitions of each service.
const PartitionCount = 256

// Resource is a unit of ownership that one daemon holds at a time: a flow partition of a service
// or the admission of an upstream.
type Resource struct {
	Kind    pb.ResourceKind
	Service uint32
	// Index is the partition number or the upstream number.
	Index uint32
}

// FlowPartition returns the flow partition to which a flow hash belongs.
func FlowPartition(service uint32, flowHash uint64) Resource {
	// The partition uses the upper bits, since the bucket table uses the hash modulo its size.
	return Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: service, Index: uint32(flowHash >> 56)}
}

// Admission returns the admission resource of an upstream.
func Admission(service, upstream uint32) Resource {
	return Resource{Kind: pb.ResourceKind_RESOURCE_KIND_ADMISSION, Service: service, Index: upstream}
}

// Provenance describes where the records of an activated resource come from, and so how
// complete they are.
type Provenance int

const (
	// Fresh means that no daemon held the resource before.
	Fresh Provenance = iota + 1
	// Transferred means that the previous holder transferred all records.
	Transferred
	// Recovered means that the previous holder is lost, so records may be missing.
	Recovered
)

// ResourceHandler serves one kind of resource. Calls for the same resource are serialized.
type ResourceHandler interface {
	// Activate starts serving r with the given records, which may be nil.
	Activate(r Resource, records *pb.ResourceRecords, p Provenance)
	// Release stops serving r and returns all its records.
	Release(r Resource) *pb.ResourceRecords
	// Merge adds the records of another former holder to r, which is active.
	Merge(r Resource, records *pb.ResourceRecords)
}

// Router looks up the daemons to which packets and queries for a resource are sent.
type Router interface {
	// Route returns the daemon to which packets for r are sent now. active is true when this
	// daemon serves r itself. ok is false when no daemon is known.
	Route(r Resource) (to membership.DaemonID, active, ok bool)
	// Successor returns the daemon that would hold r if this daemon failed.
	Successor(r Resource) (membership.DaemonID, bool)
	// PreviousHolders returns other daemons that may have records of r, the likeliest first.
	PreviousHolders(r Resource) []membership.DaemonID
}
