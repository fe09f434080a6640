package fabric

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// Ports of the address plan. Each port is the same on a VM's bind address and its relay address.
const (
	DataPort     = 7000
	PeerPort     = 7001
	ControlPort  = 7002
	UpstreamPort = 9000
	PlatformPort = 7100
)

// PlatformZone is the zone number of the platform in the address plan.
const PlatformZone = 99

// Octets of the address plan: VMs bind 127.0.zone.host and are reached at 127.1.zone.host.
const (
	loopbackOctet     = 127
	bindOctet         = 0
	relayOctet        = 1
	firstUpstreamHost = 51
	lastUpstreamHost  = 254
)

// ErrBadAddress reports an address outside the address plan.
var ErrBadAddress = errors.New("address is not of the plan 127.0.ZONE.HOST")

// zoneNumber returns the zone of a VM from its bind or relay address, and 0 for callers, operators
// and services, which belong to no zone.
func zoneNumber(a netip.Addr) uint8 {
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	if b[0] != loopbackOctet || b[1] > relayOctet {
		return 0
	}
	return b[2]
}

func withSecondOctet(a netip.Addr, octet byte) netip.Addr {
	b := a.As4()
	b[1] = octet
	return netip.AddrFrom4(b)
}

// bindAddress returns the bind address of a VM, given its bind or relay address. It returns other
// addresses unchanged.
func bindAddress(a netip.Addr) netip.Addr {
	if zoneNumber(a) == 0 {
		return a
	}
	return withSecondOctet(a, bindOctet)
}

// relayAddress returns the relay address of the VM that binds a, at which others reach it.
func relayAddress(a netip.Addr) netip.Addr { return withSecondOctet(a, relayOctet) }

// ParseVMs parses the bind address of a VM, or a range of them over the last octet such as
// "127.0.1.51-60". It returns ErrBadAddress.
func ParseVMs(s string) ([]netip.Addr, error) {
	first, last, isRange := strings.Cut(s, "-")
	a, err := netip.ParseAddr(first)
	if err != nil || zoneNumber(a) == 0 || a.As4()[1] != bindOctet {
		return nil, fmt.Errorf("%q: %w", s, ErrBadAddress)
	}
	b := a.As4()
	end := int(b[3])
	if isRange {
		end, err = strconv.Atoi(last)
		if err != nil || end < int(b[3]) || end > lastUpstreamHost {
			return nil, fmt.Errorf("range %q: %w", s, ErrBadAddress)
		}
	}
	var vms []netip.Addr
	for host := int(b[3]); host <= end; host++ {
		b[3] = byte(host)
		vms = append(vms, netip.AddrFrom4(b))
	}
	return vms, nil
}

// relayedPorts returns the ports that are relayed to a VM, which depend on the VM's address in the
// plan.
func relayedPorts(vm netip.Addr) (udp, tcp []uint16) {
	switch {
	case zoneNumber(vm) == PlatformZone:
		return nil, []uint16{PlatformPort}
	case vm.As4()[3] >= firstUpstreamHost:
		return []uint16{UpstreamPort}, nil
	default:
		return []uint16{DataPort, PeerPort}, []uint16{ControlPort}
	}
}
