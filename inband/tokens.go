package inband

import (
	"net/netip"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// tokens finds the upstream that a token names at a service address. It is made anew for each
// snapshot and belongs to one task.
type tokens struct {
	snapshot  *catalog.Snapshot
	byAddress map[netip.AddrPort]map[uint32]*catalog.Upstream
}

// find returns the upstream that a token names at a service address, or nil. The service of the
// upstream need not be one that the route has today: open flows stay where they are when a route
// changes its services, and the token shows that a daemon placed the flow at this address.
func (t *tokens) find(s *catalog.Snapshot, address netip.AddrPort, token uint32) *catalog.Upstream {
	if t.snapshot != s {
		t.snapshot, t.byAddress = s, map[netip.AddrPort]map[uint32]*catalog.Upstream{}
	}
	named, known := t.byAddress[address]
	if !known {
		if s.Route(address) == nil {
			return nil
		}
		named = map[uint32]*catalog.Upstream{}
		s.All(func(u *catalog.Upstream) {
			at := u.Token(address)
			if other := named[at]; other == nil || u.StartedAt < other.StartedAt {
				named[at] = u
			}
		})
		t.byAddress[address] = named
	}
	return named[token]
}

// isAmbiguous reports whether another upstream has the token of u at an address. Packets of new
// flows to u could not be told from the other's.
func (t *tokens) isAmbiguous(s *catalog.Snapshot, address netip.AddrPort, u *catalog.Upstream) bool {
	named := t.find(s, address, u.Token(address))
	return named != nil && named.Key != u.Key
}
