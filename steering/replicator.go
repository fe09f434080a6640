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
	// batchDelay is how long a diverted OPEN waits for others to share its datagram. Half of
	// the 20 ms allowed leaves time for two retransmissions within ackTimeout.
	batchDelay = 10 * time.Millisecond
	// urgentReserveDivisor gives the part of the burst that diverted flows leave to bulk batches,
	// which carry several times as many exceptions for the same traffic.
	urgentReserveDivisor = 2
	// soonReserveDivisor gives the part of the burst below which new flows in buckets that
	// changed lately share datagrams with others instead of having one each.
	soonReserveDivisor = 4
	// bulkReserve is what bulk batches leave to retransmissions and to what cannot wait.
	bulkReserve = 1024
	// envelopeBytes is the size of a datagram with its headers and without records, and urgentBytes that of one with
	// a single exception.
	envelopeBytes = 90
	urgentBytes   = envelopeBytes + groupBytes + recordBytes
	// bulkMinBytes is the size from which a bulk batch does not wait: ten flows share its
	// datagram. With half a full batch, 36 flows broke at a kill 2 s after an upstream was added
	// instead of 24, which were in such remainders.
	bulkMinBytes = envelopeBytes + groupBytes + 10*recordBytes
	// bulkDelay is how long a smaller bulk batch waits to fill while the budget is full; it grows up to
	// maxBulkDelay as the budget empties, so that flows share datagrams when bytes are short.
	bulkDelay    = time.Second
	maxBulkDelay = 8 * time.Second
	// endedDelay is how long the ends of flows wait for a batch to go along with when the budget
	// is not full. A replica that is known for longer does no harm until its owner dies.
	endedDelay = 30 * time.Second
	// maxRiders bounds the ends that go along with an urgent batch.
	maxRiders = 20
	// maxEndedQueue bounds the ended flows that wait. Those left out expire at the successor.
	maxEndedQueue = 4096
	// batchBytes is the size of a full batch; the others are upper estimates of the size of a
	// record, an ended flow and the frame of the flows of one service in it.
	batchBytes  = 1200
	recordBytes = 14
	keyBytes    = 6
	groupBytes  = 24
	// firstRetry is doubled at each retransmission up to lastRetry.
	firstRetry = 15 * time.Millisecond
	lastRetry  = time.Second
	// urgentTries is the number of transmissions of a batch with a diverted OPEN that do not wait
	// for the budget: two retransmissions come within ackTimeout.
	urgentTries = 3
	// maxBulkInFlight bounds the unacknowledged bulk batches to one successor.
	maxBulkInFlight = 4
)

// item names a flow of a partition. Its record is looked up when the batch is built, so that
// a batch never carries an outdated upstream.
type item struct {
	partition *partition
	flow      wire.FlowKey
	// last is the tick of the flow's last packet when it was queued at the bulk rate.
	last uint32
}

type sentItem struct {
	item
	upstream uint32
}

// batch is a sent batch that is not acknowledged.
type batch struct {
	to     membership.DaemonID
	items  []sentItem
	ended  []item
	ids    []uint64
	next   time.Time
	tries  int
	urgent bool
	// charged is what was taken from the budget for the next transmission.
	charged int
}

// bytes estimates the size of the datagram.
func (b *batch) bytes() int {
	services := map[*service]bool{}
	for _, i := range b.items {
		services[i.partition.service] = true
	}
	return envelopeBytes + len(services)*groupBytes + len(b.items)*recordBytes + endedBytes(b.ended)
}

// outbox holds what one successor has to be told.
type outbox struct {
	urgent      []item
	urgentSince time.Time
	bulk        newestFirst
	ended       []item
	lastBulk    time.Time
	inFlight    int
}

// replicator holds the outboxes and the batches in flight. Only Run sends.
type replicator struct {
	mu       sync.Mutex
	outboxes map[membership.DaemonID]*outbox
	inFlight map[uint64]*batch
	last     uint64
	budget   *peer.Budget
}

