package daemon

import (
	"fmt"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// planEffects says what a change does to the services' bucket tables and to the flows that are
// open by the daemons' statuses. Buckets are given to upstreams in proportion to their weights,
// so the shares follow from these.
func planEffects(previous, next *pb.Configuration, statuses []*pb.StatusResponse, missing []string) []string {
	var lines []string
	after := map[uint32]*pb.Service{}
	for _, s := range next.GetServices() {
		after[s.GetNumber()] = s
	}
	open := openFlows(statuses)
	touched, broken := uint64(0), uint64(0)
	for _, before := range previous.GetServices() {
		now := after[before.GetNumber()]
		delete(after, before.GetNumber())
		lines = append(lines, shareLines(before, now, open, missing)...)
		lines = append(lines, slotLines(before, now)...)
		kept := upstreamsOf(now)
		had, has := shares(before), shares(now)
		for _, u := range before.GetUpstreams() {
			n := open[u.GetNumber()]
			if has[u.GetNumber()] < had[u.GetNumber()] || kept[u.GetNumber()] == nil {
				touched += n
			}
			if kept[u.GetNumber()] == nil {
				broken += n
				lines = append(lines, fmt.Sprintf("%s: removing upstream %s ends %s", before.GetName(), u.GetName(), flowCount(n, missing)))
			}
		}
	}
	for _, s := range next.GetServices() {
		if after[s.GetNumber()] != nil {
			lines = append(lines, shareLines(nil, s, open, missing)...)
		}
	}
	if len(lines) == 0 {
		return []string{"no bucket moves; no established flow is touched"}
	}
	return append(lines, fmt.Sprintf("established flows on upstreams that lose buckets: %s; flows that break: %s",
		flowCount(touched, missing), flowCount(broken, missing)))
}

// flowCount is a lower bound when daemons are missing from the count.
func flowCount(n uint64, missing []string) string {
	if len(missing) > 0 {
		return fmt.Sprintf("at least %d (unknown on %d daemons)", n, len(missing))
	}
	return fmt.Sprint(n)
}

func openFlows(statuses []*pb.StatusResponse) map[uint32]uint64 {
	open := map[uint32]uint64{}
	for _, s := range statuses {
		for _, u := range s.GetUpstreams() {
			open[u.GetUpstream()] += uint64(u.GetFlows())
		}
	}
	return open
}

// shares returns the part of a service's buckets that each upstream has, in percent. A
// draining upstream is not in the table.
func shares(s *pb.Service) map[uint32]float64 {
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

// shareLines names each upstream whose share of the table changes, those of the earlier
// configuration first, and the established flows of those that lose and are kept.
func shareLines(before, now *pb.Service, open map[uint32]uint64, missing []string) []string {
	had, has := shares(before), shares(now)
	kept := upstreamsOf(now)
	var lines []string
	seen := map[uint32]bool{}
	for _, s := range []*pb.Service{before, now} {
		for _, u := range s.GetUpstreams() {
			n := u.GetNumber()
			if seen[n] || had[n] == has[n] {
				continue
			}
			seen[n] = true
			verb, flows := "gains", ""
			if has[n] < had[n] {
				verb = "loses"
				if kept[n] != nil {
					flows = "; established flows that stay: " + flowCount(open[n], missing)
				}
			}
			lines = append(lines, fmt.Sprintf("%s: upstream %s %s buckets, %.1f %% to %.1f %%%s", s.GetName(), u.GetName(), verb, had[n], has[n], flows))
		}
	}
	return lines
}

// slotLines names each upstream whose slots for new requests change. A draining upstream keeps
// its slots for the flows that it has.
func slotLines(before, now *pb.Service) []string {
	var lines []string
	after := upstreamsOf(now)
	for _, u := range before.GetUpstreams() {
		had, has := u.GetSlots(), after[u.GetNumber()].GetSlots()
		if had == has {
			continue
		}
		verb := "gains"
		if has < had {
			verb = "loses"
		}
		lines = append(lines, fmt.Sprintf("%s: upstream %s %s slots, %d to %d", before.GetName(), u.GetName(), verb, had, has))
	}
	had := upstreamsOf(before)
	for _, u := range now.GetUpstreams() {
		if had[u.GetNumber()] == nil {
			lines = append(lines, fmt.Sprintf("%s: upstream %s gains slots, 0 to %d", now.GetName(), u.GetName(), u.GetSlots()))
		}
	}
	return lines
}

func upstreamsOf(s *pb.Service) map[uint32]*pb.Upstream {
	m := map[uint32]*pb.Upstream{}
	for _, u := range s.GetUpstreams() {
		m[u.GetNumber()] = u
	}
	return m
}
