package steering

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// batchDelay is how long a diverted OPEN waits for others to share its datagram. It is half of
	// the 20 ms that are allowed, which leaves time for two retransmissions within ackTimeout.
	batchDelay = 10 * time.Millisecond
	// The burst divided by urgentReserveDivisor is the part of the budget that diverted flows leave
	// to bulk batches, which carry several times as many exceptions with the same traffic.
	urgentReserveDivisor = 2
	// The burst divided by unstableReserveDivisor is the part of the budget that new flows in
	// unstable buckets leave. When less is available, they share bulk batches instead of being sent
	// in urgent ones.
	unstableReserveDivisor = 4
	// bulkReserve is the number of bytes that bulk batches leave to retransmissions and urgent
	// batches.
	bulkReserve = 1024
	// envelopeBytes is the size of a datagram with its headers and without records, and urgentBytes
	// the size of a datagram with a single exception.
	envelopeBytes = 90
	urgentBytes   = envelopeBytes + groupBytes + recordBytes
	// bulkMinBytes is the size from which a bulk batch is sent without delay: ten flows share its
	// datagram. The flows of a batch that waits for more of them are lost if this daemon is killed.
	bulkMinBytes = envelopeBytes + groupBytes + 10*recordBytes
	// bulkDelay is how long a smaller bulk batch waits for more flows while at least half of the
	// burst is available. The delay grows up to maxBulkDelay as the budget is used up, so that more
	// flows share a datagram.
	bulkDelay    = time.Second
	maxBulkDelay = 8 * time.Second
	// endedDelay is how long a batch that has only ends of flows waits for exceptions to share its
	// datagram, while less than three quarters of the budget's burst are available. The delay may be
	// long, since a replica that is retained after its flow ended matters only if its owner fails.
	endedDelay = 30 * time.Second
	// maxPiggybackedEnds limits the ends of flows that an urgent batch carries in addition.
	maxPiggybackedEnds = 20
	// maxQueuedEnds limits the queued ends of flows for one successor. The replicas of flows whose
	// end was not queued expire at the successor.
	maxQueuedEnds = 4096
	// batchBytes is the size of a full batch. The others are upper estimates of the sizes within it:
	// recordBytes of a record, keyBytes of an ended flow, and groupBytes of the header of the flows
	// of one service.
	batchBytes  = 1200
	recordBytes = 14
	keyBytes    = 6
	groupBytes  = 24
	// minRetryDelay is the time until the first retransmission. It is doubled for each further one,
	// up to maxRetryDelay.
	minRetryDelay = 15 * time.Millisecond
	maxRetryDelay = time.Second
	// urgentTries is the number of transmissions of an urgent batch that do not wait for the budget,
	// so that two retransmissions are sent within ackTimeout.
	urgentTries = 3
	// maxBulkInFlight limits the unacknowledged bulk batches to one successor.
	maxBulkInFlight = 4
)

// queuedFlow identifies a flow of a partition that is queued for transmission. Its record is looked
// up when the batch is built, so that a batch never carries an outdated upstream.
type queuedFlow struct {
	partition *partition
	flow      wire.FlowKey
	// lastPacket is the tick of the flow's last packet when it was queued for a bulk batch.
	lastPacket uint32
}

// sentFlow is an exception of a batch. upstream is the upstream in the last transmission, 0 before
// the first.
type sentFlow struct {
	queuedFlow
	upstream uint32
}

// batch is the content of a datagram of exceptions and ends of flows that is about to be sent or has
// been sent and not acknowledged.
type batch struct {
	to         membership.DaemonID
	exceptions []sentFlow
	ended      []queuedFlow
	// ids are the batch numbers of all transmissions.
	ids     []uint64
	retryAt time.Time
	tries   int
	urgent  bool
	// charged is the number of bytes that were taken from the budget for the next transmission.
	charged int
}

// bytes estimates the size of the datagram of a batch.
func (b *batch) bytes() int {
	services := map[*service]bool{}
	for _, f := range b.exceptions {
		services[f.partition.service] = true
	}
	return envelopeBytes + len(services)*groupBytes + len(b.exceptions)*recordBytes + endedBytes(b.ended)
}

// outbox queues the exceptions and ends of flows for one successor.
type outbox struct {
	urgent []queuedFlow
	// urgentSince is the time at which the first flow of urgent was queued.
	urgentSince time.Time
	bulk        newestFirst
	ended       []queuedFlow
	// lastBulk is the time of the last bulk batch.
	lastBulk time.Time
	// inFlight counts the unacknowledged bulk batches.
	inFlight int
}

// replicator holds the outboxes and the batches in flight. Only Run takes batches out for sending.
type replicator struct {
	mu       sync.Mutex
	outboxes map[membership.DaemonID]*outbox
	// inFlight maps the numbers of all transmissions of the unacknowledged batches to the batches.
	inFlight map[uint64]*batch
	// lastBatch is the number of the last transmission of a batch.
	lastBatch uint64
	budget    *peer.Budget
}

