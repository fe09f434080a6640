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

// newUnreadableIndex returns an index of IDs of which nothing else is known.
func newUnreadableIndex(ids map[string]bool) tokenIndex {
	return newTokenIndex(func(yield func(*Upstream) bool) {
		for id := range ids {
			u := &Upstream{ID: id}
			if u.prefix = u.tokenPrefix(); !yield(u) {
				return
			}
		}
	}, len(ids))
}

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
	for _, u := range t.withPrefix(uint16(token >> (32 - tokenPrefixBits))) {
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
