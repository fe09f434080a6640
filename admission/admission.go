package admission

import (
	"slices"
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

// Decision is what happens to an opening packet.
type Decision uint8

// Decisions on an opening packet.
const (
	// Place means that the flow is placed on an upstream now.
	Place Decision = iota
	// Wait means that the packet waits until Next releases or refuses it.
	Wait
	// Refuse means that the flow is refused now.
	Refuse
)

const (
	// guaranteedShare is the share of the limit that a route of lower priority may use while requests of more
	// urgent routes take up all of it.
	guaranteedShare = 0.1
	// maxWaitShare is the share of its objective for which a packet may wait. A caller that is refused early can
	// still be answered in time by its next attempt, while one that waited longer is often answered late.
	maxWaitShare = 0.15
	// maxWait bounds how long a packet waits. A caller abandons an opening packet after 1.4 s.
	maxWait = time.Second
	// pollInterval is the time after which waiting packets are examined again although no packet has arrived:
	// requests that are older than their objective cease to count without a packet.
	pollInterval = 5 * time.Millisecond
	// maxWaiting and maxWaitingBytes bound the packets that wait in one daemon.
	maxWaiting      = 1024
	maxWaitingBytes = 512 << 10
	// unlimitedAfter is the time without a packet that waited or was refused after which a service counts as not
	// limited any more.
	unlimitedAfter = time.Second
)

// Opening describes an opening packet.
type Opening struct {
	Flow    wire.FlowKey
	Service string
	// Priority is that of the route. 0 is the highest.
	Priority int
	// Objective is the response time that the caller expects, and Waited the part of it that has passed already.
	Objective, Waited time.Duration
	// Bytes is the size of the packet.
	Bytes int
}

// Options are the dependencies of a Controller.
type Options struct {
	// FleetSize returns the number of daemons, this one included. While it is not known nothing is limited.
	FleetSize func() (daemons int, isKnown bool)
	// InProgress returns the number of requests in progress of this daemon on a service, of a priority and more
	// urgent ones.
	InProgress func(service string, priority int, now time.Time) int
}

// Change reports that a service begins or ceases to be limited.
type Change struct {
	Service   string
	IsLimited bool
	Limit     float64
	// InProgress is the number of requests in progress of all priorities.
	InProgress int
	Factor     float64
}

// Gauge is the present state of a service.
type Gauge struct {
	Limit, Factor float64
	Waiting       int
}

// service is the state of one service.
type service struct {
	pace
	// slots are those of the placeable upstreams at the last opening packet.
	slots int
	queue queue
	// grantedAt is when a packet was last placed on the guaranteed share, by priority.
	grantedAt map[int]time.Time
	// lowest is the least urgent priority that was seen.
	lowest    int
	isLimited bool
	// limitedAt is when a packet last waited or was refused.
	limitedAt time.Time
}

// Controller decides on opening packets. It must be used by one goroutine only.
type Controller struct {
	options  Options
	services map[string]*service
	waiting  map[wire.FlowKey]*waiter
	bytes    int
	// evicted are the packets that were removed from a full queue since the last call of Next.
	evicted  []wire.FlowKey
	calledAt time.Time
	changes  []Change
}

// New returns a Controller without waiting packets.
func New(o Options) *Controller {
	return &Controller{options: o, services: map[string]*service{}, waiting: map[wire.FlowKey]*waiter{}}
}

// service returns the state of a service, which it creates if there is none.
func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{grantedAt: map[int]time.Time{}, pace: newPace()}
		c.services[name] = s
	}
	return s
}

// limit returns the number of requests that this daemon may have in progress on a service, and false if there is
// no limit.
func (c *Controller) limit(s *service) (float64, bool) {
	daemons, isKnown := c.options.FleetSize()
	if !isKnown || s.slots == 0 {
		return 0, false
	}
	return float64(s.slots)/float64(max(daemons, 1))*s.factor + s.allowance(), true
}

