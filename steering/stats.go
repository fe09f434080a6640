package steering

import (
	"strings"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Stats counts the flows of which this daemon is the owner, and the replicas that it stores.
type Stats struct {
	// Flows counts the open flows, and ByUpstream those of each upstream number.
	Flows      uint64
	ByUpstream map[uint32]uint32
	// Exceptions counts the flows whose upstream does not follow from the table alone.
	Exceptions uint64
	// Replicas counts the replicated exceptions of other owners that this daemon stores.
	Replicas uint64
	// Partitions counts the flow partitions that this daemon holds.
	Partitions uint32
	// Opened counts the flows placed since the start, and Diverted those of them for which an
	// upstream other than that of their bucket was chosen.
	Opened, Diverted uint64
}

// Stats returns the current counts. It locks one partition after another, so that the counts are
// not from a single point in time.
func (s *Steerer) Stats() Stats {
	stats := Stats{
		ByUpstream: map[uint32]uint32{}, Opened: s.opened.Load(), Diverted: s.diverted.Load(),
		Replicas: uint64(s.replicas.count()),
	}
	for _, svc := range *s.services.Load() {
		for number, u := range svc.view.Load().upstreams {
			if n := u.flows.Load(); n > 0 {
				stats.ByUpstream[number] = uint32(n)
				stats.Flows += uint64(n)
			}
		}
	}
	for _, p := range s.heldPartitions() {
		p.mu.Lock()
		stats.Exceptions += uint64(len(p.exceptions))
		p.mu.Unlock()
		stats.Partitions++
	}
	return stats
}

// Flows returns at most limit open flows whose caller matches the filter, which is an IP address,
// an IP:port or, for all callers, empty.
func (s *Steerer) Flows(callerFilter string, limit int) []*pb.FlowRecord {
	var found []*pb.FlowRecord
	now := s.now().tick
	for _, p := range s.heldPartitions() {
		p.mu.Lock()
		for flow, r := range p.flows {
			if len(found) >= limit || p.released {
				break
			}
			if !r.has(flagClosed) && matchesCaller(flow, callerFilter) {
				m := r.toProto(flow, now)
				m.Service = p.service.number
				found = append(found, m)
			}
		}
		p.mu.Unlock()
	}
	return found
}

func matchesCaller(flow wire.FlowKey, filter string) bool {
	if filter == "" {
		return true
	}
	caller := flow.Caller()
	if strings.Contains(filter, ":") {
		return caller.String() == filter
	}
	return caller.Addr().String() == filter
}
