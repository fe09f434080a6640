package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// memberTimeout forgets a daemon that was not heard: some rounds, in each of which few
	// daemons of a large fleet send to a given one.
	memberTimeout = 10 * time.Second
	// maxMembers bounds the daemons that one knows. Claims reach a fleet of any size through
	// those, since each daemon knows others.
	maxMembers = 64
)

// members are the daemons that one daemon knows. It belongs to one task.
type members struct {
	self  netip.Addr
	heard map[netip.Addr]time.Time
	// hinted are addresses that others have named and that were never heard.
	hinted map[netip.Addr]time.Time
}

func newMembers(self netip.Addr) *members {
	return &members{self: self, heard: map[netip.Addr]time.Time{}, hinted: map[netip.Addr]time.Time{}}
}

// saw notes that a daemon was heard, and reports whether it is new.
func (m *members) saw(a netip.Addr, now time.Time) bool {
	if a == m.self {
		return false
	}
	_, known := m.heard[a]
	if !known && len(m.heard) >= maxMembers {
		return false
	}
	m.heard[a] = now
	delete(m.hinted, a)
	return !known
}

// left forgets a daemon that is about to end.
func (m *members) left(a netip.Addr) { delete(m.heard, a) }

// named notes daemons that another one, or the settings, named.
func (m *members) named(list []netip.Addr, now time.Time) {
	for _, a := range list {
		if _, known := m.heard[a]; known || a == m.self || len(m.hinted) >= maxMembers {
			continue
		}
		if _, known := m.hinted[a]; !known {
			m.hinted[a] = now
		}
	}
}

// expire forgets daemons that were not heard for too long.
func (m *members) expire(now time.Time) {
	for _, list := range []map[netip.Addr]time.Time{m.heard, m.hinted} {
		for a, at := range list {
			if now.Sub(at) > memberTimeout {
				delete(list, a)
			}
		}
	}
}

// pick returns up to n daemons at random, heard ones first.
func (m *members) pick(n int) []netip.Addr {
	picked := shuffled(m.heard)
	if len(picked) < n {
		picked = append(picked, shuffled(m.hinted)...)
	}
	return picked[:min(n, len(picked))]
}

// unheard returns one daemon at random that was only named, if there is any.
func (m *members) unheard() []netip.Addr {
	list := shuffled(m.hinted)
	return list[:min(1, len(list))]
}

func shuffled(set map[netip.Addr]time.Time) []netip.Addr {
	list := make([]netip.Addr, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, netip.Addr.Compare)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
