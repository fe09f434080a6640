package daemon

import (
	"fmt"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// planEffects lists the effects of a change on the services' bucket tables and on the established
// flows that the daemons' statuses report. The shares of the buckets are computed from the weights of
// the upstreams, since upstreams receive buckets in proportion to their weights.
func planEffects(previous, next *pb.Configuration, statuses []*pb.StatusResponse, missing []string) []string {
	var lines []string
	newServices := map[uint32]*pb.Service{}
	for _, s := range next.GetServices() {
		newServices[s.GetNumber()] = s
	}
	flowCounts := countFlowsByUpstream(statuses)
	affected, broken := uint64(0), uint64(0)
	for _, oldService := range previous.GetServices() {
		newService := newServices[oldService.GetNumber()]
		delete(newServices, oldService.GetNumber())
		lines = append(lines, shareChangeLines(oldService, newService, flowCounts, missing)...)
		lines = append(lines, slotChangeLines(oldService, newService)...)
		newUpstreams := upstreamsByNumber(newService)
		oldShares, newShares := bucketShares(oldService), bucketShares(newService)
		for _, u := range oldService.GetUpstreams() {
			n := flowCounts[u.GetNumber()]
			if newShares[u.GetNumber()] < oldShares[u.GetNumber()] || newUpstreams[u.GetNumber()] == nil {
				affected += n
			}
			if newUpstreams[u.GetNumber()] == nil {
				broken += n
				lines = append(lines, fmt.Sprintf("%s: removing upstream %s ends %s", oldService.GetName(), u.GetName(), formatFlowCount(n, missing)))
			}
		}
	}
	for _, s := range next.GetServices() {
		if newServices[s.GetNumber()] != nil {
			lines = append(lines, shareChangeLines(nil, s, flowCounts, missing)...)
		}
	}
	if len(lines) == 0 {
		return []string{"no bucket moves; no established flow is touched"}
	}
	return append(lines, fmt.Sprintf("established flows on upstreams that lose buckets: %s; flows that break: %s",
		formatFlowCount(affected, missing), formatFlowCount(broken, missing)))
}

// formatFlowCount formats a number of flows; it marks the number as a lower bound if daemons are
// missing.
func formatFlowCount(n uint64, missing []string) string {
	if len(missing) > 0 {
		return fmt.Sprintf("at least %d (unknown on %d daemons)", n, len(missing))
	}
	return fmt.Sprint(n)
}

// countFlowsByUpstream sums the flows of each upstream over the statuses.
func countFlowsByUpstream(statuses []*pb.StatusResponse) map[uint32]uint64 {
	flowCounts := map[uint32]uint64{}
	for _, s := range statuses {
		for _, u := range s.GetUpstreams() {
			flowCounts[u.GetUpstream()] += uint64(u.GetFlows())
		}
	}
	return flowCounts
}

// bucketShares returns the percentage of a service's buckets that each upstream has. Draining
// upstreams have none and are not in the map.
func bucketShares(s *pb.Service) map[uint32]float64 {
	total := 0.0
	weights := map[uint32]float64{}
	for _, u := range s.GetUpstreams() {
		if u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING {
			continue
		}
		weights[u.GetNumber()] = float64(max(1, u.GetWeight()))
		total += weights[u.GetNumber()]
	}
	for number := range weights {
		weights[number] *= 100 / total
	}
	return weights
}

// shareChangeLines lists each upstream whose share of the buckets changes, those of the old
// configuration first. For an upstream that loses buckets and is not removed it adds the number of
// established flows, which stay.
func shareChangeLines(oldService, newService *pb.Service, flowCounts map[uint32]uint64, missing []string) []string {
	oldShares, newShares := bucketShares(oldService), bucketShares(newService)
	newUpstreams := upstreamsByNumber(newService)
	var lines []string
	seen := map[uint32]bool{}
	for _, s := range []*pb.Service{oldService, newService} {
		for _, u := range s.GetUpstreams() {
			n := u.GetNumber()
			if seen[n] || oldShares[n] == newShares[n] {
				continue
			}
			seen[n] = true
			verb, flowsText := "gains", ""
			if newShares[n] < oldShares[n] {
				verb = "loses"
				if newUpstreams[n] != nil {
					flowsText = "; established flows that stay: " + formatFlowCount(flowCounts[n], missing)
				}
			}
			lines = append(lines, fmt.Sprintf("%s: upstream %s %s buckets, %.1f %% to %.1f %%%s", s.GetName(), u.GetName(), verb, oldShares[n], newShares[n], flowsText))
		}
	}
	return lines
}

// slotChangeLines lists each upstream whose number of request slots changes. A draining upstream keeps
// its slots for its established flows.
func slotChangeLines(oldService, newService *pb.Service) []string {
	var lines []string
	newUpstreams := upstreamsByNumber(newService)
	for _, u := range oldService.GetUpstreams() {
		oldSlots, newSlots := u.GetSlots(), newUpstreams[u.GetNumber()].GetSlots()
		if oldSlots == newSlots {
			continue
		}
		verb := "gains"
		if newSlots < oldSlots {
			verb = "loses"
		}
		lines = append(lines, fmt.Sprintf("%s: upstream %s %s slots, %d to %d", oldService.GetName(), u.GetName(), verb, oldSlots, newSlots))
	}
	oldUpstreams := upstreamsByNumber(oldService)
	for _, u := range newService.GetUpstreams() {
		if oldUpstreams[u.GetNumber()] == nil {
			lines = append(lines, fmt.Sprintf("%s: upstream %s gains slots, 0 to %d", newService.GetName(), u.GetName(), u.GetSlots()))
		}
	}
	return lines
}

func upstreamsByNumber(s *pb.Service) map[uint32]*pb.Upstream {
	m := map[uint32]*pb.Upstream{}
	for _, u := range s.GetUpstreams() {
		m[u.GetNumber()] = u
	}
	return m
}
