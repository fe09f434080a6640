package steering

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// HandlePeer handles a datagram of another daemon, or a notice of this daemon. It reports false
// when the message is not addressed to steering.
func (s *Steerer) HandlePeer(from membership.DaemonID, m *pb.PeerDatagram) bool {
	switch body := m.GetBody().(type) {
	case *pb.PeerDatagram_FlowQuery:
		s.answerQuery(from, body.FlowQuery)
	case *pb.PeerDatagram_FlowReply:
		s.handleReply(from, body.FlowReply)
	case *pb.PeerDatagram_ExceptionBatch:
		if err := s.replicas.apply(from, body.ExceptionBatch, s.now().tick); err != nil {
			s.Counters.CountDrop("malformed_exceptions")
			return true // Not acknowledged, as if the datagram had been lost.
		}
		s.transmit(from, &pb.PeerDatagram{Body: &pb.PeerDatagram_ExceptionAck{
			ExceptionAck: &pb.ExceptionAck{Batch: body.ExceptionBatch.GetBatch()},
		}})
	case *pb.PeerDatagram_ExceptionAck:
		if b := s.replicator.handleAck(from, body.ExceptionAck.GetBatch()); b != nil {
			for _, f := range b.exceptions {
				s.handleAck(from, f)
			}
		}
	case *pb.PeerDatagram_UpstreamNotice:
		s.handleNotice(body.UpstreamNotice)
	default:
		return false
	}
	return true
}

// handleNotice records the state of an upstream. When its guard token has changed, TOKEN packets
// are queued for the callers of its flows.
func (s *Steerer) handleNotice(m *pb.UpstreamNotice) {
	now := s.now()
	s.notices.add(m, now.unixMS)
	svc := s.service(m.GetService(), false)
	if svc == nil {
		return // This daemon has never held a partition of the service.
	}
	u := svc.view.Load().upstreams[m.GetUpstream()]
	if u == nil {
		s.Counters.CountDrop("notice_unknown_upstream")
		return
	}
	u.applyNotice(noticedState{service: m.GetService(), state: int32(m.GetState()),
		guardToken: m.GetGuardToken(), sinceMS: now.unixMS})
	if !m.GetTokenChanged() {
		return
	}
	for i := range svc.partitions {
		if p := svc.partitions[i].Load(); p != nil {
			s.queueTokens(p, u)
		}
	}
	s.wake()
}

// queueTokens queues a TOKEN packet for the caller of each open flow that a partition has on an
// upstream. Flows that wait for a peer are skipped, since they are not placed yet.
func (s *Steerer) queueTokens(p *partition, u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released {
		return
	}
	for flow, r := range p.flows {
		if r.upstream == u.number && !r.has(flagClosed) && p.waits[flow] == nil {
			s.pacedPackets.addToken(p, flow)
		}
	}
}
