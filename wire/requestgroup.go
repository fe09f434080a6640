package wire

import (
	"encoding/binary"
	"slices"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Bits below the status of a packed request.
const (
	stateFinished   = 1
	stateRedirected = 2
	stateBits       = 2
)

// PackRequests encodes request records and watermarks into one group for each service address. It
// reads the input twice, since request ids are encoded relative to the lowest id of their group.
func PackRequests(requests []*pb.RequestRecord, watermarks []*pb.FlowWatermark) []*pb.RequestGroup {
	p := requestPacker{}
	for _, r := range requests {
		p.addRequestID(r.GetFlow(), r.GetRequestId())
	}
	for _, w := range watermarks {
		p.addRequestID(w.GetFlow(), w.GetRequestId())
	}
	for _, r := range requests {
		g := p.findGroup(r.GetFlow())
		state := uint64(r.GetStatus()) << stateBits
		if r.GetFinished() {
			state |= stateFinished
		}
		if r.GetRedirectedHere() {
			state |= stateRedirected
		}
		g.Requests = appendCaller(g.Requests, r.GetFlow())
		for _, value := range []uint64{
			r.GetRequestId() - g.FirstRequestId, uint64(r.GetAgeMs()), state, uint64(r.GetReason()),
			internFinishing(g, r.GetFinishing()),
		} {
			g.Requests = binary.AppendUvarint(g.Requests, value)
		}
	}
	for _, w := range watermarks {
		g := p.findGroup(w.GetFlow())
		g.Watermarks = appendCaller(g.Watermarks, w.GetFlow())
		g.Watermarks = binary.AppendUvarint(g.Watermarks, w.GetRequestId()-g.FirstRequestId)
	}
	return p.groups
}

// requestPacker holds the groups that PackRequests builds.
type requestPacker struct{ groups []*pb.RequestGroup }

// findGroup returns the group of a flow's service address, nil if there is none yet.
func (p *requestPacker) findGroup(flow *pb.FlowKey) *pb.RequestGroup {
	for _, g := range p.groups {
		if g.ServiceIp == flow.GetServiceIp() && g.ServicePort == flow.GetServicePort() {
			return g
		}
	}
	return nil
}

// addRequestID creates the group of a flow if it is missing and lowers the group's first request id
// to id.
func (p *requestPacker) addRequestID(flow *pb.FlowKey, id uint64) {
	if g := p.findGroup(flow); g != nil {
		g.FirstRequestId = min(g.FirstRequestId, id)
		return
	}
	p.groups = append(p.groups, &pb.RequestGroup{
		ServiceIp: flow.GetServiceIp(), ServicePort: flow.GetServicePort(), FirstRequestId: id,
	})
}

// internFinishing adds name to the group's table of names unless the table has it, and returns its
// position, counted from 1. An empty name has position 0 and is not added.
func internFinishing(g *pb.RequestGroup, name string) uint64 {
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

// UnpackRequests decodes groups that PackRequests encoded. It returns ErrMalformed when a group is
// truncated or a number is out of range.
func UnpackRequests(groups []*pb.RequestGroup) (requests []*pb.RequestRecord, watermarks []*pb.FlowWatermark, err error) {
	for _, g := range groups {
		for b := g.GetRequests(); len(b) > 0; {
			flow, n, rest, ok := consumeRecord(b, g, 5)
			if !ok || n[1] > 1<<32-1 || n[2]>>stateBits > 1<<31-1 || n[3] > 1<<31-1 || n[4] > uint64(len(g.GetFinishing())) {
				return nil, nil, ErrMalformed
			}
			b = rest
			r := &pb.RequestRecord{
				Flow: flow, RequestId: g.GetFirstRequestId() + n[0], AgeMs: uint32(n[1]),
				Status: pb.Status(n[2] >> stateBits), Finished: n[2]&stateFinished != 0,
				RedirectedHere: n[2]&stateRedirected != 0, Reason: pb.Reason(n[3]),
			}
			if n[4] > 0 {
				r.Finishing = g.GetFinishing()[n[4]-1]
			}
			requests = append(requests, r)
		}
		for b := g.GetWatermarks(); len(b) > 0; {
			flow, n, rest, ok := consumeRecord(b, g, 1)
			if !ok {
				return nil, nil, ErrMalformed
			}
			b = rest
			watermarks = append(watermarks, &pb.FlowWatermark{Flow: flow, RequestId: g.GetFirstRequestId() + n[0]})
		}
	}
	return requests, watermarks, nil
}

// consumeRecord decodes a caller address, followed by count varints, from the start of b. It returns the
// flow key, the values of the varints and the rest of b; ok is false when b is truncated.
func consumeRecord(b []byte, g *pb.RequestGroup, count int) (flow *pb.FlowKey, values [5]uint64, rest []byte, ok bool) {
	if len(b) < packedCallerBytes {
		return nil, values, nil, false
	}
	flow = decodeFlowKey(b, g)
	b = b[packedCallerBytes:]
	for i := range count {
		value, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, values, nil, false
		}
		values[i], b = value, b[n:]
	}
	return flow, values, b, true
}
