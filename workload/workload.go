// Package workload records the work that upstreams still have to do for the callers of one daemon. It performs no
// I/O and reads no clock.
package workload

import (
	"slices"
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

// Request is a request in progress, or the one that is expected on a flow that is being opened.
type Request struct {
	// Upstream is the key of the upstream's incarnation.
	Upstream uint64
	Service  string
	// Priority is that of the route. 0 is the highest.
	Priority int
	// Objective is the response time that callers of the route expect, 0 if none is declared.
	Objective time.Duration
	// Expected is how long the request is expected to take, 0 if that is not known.
	Expected time.Duration
	Began    time.Time
	// IsPending is set while the flow is being opened and its caller has not sent a request yet.
	IsPending bool
}

// class is what requests have in common that are counted together.
type class struct {
	service   string
	priority  int
	objective time.Duration
}

// entry is a request with its place in its class.
type entry struct {
	Request
	flow wire.FlowKey
	// isOverdue is set when the request is older than its objective. It is not counted any more.
	isOverdue bool
	isEnded   bool
}

// classRequests are the requests of a class.
type classRequests struct {
	// byUpstream is the number of requests by upstream that are not overdue.
	byUpstream map[uint64]int
	// counted is the sum of byUpstream.
	counted int
	// inOrder holds the requests in the order in which they were added, among them some that have ended.
	inOrder []*entry
}

// upstreamWork is the work of an upstream.
type upstreamWork struct {
	entries map[*entry]struct{}
	// requests is the number of requests in progress, without pending ones, and unknown that of those whose expected
	// duration is not known. expected is the sum of the expected durations of the others.
	requests, unknown int
	expected          time.Duration
}

// count adds a request to the sums n times, which may be negative.
func (w *upstreamWork) count(e *entry, n int) {
	if e.IsPending {
		return
	}
	w.requests += n
	if w.expected += time.Duration(n) * e.Expected; e.Expected == 0 {
		w.unknown += n
	}
}

// Ledger is the record of the requests in progress. It must be used by one goroutine only.
type Ledger struct {
	byFlow     map[wire.FlowKey]*entry
	byUpstream map[uint64]*upstreamWork
	classes    map[class]*classRequests
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{
		byFlow: map[wire.FlowKey]*entry{}, byUpstream: map[uint64]*upstreamWork{}, classes: map[class]*classRequests{},
	}
}

// Begin records the request of a flow, in place of an earlier one of the same flow.
func (l *Ledger) Begin(flow wire.FlowKey, r Request) {
	l.End(flow)
	e := &entry{Request: r, flow: flow}
	l.byFlow[flow] = e
	work := l.byUpstream[r.Upstream]
	if work == nil {
		work = &upstreamWork{entries: map[*entry]struct{}{}}
		l.byUpstream[r.Upstream] = work
	}
	work.entries[e] = struct{}{}
	work.count(e, 1)
	key := class{r.Service, r.Priority, r.Objective}
	requests := l.classes[key]
	if requests == nil {
		requests = &classRequests{byUpstream: map[uint64]int{}}
		l.classes[key] = requests
	}
	requests.byUpstream[r.Upstream]++
	requests.counted++
	requests.inOrder = append(requests.inOrder, e)
}

// End removes the request of a flow, if there is one.
func (l *Ledger) End(flow wire.FlowKey) {
	e := l.byFlow[flow]
	if e == nil {
		return
	}
	e.isEnded = true
	delete(l.byFlow, flow)
	work := l.byUpstream[e.Upstream]
	work.count(e, -1)
	if delete(work.entries, e); len(work.entries) == 0 {
		delete(l.byUpstream, e.Upstream)
	}
	key := class{e.Service, e.Priority, e.Objective}
	requests := l.classes[key]
	if requests == nil {
		return // The request is overdue, and it was the last one of its class.
	}
	if !e.isOverdue {
		requests.remove(e)
	}
	requests.dropEnded()
	if len(requests.inOrder) == 0 {
		delete(l.classes, key)
	}
}

// remove removes a request from the counts of its class.
func (c *classRequests) remove(e *entry) {
	c.counted--
	if c.byUpstream[e.Upstream]--; c.byUpstream[e.Upstream] == 0 {
		delete(c.byUpstream, e.Upstream)
	}
}

// maxUncounted is the number of entries that have ended or are overdue and may remain behind one that is in progress,
// in addition to as many as are in progress.
const maxUncounted = 64

// dropEnded drops the requests at the front that have ended or are overdue, and the others if they are many.
func (c *classRequests) dropEnded() {
	for len(c.inOrder) > 0 && c.inOrder[0].isUncounted() {
		c.inOrder = c.inOrder[1:]
	}
	if len(c.inOrder) > 2*c.counted+maxUncounted {
		c.inOrder = slices.DeleteFunc(c.inOrder, (*entry).isUncounted)
	}
}

// isUncounted reports whether the request does not count in its class any more.
func (e *entry) isUncounted() bool { return e.isEnded || e.isOverdue }

// expire marks the requests that are older than their objective.
func (c *classRequests) expire(now time.Time) {
	for _, e := range c.inOrder {
		if now.Sub(e.Began) <= e.Objective {
			break
		}
		if !e.isEnded && !e.isOverdue {
			e.isOverdue = true
			c.remove(e)
		}
	}
	c.dropEnded()
}

// Request returns the request of a flow, and false if there is none.
func (l *Ledger) Request(flow wire.FlowKey) (Request, bool) {
	e := l.byFlow[flow]
	if e == nil {
		return Request{}, false
	}
	return e.Request, true
}

// HasRequests reports whether an upstream has a request in progress or a pending one.
func (l *Ledger) HasRequests(upstream uint64) bool { return l.byUpstream[upstream] != nil }

// Requests returns the number of requests in progress on an upstream, without pending ones.
func (l *Ledger) Requests(upstream uint64) int {
	if work := l.byUpstream[upstream]; work != nil {
		return work.requests
	}
	return 0
}

// SetExpected sets the expected duration of the request of a flow, if there is one.
func (l *Ledger) SetExpected(flow wire.FlowKey, d time.Duration) {
	if e := l.byFlow[flow]; e != nil {
		work := l.byUpstream[e.Upstream]
		work.count(e, -1)
		e.Expected = d
		work.count(e, 1)
	}
}

// Expected returns the sum of the expected durations of the requests in progress on an upstream, without pending
// ones. byDefault is the duration of a request for which none is known. Time that has passed is not subtracted, as
// a request that has already taken long is likely to be one of those that take much longer than others.
func (l *Ledger) Expected(upstream uint64, byDefault time.Duration) time.Duration {
	if work := l.byUpstream[upstream]; work != nil {
		return work.expected + time.Duration(work.unknown)*byDefault
	}
	return 0
}

// Remaining returns the expected work that an upstream still has to do. Requests that have taken longer than
// expected, or whose duration is not known, add nothing.
func (l *Ledger) Remaining(upstream uint64, now time.Time) time.Duration {
	work := l.byUpstream[upstream]
	if work == nil {
		return 0
	}
	var sum time.Duration
	for e := range work.entries {
		sum += max(e.Expected-now.Sub(e.Began), 0)
	}
	return sum
}

// InService returns the number of requests on a service, pending ones included, with a priority or a more urgent
// one. It leaves out those that are older than their objective, and those on upstreams for which isCounted returns
// false: they may hang, and would keep others from the upstreams that work.
func (l *Ledger) InService(service string, priority int, now time.Time, isCounted func(upstream uint64) bool) int {
	count := 0
	for key, requests := range l.classes {
		if key.service != service || key.priority > priority {
			continue
		}
		if key.objective > 0 {
			requests.expire(now)
		}
		for upstream, n := range requests.byUpstream {
			if isCounted(upstream) {
				count += n
			}
		}
	}
	return count
}
