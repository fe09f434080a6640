package membership

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// pendingProbe is a probe of this daemon that was not acknowledged yet.
type pendingProbe struct {
	target      DaemonID
	incarnation uint64
	// indirectProbeAt is when indirect probes are requested, suspectAt when the target is suspected.
	indirectProbeAt          time.Time
	suspectAt                time.Time
	isIndirectProbeRequested bool
}

// relayedProbe is an indirect probe that this daemon sent on the request of another daemon. Its nonce
// is the nonce of that request.
type relayedProbe struct {
	requester DaemonID
	nonce     uint32
	expiresAt time.Time
}

// HandleDatagram handles a probe, an ack or a request for an indirect probe and returns true. It
// returns false for any other datagram.
func (m *Membership) HandleDatagram(from DaemonID, d *pb.PeerDatagram) bool {
	switch body := d.GetBody().(type) {
	case *pb.PeerDatagram_Probe:
		m.handleProbe(from, body.Probe)
	case *pb.PeerDatagram_ProbeAck:
		m.handleAck(from, d.GetIncarnation(), body.ProbeAck)
	case *pb.PeerDatagram_ProbeRequest:
		m.handleProbeRequest(from, body.ProbeRequest)
	default:
		return false
	}
	return true
}

// handleProbe merges the changes of a probe and sends an ack.
func (m *Membership) handleProbe(from DaemonID, p *pb.Probe) {
	m.mergeChanges(p.GetChanges())
	m.options.OnGeneration(from, p.GetConfigGeneration())
	m.mu.Lock()
	e, known := m.entries[from]
	if !known {
		m.mu.Unlock()
		return // Without an entry of the sender, the address for an ack is unknown.
	}
	to := e.Member
	ack := &pb.PeerDatagram{Body: &pb.PeerDatagram_ProbeAck{ProbeAck: &pb.ProbeAck{
		Nonce:            p.GetNonce(),
		Changes:          m.changesFor(from, carriesSenderEntry(from, p)),
		ConfigGeneration: m.options.Generation(),
	}}}
	m.mu.Unlock()
	m.send(to, ack)
}

// carriesSenderEntry reports whether a probe carries the entry of its sender, as probes to unknown
// or dropped members do. The ack then carries the entry of this daemon.
func carriesSenderEntry(from DaemonID, p *pb.Probe) bool {
	for _, c := range p.GetChanges() {
		if DaemonID(c.GetId()) == from {
			return true
		}
	}
	return false
}

// handleAck completes the probe that an ack belongs to. It relays the ack of an indirect probe to the
// daemon that requested the probe.
func (m *Membership) handleAck(from DaemonID, incarnation uint64, a *pb.ProbeAck) {
	m.mergeChanges(a.GetChanges())
	m.options.OnGeneration(from, a.GetConfigGeneration())
	m.mu.Lock()
	if p, pending := m.pendingProbes[a.GetNonce()]; pending && m.isAckFor(from, a.GetSubject(), p.target) {
		delete(m.pendingProbes, a.GetNonce())
		m.clearLocalSuspicion(p, from, incarnation)
	}
	r, relayed := m.relayed[a.GetNonce()]
	delete(m.relayed, a.GetNonce())
	requester, known := m.entries[r.requester]
	if !relayed || !known {
		m.mu.Unlock()
		return
	}
	to := requester.Member
	ack := &pb.PeerDatagram{Body: &pb.PeerDatagram_ProbeAck{ProbeAck: &pb.ProbeAck{
		Nonce:            r.nonce,
		Changes:          m.changesFor(r.requester, false),
		ConfigGeneration: m.options.Generation(),
		Subject:          string(from),
	}}}
	m.mu.Unlock()
	m.send(to, ack)
}

// isAckFor reports whether an ack confirms that target is alive: target sent it, or another daemon
// relayed it for target.
func (m *Membership) isAckFor(from DaemonID, subject string, target DaemonID) bool {
	return from == target || DaemonID(subject) == target
}

// clearLocalSuspicion stops the drop timer of a leaving member that acknowledged a probe itself. Such
// a suspicion is local to this daemon. Other suspicions end only with a higher incarnation, so that
// all daemons agree. The caller holds m.mu.
func (m *Membership) clearLocalSuspicion(p *pendingProbe, from DaemonID, incarnation uint64) {
	e, known := m.entries[p.target]
	if known && from == p.target && e.State == pb.MemberState_MEMBER_STATE_LEAVING && incarnation >= e.Incarnation {
		e.dropAt = time.Time{}
	}
}

