package wire

import (
	"encoding/binary"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// packedCallerBytes is the size of a caller's IP and port.
	packedCallerBytes = 6
	// idleUnitMS is the unit of the idle time of a packed flow in milliseconds.
	idleUnitMS = 100

	packedEstablished = 1
	packedException   = 2
	packedFlagBits    = 2
)

// PackFlows puts flow records and the keys of ended flows into one group for each service.
func PackFlows(records []*pb.FlowRecord, ended []*pb.FlowKey) []*pb.FlowGroup {
	var groups []*pb.FlowGroup
	group := func(service uint32, flow *pb.FlowKey) *pb.FlowGroup {
		for _, g := range groups {
			if g.Service == service && g.ServiceIp == flow.GetServiceIp() && g.ServicePort == flow.GetServicePort() {
				return g
			}
		}
		g := &pb.FlowGroup{Service: service, ServiceIp: flow.GetServiceIp(), ServicePort: flow.GetServicePort()}
		groups = append(groups, g)
		return g
	}
	for _, r := range records {
		g := group(r.GetService(), r.GetFlow())
		state := uint64(r.GetIdleMs()/idleUnitMS) << packedFlagBits
		if r.GetEstablished() {
			state |= packedEstablished
		}
		if r.GetException() {
			state |= packedException
		}
		g.Flows = appendCaller(g.Flows, r.GetFlow())
		g.Flows = binary.AppendUvarint(g.Flows, uint64(r.GetUpstream()))
		g.Flows = binary.AppendUvarint(g.Flows, state)
	}
	for _, flow := range ended {
		service := uint32(0)
		for _, g := range groups {
			if g.ServiceIp == flow.GetServiceIp() && g.ServicePort == flow.GetServicePort() {
				service = g.Service
				break
			}
		}
		g := group(service, flow)
		g.Ended = appendCaller(g.Ended, flow)
	}
	return groups
}

func appendCaller(b []byte, flow *pb.FlowKey) []byte {
	b = binary.BigEndian.AppendUint32(b, flow.GetCallerIp())
	return binary.BigEndian.AppendUint16(b, uint16(flow.GetCallerPort()))
}

// UnpackFlows is the inverse of PackFlows. It returns ErrMalformed when a group is not whole.
func UnpackFlows(groups []*pb.FlowGroup) (records []*pb.FlowRecord, ended []*pb.FlowKey, err error) {
	for _, g := range groups {
		for b := g.GetFlows(); len(b) > 0; {
			if len(b) < packedCallerBytes {
				return nil, nil, ErrMalformed
			}
			r := &pb.FlowRecord{Flow: callerOf(b, g), Service: g.GetService()}
			b = b[packedCallerBytes:]
			upstream, n := binary.Uvarint(b)
			if n <= 0 || upstream > 1<<32-1 {
				return nil, nil, ErrMalformed
			}
			state, m := binary.Uvarint(b[n:])
			if m <= 0 || state>>packedFlagBits > (1<<32-1)/idleUnitMS {
				return nil, nil, ErrMalformed
			}
			b = b[n+m:]
			r.Upstream, r.IdleMs = uint32(upstream), uint32(state>>packedFlagBits)*idleUnitMS
			r.Established, r.Exception = state&packedEstablished != 0, state&packedException != 0
			records = append(records, r)
		}
		if len(g.GetEnded())%packedCallerBytes != 0 {
			return nil, nil, ErrMalformed
		}
		for b := g.GetEnded(); len(b) > 0; b = b[packedCallerBytes:] {
			ended = append(ended, callerOf(b, g))
		}
	}
	return records, ended, nil
}

// serviceAddress is the part of a group that all its flow keys share.
type serviceAddress interface {
	GetServiceIp() uint32
	GetServicePort() uint32
}

func callerOf(b []byte, g serviceAddress) *pb.FlowKey {
	return &pb.FlowKey{
		CallerIp: binary.BigEndian.Uint32(b), CallerPort: uint32(binary.BigEndian.Uint16(b[4:])),
		ServiceIp: g.GetServiceIp(), ServicePort: g.GetServicePort(),
	}
}