// Open decides on an opening packet that does not wait yet. slots are those of the upstreams of the service on
// which flows can be placed.
func (c *Controller) Open(o Opening, slots int, now time.Time) Decision {
	s := c.service(o.Service)
	s.slots, s.lowest = slots, max(s.lowest, o.Priority)
	s.forgetOld(now)
	limit, isLimited := c.limit(s)
	if !isLimited {
		return Place
	}
	inProgress := c.options.InProgress(o.Service, o.Priority, now)
	if !s.queue.hasAsUrgent(o.Priority) &&
		(float64(inProgress+1) <= limit || c.takeGuaranteed(s, o.Service, o.Priority, inProgress, limit, now)) {
		return Place
	}
	c.recordLimited(s, o.Service, limit, now)
	w := &waiter{Opening: o, sentAt: now.Add(-o.Waited), arrivedAt: now}
	if w.isTooLate(s.expected, now) {
		return Refuse
	}
	c.calledAt = now
	return c.enqueue(s, w)
}

// takeGuaranteed reports whether a packet may be placed on the guaranteed share of its priority, and records that
// it is. inProgress includes the requests of more urgent priorities.
func (c *Controller) takeGuaranteed(s *service, name string, priority, inProgress int, limit float64, now time.Time) bool {
	own := inProgress
	if priority > 0 {
		own -= c.options.InProgress(name, priority-1, now)
	}
	if own == inProgress || float64(own+1) > max(guaranteedShare*limit, 1) {
		return false
	}
	interval := time.Duration(float64(max(s.expected, minInterval)) / (guaranteedShare * limit))
	if now.Sub(s.grantedAt[priority]) < interval {
		return false
	}
	s.grantedAt[priority] = now
	return true
}

// enqueue adds a packet to the queue of its service. If the bounds are exceeded, the least urgent packet is refused.
func (c *Controller) enqueue(s *service, w *waiter) Decision {
	for len(c.waiting) >= maxWaiting || c.bytes+w.Bytes > maxWaitingBytes {
		last := c.leastUrgent()
		if last == nil || !w.isMoreUrgent(last) {
			return Refuse
		}
		c.remove(last)
		c.evicted = append(c.evicted, last.Flow)
	}
	s.queue.insert(w)
	c.waiting[w.Flow] = w
	c.bytes += w.Bytes
	return Wait
}

// leastUrgent returns the waiting packet that is last in order, nil if none waits.
func (c *Controller) leastUrgent() *waiter {
	var last *waiter
	for _, s := range c.services {
		if n := len(s.queue); n > 0 && (last == nil || last.isMoreUrgent(s.queue[n-1])) {
			last = s.queue[n-1]
		}
	}
	return last
}

// remove removes a waiting packet.
func (c *Controller) remove(w *waiter) {
	c.services[w.Service].queue.remove(w)
	c.forget(w)
}

// forget removes a packet that is not in its queue any more from the counts.
func (c *Controller) forget(w *waiter) {
	delete(c.waiting, w.Flow)
	c.bytes -= w.Bytes
}

// IsLimited reports whether packets to a service have waited or been refused lately.
func (c *Controller) IsLimited(name string) bool {
	s := c.services[name]
	return s != nil && s.isLimited
}

// IsWaiting reports whether the opening packet of a flow waits.
func (c *Controller) IsWaiting(flow wire.FlowKey) bool { return c.waiting[flow] != nil }

// MostUrgent returns the flow of the most urgent waiting packet of each service on which one waits.
func (c *Controller) MostUrgent() []wire.FlowKey {
	var flows []wire.FlowKey
	for _, s := range c.services {
		if len(s.queue) > 0 {
			flows = append(flows, s.queue[0].Flow)
		}
	}
	return flows
}

// WaitingCount returns the number of waiting packets, those included that Next has yet to refuse.
func (c *Controller) WaitingCount() int { return len(c.waiting) + len(c.evicted) }

