package wire

import (
	"encoding/binary"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// packedCallerBytes is the size of a caller's IPv4 address and port.
	packedCallerBytes = 6
	// idleUnitMS is the unit, in milliseconds, in which the idle time of a packed flow is encoded.
	idleUnitMS = 100

	// The low bits of the state varint of a packed flow are flags; the idle time is in the bits above.
	packedFlagEstablished = 1
	packedFlagException   = 2
	packedFlagBits        = 2
)

// PackFlows encodes flow records and the keys of ended flows into one group for each service.
func PackFlows(records []*pb.FlowRecord, ended []*pb.FlowKey) []*pb.FlowGroup {
	var groups []*pb.FlowGroup
	getOrCreateGroup := func(service uint32, flow *pb.FlowKey) *pb.FlowGroup {
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
		g := getOrCreateGroup(r.GetService(), r.GetFlow())
		state := uint64(r.GetIdleMs()/idleUnitMS) << packedFlagBits
		if r.GetEstablished() {
			state |= packedFlagEstablished
		}
		if r.GetException() {
			state |= packedFlagException
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
		g := getOrCreateGroup(service, flow)
		g.Ended = appendCaller(g.Ended, flow)
	}
	return groups
}

func appendCaller(b []byte, flow *pb.FlowKey) []byte {
	b = binary.BigEndian.AppendUint32(b, flow.GetCallerIp())
	return binary.BigEndian.AppendUint16(b, uint16(flow.GetCallerPort()))
}

// UnpackFlows decodes groups that PackFlows encoded. It returns ErrMalformed when a group is
// truncated or a number is out of range.
func UnpackFlows(groups []*pb.FlowGroup) (records []*pb.FlowRecord, ended []*pb.FlowKey, err error) {
	for _, g := range groups {
		for b := g.GetFlows(); len(b) > 0; {
			if len(b) < packedCallerBytes {
				return nil, nil, ErrMalformed
			}
			r := &pb.FlowRecord{Flow: decodeFlowKey(b, g), Service: g.GetService()}
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
			r.Established, r.Exception = state&packedFlagEstablished != 0, state&packedFlagException != 0
			records = append(records, r)
		}
		if len(g.GetEnded())%packedCallerBytes != 0 {
			return nil, nil, ErrMalformed
		}
		for b := g.GetEnded(); len(b) > 0; b = b[packedCallerBytes:] {
			ended = append(ended, decodeFlowKey(b, g))
		}
	}
	return records, ended, nil
}

// serviceAddressGetter returns the service address of a group, which all its flow keys share.
type serviceAddressGetter interface {
	GetServiceIp() uint32
	GetServicePort() uint32
}

// decodeFlowKey returns the flow key from the caller address at the start of b and the service
// address of the group.
func decodeFlowKey(b []byte, g serviceAddressGetter) *pb.FlowKey {
	return &pb.FlowKey{
		CallerIp: binary.BigEndian.Uint32(b), CallerPort: uint32(binary.BigEndian.Uint16(b[4:])),
		ServiceIp: g.GetServiceIp(), ServicePort: g.GetServicePort(),
	}
}
