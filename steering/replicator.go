package steering

import (
	"container/heap"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// batchDelay is how long a diverted OPEN waits for others to share its datagram. Half of
	// the 20 ms allowed leaves time for two retransmissions within ackTimeout.
	batchDelay = 10 * time.Millisecond
	// bulkBytesPerSecond bounds what is sent at table changes and refreshes. bulkBurst carries
	// the exceptions of one drain at once: 7 % of 6,300 flows of an owner are 19 KB. Those not
	// yet sent are lost with the owner.
	bulkBytesPerSecond = 1024
	bulkBurst          = 24 << 10
	// exceptionBytesPerSecond bounds all exceptions: a daemon's control traffic must stay under
	// 2 KB/s. exceptionBurst lets a daemon that was quiet replicate many diverted flows at once.
	exceptionBytesPerSecond = 1024
	exceptionBurst          = 32 << 10
	// bulkReserve is the part of the burst that single datagrams leave to bulk batches, which
	// carry three times as many exceptions for the same traffic.
	bulkReserve = exceptionBurst / 2
	// soonBytesPerSecond is the share of new flows in buckets that changed lately, which bulk
	// batches leave free: at 50 opens a second 7 % of them need 400 bytes a second after a drain.
	soonBytesPerSecond = 512
	soonReserve        = 1024
	// envelopeBytes is the size of a datagram without records, and urgentBytes that of one with
	// a single exception.
	envelopeBytes = 70
	urgentBytes   = envelopeBytes + recordBytes
	// bulkDelay is how long a bulk batch waits to fill.
	bulkDelay = time.Second
	// maxEndedQueue bounds the ended flows that wait. Those left out expire at the successor.
	maxEndedQueue = 4096
	// batchBytes is the size of a full batch; recordBytes and keyBytes are upper estimates of
	// the size of a record and of an ended flow in it.
	batchBytes  = 1200
	recordBytes = 42
	keyBytes    = 22
	// firstRetry is doubled at each retransmission up to lastRetry.
	firstRetry = 15 * time.Millisecond
	lastRetry  = time.Second
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
	bulk     *rate.Limiter
	soon     *rate.Limiter
	total    *rate.Limiter
}

func newReplicator(now time.Time) *replicator {
	return &replicator{
		outboxes: map[membership.DaemonID]*outbox{},
		inFlight: map[uint64]*batch{},
		// Batch numbers rise across restarts.
		last:  uint64(now.UnixMicro()),
		bulk:  rate.NewLimiter(bulkBytesPerSecond, bulkBurst),
		soon:  rate.NewLimiter(soonBytesPerSecond, soonReserve),
		total: rate.NewLimiter(exceptionBytesPerSecond, exceptionBurst),
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
	return r.total.TokensAt(now) >= bulkReserve+urgentBytes && r.total.AllowN(now, urgentBytes)
}

// allowSoon reports the same for a new flow in a bucket that changed lately.
func (r *replicator) allowSoon(now time.Time) bool {
	return r.total.TokensAt(now) >= urgentBytes && r.soon.AllowN(now, urgentBytes) && r.total.AllowN(now, urgentBytes)
}

// allowBulk reports whether a bulk batch of the given size may be sent.
func (r *replicator) allowBulk(now time.Time, bytes int) bool {
	return r.total.TokensAt(now) >= float64(bytes+soonReserve) && r.bulk.AllowN(now, bytes) && r.total.AllowN(now, bytes)
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
}

// due takes what may be sent now out of the outboxes.
func (r *replicator) due(now time.Time) []draft {
	r.mu.Lock()
	defer r.mu.Unlock()
	var drafts []draft
	for to, o := range r.outboxes {
		full := (batchBytes - envelopeBytes) / recordBytes
		for len(o.urgent) >= full || len(o.urgent) > 0 && now.Sub(o.urgentSince) >= batchDelay {
			n := min(len(o.urgent), full)
			drafts = append(drafts, draft{to: to, items: o.urgent[:n:n], urgent: true})
			o.urgent = o.urgent[n:]
		}
		for (len(o.bulk) > 0 || len(o.ended) > 0) && o.inFlight < maxBulkInFlight {
			items, ended, bytes := o.bulkSize()
			if bytes < batchBytes/2 && now.Sub(o.lastBulk) < bulkDelay || !r.allowBulk(now, bytes) {
				break
			}
			o.lastBulk = now
			o.inFlight++
			drafts = append(drafts, o.takeBulk(to, items, ended))
		}
		if len(o.urgent) == 0 && len(o.bulk) == 0 && len(o.ended) == 0 && o.inFlight == 0 {
			delete(r.outboxes, to)
		}
	}
	return drafts
}

// bulkSize returns how many exceptions and ends the next bulk batch holds, and its estimated
// size. Ends go where there is room.
func (o *outbox) bulkSize() (items, ended, bytes int) {
	const room = batchBytes - envelopeBytes
	items = min(len(o.bulk), room/recordBytes)
	ended = min(len(o.ended), (room-items*recordBytes)/keyBytes)
	return items, ended, envelopeBytes + ended*keyBytes + items*recordBytes
}

// takeBulk takes the next bulk batch out of the outbox, the newest exceptions first.
func (o *outbox) takeBulk(to membership.DaemonID, items, ended int) draft {
	d := draft{to: to, ended: o.ended[:ended:ended]}
	o.ended = o.ended[ended:]
	for range items {
		d.items = append(d.items, heap.Pop(&o.bulk).(item))
	}
	return d
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
		bytes := envelopeBytes + len(b.items)*recordBytes + len(b.ended)*keyBytes
		if b.urgent && b.tries < 3 || r.allowBulk(now, bytes) {
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
