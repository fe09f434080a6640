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
	// those, since each daemon knows others, and newcomers take the places of known ones.
	maxMembers = 64
	// pickFrom is from how many times the daemons needed some are picked, so that two daemons
	// that pick seldom pick the same.
	pickFrom = 2
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

// saw notes that a daemon was heard, and reports whether it is new and there is room for it. In a
// full table it takes the place of one at random: if newcomers were turned away, the last daemons
// of a large fleet would be known to none.
func (m *members) saw(a netip.Addr, now time.Time) bool {
	if a == m.self {
		return false
	}
	_, known := m.heard[a]
	isFull := !known && len(m.heard) >= maxMembers
	if isFull {
		delete(m.heard, shuffled(m.heard)[0])
	}
	m.heard[a] = now
	delete(m.hinted, a)
	return !known && !isFull
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

// pick returns up to n daemons at random: ones that were heard, if there are several times as many
// as needed, or else also named ones, since all of a fleet that starts have heard the seeds only.
func (m *members) pick(n int) []netip.Addr {
	picked := shuffled(m.heard)
	if len(picked) < n*pickFrom {
		picked = append(picked, shuffled(m.hinted)...)
		rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
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
