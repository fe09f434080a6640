package steering

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// ackTimeout is how long a diverted OPEN waits for the successor.
	ackTimeout = 50 * time.Millisecond
	// queryTimeout is how long the packets of an unknown flow wait in all.
	queryTimeout = 200 * time.Millisecond
	// queryRetry is when an unanswered query is sent once more.
	queryRetry = 100 * time.Millisecond
	// maxHeldPackets bounds the packets held for one flow, and maxWaits the flows that wait:
	// together at most 90 MB of full packets, and typically under 2 MB.
	maxHeldPackets = 16
	maxWaits       = 4096
	// maxAsked bounds the daemons that one query goes to.
	maxAsked = 4
)

type waitKind uint8

const (
	waitAck waitKind = iota + 1
	waitQuery
)

// wait is a flow whose packets are held until a peer has answered. Its fields are guarded by
// the lock of its partition.
type wait struct {
	partition *partition
	flow      wire.FlowKey
	kind      waitKind
	deadline  time.Time
	packets   [][]byte
	// done is set under the lock and may be read without it.
	done atomic.Bool
	// Of a query: its next transmission (zero when there is none) and the daemons that have
	// not answered.
	nonce   uint64
	retry   time.Time
	pending []membership.DaemonID
}

// hold keeps a copy of a packet while there is room.
func (w *wait) hold(raw []byte) decision {
	if len(w.packets) >= maxHeldPackets {
		return dropAs("held_full")
	}
	w.packets = append(w.packets, slices.Clone(raw))
	return decision{action: actionHold}
}

// waitList holds the waits of all partitions for their deadlines.
type waitList struct {
	mu    sync.Mutex
	waits []*wait
	nonce uint64
}

// startWait registers a wait, or returns nil when too many flows wait. The caller holds p.mu.
func (s *Steerer) startWait(p *partition, flow wire.FlowKey, kind waitKind, timeout time.Duration) *wait {
	now := time.Now()
	w := &wait{partition: p, flow: flow, kind: kind, deadline: now.Add(timeout)}
	s.waits.mu.Lock()
	defer s.waits.mu.Unlock()
	if len(s.waits.waits) >= maxWaits {
		return nil
	}
	s.waits.nonce++
	w.nonce = s.waits.nonce
	s.waits.waits = append(s.waits.waits, w)
	p.waits[flow] = w
	s.wake()
	return w
}

// finish ends a wait and returns the packets that it held. The caller holds the partition's
// lock.
func (w *wait) finish() [][]byte {
	w.done.Store(true)
	delete(w.partition.waits, w.flow)
	packets := w.packets
	w.packets = nil
	return packets
}

// expireWaits handles the deadlines and retries that are due and reports whether any wait is
// left.
func (s *Steerer) expireWaits(now time.Time) bool {
	s.waits.mu.Lock()
	waits := slices.Clone(s.waits.waits)
	s.waits.mu.Unlock()
	for _, w := range waits {
		s.expireWait(w, now)
	}
	s.waits.mu.Lock()
	defer s.waits.mu.Unlock()
	s.waits.waits = slices.DeleteFunc(s.waits.waits, func(w *wait) bool {
		return w.done.Load()
	})
	return len(s.waits.waits) > 0
}

func (s *Steerer) expireWait(w *wait, now time.Time) {
	p := w.partition
	p.mu.Lock()
	if !w.done.Load() && w.kind == waitQuery && !w.retry.IsZero() && !now.Before(w.retry) {
		w.retry = time.Time{}
		p.mu.Unlock()
		s.sendQuery(w)
		return
	}
	if w.done.Load() || now.Before(w.deadline) {
		p.mu.Unlock()
		return
	}
	if w.kind == waitQuery {
		p.mu.Unlock()
		s.failQuery(w, pb.Reason_REASON_OWNER_LOST)
		return
	}
	packets := w.finish()
	s.Counters.Count("exception.ack_timeout")
	s.settleUnreplicated(p, p.view, w.flow, s.now())
	p.mu.Unlock()
	s.replay(packets)
}

// replay steers packets that were held, now that the record of their flow is settled.
func (s *Steerer) replay(packets [][]byte) {
	for _, raw := range packets {
		if h, err := wire.ParseHeader(raw); err == nil {
			s.HandleCaller(h, raw)
		}
	}
}

// settleUnreplicated decides the upstream of a diverted flow that no successor knows: the
// bucket's upstream if that can serve at all, else the flow goes on unreplicated. The caller
// holds p.mu, and no packet of the flow has been passed on.
func (s *Steerer) settleUnreplicated(p *partition, v *serviceView, flow wire.FlowKey, now instant) uint32 {
	r := p.flows[flow]
	number, ok := v.table.upstream(bucketOf(flow.Hash()))
	if !ok || !v.upstreams[number].reachable() {
		s.Counters.Count("exception.unreplicated")
		s.queueBulk(p, flow)
		return r.upstream
	}
	s.end(p, v, flow)
	s.insert(p, v, flow, record{upstream: number, last: r.last}, now)
	return number
}
