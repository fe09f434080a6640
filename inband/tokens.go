package inband

import (
	"net/netip"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// maxForeign bounds the tokens that are remembered between two snapshots although they name no
// upstream of their route's services.
const maxForeign = 4096

// named is a token at a service address.
type named struct {
	address netip.AddrPort
	token   uint32
}

// tokens finds the upstream that a token names at a service address. It is made anew for each
// snapshot and belongs to one task.
type tokens struct {
	snapshot  *catalog.Snapshot
	byAddress map[netip.AddrPort]map[uint32]*catalog.Upstream
	// foreign has the answers for tokens that name no upstream of their route's services.
	foreign map[named]*catalog.Upstream
}

// find returns the upstream that a token names at a service address, or nil. The service of the
// upstream need not be one that the route has today: open flows stay where they are when a route
// changes its services, and the token shows that a daemon placed the flow at this address.
func (t *tokens) find(s *catalog.Snapshot, address netip.AddrPort, token uint32) *catalog.Upstream {
	if t.snapshot != s {
		*t = tokens{
			snapshot: s, byAddress: map[netip.AddrPort]map[uint32]*catalog.Upstream{}, foreign: map[named]*catalog.Upstream{},
		}
	}
	route := s.Route(address)
	if route == nil {
		return nil
	}
	if u := t.index(route)[token]; u != nil {
		return u
	}
	n := named{address, token}
	u, known := t.foreign[n]
	if !known && len(t.foreign) < maxForeign {
		u = search(s, n)
		t.foreign[n] = u
	}
	return u
}

// index returns the upstreams of a route's services by their tokens at its address.
func (t *tokens) index(route *catalog.Route) map[uint32]*catalog.Upstream {
	byToken, known := t.byAddress[route.Address]
	if known {
		return byToken
	}
	byToken = map[uint32]*catalog.Upstream{}
	for _, target := range route.Targets {
		for _, u := range t.snapshot.Steerable(target.Service) {
			token := u.Token(route.Address)
			byToken[token] = older(byToken[token], u)
		}
	}
	t.byAddress[route.Address] = byToken
	return byToken
}

// search looks through all upstreams, as it has to for flows that were open before their route
// changed its services.
func search(s *catalog.Snapshot, n named) *catalog.Upstream {
	var found *catalog.Upstream
	for u := range s.All() {
		if u.Token(n.address) == n.token {
			found = older(found, u)
		}
	}
	return found
}

// older returns the upstream that keeps a token which two have, the same on all daemons. a may be
// nil.
func older(a, b *catalog.Upstream) *catalog.Upstream {
	if a == nil || b.StartedAt < a.StartedAt || b.StartedAt == a.StartedAt && b.Key < a.Key {
		return b
	}
	return a
}

// isAmbiguous reports whether another upstream has the token of u at an address. Packets of new
// flows to u could not be told from the other's.
func (t *tokens) isAmbiguous(s *catalog.Snapshot, address netip.AddrPort, u *catalog.Upstream) bool {
	first := t.find(s, address, u.Token(address))
	return first != nil && first.Key != u.Key
}
