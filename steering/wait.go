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
	// ackTimeout is how long a diverted OPEN waits for the acknowledgement of the successor.
	ackTimeout = 50 * time.Millisecond
	// queryTimeout is how long the packets of an unknown flow wait for replies in total.
	queryTimeout = 200 * time.Millisecond
	// queryRetryDelay is the time after which a query is sent once more to the daemons that have
	// not responded.
	queryRetryDelay = 100 * time.Millisecond
	// maxHeldPackets limits the packets held for one flow, and maxWaits the flows that wait. Together
	// they limit the held packets to 90 MB if all packets are full, and typically to less than 2 MB.
	maxHeldPackets = 16
	maxWaits       = 4096
	// maxQueryTargets limits the daemons to which one query is sent.
	maxQueryTargets = 4
)

// waitKind is the response for which a flow waits: the acknowledgement of its exception or the
// replies to a query.
type waitKind uint8

const (
	waitAck waitKind = iota + 1
	waitQuery
)

// wait is a flow whose packets are held until a peer has responded. Its fields are guarded by the
// lock of its partition.
type wait struct {
	partition *partition
	flow      wire.FlowKey
	kind      waitKind
	deadline  time.Time
	packets   [][]byte
	// done is set under the lock and may be read without the lock.
	done atomic.Bool
	// A query has a nonce, the time of its next transmission (zero when there is none) and the
	// daemons that have not responded.
	nonce        uint64
	retryAt      time.Time
	pendingPeers []membership.DaemonID
}

// hold stores a copy of a packet, or drops the packet when maxHeldPackets are held.
func (w *wait) hold(raw []byte) decision {
	if len(w.packets) >= maxHeldPackets {
		return dropDecision("held_full")
	}
	w.packets = append(w.packets, slices.Clone(raw))
	return decision{action: actionHold}
}

// waitList lists the waits of all partitions, so that Run can check their deadlines.
type waitList struct {
	mu    sync.Mutex
	waits []*wait
	nonce uint64
}

// startWait registers a wait, or returns nil when maxWaits flows wait. The caller holds p.mu.
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

// finish ends a wait and returns the packets that were held. The caller holds the lock of the
// partition.
func (w *wait) finish() [][]byte {
	w.done.Store(true)
	delete(w.partition.waits, w.flow)
	packets := w.packets
	w.packets = nil
	return packets
}

// expireWaits handles the deadlines and retransmissions that are due and reports whether any wait
// remains.
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

// expireWait handles the deadline or the retransmission of one wait, if it is due.
func (s *Steerer) expireWait(w *wait, now time.Time) {
	p := w.partition
	p.mu.Lock()
	if !w.done.Load() && w.kind == waitQuery && !w.retryAt.IsZero() && !now.Before(w.retryAt) {
		w.retryAt = time.Time{}
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

// replay steers packets that were held, after the wait of their flow has ended.
func (s *Steerer) replay(packets [][]byte) {
	for _, raw := range packets {
		if h, err := wire.ParseHeader(raw); err == nil {
			s.HandleCaller(h, raw)
		}
	}
}

// settleUnreplicated decides the upstream of a diverted flow whose exception no successor has
// acknowledged. The flow is placed on the bucket's upstream if that can serve it. Otherwise it stays
// diverted and is replicated later. The caller holds p.mu, and no packet of the flow has been
// forwarded.
func (s *Steerer) settleUnreplicated(p *partition, v *serviceView, flow wire.FlowKey, now instant) uint32 {
	r := p.flows[flow]
	number, ok := v.table.upstream(bucketFor(flow.Hash()))
	if !ok || !v.upstreams[number].canServe() {
		s.Counters.Count("exception.unreplicated")
		s.queueBulk(p, flow)
		return r.upstream
	}
	s.removeFlow(p, v, flow)
	s.insert(p, v, flow, record{upstream: number, lastPacket: r.lastPacket}, now)
	return number
}
