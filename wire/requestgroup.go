package wire

import (
	"encoding/binary"
	"slices"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// PackRequests puts request records and watermarks into one group for each service address.
func PackRequests(requests []*pb.RequestRecord, marks []*pb.FlowWatermark) []*pb.RequestGroup {
	p := requestPacker{}
	for _, r := range requests {
		p.see(r.GetFlow(), r.GetRequestId())
	}
	for _, m := range marks {
		p.see(m.GetFlow(), m.GetRequestId())
	}
	for _, r := range requests {
		g := p.group(r.GetFlow())
		state := uint64(r.GetStatus()) << 1
		if r.GetFinished() {
			state |= 1
		}
		g.Requests = appendCaller(g.Requests, r.GetFlow())
		for _, n := range []uint64{
			r.GetRequestId() - g.FirstRequestId, uint64(r.GetAgeMs()), state, uint64(r.GetReason()),
			finishingIndex(g, r.GetFinishing()),
		} {
			g.Requests = binary.AppendUvarint(g.Requests, n)
		}
	}
	for _, m := range marks {
		g := p.group(m.GetFlow())
		g.Watermarks = appendCaller(g.Watermarks, m.GetFlow())
		g.Watermarks = binary.AppendUvarint(g.Watermarks, m.GetRequestId()-g.FirstRequestId)
	}
	return p.groups
}

type requestPacker struct{ groups []*pb.RequestGroup }

func (p *requestPacker) group(flow *pb.FlowKey) *pb.RequestGroup {
	for _, g := range p.groups {
		if g.ServiceIp == flow.GetServiceIp() && g.ServicePort == flow.GetServicePort() {
			return g
		}
	}
	return nil
}

// see makes the group of a flow and notes a request id in it.
func (p *requestPacker) see(flow *pb.FlowKey, id uint64) {
	if g := p.group(flow); g != nil {
		g.FirstRequestId = min(g.FirstRequestId, id)
		return
	}
	p.groups = append(p.groups, &pb.RequestGroup{
		ServiceIp: flow.GetServiceIp(), ServicePort: flow.GetServicePort(), FirstRequestId: id,
	})
}

func finishingIndex(g *pb.RequestGroup, name string) uint64 {
	if name == "" {
		return 0
	}
	i := slices.Index(g.Finishing, name)
	if i < 0 {
		i = len(g.Finishing)
		g.Finishing = append(g.Finishing, name)
	}
	return uint64(i) + 1
}

// UnpackRequests is the inverse of PackRequests. It returns ErrMalformed when a group is not
// whole.
func UnpackRequests(groups []*pb.RequestGroup) (requests []*pb.RequestRecord, marks []*pb.FlowWatermark, err error) {
	for _, g := range groups {
		for b := g.GetRequests(); len(b) > 0; {
			flow, n, rest, ok := cutNumbers(b, g, 5)
			if !ok || n[1] > 1<<32-1 || n[2]>>1 > 1<<31-1 || n[3] > 1<<31-1 || n[4] > uint64(len(g.GetFinishing())) {
				return nil, nil, ErrMalformed
			}
			b = rest
			r := &pb.RequestRecord{
				Flow: flow, RequestId: g.GetFirstRequestId() + n[0], AgeMs: uint32(n[1]),
				Status: pb.Status(n[2] >> 1), Finished: n[2]&1 != 0, Reason: pb.Reason(n[3]),
			}
			if n[4] > 0 {
				r.Finishing = g.GetFinishing()[n[4]-1]
			}
			requests = append(requests, r)
		}
		for b := g.GetWatermarks(); len(b) > 0; {
			flow, n, rest, ok := cutNumbers(b, g, 1)
			if !ok {
				return nil, nil, ErrMalformed
			}
			b = rest
			marks = append(marks, &pb.FlowWatermark{Flow: flow, RequestId: g.GetFirstRequestId() + n[0]})
		}
	}
	return requests, marks, nil
}

// cutNumbers reads a caller's address and count varints.
func cutNumbers(b []byte, g *pb.RequestGroup, count int) (flow *pb.FlowKey, numbers [5]uint64, rest []byte, ok bool) {
	if len(b) < packedCallerBytes {
		return nil, numbers, nil, false
	}
	flow = callerOf(b, g)
	b = b[packedCallerBytes:]
	for i := range count {
		value, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, numbers, nil, false
		}
		numbers[i], b = value, b[n:]
	}
	return flow, numbers, b, true
}
