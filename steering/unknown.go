package steering

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// resolve finds the upstream of a mid-stream flow without a record or replica: by a bucket that
// cannot have had another upstream, or else by asking other daemons. The caller holds p.mu.
func (s *Steerer) resolve(p *partition, v *serviceView, h wire.Header, hash uint64, raw []byte, now instant) decision {
	if number, ok := p.derived(v, hash, now); ok {
		s.insert(p, v, h.Flow, record{upstream: number, last: now.tick}, now)
		return s.steerKnown(p, v, h, p.flows[h.Flow], now)
	}
	w := s.startWait(p, h.Flow, waitQuery, queryTimeout)
	if w == nil {
		return dropAs("waits_full")
	}
	w.retry = time.Now().Add(queryRetry)
	w.hold(raw)
	return decision{action: actionQuery, wait: w}
}

// derived returns the upstream that a flow without a record must be on, if the tables tell.
func (p *partition) derived(v *serviceView, hash uint64, now instant) (uint32, bool) {
	bucket := bucketOf(hash)
	if v.table.stable(bucket, now.unixMS, v.idleLimit) {
		return v.table.upstream(bucket)
	}
	// At its activation this owner got the records of all other flows, by a transfer or by the
	// replicas.
	if p.isBaseValid(v, now) && p.base.stable(bucket, p.baseAt.unixMS, v.idleLimit) {
		return p.base.upstream(bucket)
	}
	return 0, false
}

// isBaseValid reports whether flows of the time of the base may have been idle since then. After
// the idle limit they have sent a packet or have ended.
func (p *partition) isBaseValid(v *serviceView, now instant) bool {
	return p.base != nil && now.unixMS-p.baseAt.unixMS < v.idleLimit.Milliseconds()
}

// query asks the daemons that may know the flow of a wait. With none to ask, the flow is
// reset.
func (s *Steerer) query(w *wait) {
	targets := s.askedFor(w.partition.resource)
	w.partition.mu.Lock()
	w.pending = targets
	w.partition.mu.Unlock()
	if len(targets) == 0 {
		s.failQuery(w, pb.Reason_REASON_UNKNOWN_FLOW)
		return
	}
	s.sendQuery(w)
}

// sendQuery asks the daemons that have not answered.
func (s *Steerer) sendQuery(w *wait) {
	w.partition.mu.Lock()
	targets := slices.Clone(w.pending)
	w.partition.mu.Unlock()
	for _, to := range targets {
		s.Counters.Count("flow_query.sent")
		s.transmit(to, &pb.PeerDatagram{Body: &pb.PeerDatagram_FlowQuery{FlowQuery: &pb.FlowQuery{
			Flow: w.flow.Proto(), Service: w.partition.service.number, Nonce: w.nonce,
		}}})
	}
}

// transmit sends a datagram to a peer; a failure counts like a loss on the way.
func (s *Steerer) transmit(to membership.DaemonID, m *pb.PeerDatagram) {
	if err := s.Sender.Send(to, m); err != nil {
		s.Counters.Drop("peer_send")
		s.Logger.Debug().Str("event", "peer_send_failed").Str("peer", string(to)).Err(err).Send()
	}
}

// failQuery ends a query without an answer and resets the flow.
func (s *Steerer) failQuery(w *wait, reason pb.Reason) {
	w.partition.mu.Lock()
	if w.done.Load() {
		w.partition.mu.Unlock()
		return
	}
	packets := w.finish()
	_, known := w.partition.flows[w.flow]
	w.partition.mu.Unlock()
	// Records may have been merged meanwhile, and an OPEN begins a new flow on the port.
	opening := slices.IndexFunc(packets, isOpen)
	if known || opening >= 0 {
		s.replay(packets[max(0, opening):])
		return
	}
	// The owner of the flow may be on the other side of a cut, where its callers' next
	// packets arrive.
	if s.Isolated != nil && s.Isolated() {
		s.Counters.Drop("isolated_unknown_flow")
		return
	}
	s.reset(w.flow, w.partition.service.number, reason)
}

func isOpen(raw []byte) bool {
	h, err := wire.ParseHeader(raw)
	return err == nil && h.Kind == pb.Kind_KIND_OPEN
}

// answerQuery replies to another owner with what this daemon knows of a flow: its own record,
// a copy of a released one, or a replica.
func (s *Steerer) answerQuery(from membership.DaemonID, q *pb.FlowQuery) {
	flow := wire.FlowKeyFromProto(q.GetFlow())
	reply := &pb.FlowReply{Flow: q.GetFlow(), Nonce: q.GetNonce()}
	if r, ok := s.lookup(q.GetService(), flow); ok {
		reply.Known = true
		reply.Record = r.flowRecord(flow, s.now().tick)
		reply.Record.Service = q.GetService()
	}
	s.transmit(from, &pb.PeerDatagram{Body: &pb.PeerDatagram_FlowReply{FlowReply: reply}})
}

// lookup finds a flow in everything that this daemon knows.
func (s *Steerer) lookup(number uint32, flow wire.FlowKey) (record, bool) {
	if p := s.partition(number, flow.Hash()); p != nil {
		p.mu.Lock()
		var r record
		// A flow that waits is not placed yet: no packet of it has been passed on.
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
	return s.copies.find(ownership.FlowPartition(number, flow.Hash()), flow)
}

// queryAnswered takes the answer to a query of this daemon.
func (s *Steerer) queryAnswered(from membership.DaemonID, m *pb.FlowReply) {
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
	if w == nil || w.kind != waitQuery || w.nonce != m.GetNonce() || !slices.Contains(w.pending, from) {
		p.mu.Unlock()
		return
	}
	if !m.GetKnown() || m.GetRecord().GetUpstream() == 0 {
		w.pending = slices.DeleteFunc(w.pending, func(id membership.DaemonID) bool { return id == from })
		none := len(w.pending) == 0
		p.mu.Unlock()
		if none {
			s.failQuery(w, pb.Reason_REASON_UNKNOWN_FLOW)
		}
		return
	}
	packets := w.finish()
	now := s.now()
	s.insert(p, p.view, flow, recordOf(m.GetRecord(), now.tick), now)
	p.mu.Unlock()
	s.Counters.Count("flow_query.moved")
	s.replay(packets)
}
