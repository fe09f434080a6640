package steering

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// HandlePeer takes a datagram of another daemon, or a notice of this one, and reports whether
// it was one for steering.
func (s *Steerer) HandlePeer(from membership.DaemonID, m *pb.PeerDatagram) bool {
	switch body := m.GetBody().(type) {
	case *pb.PeerDatagram_FlowQuery:
		s.answerQuery(from, body.FlowQuery)
	case *pb.PeerDatagram_FlowReply:
		s.queryAnswered(from, body.FlowReply)
	case *pb.PeerDatagram_ExceptionBatch:
		if err := s.replicas.apply(from, body.ExceptionBatch, s.now().tick); err != nil {
			s.Counters.Drop("malformed_exceptions")
			return true // Without an acknowledgement, as if it were lost.
		}
		s.transmit(from, &pb.PeerDatagram{Body: &pb.PeerDatagram_ExceptionAck{
			ExceptionAck: &pb.ExceptionAck{Batch: body.ExceptionBatch.GetBatch()},
		}})
	case *pb.PeerDatagram_ExceptionAck:
		if b := s.replicator.acknowledged(from, body.ExceptionAck.GetBatch()); b != nil {
			for _, i := range b.items {
				s.acknowledged(from, i)
			}
		}
	case *pb.PeerDatagram_UpstreamNotice:
		s.noticed(body.UpstreamNotice)
	default:
		return false
	}
	return true
}

// noticed takes the state of an upstream, and queues its new token for the callers.
func (s *Steerer) noticed(m *pb.UpstreamNotice) {
	now := s.now()
	s.notices.add(m, now.unixMS)
	owner := s.service(m.GetService(), false)
	if owner == nil {
		return // No flow of the service is placed here.
	}
	u := owner.view.Load().upstreams[m.GetUpstream()]
	if u == nil {
		s.Counters.Drop("notice_unknown_upstream")
		return
	}
	u.take(notice{service: m.GetService(), state: int32(m.GetState()), token: m.GetGuardToken(), atMS: now.unixMS})
	if !m.GetTokenChanged() {
		return
	}
	for i := range owner.partitions {
		if p := owner.partitions[i].Load(); p != nil {
			s.queueTokens(p, u)
		}
	}
	s.wake()
}

// queueTokens queues a TOKEN packet to each caller of an upstream's flows in a partition.
func (s *Steerer) queueTokens(p *partition, u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released {
		return
	}
	for flow, r := range p.flows {
		if r.upstream == u.number && !r.has(flagClosed) && p.waits[flow] == nil {
			s.paced.addToken(p, flow)
		}
	}
}
