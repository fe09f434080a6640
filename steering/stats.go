package steering

import (
	"strings"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Stats is what this daemon knows of its flows.
type Stats struct {
	// Flows counts the open flows, and ByUpstream those of each upstream number.
	Flows      uint64
	ByUpstream map[uint32]uint32
	// Exceptions counts the flows whose upstream the table alone does not tell.
	Exceptions uint64
	// Replicas counts the exceptions of other owners that are kept here.
	Replicas uint64
	// Partitions counts the flow partitions that are served here.
	Partitions uint32
	// Opened counts the flows placed since the start, and Diverted those of them that did not
	// go to their bucket's upstream at first.
	Opened, Diverted uint64
}

// Stats returns the counts of this moment. Partitions are read one after another.
func (s *Steerer) Stats() Stats {
	stats := Stats{
		ByUpstream: map[uint32]uint32{}, Opened: s.opened.Load(), Diverted: s.diverted.Load(),
		Replicas: uint64(s.replicas.count()),
	}
	for _, owner := range *s.services.Load() {
		for number, u := range owner.view.Load().upstreams {
			if n := u.flows.Load(); n > 0 {
				stats.ByUpstream[number] = uint32(n)
				stats.Flows += uint64(n)
			}
		}
	}
	for _, p := range s.held() {
		p.mu.Lock()
		stats.Exceptions += uint64(len(p.exceptions))
		p.mu.Unlock()
		stats.Partitions++
	}
	return stats
}

// Flows returns at most limit open flows whose caller matches the filter: an IP, an IP:port,
// or empty for all.
func (s *Steerer) Flows(callerFilter string, limit int) []*pb.FlowRecord {
	var found []*pb.FlowRecord
	now := s.now().tick
	for _, p := range s.held() {
		p.mu.Lock()
		for flow, r := range p.flows {
			if len(found) >= limit || p.released {
				break
			}
			if !r.has(flagClosed) && matchesCaller(flow, callerFilter) {
				m := r.flowRecord(flow, now)
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