// Cancel removes the waiting packet of a flow, if there is one.
func (c *Controller) Cancel(flow wire.FlowKey) {
	if w := c.waiting[flow]; w != nil {
		c.remove(w)
	}
}

// Next returns the waiting flows that have to be placed now, the most urgent first, and those that have to be
// refused. It assumes that all released flows are placed before the next call.
func (c *Controller) Next(now time.Time) (release, refuse []wire.FlowKey) {
	c.calledAt = now
	refuse, c.evicted = c.evicted, nil
	for name, s := range c.services {
		if len(s.queue) == 0 {
			continue
		}
		released, refused := c.nextOfService(name, s, now)
		release, refuse = append(release, released...), append(refuse, refused...)
	}
	return release, refuse
}

// nextOfService returns the flows of a service to release and to refuse. Within a priority the packets that cannot be
// answered in time any more come first, so that it stops at the first packet that goes on waiting.
func (c *Controller) nextOfService(name string, s *service, now time.Time) (release, refuse []wire.FlowKey) {
	limit, isLimited := c.limit(s)
	for i := 0; i < len(s.queue); {
		priority := s.queue[i].Priority
		inProgress := c.options.InProgress(name, priority, now)
		end := s.queue.endOf(priority)
		first, isBlocked := i, false
		for i < end && !isBlocked {
			w := s.queue[i]
			switch {
			case isLimited && w.isTooLate(s.expected, now):
				refuse = append(refuse, w.Flow)
				s.limitedAt = now
			case !isLimited, float64(inProgress+len(release)+1) <= limit,
				c.takeGuaranteed(s, name, priority, inProgress, limit, now):
				release = append(release, w.Flow)
			default:
				s.limitedAt, isBlocked = now, true
				continue
			}
			c.forget(w)
			i++
		}
		s.queue = slices.Delete(s.queue, first, i)
		i = end - (i - first)
	}
	return release, refuse
}

// NextAt returns when Next has to be called again at the latest, the zero time if nothing waits.
func (c *Controller) NextAt() time.Time {
	if c.WaitingCount() == 0 {
		return time.Time{}
	}
	return c.calledAt.Add(pollInterval)
}

// RecordResponse records how long a request took from its first packet to the first acknowledgement of its response.
func (c *Controller) RecordResponse(name string, objective, took time.Duration, now time.Time) {
	if objective > 0 {
		c.service(name).record(objective, took, now)
	}
}

// recordLimited records that a packet waits or is refused.
func (c *Controller) recordLimited(s *service, name string, limit float64, now time.Time) {
	s.limitedAt = now
	if !s.isLimited {
		s.isLimited = true
		c.addChange(s, name, limit, now)
	}
}

func (c *Controller) addChange(s *service, name string, limit float64, now time.Time) {
	c.changes = append(c.changes, Change{
		Service: name, IsLimited: s.isLimited, Limit: limit, Factor: s.factor,
		InProgress: c.options.InProgress(name, s.lowest, now),
	})
}

// Maintain ends the limitation of services on which no packet has waited or been refused lately, and drops the state
// of services that are not in use any more. It is called about twice a second.
func (c *Controller) Maintain(isKnown func(service string) bool, now time.Time) {
	for name, s := range c.services {
		if s.isLimited && now.Sub(s.limitedAt) > unlimitedAfter {
			s.isLimited = false
			limit, _ := c.limit(s)
			c.addChange(s, name, limit, now)
		}
		if len(s.queue) == 0 && !s.isLimited && !isKnown(name) {
			delete(c.services, name)
		}
	}
}

// TakeChanges returns the changes since the last call.
func (c *Controller) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// Gauges returns the present state by service. The limit is 0 while there is none.
func (c *Controller) Gauges() map[string]Gauge {
	gauges := map[string]Gauge{}
	for name, s := range c.services {
		limit, _ := c.limit(s)
		gauges[name] = Gauge{Limit: limit, Factor: s.factor, Waiting: len(s.queue)}
	}
	return gauges
}
