package config

import (
	"encoding/binary"
	"net/netip"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Snapshot is the immutable configuration of one generation with its indexes.
type Snapshot struct {
	Proto    *pb.Configuration
	services map[uint32]*pb.Service
	// addresses has the IPv4 address and port in one number, which is looked up for each packet.
	addresses map[uint64]*pb.Service
	upstreams map[uint32]upstreamEntry
}

type upstreamEntry struct {
	upstream *pb.Upstream
	service  *pb.Service
	address  netip.AddrPort
}

// NewSnapshot indexes a configuration, which must not be changed afterwards. Addresses that
// do not parse are left out of the indexes.
func NewSnapshot(c *pb.Configuration) *Snapshot {
	s := &Snapshot{
		Proto:     c,
		services:  map[uint32]*pb.Service{},
		addresses: map[uint64]*pb.Service{},
		upstreams: map[uint32]upstreamEntry{},
	}
	for _, service := range c.GetServices() {
		s.services[service.GetNumber()] = service
		if addr, err := netip.ParseAddrPort(service.GetAddress()); err == nil && addr.Addr().Is4() {
			ip := addr.Addr().As4()
			s.addresses[addressNumber(binary.BigEndian.Uint32(ip[:]), addr.Port())] = service
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

func addressNumber(ip uint32, port uint16) uint64 { return uint64(ip)<<16 | uint64(port) }

// Generation returns the generation number; 0 means that nothing was ever declared.
func (s *Snapshot) Generation() uint64 { return s.Proto.GetGeneration() }

// Services returns all services.
func (s *Snapshot) Services() []*pb.Service { return s.Proto.GetServices() }

// Service returns the service with the given number.
func (s *Snapshot) Service(number uint32) (*pb.Service, bool) {
	service, ok := s.services[number]
	return service, ok
}

// ServiceOf returns the service that a flow key's service address belongs to.
func (s *Snapshot) ServiceOf(k wire.FlowKey) (*pb.Service, bool) {
	service, ok := s.addresses[addressNumber(k.ServiceIP, k.ServicePort)]
	return service, ok
}

// Upstream returns an upstream, its service and its address by the upstream's number.
func (s *Snapshot) Upstream(number uint32) (u *pb.Upstream, service *pb.Service, addr netip.AddrPort, ok bool) {
	e, ok := s.upstreams[number]
	return e.upstream, e.service, e.address, ok
}

// Provider gives the configuration in force.
type Provider interface {
	// Current returns the snapshot in force, never nil; generation 0 before the first.
	Current() *Snapshot
	// Subscribe calls f after each change, in order, from one goroutine.
	Subscribe(f func(previous, current *Snapshot))
}
