package inband

import (
	"net/netip"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// maxSearchResults bounds the cache of search results, which is kept until the next snapshot.
const maxSearchResults = 4096

// boundToken is a token together with the service address to which it is bound.
type boundToken struct {
	address netip.AddrPort
	token   uint32
}

// tokenIndex finds the upstream that a token identifies at a service address. It is built anew for
// each snapshot and must be used by one goroutine only.
type tokenIndex struct {
	snapshot  *catalog.Snapshot
	byAddress map[netip.AddrPort]map[uint32]*catalog.Upstream
	// searchResults caches the results of searchAll, nil included, for tokens that identify no
	// upstream of their route's services.
	searchResults map[boundToken]*catalog.Upstream
}

// find returns the upstream that a token identifies at a service address, or nil. The upstream may
// belong to a service that the route does not contain any more, and there may be no route at the address
// as far as this daemon knows: open flows stay on their upstreams when the services of a route change, the
// route may have been added just now, and the token is evidence that a daemon placed the flow for this
// address.
func (t *tokenIndex) find(s *catalog.Snapshot, address netip.AddrPort, token uint32) *catalog.Upstream {
	if t.snapshot != s {
		*t = tokenIndex{
			snapshot: s, byAddress: map[netip.AddrPort]map[uint32]*catalog.Upstream{},
			searchResults: map[boundToken]*catalog.Upstream{},
		}
	}
	if route := s.Route(address); route != nil {
		if u := t.indexRoute(route)[token]; u != nil {
			return u
		}
	}
	key := boundToken{address, token}
	u, found := t.searchResults[key]
	if !found && len(t.searchResults) < maxSearchResults {
		u = searchAll(s, key)
		t.searchResults[key] = u
	}
	return u
}

// indexRoute returns the upstreams of a route's services by their tokens at its address.
func (t *tokenIndex) indexRoute(route *catalog.Route) map[uint32]*catalog.Upstream {
	byToken, found := t.byAddress[route.Address]
	if found {
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

// searchAll returns the upstream of any service that a token identifies, or nil. This search is needed
// for flows that were opened before the services of their route changed.
func searchAll(s *catalog.Snapshot, key boundToken) *catalog.Upstream {
	var found *catalog.Upstream
	for u := range s.All() {
		if u.Token(key.address) == key.token {
			found = older(found, u)
		}
	}
	return found
}

// older returns the older of two upstreams with the same token, to which the token then belongs. All
// daemons choose the same one. a may be nil.
func older(a, b *catalog.Upstream) *catalog.Upstream {
	if a == nil || b.StartedAt < a.StartedAt || b.StartedAt == a.StartedAt && b.Key < a.Key {
		return b
	}
	return a
}

// isAmbiguous reports whether the token of u at an address belongs to another upstream, so that
// packets of new flows to u would be steered to that upstream.
func (t *tokenIndex) isAmbiguous(s *catalog.Snapshot, address netip.AddrPort, u *catalog.Upstream) bool {
	holder := t.find(s, address, u.Token(address))
	return holder != nil && holder.Key != u.Key
}
