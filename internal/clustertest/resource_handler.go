package clustertest

import (
	"sync"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// Keeper records what ownership asks for. It gives each resource a guard token, as admissions
// have, and keeps the flow records that a test adds.
type Keeper struct {
	cluster *Cluster

	mu         sync.Mutex
	served     map[ownership.Resource]*pb.ResourceRecords
	provenance map[ownership.Resource]ownership.Provenance
	// Misuse describes calls that break the contract of Keeper.
	Misuse []string
}

// NewKeeper returns a Keeper that serves nothing.
func (c *Cluster) NewKeeper() *Keeper {
	return &Keeper{
		cluster:    c,
		served:     map[ownership.Resource]*pb.ResourceRecords{},
		provenance: map[ownership.Resource]ownership.Provenance{},
	}
}

// Activate implements ownership.Keeper.
func (k *Keeper) Activate(r ownership.Resource, records *pb.ResourceRecords, p ownership.Provenance) {
	own := &pb.ResourceRecords{}
	if records != nil {
		own = proto.CloneOf(records)
	}
	if own.Admission == nil {
		own.Admission = &pb.AdmissionRecords{}
	}
	if p != ownership.Transferred {
		own.Admission.GuardToken = k.cluster.nextToken()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.served[r] != nil {
		k.Misuse = append(k.Misuse, "activated twice")
	}
	k.served[r], k.provenance[r] = own, p
}

// Release implements ownership.Keeper.
func (k *Keeper) Release(r ownership.Resource) *pb.ResourceRecords {
	k.mu.Lock()
	defer k.mu.Unlock()
	records := k.served[r]
	if records == nil {
		k.Misuse = append(k.Misuse, "released without activation")
	}
	delete(k.served, r)
	return records
}

// Merge implements ownership.Keeper.
func (k *Keeper) Merge(r ownership.Resource, records *pb.ResourceRecords) {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := k.served[r]
	if own == nil {
		k.Misuse = append(k.Misuse, "merged without activation")
		return
	}
	for _, f := range records.GetFlows() {
		if !hasFlow(own, f.GetFlow().GetCallerIp()) {
			own.Flows = append(own.Flows, proto.CloneOf(f))
		}
	}
}

// AddFlow adds a flow record to a resource that is served.
func (k *Keeper) AddFlow(r ownership.Resource, caller uint32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.served[r].Flows = append(k.served[r].Flows, &pb.FlowRecord{Flow: &pb.FlowKey{CallerIp: caller}})
}

// HasFlow reports whether the record of a flow is known.
func (k *Keeper) HasFlow(r ownership.Resource, caller uint32) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.served[r] != nil && hasFlow(k.served[r], caller)
}

// Serves reports whether the resource is active.
func (k *Keeper) Serves(r ownership.Resource) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.served[r] != nil
}

// Token returns the guard token of a resource that is served, or 0.
func (k *Keeper) Token(r ownership.Resource) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.served[r].GetAdmission().GetGuardToken()
}

// Provenance returns how a resource was activated last.
func (k *Keeper) Provenance(r ownership.Resource) ownership.Provenance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.provenance[r]
}

func hasFlow(records *pb.ResourceRecords, caller uint32) bool {
	for _, f := range records.GetFlows() {
		if f.GetFlow().GetCallerIp() == caller {
			return true
		}
	}
	return false
}
