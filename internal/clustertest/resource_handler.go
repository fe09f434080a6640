package clustertest

import (
	"sync"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// ResourceHandler records the calls of ownership. It assigns a guard token to each resource, flow
// partitions included, and stores the flow records that a test adds.
type ResourceHandler struct {
	cluster *Cluster

	mu         sync.Mutex
	served     map[ownership.Resource]*pb.ResourceRecords
	provenance map[ownership.Resource]ownership.Provenance
	// ContractViolations describes calls that break the contract of ownership.ResourceHandler.
	ContractViolations []string
}

// NewResourceHandler returns a ResourceHandler that serves no resource.
func (c *Cluster) NewResourceHandler() *ResourceHandler {
	return &ResourceHandler{
		cluster:    c,
		served:     map[ownership.Resource]*pb.ResourceRecords{},
		provenance: map[ownership.Resource]ownership.Provenance{},
	}
}

// Activate implements ownership.ResourceHandler.
func (h *ResourceHandler) Activate(r ownership.Resource, records *pb.ResourceRecords, p ownership.Provenance) {
	own := &pb.ResourceRecords{}
	if records != nil {
		own = proto.CloneOf(records)
	}
	if own.Admission == nil {
		own.Admission = &pb.AdmissionRecords{}
	}
	if p != ownership.Transferred {
		own.Admission.GuardToken = h.cluster.nextToken()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.served[r] != nil {
		h.ContractViolations = append(h.ContractViolations, "activated twice")
	}
	h.served[r], h.provenance[r] = own, p
}

// Release implements ownership.ResourceHandler.
func (h *ResourceHandler) Release(r ownership.Resource) *pb.ResourceRecords {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := h.served[r]
	if records == nil {
		h.ContractViolations = append(h.ContractViolations, "released without activation")
	}
	delete(h.served, r)
	return records
}

// Merge implements ownership.ResourceHandler.
func (h *ResourceHandler) Merge(r ownership.Resource, records *pb.ResourceRecords) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := h.served[r]
	if own == nil {
		h.ContractViolations = append(h.ContractViolations, "merged without activation")
		return
	}
	for _, f := range records.GetFlows() {
		if !hasFlow(own, f.GetFlow().GetCallerIp()) {
			own.Flows = append(own.Flows, proto.CloneOf(f))
		}
	}
}

// AddFlow adds a flow record to a resource that is served.
func (h *ResourceHandler) AddFlow(r ownership.Resource, caller uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served[r].Flows = append(h.served[r].Flows, &pb.FlowRecord{Flow: &pb.FlowKey{CallerIp: caller}})
}

// HasFlow reports whether the resource is served and has the record of a flow.
func (h *ResourceHandler) HasFlow(r ownership.Resource, caller uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served[r] != nil && hasFlow(h.served[r], caller)
}

// Serves reports whether the resource is active at this daemon.
func (h *ResourceHandler) Serves(r ownership.Resource) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served[r] != nil
}

// Token returns the guard token of a resource that is served, or 0.
func (h *ResourceHandler) Token(r ownership.Resource) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served[r].GetAdmission().GetGuardToken()
}

// Provenance returns the provenance of the records at the last activation of a resource.
func (h *ResourceHandler) Provenance(r ownership.Resource) ownership.Provenance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.provenance[r]
}

func hasFlow(records *pb.ResourceRecords, caller uint32) bool {
	for _, f := range records.GetFlows() {
		if f.GetFlow().GetCallerIp() == caller {
			return true
		}
	}
	return false
}
