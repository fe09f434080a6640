package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// memberTimeout is how long a daemon stays in the table without a datagram from it. It covers
	// several rounds, since few daemons of a large fleet send to a given daemon in each round.
	memberTimeout = 10 * time.Second
	// maxMembers bounds the size of the table. Advertisements still spread through a fleet of any
	// size, since the tables of the daemons differ, and new daemons replace known ones.
	maxMembers = 64
	// pickPoolFactor is how many times as many daemons as needed must be available to choose from,
	// so that two daemons seldom choose the same ones.
	pickPoolFactor = 2
)

// members is the table of other daemons. It is not safe for concurrent use.
type members struct {
	self netip.Addr
	// reachable are the daemons from which datagrams were received, with the time of the last one.
	reachable map[netip.Addr]time.Time
	// candidates are addresses from the seeds or from other daemons' datagrams, with the time at
	// which they were added. No datagram has been received from them yet.
	candidates map[netip.Addr]time.Time
	// stamps are the last times of sending that reachable daemons have stated.
	stamps map[netip.Addr]receivedStamp
}

// receivedStamp is what another daemon has stated as the time of sending, with the time of its receipt.
type receivedStamp struct {
	sentAt     uint32
	receivedAt time.Time
}

func newMembers(self netip.Addr) *members {
	return &members{self: self, reachable: map[netip.Addr]time.Time{}, candidates: map[netip.Addr]time.Time{}, stamps: map[netip.Addr]receivedStamp{}}
}

// recordContact records a datagram from a daemon, and reports whether the daemon is new and the
// table had room for it. In a full table it replaces a random daemon: if a full table rejected new
// daemons, the last daemons of a large fleet would be in no table.
func (m *members) recordContact(a netip.Addr, now time.Time) bool {
	if a == m.self {
		return false
	}
	_, known := m.reachable[a]
	isFull := !known && len(m.reachable) >= maxMembers
	if isFull {
		delete(m.reachable, shuffled(m.reachable)[0])
	}
	m.reachable[a] = now
	delete(m.candidates, a)
	return !known && !isFull
}

// remove removes a daemon that is shutting down.
func (m *members) remove(a netip.Addr) { delete(m.reachable, a) }

// addCandidates adds addresses from the settings or from another daemon's datagram.
func (m *members) addCandidates(list []netip.Addr, now time.Time) {
	for _, a := range list {
		if _, known := m.reachable[a]; known || a == m.self || len(m.candidates) >= maxMembers {
			continue
		}
		if _, known := m.candidates[a]; !known {
			m.candidates[a] = now
		}
	}
}

// recordStamp records the time of sending that a reachable daemon has stated.
func (m *members) recordStamp(a netip.Addr, sentAt uint32, now time.Time) {
	if _, isReachable := m.reachable[a]; isReachable && sentAt != 0 {
		m.stamps[a] = receivedStamp{sentAt, now}
	}
}

// expire removes daemons without contact, and candidates, after memberTimeout.
func (m *members) expire(now time.Time) {
	for _, list := range []map[netip.Addr]time.Time{m.reachable, m.candidates} {
		for a, at := range list {
			if now.Sub(at) > memberTimeout {
				delete(list, a)
			}
		}
	}
	for a := range m.stamps {
		if _, isReachable := m.reachable[a]; !isReachable {
			delete(m.stamps, a)
		}
	}
}

// pick returns up to n random daemons. It chooses among the reachable ones if there are
// pickPoolFactor times as many as needed. Otherwise it includes candidates: at the start of a whole
// fleet, all daemons have received datagrams from the seeds only.
func (m *members) pick(n int) []netip.Addr {
	picked := shuffled(m.reachable)
	if len(picked) < n*pickPoolFactor {
		picked = append(picked, shuffled(m.candidates)...)
		rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	}
	return picked[:min(n, len(picked))]
}

// pickCandidate returns a random candidate, if there is any.
func (m *members) pickCandidate() []netip.Addr {
	list := shuffled(m.candidates)
	return list[:min(1, len(list))]
}

// shuffled returns the addresses of a set in random order.
func shuffled(set map[netip.Addr]time.Time) []netip.Addr {
	list := make([]netip.Addr, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, netip.Addr.Compare)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
