package config

import (
	"encoding/binary"
	"net/netip"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Snapshot is the immutable configuration of one generation, indexed for look-ups by number and by
// address.
type Snapshot struct {
	Proto    *pb.Configuration
	services map[uint32]*pb.Service
	// servicesByAddress is looked up for each packet, so its keys are integers, see addressKey.
	servicesByAddress map[uint64]*pb.Service
	upstreams         map[uint32]upstreamEntry
}

type upstreamEntry struct {
	upstream *pb.Upstream
	service  *pb.Service
	address  netip.AddrPort
}

// NewSnapshot indexes a configuration, which must not be modified afterwards. Upstreams whose address
// does not parse, and service addresses that do not parse or are not IPv4, are left out of the indexes.
func NewSnapshot(c *pb.Configuration) *Snapshot {
	s := &Snapshot{
		Proto:             c,
		services:          map[uint32]*pb.Service{},
		servicesByAddress: map[uint64]*pb.Service{},
		upstreams:         map[uint32]upstreamEntry{},
	}
	for _, service := range c.GetServices() {
		s.services[service.GetNumber()] = service
		if addr, err := netip.ParseAddrPort(service.GetAddress()); err == nil && addr.Addr().Is4() {
			ip := addr.Addr().As4()
			s.servicesByAddress[addressKey(binary.BigEndian.Uint32(ip[:]), addr.Port())] = service
		}
		for _, u := range service.GetUpstreams() {
			addr, err := netip.ParseAddrPort(u.GetAddress())
			if err != nil {
				continue
			}
			s.upstreams[u.GetNumber()] = upstreamEntry{upstream: u, service: service, address: addr}
		}
	}
	return s
}

// addressKey packs an IPv4 address and a port into one integer.
func addressKey(ip uint32, port uint16) uint64 { return uint64(ip)<<16 | uint64(port) }

// Generation returns the generation number; 0 means that no configuration has been
// committed yet.
func (s *Snapshot) Generation() uint64 { return s.Proto.GetGeneration() }

// Services returns all services.
func (s *Snapshot) Services() []*pb.Service { return s.Proto.GetServices() }

// Service returns the service with the given number.
func (s *Snapshot) Service(number uint32) (*pb.Service, bool) {
	service, ok := s.services[number]
	return service, ok
}

// ServiceForFlow returns the service whose address is the service address of the flow key.
func (s *Snapshot) ServiceForFlow(k wire.FlowKey) (*pb.Service, bool) {
	service, ok := s.servicesByAddress[addressKey(k.ServiceIP, k.ServicePort)]
	return service, ok
}

// Upstream returns the upstream with the given number, its service and its address.
func (s *Snapshot) Upstream(number uint32) (u *pb.Upstream, service *pb.Service, addr netip.AddrPort, ok bool) {
	e, ok := s.upstreams[number]
	return e.upstream, e.service, e.address, ok
}

// Provider provides the configuration in force.
type Provider interface {
	// Current returns the snapshot in force. It is never nil; before the first configuration
	// arrives it has generation 0.
	Current() *Snapshot
	// Subscribe registers f, which is called after each change, in order, from one goroutine.
	Subscribe(f func(previous, current *Snapshot))
}
