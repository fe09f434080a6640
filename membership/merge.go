package membership

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// mergeChanges merges those member states from another daemon that are newer than the states in the view,
// and forwards them.
func (m *Membership) mergeChanges(changes []*pb.Member) { m.merge(changes, true) }

// mergeView merges the complete view of another daemon. A joining daemon does not forward what it learns
// from the view: nearly all of it is news to this daemon only, and the daemons that noticed a change
// forward it.
func (m *Membership) mergeView(members []*pb.Member) { m.merge(members, m.settled.Load()) }

func (m *Membership) merge(changes []*pb.Member, isForwarded bool) {
	if len(changes) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	viewChanged := false
	for _, p := range changes {
		member, ok := MemberFromProto(p)
		if !ok {
			m.options.Counters.CountDrop("member_malformed")
			continue
		}
		if member.ID == m.self.ID {
			viewChanged = m.refute(member) || viewChanged
			continue
		}
		viewChanged = m.mergeChange(member, remainingRefuteTime(p), isForwarded) || viewChanged
	}
	if viewChanged {
		m.publishView()
	}
}

// refute refutes a reported state of this daemon that supersedes its own state: it raises the
// incarnation of this daemon and queues it for gossip. It returns false if there was nothing to
// refute. The caller holds m.mu.
func (m *Membership) refute(reported Member) bool {
	if !reported.supersedes(m.self) {
		return false
	}
	m.self.Incarnation = max(reported.Incarnation+1, uint64(time.Now().UnixNano()))
	m.gossipQueue.add(m.self, m.groupSize(), time.Time{})
	m.hasUrgentChange = true
	m.options.Counters.Count("membership.refuted")
	m.options.Logger.Info().Str("event", "suspicion_refuted").Str("said", reported.State.String()).Send()
	return true
}

// remainingRefuteTime returns the time that a suspect still has to refute: the time in the message,
// but at least minRefuteTime and at most DropTimeout, or DropTimeout if the message has none.
func remainingRefuteTime(p *pb.Member) time.Duration {
	remaining := time.Duration(p.GetDropAfterMs()) * time.Millisecond
	if remaining == 0 || remaining > DropTimeout {
		return DropTimeout
	}
	return max(remaining, minRefuteTime)
}

// mergeChange merges the state of a member that another daemon reported. A suspect has refuteTime to
// refute. mergeChange reports whether the view changed. The caller holds m.mu.
func (m *Membership) mergeChange(reported Member, refuteTime time.Duration, isForwarded bool) bool {
	e, known := m.entries[reported.ID]
	if !known {
		if !reported.IsReachable() {
			return false // An unreachable member that this daemon never knew is not added.
		}
		e = &entry{Member: reported}
		m.entries[reported.ID] = e
		m.applyChange(e, reported, refuteTime, isForwarded)
		return true
	}
	if reported.State == pb.MemberState_MEMBER_STATE_DROPPED && !e.isUnreachable() {
		// The member gets the time to refute: after a network partition heals, each side reports the
		// other as dropped.
		reported.State, refuteTime = pb.MemberState_MEMBER_STATE_SUSPECT, DropTimeout
	}
	if !reported.supersedes(e.Member) {
		if e.isUnreachable() && reported.IsReachable() && reported.Incarnation == e.Incarnation {
			// Another daemon still reaches the member: probe it soon, so that it can refute.
			e.nextRetry, e.retryDelay = time.Time{}, 0
		}
		return false
	}
	m.applyChange(e, reported, refuteTime, isForwarded)
	return true
}

// applyChange applies a newer state of a member, starts or stops its drop timer and, if isForwarded is
// set, queues the change for gossip. A suspect is dropped after refuteTime. The caller holds m.mu.
func (m *Membership) applyChange(e *entry, reported Member, refuteTime time.Duration, isForwarded bool) {
	now := time.Now()
	wasUnreachable := e.isUnreachable()
	e.Member, e.stateChangedAt = reported, now
	e.dropAt = time.Time{}
	if reported.State == pb.MemberState_MEMBER_STATE_SUSPECT {
		e.dropAt = now.Add(refuteTime)
	}
	if e.isUnreachable() && !wasUnreachable {
		e.retryDelay = minRetryDelay
		e.nextRetry = now.Add(m.jitter(minRetryDelay))
	}
	if wasUnreachable && !e.isUnreachable() {
		m.join.preferredSyncPeer = reported.ID
	}
	m.gossipQueue.remove(reported.ID)
	// Each daemon that received a suspicion drops the member by its own timer.
	if isForwarded && reported.State != pb.MemberState_MEMBER_STATE_DROPPED {
		m.gossipQueue.add(reported, m.groupSize(), e.dropAt)
	}
	m.options.Counters.Count("membership." + stateName(reported.State))
	m.options.Logger.Info().Str("event", "member_"+stateName(reported.State)).Str("member", string(reported.ID)).
		Uint64("incarnation", reported.Incarnation).Send()
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

// jitter returns a duration between 75 % and 125 % of d. The caller holds m.mu.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.options.Rand.Int64N(int64(d)/2+1))
}
