package catalog

import (
	"cmp"
	"iter"
	"net/netip"
	"slices"
)

// tokenIndex finds the upstream of a token. It holds upstreams in the order of their tokens' prefixes: an
// index of whole tokens would be needed for each service address.
type tokenIndex []*Upstream

// newTokenIndex returns an index of count upstreams.
func newTokenIndex(upstreams iter.Seq[*Upstream], count int) tokenIndex {
	t := slices.AppendSeq(make(tokenIndex, 0, count), upstreams)
	slices.SortFunc(t, func(a, b *Upstream) int { return cmp.Compare(a.prefix, b.prefix) })
	return t
}

// indexTokens sets the indices of the latest entries, the given upstreams at earlier addresses, and the IDs with
// entries that cannot be decoded.
func (s *Snapshot) indexTokens(earlier []*Upstream) {
	s.byToken = newTokenIndex(func(yield func(*Upstream) bool) {
		for _, u := range s.latest {
			if !yield(u) {
				return
			}
		}
		for _, u := range earlier {
			if !yield(u) {
				return
			}
		}
	}, len(s.latest)+len(earlier))
	s.entryPrefixes = make(map[uint16]bool, len(s.registered)+len(s.unreadable))
	for _, u := range s.registered {
		s.entryPrefixes[u.prefix] = true
	}
	for id := range s.unreadable {
		s.entryPrefixes[(&Upstream{ID: id}).tokenPrefix()] = true
	}
}

// prefixOf returns the bits of a token that depend on the upstream's ID only.
func prefixOf(token uint32) uint16 { return uint16(token >> (32 - tokenPrefixBits)) }

// withPrefix returns the upstreams whose tokens have a prefix.
func (t tokenIndex) withPrefix(prefix uint16) []*Upstream {
	first, _ := slices.BinarySearchFunc(t, prefix, func(u *Upstream, p uint16) int { return cmp.Compare(u.prefix, p) })
	end := first
	for end < len(t) && t[end].prefix == prefix {
		end++
	}
	return t[first:end]
}

// find returns the upstream that a token identifies at a service address, or nil.
func (t tokenIndex) find(address netip.AddrPort, token uint32) *Upstream {
	var found *Upstream
	for _, u := range t.withPrefix(prefixOf(token)) {
		if u.Token(address) == token {
			found = older(found, u)
		}
	}
	return found
}

// isAmbiguous reports whether the token of u at an address belongs to another upstream.
func (t tokenIndex) isAmbiguous(address netip.AddrPort, u *Upstream) bool {
	if len(t.withPrefix(u.prefix)) == 1 {
		return false
	}
	holder := t.find(address, u.Token(address))
	return holder != nil && holder.ID != u.ID
}

// older returns the older of two upstreams with the same token, to which the token then belongs. All
// daemons choose the same one. a may be nil.
func older(a, b *Upstream) *Upstream {
	if a == nil || b.StartedAt < a.StartedAt || b.StartedAt == a.StartedAt && b.Key < a.Key {
		return b
	}
	return a
}
