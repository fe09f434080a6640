package membership

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// nextTarget returns the next member to probe. Each member comes once in a round, and the
// order is shuffled again after each round. m.mu is held.
func (m *Membership) nextTarget() (Member, bool) {
	for range 2 {
		for len(m.order) > 0 {
			id := m.order[0]
			m.order = m.order[1:]
			if e, known := m.entries[id]; known && !e.isGone() {
				return e.Member, true
			}
		}
		for _, member := range m.reachable() {
			m.order = append(m.order, member.ID)
		}
		m.options.Rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return Member{}, false
}

// insertIntoOrder puts a new member at a random place of the current round. m.mu is held.
func (m *Membership) insertIntoOrder(id DaemonID) {
	at := m.options.Rand.IntN(len(m.order) + 1)
	m.order = append(m.order, "")
	copy(m.order[at+1:], m.order[at:])
	m.order[at] = id
}

// pickOthers returns up to limit random reachable members other than one. m.mu is held.
func (m *Membership) pickOthers(other DaemonID, limit int) []Member {
	var others []Member
	for _, member := range m.reachable() {
		if member.ID != other {
			others = append(others, member)
		}
	}
	m.options.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), limit)]
}

// nextNonce returns a number for a probe, unique among those in progress. m.mu is held.
func (m *Membership) nextNonce() uint32 {
	m.nonce = m.nonce%maxNonce + 1
	return m.nonce
}

// maxNonce keeps the nonce of a probe at two bytes; far fewer are in progress at a time.
const maxNonce = 1<<14 - 1

// probeDatagram returns a probe with changes. introduce makes it carry the entry of this
// daemon as well. m.mu is held.
func (m *Membership) probeDatagram(to DaemonID, nonce uint32, introduce bool) *pb.PeerDatagram {
	return &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{
		Nonce:            nonce,
		Changes:          m.changesFor(to, introduce),
		ConfigGeneration: m.options.Generation(),
	}}}
}

// changesFor returns the changes to send to a member. The first is what this daemon thinks
// of the receiver unless it is alive, so that it can refute. m.mu is held.
func (m *Membership) changesFor(to DaemonID, introduce bool) []*pb.Member {
	var changes []*pb.Member
	if e, known := m.entries[to]; known && e.State != pb.MemberState_MEMBER_STATE_ALIVE {
		changes = append(changes, e.Proto())
	}
	if introduce {
		changes = append(changes, m.self.Proto())
		// Datagrams beside the regular probes do not count: an announcement to many peers
		// would use up the repetitions before all of them have the change.
		return m.gossip.take(changes, m.self.ID, false)
	}
	return m.gossip.take(changes, to, true)
}

// send sends to a member by its address. A datagram that cannot be sent is lost like any other.
func (m *Membership) send(to Member, d *pb.PeerDatagram) {
	if err := m.options.Sender.SendTo(to.PeerAddress, to.ID, d); err != nil {
		m.options.Counters.Drop("probe_not_sent")
	}
}
