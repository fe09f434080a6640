package steering

import (
	"sync"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// resetsPerTick and tokensPerTick bound the packets to callers that no caller asked for:
	// 1,000 resets and 2,000 tokens a second.
	resetsPerTick = 250
	tokensPerTick = 500
	// maxResets bounds the queue. The walk over the partitions, each 2 s, finds the dead flows
	// that did not fit.
	maxResets = 4096
)

// pacer holds the flows whose callers must be told something, in order.
type pacer struct {
	mu     sync.Mutex
	resets []item
	tokens []item
}

func (q *pacer) addReset(p *partition, flow wire.FlowKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.resets) < maxResets {
		q.resets = append(q.resets, item{partition: p, flow: flow})
	}
}

func (q *pacer) addToken(p *partition, flow wire.FlowKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokens = append(q.tokens, item{partition: p, flow: flow})
}

// take removes and returns the first of both queues.
func (q *pacer) take() (resets, tokens []item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	resets, q.resets = cut(q.resets, resetsPerTick)
	tokens, q.tokens = cut(q.tokens, tokensPerTick)
	return resets, tokens
}

func cut(queue []item, n int) (first, rest []item) {
	n = min(n, len(queue))
	if n == len(queue) {
		return queue, nil
	}
	return queue[:n:n], queue[n:]
}

// pace sends the resets and tokens of one tick.
func (s *Steerer) pace() {
	resets, tokens := s.paced.take()
	for _, i := range resets {
		if reason := s.endDead(i.partition, i.flow); reason != pb.Reason_REASON_UNSPECIFIED {
			s.reset(i.flow, i.partition.service.number, reason)
		}
	}
	for _, i := range tokens {
		if m := i.partition.tokenPacket(i.flow); m != nil {
			s.Counters.Count("token.sent")
			s.Output.ToCaller(m)
		}
	}
}

// endDead ends a flow whose upstream is gone or past its drain limit, and returns the reason;
// REASON_UNSPECIFIED if the flow lives.
func (s *Steerer) endDead(p *partition, flow wire.FlowKey) pb.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.flows[flow]
	if !ok || p.released || r.has(flagClosed) {
		return pb.Reason_REASON_UNSPECIFIED
	}
	now := s.now()
	reason := p.view.deathOf(r, now.unixMS)
	if reason != pb.Reason_REASON_UNSPECIFIED {
		s.close(p, p.view, flow, now)
	}
	return reason
}

// deathOf returns why a flow cannot go on, REASON_UNSPECIFIED if it can.
func (v *serviceView) deathOf(r record, nowMS int64) pb.Reason {
	u := v.upstreams[r.upstream]
	switch {
	case u == nil && v.removed(r.upstream):
		return pb.Reason_REASON_UPSTREAM_REMOVED
	case u == nil:
		return pb.Reason_REASON_UNSPECIFIED
	case v.drainExpired(u, nowMS):
		return pb.Reason_REASON_UPSTREAM_DRAINING
	}
	return pb.Reason_REASON_UNSPECIFIED
}

// tokenPacket returns the packet that tells a caller the token of its flow's upstream, nil if
// the flow or the token is gone.
func (p *partition) tokenPacket(flow wire.FlowKey) *pb.Packet {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.flows[flow]
	if !ok || p.released || r.has(flagClosed) {
		return nil
	}
	u := p.view.upstreams[r.upstream]
	if u == nil || u.token.Load() == 0 {
		return nil
	}
	return &pb.Packet{
		Flow: flow.Proto(), Kind: pb.Kind_KIND_TOKEN, Service: p.service.number,
		Upstream: r.upstream, GuardToken: u.token.Load(),
	}
}