func newReplicator(now time.Time, budget *peer.Budget) *replicator {
	return &replicator{
		outboxes: map[membership.DaemonID]*outbox{},
		inFlight: map[uint64]*batch{},
		// Batch numbers rise across restarts.
		last:   uint64(now.UnixMicro()),
		budget: budget,
	}
}

// outbox returns the outbox of a daemon. The caller holds r.mu.
func (r *replicator) outbox(to membership.DaemonID) *outbox {
	if r.outboxes[to] == nil {
		r.outboxes[to] = &outbox{}
	}
	return r.outboxes[to]
}

// allowUrgent reports whether the budget allows one more diverted flow to be replicated at once.
func (r *replicator) allowUrgent(now time.Time) bool {
	return r.budget.TryTake(now, urgentBytes, r.budget.Burst()/urgentReserveDivisor)
}

// couldUrgent reports the same without taking anything.
func (r *replicator) couldUrgent(now time.Time) bool {
	return r.budget.Available(now) >= urgentBytes+r.budget.Burst()/urgentReserveDivisor
}

// allowSoon reports the same for a new flow in a bucket that changed lately.
func (r *replicator) allowSoon(now time.Time) bool {
	return r.budget.TryTake(now, urgentBytes, r.budget.Burst()/soonReserveDivisor)
}

// allowBulk reports whether a bulk batch of the given size may be sent.
func (r *replicator) allowBulk(now time.Time, bytes int) bool {
	return r.budget.TryTake(now, bytes, bulkReserve)
}

func (r *replicator) addUrgent(to membership.DaemonID, i item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.outbox(to)
	if len(o.urgent) == 0 {
		o.urgentSince = time.Now()
	}
	o.urgent = append(o.urgent, i)
}

func (r *replicator) addBulk(to membership.DaemonID, i item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	heap.Push(&r.outbox(to).bulk, i)
}

func (r *replicator) addEnded(to membership.DaemonID, i item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.outbox(to); len(o.ended) < maxEndedQueue {
		o.ended = append(o.ended, i)
	}
}

// draft is the content of a batch before the records are looked up.
type draft struct {
	to     membership.DaemonID
	items  []item
	ended  []item
	urgent bool
	// charged is what was taken from the budget, 0 for an urgent draft, whose size is known.
	charged int
}

