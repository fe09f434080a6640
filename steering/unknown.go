package steering

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// resolveUnknownFlow determines the upstream of a flow that has no record or replica and whose
// packet is not an OPEN. It uses the tables if the upstream follows from them, and otherwise queries
// other daemons. The caller holds p.mu.
func (s *Steerer) resolveUnknownFlow(p *partition, v *serviceView, h wire.Header, hash uint64, raw []byte,
	now instant) decision {
	if number, ok := p.deriveUpstream(v, hash, now); ok {
		s.insert(p, v, h.Flow, record{upstream: number, lastPacket: now.tick}, now)
		return s.steerKnownFlow(p, v, h, p.flows[h.Flow], now)
	}
	w := s.startWait(p, h.Flow, waitQuery, queryTimeout)
	if w == nil {
		return dropDecision("waits_full")
	}
	w.retryAt = time.Now().Add(queryRetryDelay)
	w.hold(raw)
	return decision{action: actionQuery, wait: w}
}

// deriveUpstream returns the upstream of a flow without a record, if it follows from the tables.
func (p *partition) deriveUpstream(v *serviceView, hash uint64, now instant) (uint32, bool) {
	bucket := bucketFor(hash)
	if v.table.isStable(bucket, now.unixMS, v.idleLimit) {
		return v.table.upstream(bucket)
	}
	// All flows that were on another upstream than that of the initial table have a record, which
	// this owner received by a transfer or as a replica when it activated the partition.
	if p.isInitialTableValid(v, now) && p.initialTable.isStable(bucket, p.initialTableAt.unixMS, v.idleLimit) {
		return p.initialTable.upstream(bucket)
	}
	return 0, false
}

// isInitialTableValid reports whether a flow may have been idle since the time of the initial table.
// After the idle limit, each flow of that time has sent a packet or has ended.
func (p *partition) isInitialTableValid(v *serviceView, now instant) bool {
	return p.initialTable != nil && now.unixMS-p.initialTableAt.unixMS < v.idleLimit.Milliseconds()
}

// startQuery sends a query to the daemons that may have a record of the flow of a wait. When there
// is no such daemon, the query fails at once.
func (s *Steerer) startQuery(w *wait) {
	targets := s.queryTargets(w.partition.resource)
	w.partition.mu.Lock()
	w.pendingPeers = targets
	w.partition.mu.Unlock()
	if len(targets) == 0 {
		s.failQuery(w, pb.Reason_REASON_UNKNOWN_FLOW)
		return
	}
	s.sendQuery(w)
}

// sendQuery sends the query of a wait to the daemons that have not responded.
func (s *Steerer) sendQuery(w *wait) {
	w.partition.mu.Lock()
	targets := slices.Clone(w.pendingPeers)
	w.partition.mu.Unlock()
	for _, to := range targets {
		s.Counters.Count("flow_query.sent")
		s.transmit(to, &pb.PeerDatagram{Body: &pb.PeerDatagram_FlowQuery{FlowQuery: &pb.FlowQuery{
			Flow: w.flow.Proto(), Service: w.partition.service.number, Nonce: w.nonce,
		}}})
	}
}

// transmit sends a datagram to a peer. A failure is counted and handled like the loss of the
// datagram.
func (s *Steerer) transmit(to membership.DaemonID, m *pb.PeerDatagram) {
	if err := s.Sender.Send(to, m); err != nil {
		s.Counters.CountDrop("peer_send")
		s.Logger.Debug().Str("event", "peer_send_failed").Str("peer", string(to)).Err(err).Send()
	}
}

// failQuery ends a query that found no record and resets the flow, unless the flow is recorded by
// now, a new flow has been opened on the port, or this daemon is isolated.
func (s *Steerer) failQuery(w *wait, reason pb.Reason) {
	w.partition.mu.Lock()
	if w.done.Load() {
		w.partition.mu.Unlock()
		return
	}
	packets := w.finish()
	_, known := w.partition.flows[w.flow]
	w.partition.mu.Unlock()
	// Records may have been merged during the query, and an OPEN begins a new flow on the port.
	opening := slices.IndexFunc(packets, isOpen)
	if known || opening >= 0 {
		s.replay(packets[max(0, opening):])
		return
	}
	// The owner of the flow may be on the other side of a network partition, where the next packets
	// of the caller arrive.
	if s.Isolated != nil && s.Isolated() {
		s.Counters.CountDrop("isolated_unknown_flow")
		return
	}
	s.sendReset(w.flow, w.partition.service.number, reason)
}

func isOpen(raw []byte) bool {
	h, err := wire.ParseHeader(raw)
	return err == nil && h.Kind == pb.Kind_KIND_OPEN
}

// answerQuery responds to the query of another owner with the record of the flow, if this daemon
// has one.
func (s *Steerer) answerQuery(from membership.DaemonID, q *pb.FlowQuery) {
	flow := wire.FlowKeyFromProto(q.GetFlow())
	reply := &pb.FlowReply{Flow: q.GetFlow(), Nonce: q.GetNonce()}
	if r, ok := s.findFlow(q.GetService(), flow); ok {
		reply.Known = true
		reply.Record = r.toProto(flow, s.now().tick)
		reply.Record.Service = q.GetService()
	}
	s.transmit(from, &pb.PeerDatagram{Body: &pb.PeerDatagram_FlowReply{FlowReply: reply}})
}

// findFlow returns the record of a flow from the partitions that this daemon holds, the replicas or
// the released partitions, in this order.
func (s *Steerer) findFlow(number uint32, flow wire.FlowKey) (record, bool) {
	if p := s.partition(number, flow.Hash()); p != nil {
		p.mu.Lock()
		var r record
		// A flow that waits is not placed yet: none of its packets has been forwarded.
		known := !p.released && p.waits[flow] == nil
		if known {
			r, known = p.flows[flow]
		}
		p.mu.Unlock()
		if known && !r.has(flagClosed) {
			return r, true
		}
	}
	if r, ok := s.replicas.find(number, flow, s.now().tick); ok {
		return r, true
	}
	return s.releasedPartitions.find(ownership.FlowPartition(number, flow.Hash()), flow)
}

// handleReply handles the reply of a daemon to a query. A record in the reply is inserted, and the
// held packets are replayed. The query fails when all queried daemons replied without a record.
func (s *Steerer) handleReply(from membership.DaemonID, m *pb.FlowReply) {
	flow := wire.FlowKeyFromProto(m.GetFlow())
	declared, ok := s.Config.Current().ServiceForFlow(flow)
	if !ok {
		return
	}
	p := s.partition(declared.GetNumber(), flow.Hash())
	if p == nil {
		return
	}
	p.mu.Lock()
	w := p.waits[flow]
	if w == nil || w.kind != waitQuery || w.nonce != m.GetNonce() || !slices.Contains(w.pendingPeers, from) {
		p.mu.Unlock()
		return
	}
	if !m.GetKnown() || m.GetRecord().GetUpstream() == 0 {
		w.pendingPeers = slices.DeleteFunc(w.pendingPeers, func(id membership.DaemonID) bool { return id == from })
		none := len(w.pendingPeers) == 0
		p.mu.Unlock()
		if none {
			s.failQuery(w, pb.Reason_REASON_UNKNOWN_FLOW)
		}
		return
	}
	packets := w.finish()
	now := s.now()
	s.insert(p, p.view, flow, recordFromProto(m.GetRecord(), now.tick), now)
	p.mu.Unlock()
	s.Counters.Count("flow_query.moved")
	s.replay(packets)
}
