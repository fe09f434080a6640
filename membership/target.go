package membership

import (
	"sort"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// nextProbeTarget returns the member to probe in an interval. The members form a ring sorted by ID. In
// each interval of the clock, all daemons probe at the same distance along the ring, and the distance
// changes with each interval. So each member is probed once in each interval, and a dead member is
// detected within one interval. A daemon whose clock or view differs still probes each member once in
// a round. The caller holds m.mu.
func (m *Membership) nextProbeTarget(interval int64) (Member, bool) {
	others := m.reachableMembers()
	if len(others) == 0 {
		return Member{}, false
	}
	// The list does not contain self, so the daemon after self is at the position that self would have.
	after := sort.Search(len(others), func(i int) bool { return others[i].ID > m.self.ID })
	distance := int(interval % int64(len(others)))
	return others[(after+distance)%len(others)], true
}

// pickRandomReachable returns up to limit random reachable members, never the member exclude. The
// caller holds m.mu.
func (m *Membership) pickRandomReachable(exclude DaemonID, limit int) []Member {
	var others []Member
	for _, member := range m.reachableMembers() {
		if member.ID != exclude {
			others = append(others, member)
		}
	}
	m.options.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), limit)]
}

// nextNonce returns a nonce for a probe, unique among the probes in progress. The caller holds m.mu.
func (m *Membership) nextNonce() uint32 {
	m.lastNonce = m.lastNonce%maxNonce + 1
	return m.lastNonce
}

// maxNonce limits a nonce to two bytes as a varint. Far fewer probes are in progress at a time.
const maxNonce = 1<<14 - 1

// probeDatagram returns a probe with queued changes. With includeSelf, it also carries the entry of
// this daemon. The caller holds m.mu.
func (m *Membership) probeDatagram(to DaemonID, nonce uint32, includeSelf bool) *pb.PeerDatagram {
	return &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{
		Nonce:            nonce,
		Changes:          m.changesFor(to, includeSelf),
		ConfigGeneration: m.options.Generation(),
	}}}
}

// changesFor returns the changes to send to a member. If the receiver is not alive in this daemon's
// view, the first change is the receiver's state, so that it can refute. The caller holds m.mu.
func (m *Membership) changesFor(to DaemonID, includeSelf bool) []*pb.Member {
	var changes []*pb.Member
	if e, known := m.entries[to]; known && e.State != pb.MemberState_MEMBER_STATE_ALIVE {
		changes = append(changes, e.Proto())
	}
	if includeSelf {
		changes = append(changes, m.self.Proto())
		// Datagrams other than the regular probes and acks do not count as sends: an announcement to
		// many peers would use up the sends of a change before all daemons have received it.
		return m.gossipQueue.appendChanges(changes, m.self.ID, false)
	}
	return m.gossipQueue.appendChanges(changes, to, true)
}

// send sends a datagram to the peer address of a member. A datagram that cannot be sent is counted
// and then treated like one that the network lost.
func (m *Membership) send(to Member, d *pb.PeerDatagram) {
	if err := m.options.Sender.SendTo(to.PeerAddress, to.ID, d); err != nil {
		m.options.Counters.CountDrop("probe_not_sent")
	}
}
