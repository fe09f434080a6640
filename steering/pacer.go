package steering

import (
	"sync"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// resetsPerTick and tokensPerTick limit the packets that are sent proactively to callers in
	// each paceInterval, to 1,000 resets and 2,000 tokens per second.
	resetsPerTick = 250
	tokensPerTick = 500
	// maxQueuedResets limits the queue of resets. Run visits all partitions within 2 s and then
	// queues the flows that did not fit.
	maxQueuedResets = 4096
)

// pacer queues the flows whose callers are to receive a reset or a token, in the order in which the
// packets are sent.
type pacer struct {
	mu     sync.Mutex
	resets []queuedFlow
	tokens []queuedFlow
}

func (q *pacer) addReset(p *partition, flow wire.FlowKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.resets) < maxQueuedResets {
		q.resets = append(q.resets, queuedFlow{partition: p, flow: flow})
	}
}

func (q *pacer) addToken(p *partition, flow wire.FlowKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokens = append(q.tokens, queuedFlow{partition: p, flow: flow})
}

// take removes and returns the flows of both queues whose packets are sent in one tick.
func (q *pacer) take() (resets, tokens []queuedFlow) {
	q.mu.Lock()
	defer q.mu.Unlock()
	resets, q.resets = splitQueue(q.resets, resetsPerTick)
	tokens, q.tokens = splitQueue(q.tokens, tokensPerTick)
	return resets, tokens
}

// splitQueue splits a queue into its first n entries and the rest.
func splitQueue(queue []queuedFlow, n int) (first, rest []queuedFlow) {
	n = min(n, len(queue))
	if n == len(queue) {
		return queue, nil
	}
	return queue[:n:n], queue[n:]
}

// sendPacedPackets sends the resets and tokens of one tick.
func (s *Steerer) sendPacedPackets() {
	resets, tokens := s.pacedPackets.take()
	for _, f := range resets {
		if reason := s.closeForReset(f.partition, f.flow); reason != pb.Reason_REASON_UNSPECIFIED {
			s.sendReset(f.flow, f.partition.service.number, reason)
		}
	}
	for _, f := range tokens {
		if m := f.partition.tokenPacket(f.flow); m != nil {
			s.Counters.Count("token.sent")
			s.Output.ToCaller(m)
		}
	}
}

// closeForReset closes a flow whose upstream was removed or is past the drain limit and returns the
// reason for the reset. It returns REASON_UNSPECIFIED when the flow can continue or is not open.
func (s *Steerer) closeForReset(p *partition, flow wire.FlowKey) pb.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.flows[flow]
	if !ok || p.released || r.has(flagClosed) {
		return pb.Reason_REASON_UNSPECIFIED
	}
	now := s.now()
	reason := p.view.resetReason(r, now.unixMS)
	if reason != pb.Reason_REASON_UNSPECIFIED {
		s.closeFlow(p, p.view, flow, now)
	}
	return reason
}

// resetReason returns the reason for which a flow must be reset, or REASON_UNSPECIFIED if it can
// continue.
func (v *serviceView) resetReason(r record, nowMS int64) pb.Reason {
	u := v.upstreams[r.upstream]
	switch {
	case u == nil && v.isRemoved(r.upstream):
		return pb.Reason_REASON_UPSTREAM_REMOVED
	case u == nil:
		return pb.Reason_REASON_UNSPECIFIED
	case v.drainExpired(u, nowMS):
		return pb.Reason_REASON_UPSTREAM_DRAINING
	}
	return pb.Reason_REASON_UNSPECIFIED
}

// tokenPacket returns the TOKEN packet for the caller of a flow, with the guard token of the
// flow's upstream. It returns nil when the flow is not open or the token is not known.
func (p *partition) tokenPacket(flow wire.FlowKey) *pb.Packet {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.flows[flow]
	if !ok || p.released || r.has(flagClosed) {
		return nil
	}
	u := p.view.upstreams[r.upstream]
	if u == nil || u.guardToken.Load() == 0 {
		return nil
	}
	return &pb.Packet{
		Flow: flow.Proto(), Kind: pb.Kind_KIND_TOKEN, Service: p.service.number,
		Upstream: r.upstream, GuardToken: u.guardToken.Load(),
	}
}