func newReplicator(now time.Time, budget *peer.Budget) *replicator {
	return &replicator{
		outboxes: map[membership.DaemonID]*outbox{},
		inFlight: map[uint64]*batch{},
		// The numbering starts at the time, so that batch numbers increase across restarts.
		lastBatch: uint64(now.UnixMicro()),
		budget:    budget,
	}
}

// outbox returns the outbox of a daemon and creates it if there is none. The caller holds r.mu.
func (r *replicator) outbox(to membership.DaemonID) *outbox {
	if r.outboxes[to] == nil {
		r.outboxes[to] = &outbox{}
	}
	return r.outboxes[to]
}

// takeUrgentBudget takes the bytes for an urgent replication of one more diverted flow from the
// budget. It reports false, and takes nothing, when the budget does not allow it.
func (r *replicator) takeUrgentBudget(now time.Time) bool {
	return r.budget.TryTake(now, urgentBytes, r.budget.Burst()/urgentReserveDivisor)
}

// hasUrgentBudget reports whether takeUrgentBudget would succeed. It takes nothing.
func (r *replicator) hasUrgentBudget(now time.Time) bool {
	return r.budget.Available(now) >= urgentBytes+r.budget.Burst()/urgentReserveDivisor
}

// takeUnstableBudget is takeUrgentBudget for a new flow in an unstable bucket, with a smaller
// reserve.
func (r *replicator) takeUnstableBudget(now time.Time) bool {
	return r.budget.TryTake(now, urgentBytes, r.budget.Burst()/unstableReserveDivisor)
}

// takeBulkBudget takes the bytes of a bulk batch of the given size from the budget. It reports false,
// and takes nothing, when the budget does not allow it.
func (r *replicator) takeBulkBudget(now time.Time, bytes int) bool {
	return r.budget.TryTake(now, bytes, bulkReserve)
}

func (r *replicator) addUrgent(to membership.DaemonID, f queuedFlow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.outbox(to)
	if len(o.urgent) == 0 {
		o.urgentSince = time.Now()
	}
	o.urgent = append(o.urgent, f)
}

func (r *replicator) addBulk(to membership.DaemonID, f queuedFlow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	heap.Push(&r.outbox(to).bulk, f)
}

func (r *replicator) addEnded(to membership.DaemonID, f queuedFlow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.outbox(to); len(o.ended) < maxQueuedEnds {
		o.ended = append(o.ended, f)
	}
}

// draft is the content of a batch before the records of its flows are looked up.
type draft struct {
	to         membership.DaemonID
	exceptions []queuedFlow
	ended      []queuedFlow
	urgent     bool
	// charged is the estimated number of bytes that were taken from the budget. It is 0 for an
	// urgent draft: the bytes of its flows are taken one by one when the flows are queued.
	charged int
}

// takeDueDrafts removes from the outboxes the content of the batches that may be sent now. The
// outbox whose last bulk batch was sent longest ago comes first, so that all successors share a
// short budget.
func (r *replicator) takeDueDrafts(now time.Time) []draft {
	r.mu.Lock()
	defer r.mu.Unlock()
	var drafts []draft
	order := make([]membership.DaemonID, 0, len(r.outboxes))
	for to, o := range r.outboxes {
		order = append(order, to)
		capacity := (batchBytes - envelopeBytes) / (recordBytes + groupBytes)
		for len(o.urgent) >= capacity || len(o.urgent) > 0 && now.Sub(o.urgentSince) >= batchDelay {
			n := min(len(o.urgent), capacity)
			d := draft{to: to, exceptions: o.urgent[:n:n], urgent: true}
			o.urgent = o.urgent[n:]
			if n == 1 {
				r.piggybackEnds(o, &d)
			}
			drafts = append(drafts, d)
		}
	}
	slices.SortFunc(order, func(a, b membership.DaemonID) int {
		return cmp.Or(r.outboxes[a].lastBulk.Compare(r.outboxes[b].lastBulk), cmp.Compare(a, b))
	})
	for _, to := range order {
		o := r.outboxes[to]
		for {
			bytes, isDue := r.reserveBulk(o, now)
			if !isDue {
				break
			}
			o.lastBulk = now
			o.inFlight++
			drafts = append(drafts, o.takeBulk(to, bytes))
		}
		if len(o.urgent) == 0 && len(o.bulk) == 0 && len(o.ended) == 0 && o.inFlight == 0 {
			delete(r.outboxes, to)
		}
	}
	return drafts
}

// piggybackEnds adds queued ends of flows to an urgent batch.
func (r *replicator) piggybackEnds(o *outbox, d *draft) {
	n := min(len(o.ended), maxPiggybackedEnds)
	d.ended, o.ended = o.ended[:n:n], o.ended[n:]
	r.budget.Spend(endedBytes(d.ended))
}

// reserveBulk reports whether an outbox has a bulk batch that is large enough or has waited long
// enough, and takes its estimated size from the budget. It reports false when the budget does not
// allow the batch.
func (r *replicator) reserveBulk(o *outbox, now time.Time) (bytes int, isDue bool) {
	if len(o.bulk) == 0 && len(o.ended) == 0 || o.inFlight >= maxBulkInFlight {
		return 0, false
	}
	bytes = min(batchBytes, envelopeBytes+groupBytes+len(o.bulk)*recordBytes+len(o.ended)*keyBytes)
	if bytes < bulkMinBytes && now.Sub(o.lastBulk) < r.bulkWait(len(o.bulk) == 0, now) {
		return 0, false
	}
	return bytes, r.takeBulkBudget(now, bytes)
}