// handleProbeRequest probes the target of a request for an indirect probe.
func (m *Membership) handleProbeRequest(from DaemonID, r *pb.ProbeRequest) {
	m.mu.Lock()
	e, known := m.entries[DaemonID(r.GetTarget())]
	if !known {
		m.mu.Unlock()
		return
	}
	to := e.Member
	nonce := m.nextNonce()
	m.relayed[nonce] = relayedProbe{requester: from, nonce: r.GetNonce(), expiresAt: time.Now().Add(2 * AckTimeout)}
	d := m.probeDatagram(to.ID, nonce, false)
	m.mu.Unlock()
	m.send(to, d)
}

// startProbe probes the member that is the target of this daemon in an interval.
func (m *Membership) startProbe(now time.Time, interval int64) {
	m.mu.Lock()
	target, ok := m.nextProbeTarget(interval)
	if !ok {
		m.mu.Unlock()
		return
	}
	nonce := m.nextNonce()
	m.pendingProbes[nonce] = &pendingProbe{
		target:          target.ID,
		incarnation:     target.Incarnation,
		indirectProbeAt: now.Add(AckTimeout),
		suspectAt:       now.Add(2 * AckTimeout),
	}
	d := m.probeDatagram(target.ID, nonce, false)
	m.mu.Unlock()
	m.send(target, d)
}

// checkPendingProbes requests indirect probes of members that did not acknowledge a direct probe in time,
// and suspects members that acknowledged neither a direct nor an indirect probe.
func (m *Membership) checkPendingProbes(now time.Time) {
	m.mu.Lock()
	var intermediaries []Member
	var datagrams []*pb.PeerDatagram
	viewChanged := false
	for nonce, p := range m.pendingProbes {
		if !p.isIndirectProbeRequested && !now.Before(p.indirectProbeAt) {
			p.isIndirectProbeRequested = true
			for _, via := range m.pickRandomReachable(p.target, indirectProbeCount) {
				intermediaries = append(intermediaries, via)
				datagrams = append(datagrams, &pb.PeerDatagram{Body: &pb.PeerDatagram_ProbeRequest{
					ProbeRequest: &pb.ProbeRequest{Nonce: nonce, Target: string(p.target)},
				}})
			}
		}
		if !now.Before(p.suspectAt) {
			delete(m.pendingProbes, nonce)
			viewChanged = m.suspectMember(p, now) || viewChanged
		}
	}
	for nonce, r := range m.relayed {
		if now.After(r.expiresAt) {
			delete(m.relayed, nonce)
		}
	}
	if viewChanged {
		m.publishView()
	}
	m.mu.Unlock()
	for i, via := range intermediaries {
		m.send(via, datagrams[i])
	}
}

// suspectMember suspects the target of a probe that was not acknowledged and reports whether the view
// changed. The caller holds m.mu.
func (m *Membership) suspectMember(p *pendingProbe, now time.Time) bool {
	e, known := m.entries[p.target]
	if !known || e.Incarnation != p.incarnation || !e.dropAt.IsZero() {
		return false
	}
	switch e.State {
	case pb.MemberState_MEMBER_STATE_ALIVE:
		changed := e.Member
		changed.State = pb.MemberState_MEMBER_STATE_SUSPECT
		m.applyChange(e, changed, DropTimeout, true)
		m.hasUrgentChange = true
		return true
	case pb.MemberState_MEMBER_STATE_LEAVING:
		// The state stays leaving for other daemons. This daemon drops the member unless it responds.
		e.dropAt = now.Add(DropTimeout)
	}
	return false
}

// dropSuspects drops members whose time to refute is over, and removes members that have been
// unreachable for longer than unreachableRetention.
func (m *Membership) dropSuspects(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	viewChanged := false
	for id, e := range m.entries {
		switch {
		case !e.dropAt.IsZero() && !now.Before(e.dropAt):
			changed := e.Member
			changed.State = pb.MemberState_MEMBER_STATE_DROPPED
			if e.State == pb.MemberState_MEMBER_STATE_LEAVING {
				changed.State = pb.MemberState_MEMBER_STATE_LEFT
			}
			m.applyChange(e, changed, DropTimeout, true)
			viewChanged = true
		case e.isUnreachable() && now.Sub(e.stateChangedAt) > unreachableRetention:
			delete(m.entries, id)
			m.gossipQueue.remove(id)
			viewChanged = true
		}
	}
	if viewChanged {
		m.publishView()
	}
}
