package membership

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// merge takes over what another daemon says of members, as far as it is newer.
func (m *Membership) merge(changes []*pb.Member) {
	if len(changes) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	published := false
	for _, p := range changes {
		member, ok := MemberFromProto(p)
		if !ok {
			m.options.Counters.Drop("member_malformed")
			continue
		}
		if member.ID == m.self.ID {
			published = m.refute(member) || published
			continue
		}
		published = m.mergeOne(member, refuteTime(p)) || published
	}
	if published {
		m.publish()
	}
}

// refute answers a wrong claim about this daemon with a higher incarnation. m.mu is held.
func (m *Membership) refute(said Member) bool {
	if !said.replaces(m.self) {
		return false
	}
	m.self.Incarnation = max(said.Incarnation+1, uint64(time.Now().UnixNano()))
	m.gossip.add(m.self, m.size(), time.Time{})
	m.urgent = true
	m.options.Counters.Count("membership.refuted")
	m.options.Logger.Info().Str("event", "suspicion_refuted").Str("said", said.State.String()).Send()
	return true
}

// refuteTime returns how long a suspect still has to refute.
func refuteTime(p *pb.Member) time.Duration {
	left := time.Duration(p.GetDropAfterMs()) * time.Millisecond
	if left == 0 || left > DropTimeout {
		return DropTimeout
	}
	return max(left, minRefuteTime)
}

// mergeOne takes over what another daemon says of a member, which has the time left to refute
// if it is a suspect. It reports whether the view changed. m.mu is held.
func (m *Membership) mergeOne(said Member, left time.Duration) bool {
	e, known := m.entries[said.ID]
	if !known {
		if !said.IsReachable() {
			return false // A member that is gone is of no use to a daemon that never knew it.
		}
		e = &entry{Member: said}
		m.entries[said.ID] = e
		m.changeState(e, said, left)
		return true
	}
	if said.State == pb.MemberState_MEMBER_STATE_DROPPED && !e.isGone() {
		// Gives the member the time to refute: after a healed cut each side says that the
		// other one is dropped.
		said.State, left = pb.MemberState_MEMBER_STATE_SUSPECT, DropTimeout
	}
	if !said.replaces(e.Member) {
		if e.isGone() && said.IsReachable() && said.Incarnation == e.Incarnation {
			// Another daemon still reaches it: contact it soon, so that it can refute.
			e.retryAt, e.retryDelay = time.Time{}, 0
		}
		return false
	}
	m.changeState(e, said, left)
	return true
}

// changeState applies a newer state, starts or stops the drop timer and passes the change
// on. A suspect is dropped after the time left. m.mu is held.
func (m *Membership) changeState(e *entry, said Member, left time.Duration) {
	now := time.Now()
	wasGone := e.isGone()
	e.Member, e.changedAt = said, now
	e.dropAt = time.Time{}
	if said.State == pb.MemberState_MEMBER_STATE_SUSPECT {
		e.dropAt = now.Add(left)
	}
	if e.isGone() && !wasGone {
		e.retryDelay = retryMin
		e.retryAt = now.Add(m.jitter(retryMin))
	}
	if wasGone && !e.isGone() {
		m.join.syncWith = said.ID
	}
	if said.State == pb.MemberState_MEMBER_STATE_DROPPED {
		// Each daemon that heard of the suspicion drops the member by its own timer.
		m.gossip.remove(said.ID)
	} else {
		m.gossip.add(said, m.size(), e.dropAt)
	}
	m.options.Counters.Count("membership." + stateName(said.State))
	m.options.Logger.Info().Str("event", "member_"+stateName(said.State)).Str("member", string(said.ID)).
		Uint64("incarnation", said.Incarnation).Send()
}

func stateName(s pb.MemberState) string {
	switch s {
	case pb.MemberState_MEMBER_STATE_ALIVE:
		return "alive"
	case pb.MemberState_MEMBER_STATE_SUSPECT:
		return "suspect"
	case pb.MemberState_MEMBER_STATE_LEAVING:
		return "leaving"
	case pb.MemberState_MEMBER_STATE_DROPPED:
		return "dropped"
	case pb.MemberState_MEMBER_STATE_LEFT:
		return "left"
	default:
		return "unknown"
	}
}

// jitter returns a duration between 75 % and 125 % of d. m.mu is held.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.options.Rand.Int64N(int64(d)/2+1))
}
