package membership

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// probe is one probe without an ack so far.
type probe struct {
	target      DaemonID
	incarnation uint64
	indirectAt  time.Time
	suspectAt   time.Time
	asked       bool
}

// relay is a probe that this daemon made for another one.
type relay struct {
	requester DaemonID
	nonce     uint32
	expires   time.Time
}

// HandleDatagram takes a probe, an ack or a request for a probe and returns true, or returns
// false for any other datagram.
func (m *Membership) HandleDatagram(from DaemonID, d *pb.PeerDatagram) bool {
	switch body := d.GetBody().(type) {
	case *pb.PeerDatagram_Probe:
		m.handleProbe(from, body.Probe)
	case *pb.PeerDatagram_ProbeAck:
		m.handleAck(from, d.GetIncarnation(), body.ProbeAck)
	case *pb.PeerDatagram_ProbeRequest:
		m.handleRequest(from, body.ProbeRequest)
	default:
		return false
	}
	return true
}

func (m *Membership) handleProbe(from DaemonID, p *pb.Probe) {
	m.merge(p.GetChanges())
	m.options.OnGeneration(from, p.GetConfigGeneration())
	m.mu.Lock()
	e, known := m.entries[from]
	if !known {
		m.mu.Unlock()
		return // Without the sender's own entry there is no address to answer to.
	}
	to := e.Member
	ack := &pb.PeerDatagram{Body: &pb.PeerDatagram_ProbeAck{ProbeAck: &pb.ProbeAck{
		Nonce:            p.GetNonce(),
		Changes:          m.changesFor(from, introducesSender(from, p)),
		ConfigGeneration: m.options.Generation(),
	}}}
	m.mu.Unlock()
	m.send(to, ack)
}

// introducesSender reports whether a probe carries its sender's own entry, as the probes to
// members that are unknown or gone do. The ack then carries the entry of this daemon.
func introducesSender(from DaemonID, p *pb.Probe) bool {
	for _, c := range p.GetChanges() {
		if DaemonID(c.GetId()) == from {
			return true
		}
	}
	return false
}

func (m *Membership) handleAck(from DaemonID, incarnation uint64, a *pb.ProbeAck) {
	m.merge(a.GetChanges())
	m.options.OnGeneration(from, a.GetConfigGeneration())
	m.mu.Lock()
	if p, pending := m.probes[a.GetNonce()]; pending && m.speaksFor(from, a.GetSubject(), p.target) {
		delete(m.probes, a.GetNonce())
		m.confirm(p, from, incarnation)
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

func (m *Membership) speaksFor(from DaemonID, subject string, target DaemonID) bool {
	return from == target || DaemonID(subject) == target
}

// confirm ends the suspicion that this daemon alone had of a leaving member. Other states end
// by a higher incarnation only, so that all daemons agree. m.mu is held.
func (m *Membership) confirm(p *probe, from DaemonID, incarnation uint64) {
	e, known := m.entries[p.target]
	if known && from == p.target && e.State == pb.MemberState_MEMBER_STATE_LEAVING && incarnation >= e.Incarnation {
		e.dropAt = time.Time{}
	}
}

func (m *Membership) handleRequest(from DaemonID, r *pb.ProbeRequest) {
	m.mu.Lock()
	e, known := m.entries[DaemonID(r.GetTarget())]
	if !known {
		m.mu.Unlock()
		return
	}
	to := e.Member
	nonce := m.nextNonce()
	m.relayed[nonce] = relay{requester: from, nonce: r.GetNonce(), expires: time.Now().Add(2 * AckTimeout)}
	d := m.probeDatagram(to.ID, nonce, false)
	m.mu.Unlock()
	m.send(to, d)
}

// startProbe probes the member whose turn it is in an interval.
func (m *Membership) startProbe(now time.Time, interval int64) {
	m.mu.Lock()
	target, ok := m.nextTarget(interval)
	if !ok {
		m.mu.Unlock()
		return
	}
	nonce := m.nextNonce()
	m.probes[nonce] = &probe{
		target:      target.ID,
		incarnation: target.Incarnation,
		indirectAt:  now.Add(AckTimeout),
		suspectAt:   now.Add(2 * AckTimeout),
	}
	d := m.probeDatagram(target.ID, nonce, false)
	m.mu.Unlock()
	m.send(target, d)
}

// checkProbes asks others for indirect probes and suspects members that answered none.
func (m *Membership) checkProbes(now time.Time) {
	m.mu.Lock()
	var requests []Member
	var datagrams []*pb.PeerDatagram
	published := false
	for nonce, p := range m.probes {
		if !p.asked && !now.Before(p.indirectAt) {
			p.asked = true
			for _, via := range m.pickOthers(p.target, indirectProbes) {
				requests = append(requests, via)
				datagrams = append(datagrams, &pb.PeerDatagram{Body: &pb.PeerDatagram_ProbeRequest{
					ProbeRequest: &pb.ProbeRequest{Nonce: nonce, Target: string(p.target)},
				}})
			}
		}
		if !now.Before(p.suspectAt) {
			delete(m.probes, nonce)
			published = m.suspect(p, now) || published
		}
	}
	for nonce, r := range m.relayed {
		if now.After(r.expires) {
			delete(m.relayed, nonce)
		}
	}
	if published {
		m.publish()
	}
	m.mu.Unlock()
	for i, via := range requests {
		m.send(via, datagrams[i])
	}
}

// suspect reports whether the view changed. m.mu is held.
func (m *Membership) suspect(p *probe, now time.Time) bool {
	e, known := m.entries[p.target]
	if !known || e.Incarnation != p.incarnation || !e.dropAt.IsZero() {
		return false
	}
	switch e.State {
	case pb.MemberState_MEMBER_STATE_ALIVE:
		said := e.Member
		said.State = pb.MemberState_MEMBER_STATE_SUSPECT
		m.changeState(e, said, DropTimeout)
		m.urgent = true
		return true
	case pb.MemberState_MEMBER_STATE_LEAVING:
		// Stays leaving for the others; this daemon drops it if it stays silent.
		e.dropAt = now.Add(DropTimeout)
	}
	return false
}

// dropSuspects drops members whose time to refute is over and forgets long-gone ones.
func (m *Membership) dropSuspects(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	published := false
	for id, e := range m.entries {
		switch {
		case !e.dropAt.IsZero() && !now.Before(e.dropAt):
			said := e.Member
			said.State = pb.MemberState_MEMBER_STATE_DROPPED
			if e.State == pb.MemberState_MEMBER_STATE_LEAVING {
				said.State = pb.MemberState_MEMBER_STATE_LEFT
			}
			m.changeState(e, said, DropTimeout)
			published = true
		case e.isGone() && now.Sub(e.changedAt) > forgetAfter:
			delete(m.entries, id)
			m.gossip.remove(id)
			published = true
		}
	}
	if published {
		m.publish()
	}
}