// due takes what may be sent now out of the outboxes. The outbox that has waited longest comes
// first, so that a short budget is shared by all successors.
func (r *replicator) due(now time.Time) []draft {
	r.mu.Lock()
	defer r.mu.Unlock()
	var drafts []draft
	order := make([]membership.DaemonID, 0, len(r.outboxes))
	for to, o := range r.outboxes {
		order = append(order, to)
		full := (batchBytes - envelopeBytes) / (recordBytes + groupBytes)
		for len(o.urgent) >= full || len(o.urgent) > 0 && now.Sub(o.urgentSince) >= batchDelay {
			n := min(len(o.urgent), full)
			d := draft{to: to, items: o.urgent[:n:n], urgent: true}
			o.urgent = o.urgent[n:]
			if n == 1 {
				r.addRiders(o, &d)
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
			bytes, isDue := r.bulkIsDue(o, now)
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

// addRiders has ends of flows go along with an urgent batch.
func (r *replicator) addRiders(o *outbox, d *draft) {
	n := min(len(o.ended), maxRiders)
	d.ended, o.ended = o.ended[:n:n], o.ended[n:]
	r.budget.Spend(endedBytes(d.ended))
}

// bulkIsDue reports whether an outbox has a bulk batch that is full or has waited long enough,
// and takes its estimated size from the budget.
func (r *replicator) bulkIsDue(o *outbox, now time.Time) (bytes int, isDue bool) {
	if len(o.bulk) == 0 && len(o.ended) == 0 || o.inFlight >= maxBulkInFlight {
		return 0, false
	}
	bytes = min(batchBytes, envelopeBytes+groupBytes+len(o.bulk)*recordBytes+len(o.ended)*keyBytes)
	if bytes < bulkMinBytes && now.Sub(o.lastBulk) < r.bulkWait(len(o.bulk) == 0, now) {
		return 0, false
	}
	return bytes, r.allowBulk(now, bytes)
}

// bulkWait returns how long a bulk batch waits for more flows to share its datagram.
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

// takeBulk takes the next bulk batch out of an outbox, the newest exceptions first. Ends go
// where there is room.
func (o *outbox) takeBulk(to membership.DaemonID, charged int) draft {
	d := draft{to: to, charged: charged}
	bytes := envelopeBytes
	services := map[*service]bool{}
	fits := func(i item, size int) bool {
		if !services[i.partition.service] {
			size += groupBytes
		}
		if bytes+size > batchBytes {
			return false
		}
		services[i.partition.service] = true
		bytes += size
		return true
	}
	for len(o.bulk) > 0 && fits(o.bulk[0], recordBytes) {
		d.items = append(d.items, heap.Pop(&o.bulk).(item))
	}
	n := 0
	for n < len(o.ended) && fits(o.ended[n], keyBytes) {
		n++
	}
	d.ended, o.ended = o.ended[:n:n], o.ended[n:]
	return d
}

// endedBytes estimates the size of ends in a batch.
func endedBytes(ended []item) int {
	services := map[*service]bool{}
	for _, i := range ended {
		services[i.partition.service] = true
	}
	return len(ended)*keyBytes + len(services)*groupBytes
}

// newestFirst is a heap of exceptions by their last packet.
type newestFirst []item

func (h newestFirst) Len() int           { return len(h) }
func (h newestFirst) Less(i, j int) bool { return h[i].last > h[j].last }
func (h newestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *newestFirst) Push(x any) { *h = append(*h, x.(item)) }

// Pop implements heap.Interface.
func (h *newestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// dueRetries takes the batches whose retransmission is due. A bulk batch also needs its share
// of the bulk rate.
func (r *replicator) dueRetries(now time.Time) []*batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*batch
	for id, b := range r.inFlight {
		if id != b.ids[len(b.ids)-1] || now.Before(b.next) {
			continue
		}
		bytes := b.bytes()
		if b.urgent && b.tries < urgentTries {
			r.budget.Spend(bytes)
			b.charged = bytes
			found = append(found, b)
		} else if r.allowBulk(now, bytes) {
			b.charged = bytes
			found = append(found, b)
		}
	}
	return found
}

// register numbers a transmission of a batch. Acknowledgements of earlier ones still count.
func (r *replicator) register(b *batch, now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	b.ids = append(b.ids, r.last)
	b.next = now.Add(min(firstRetry<<min(b.tries, 10), lastRetry))
	b.tries++
	for _, id := range b.ids {
		r.inFlight[id] = b
	}
	return r.last
}

// finish takes a batch out of flight.
func (r *replicator) finish(b *batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(b)
}

func (r *replicator) forget(b *batch) {
	for _, id := range b.ids {
		delete(r.inFlight, id)
	}
	if !b.urgent {
		if o := r.outboxes[b.to]; o != nil && o.inFlight > 0 {
			o.inFlight--
		}
	}
}

// acknowledged takes an acknowledgement and returns its batch, nil if it is not in flight.
func (r *replicator) acknowledged(from membership.DaemonID, id uint64) *batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.inFlight[id]
	if b == nil || b.to != from {
		return nil
	}
	r.forget(b)
	return b
}

// Intervals at which Run looks at the replicator.
const (
	urgentInterval = 5 * time.Millisecond
	bulkInterval   = 50 * time.Millisecond
)

// next returns when to look again, 0 when nothing is queued or in flight.
func (r *replicator) next() time.Duration {
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
