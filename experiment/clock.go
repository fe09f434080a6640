package experiment

import (
	"container/heap"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// clock runs events in order of their simulated time. Any goroutine of the bubble may add events, but
// only run executes them, so the model needs no locks of its own.
type clock struct {
	mu       sync.Mutex
	start    time.Time
	events   eventHeap
	sequence uint64
	// wakeup interrupts run when an event is added before the one for which it waits.
	wakeup chan struct{}
}

// event is a function that runs at a simulated time.
type event struct {
	at time.Duration
	// tieBreaker orders events of equal time that the daemons' goroutines add in random order.
	tieBreaker uint64
	// sequence orders the remaining ties in the order in which the events were added.
	sequence uint64
	do       func()
}

// eventHeap is a heap of events in the order in which run executes them.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	if h[i].tieBreaker != h[j].tieBreaker {
		return h[i].tieBreaker < h[j].tieBreaker
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newClock() *clock { return &clock{start: time.Now(), wakeup: make(chan struct{}, 1)} }

// now returns the simulated time since the start.
func (c *clock) now() time.Duration { return time.Since(c.start) }

// scheduleAt adds an event at a time since the start.
func (c *clock) scheduleAt(t time.Duration, do func()) { c.addEvent(t, 0, do) }

// scheduleDelivery adds an event that delivers m to a receiver after a delay. The daemons' goroutines may
// call it in any order: events of equal time run in the order of a hash of the receiver and of the
// deterministic serialization of m.
func (c *clock) scheduleDelivery(d time.Duration, m proto.Message, receiver uint32, do func()) {
	raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	c.addEvent(c.now()+d, xxhash.Sum64(binary.BigEndian.AppendUint32(raw, receiver)), do)
}

// addEvent adds an event and wakes run if the event is the next one.
func (c *clock) addEvent(t time.Duration, tieBreaker uint64, do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	heap.Push(&c.events, event{t, tieBreaker, c.sequence, do})
	if c.events[0].sequence != c.sequence {
		return
	}
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// scheduleAfter adds an event after a delay.
func (c *clock) scheduleAfter(d time.Duration, do func()) { c.scheduleAt(c.now()+d, do) }

// run executes events until the given time since the start.
func (c *clock) run(end time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c.mu.Lock()
		next, now := end, c.now()
		if len(c.events) > 0 {
			next = min(next, c.events[0].at)
		}
		if next <= now && now < end {
			e := heap.Pop(&c.events).(event)
			c.mu.Unlock()
			e.do()
			continue
		}
		c.mu.Unlock()
		if now >= end {
			return
		}
		timer.Reset(next - now)
		select {
		case <-timer.C:
		case <-c.wakeup:
		}
	}
}
