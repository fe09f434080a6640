package membership

import (
	"sort"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// nextTarget returns the member to probe in an interval. The members form a ring by ID, and
// all daemons probe at the same distance in the same interval of the clock, another one in
// each. So each member is probed once in each interval, and one that died is found within one.
// Daemons whose clocks or views differ still probe each member once in a round. m.mu is held.
func (m *Membership) nextTarget(interval int64) (Member, bool) {
	others := m.reachable()
	if len(others) == 0 {
		return Member{}, false
	}
	// Without self in the list, the daemon after self is at the position of self.
	after := sort.Search(len(others), func(i int) bool { return others[i].ID > m.self.ID })
	distance := int(interval % int64(len(others)))
	return others[(after+distance)%len(others)], true
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