// bulkWait returns how long a bulk batch waits for more flows to share its datagram. onlyEnds is
// set when the batch has no exceptions.
func (r *replicator) bulkWait(onlyEnds bool, now time.Time) time.Duration {
	left, burst := max(r.budget.Available(now), 0), r.budget.Burst()
	if onlyEnds && left < burst*3/4 {
		return endedDelay
	}
	half := burst / urgentReserveDivisor
	if left >= half {
		return bulkDelay
	}
	return maxBulkDelay - (maxBulkDelay-bulkDelay)*time.Duration(left)/time.Duration(half)
}

// takeBulk removes the next bulk batch from an outbox: the exceptions with the latest packets, and
// ends of flows in the remaining room.
func (o *outbox) takeBulk(to membership.DaemonID, charged int) draft {
	d := draft{to: to, charged: charged}
	bytes := envelopeBytes
	services := map[*service]bool{}
	fits := func(f queuedFlow, size int) bool {
		if !services[f.partition.service] {
			size += groupBytes
		}
		if bytes+size > batchBytes {
			return false
		}
		services[f.partition.service] = true
		bytes += size
		return true
	}
	for len(o.bulk) > 0 && fits(o.bulk[0], recordBytes) {
		d.exceptions = append(d.exceptions, heap.Pop(&o.bulk).(queuedFlow))
	}
	n := 0
	for n < len(o.ended) && fits(o.ended[n], keyBytes) {
		n++
	}
	d.ended, o.ended = o.ended[:n:n], o.ended[n:]
	return d
}

// endedBytes estimates the size of the ends of flows in a batch.
func endedBytes(ended []queuedFlow) int {
	services := map[*service]bool{}
	for _, f := range ended {
		services[f.partition.service] = true
	}
	return len(ended)*keyBytes + len(services)*groupBytes
}

// newestFirst is a heap of exceptions. The flow with the latest packet comes first.
type newestFirst []queuedFlow

func (h newestFirst) Len() int           { return len(h) }
func (h newestFirst) Less(i, j int) bool { return h[i].lastPacket > h[j].lastPacket }
func (h newestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *newestFirst) Push(x any) { *h = append(*h, x.(queuedFlow)) }

// Pop implements heap.Interface.
func (h *newestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// chargeDueRetries returns the batches whose retransmission is due and charges them to the budget.
// Bulk batches, and urgent ones after urgentTries transmissions, wait until the budget allows them.
func (r *replicator) chargeDueRetries(now time.Time) []*batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*batch
	for id, b := range r.inFlight {
		if id != b.ids[len(b.ids)-1] || now.Before(b.retryAt) {
			continue
		}
		bytes := b.bytes()
		if b.urgent && b.tries < urgentTries {
			r.budget.Spend(bytes)
			b.charged = bytes
			found = append(found, b)
		} else if r.takeBulkBudget(now, bytes) {
			b.charged = bytes
			found = append(found, b)
		}
	}
	return found
}

// register assigns a number to a transmission of a batch and schedules the next one. An
// acknowledgement of an earlier transmission also acknowledges the batch.
func (r *replicator) register(b *batch, now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastBatch++
	b.ids = append(b.ids, r.lastBatch)
	b.retryAt = now.Add(min(minRetryDelay<<min(b.tries, 10), maxRetryDelay))
	b.tries++
	for _, id := range b.ids {
		r.inFlight[id] = b
	}
	return r.lastBatch
}

// finish removes a batch from the batches in flight.
func (r *replicator) finish(b *batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeBatch(b)
}

// removeBatch removes a batch from the batches in flight. The caller holds r.mu.
func (r *replicator) removeBatch(b *batch) {
	for _, id := range b.ids {
		delete(r.inFlight, id)
	}
	if !b.urgent {
		if o := r.outboxes[b.to]; o != nil && o.inFlight > 0 {
			o.inFlight--
		}
	}
}

// handleAck removes the acknowledged batch from the batches in flight and returns it. It returns
// nil when no such batch to that daemon is in flight.
func (r *replicator) handleAck(from membership.DaemonID, id uint64) *batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.inFlight[id]
	if b == nil || b.to != from {
		return nil
	}
	r.removeBatch(b)
	return b
}

// Intervals at which Run polls the replicator.
const (
	urgentInterval = 5 * time.Millisecond
	bulkInterval   = 50 * time.Millisecond
)

// pollInterval returns the time until the next poll, 0 when nothing is queued or in flight.
func (r *replicator) pollInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := time.Duration(0)
	for _, o := range r.outboxes {
		if len(o.urgent) > 0 {
			return urgentInterval
		}
		interval = bulkInterval
	}
	for _, b := range r.inFlight {
		if b.urgent {
			return urgentInterval
		}
		interval = bulkInterval
	}
	return interval
}
