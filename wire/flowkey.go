package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// ErrNotIPv4 reports an address that is not IPv4.
var ErrNotIPv4 = errors.New("address is not IPv4")

const flowKeyBytes = 12

// FlowKey identifies a flow by the caller's address and the service address, both IPv4.
type FlowKey struct {
	CallerIP    uint32
	ServiceIP   uint32
	CallerPort  uint16
	ServicePort uint16
}

// NewFlowKey returns the key of a flow between two IPv4 addresses, or ErrNotIPv4.
func NewFlowKey(caller, service netip.AddrPort) (FlowKey, error) {
	callerAddr, serviceAddr := caller.Addr().Unmap(), service.Addr().Unmap()
	if !callerAddr.Is4() {
		return FlowKey{}, fmt.Errorf("caller %s: %w", caller, ErrNotIPv4)
	}
	if !serviceAddr.Is4() {
		return FlowKey{}, fmt.Errorf("service %s: %w", service, ErrNotIPv4)
	}
	return FlowKey{
		CallerIP:    ipv4ToUint32(callerAddr),
		CallerPort:  caller.Port(),
		ServiceIP:   ipv4ToUint32(serviceAddr),
		ServicePort: service.Port(),
	}, nil
}

// FlowKeyFromProto converts the protobuf message; a nil message returns the zero key.
func FlowKeyFromProto(m *pb.FlowKey) FlowKey {
	return FlowKey{
		CallerIP:    m.GetCallerIp(),
		CallerPort:  uint16(m.GetCallerPort()),
		ServiceIP:   m.GetServiceIp(),
		ServicePort: uint16(m.GetServicePort()),
	}
}

// Proto returns the key as a protobuf message.
func (k FlowKey) Proto() *pb.FlowKey {
	return &pb.FlowKey{
		CallerIp:    k.CallerIP,
		CallerPort:  uint32(k.CallerPort),
		ServiceIp:   k.ServiceIP,
		ServicePort: uint32(k.ServicePort),
	}
}

// Caller returns the caller's address.
func (k FlowKey) Caller() netip.AddrPort { return addrPortFromUint32(k.CallerIP, k.CallerPort) }

// Service returns the service address.
func (k FlowKey) Service() netip.AddrPort { return addrPortFromUint32(k.ServiceIP, k.ServicePort) }

// IsZero reports whether the key is the zero value, which identifies no flow.
func (k FlowKey) IsZero() bool { return k == FlowKey{} }

// Hash returns the flow hash from which the bucket and the flow partition are derived. All daemons
// must compute the same value.
func (k FlowKey) Hash() uint64 {
	var b [flowKeyBytes]byte
	binary.BigEndian.PutUint32(b[0:], k.CallerIP)
	binary.BigEndian.PutUint16(b[4:], k.CallerPort)
	binary.BigEndian.PutUint32(b[6:], k.ServiceIP)
	binary.BigEndian.PutUint16(b[10:], k.ServicePort)
	return xxhash.Sum64(b[:])
}

// String returns "caller>service".
func (k FlowKey) String() string { return k.Caller().String() + ">" + k.Service().String() }

func ipv4ToUint32(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func addrPortFromUint32(ip uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}
