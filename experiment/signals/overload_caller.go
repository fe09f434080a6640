package signals

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

// lowest returns the n upstreams with the lowest ranks.
func lowest(upstreams []*catalog.Upstream, n int, rank func(*catalog.Upstream) uint64) []*catalog.Upstream {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b *catalog.Upstream) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return sorted[:min(n, len(sorted))]
}

// longFlow is a caller that sends one request after the other on a flow.
type longFlow struct {
	class *Class
	index int
	sim   *overload
	// open is the flow that is open, nil if there is none.
	open *attempt
	// left is the number of requests after which the caller closes the flow.
	left int
	// isExtra is set for callers that exist during the peak only.
	isExtra bool
}

// next sends the next request of the caller.
func (l *longFlow) next() {
	if l.isExtra && !l.sim.isPeak() {
		if l.open != nil {
			l.open.close()
		}
		return
	}
	l.sim.newRequest(l.index, l.class, l).begin()
}

// finished schedules the next request after a pause.
func (l *longFlow) finished() { l.sim.scheduleAfter(l.sim.exponentialDuration(meanPause), l.next) }

// overloadRequest is a request of a caller with its attempts.
type overloadRequest struct {
	sim     *overload
	class   *Class
	index   int
	long    *longFlow
	began   time.Duration
	work    time.Duration
	inPeak  bool
	attempt *attempt
	tries   int
	isOver  bool
}

func (o *overload) newRequest(index int, class *Class, long *longFlow) *overloadRequest {
	return &overloadRequest{sim: o, class: class, index: index, long: long, began: o.now, work: o.work(class), inPeak: o.isPeak()}
}

func (r *overloadRequest) begin() {
	if r.inPeak {
		r.sim.result.Classes[r.index].Requests++
	}
	r.sim.scheduleAfter(r.class.Deadline, r.expire)
	if r.long != nil && r.long.open != nil {
		a := r.long.open
		r.tries, r.attempt, a.request = 1, a, r
		a.sendData(retransmitAfter)
		return
	}
	r.try()
}

// try opens a flow for the next attempt.
func (r *overloadRequest) try() {
	if r.isOver {
		return
	}
	if r.tries == maxAttempts {
		r.finish()
		return
	}
	r.tries++
	o := r.sim
	o.nextPort++
	source := netip.AddrFrom4([4]byte{100, 64, byte(o.nextPort >> 14), byte(1 + o.nextPort>>22)})
	flow, err := wire.NewFlowKey(netip.AddrPortFrom(source, uint16(1024+o.nextPort&0x3fff)), o.routes[r.index])
	if err != nil {
		panic(err) // The addresses are built here.
	}
	a := &attempt{sim: o, request: r, flow: flow, daemon: o.random.IntN(o.c.Daemons), sequence: 1}
	if o.c.IsOneZone {
		a.daemon -= a.daemon % overloadZones
	}
	r.attempt = a
	o.attempts[flow] = a
	a.sendOpen(0)
}

// fail ends the present attempt. Requests that may run at most once are retried only if they have not run.
func (r *overloadRequest) fail(hasNotRun bool) {
	if r.attempt != nil {
		r.attempt.end()
	}
	if r.class.IsUnsafe && !hasNotRun {
		r.finish()
		return
	}
	r.sim.scheduleAfter(retryPause, r.try)
}

// succeed ends the request with an answer.
func (r *overloadRequest) succeed() {
	if r.isOver {
		return
	}
	took := r.sim.now - r.began
	if r.inPeak {
		result := &r.sim.result.Classes[r.index]
		if took <= r.class.Objective {
			result.InTime++
			r.sim.goodWork += time.Duration(float64(r.class.Work) * r.sim.c.Slow)
		} else {
			result.Late++
		}
	}
	a := r.attempt
	a.leave()
	a.acknowledged += answerBytes
	if r.long == nil {
		a.close()
	} else {
		if r.long.open != a {
			r.long.open, r.long.left = a, 1+int(r.sim.random.ExpFloat64()*meanRequestsPerFlow)
		}
		a.acknowledge()
		if r.long.left--; r.long.left <= 0 {
			a.close()
		}
	}
	r.finish()
}

// expire ends a request that was not answered before its deadline.
func (r *overloadRequest) expire() {
	if r.isOver {
		return
	}
	if a := r.attempt; a != nil && a.upstream != nil {
		p := a.packet(0)
		p.Resets = true
		r.sim.deliver(func() { r.sim.decide(a, p, func(inband.Verdict) {}) })
	}
	if r.attempt != nil {
		r.attempt.end()
	}
	r.finish()
}

func (r *overloadRequest) finish() {
	if r.isOver {
		return
	}
	r.isOver = true
	if r.long != nil {
		r.long.finished()
	}
}

// attempt is one flow of a caller.
type attempt struct {
	sim     *overload
	request *overloadRequest
	flow    wire.FlowKey
	daemon  int
	// upstream is the upstream on which the flow opened, or nil before that.
	upstream               *catalog.Upstream
	sequence, acknowledged uint32
	// slotTime is how long the present request occupies a slot.
	slotTime time.Duration
	// served is the request that the upstream has received last.
	served *overloadRequest
	// counted is the request that counts as in progress at the daemon, nil if there is none.
	counted *overloadRequest
	isOver  bool
}

// end forgets the flow.
func (a *attempt) end() {
	if a.isOver {
		return
	}
	a.isOver = true
	if a.request.long != nil && a.upstream != nil {
		a.sim.longOpen[a.daemon]--
	}
	a.leave()
	delete(a.sim.attempts, a.flow)
	if l := a.request.long; l != nil && l.open == a {
		l.open = nil
	}
}

// sendOpen sends an opening packet and schedules its retransmissions.
func (a *attempt) sendOpen(retransmissions int) {
	if a.isOver || a.upstream != nil {
		return
	}
	if retransmissions == len(openRetransmits) {
		a.request.fail(true)
		return
	}
	if retransmissions == 0 {
		a.sim.result.Attempts++
	}
	a.sim.deliver(func() {
		if a.sim.exceedsLongFlows(a) {
			a.handleOpen(inband.Verdict{Action: inband.ActionReset})
			return
		}
		p := platform.Packet{Flow: a.flow, Opens: true, Acknowledged: uint32(retransmissions)}
		a.sim.decide(a, p, a.handleOpen)
	})
	wait := openRetransmits[retransmissions]
	if retransmissions > 0 {
		wait -= openRetransmits[retransmissions-1]
	}
	a.sim.scheduleAfter(wait, func() { a.sendOpen(retransmissions + 1) })
}

// handleOpen carries out the verdict on the opening packet.
func (a *attempt) handleOpen(v inband.Verdict) {
	o := a.sim
	switch v.Action {
	case inband.ActionForward:
		o.toUpstream(a.daemon, v.Upstream, func() { o.deliver(func() { a.opened(v.Upstream) }) })
	case inband.ActionReset:
		o.deliver(func() {
			if !a.isOver {
				a.request.fail(true)
			}
		})
	case inband.ActionDrop, inband.ActionHold:
	}
}

// opened sends the request when the upstream has accepted the flow.
func (a *attempt) opened(u *catalog.Upstream) {
	if a.isOver || a.upstream != nil {
		return
	}
	a.upstream, a.acknowledged = u, 1000
	if a.request.long != nil {
		a.sim.longOpen[a.daemon]++
	}
	a.acknowledge()
	a.sendData(retransmitAfter)
}

// packet returns a packet of the open flow with a number of payload bytes.
func (a *attempt) packet(bytes int) platform.Packet {
	return platform.Packet{
		Flow: a.flow, Token: a.upstream.Token(a.flow.Service()), Sequence: a.sequence, Acknowledged: a.acknowledged,
		Acknowledges: true, PayloadBytes: bytes,
	}
}

func (a *attempt) acknowledge() {
	p := a.packet(0)
	a.sim.deliver(func() { a.sim.decide(a, p, func(inband.Verdict) {}) })
}

// close closes the flow.
func (a *attempt) close() {
	p := a.packet(0)
	p.Finishes = true
	a.sim.deliver(func() { a.sim.decide(a, p, func(inband.Verdict) {}) })
	a.end()
}

// sendData sends the request, and once more if the upstream has not received it. The upstream acknowledges a
// retransmission at once.
func (a *attempt) sendData(next time.Duration) {
	r := a.request
	if a.isOver || r.isOver || next > 2*retransmitAfter && a.served == r {
		return
	}
	p := a.packet(payloadBytes)
	a.sim.deliver(func() {
		a.sim.afterHold(a, r, func() {
			a.sim.decide(a, p, func(v inband.Verdict) {
				switch v.Action {
				case inband.ActionForward:
					a.sim.toUpstream(a.daemon, v.Upstream, func() { a.sim.receive(v.Upstream, a, r) })
				case inband.ActionReset:
					if !a.isOver {
						r.fail(false)
					}
				case inband.ActionDrop, inband.ActionHold:
				}
			})
		})
	})
	a.sim.scheduleAfter(next, func() { a.sendData(min(2*next, 8*retransmitAfter)) })
}

// receive handles a request at an upstream.
func (o *overload) receive(key *catalog.Upstream, a *attempt, r *overloadRequest) {
	if a.served == r || a.isOver {
		return
	}
	a.served = r
	u := o.upstreams[key.Key]
	switch {
	case u.running < key.Slots:
		o.serve(u, a, r)
	case len(u.queue) < upstreamQueue:
		u.queue = append(u.queue, a)
	default:
		o.result.NotRun++
		o.deliver(func() {
			if a.isOver || r.isOver {
				return
			}
			a.acknowledged += notRunBytes
			a.sequence += payloadBytes
			a.acknowledge()
			a.close()
			r.fail(true)
		})
	}
}

// notRunBytes is the size of an answer that says that a request was not run.
const notRunBytes = 60

// serve runs a request in a slot of an upstream, and then the next one that waits.
func (o *overload) serve(u *overloadUpstream, a *attempt, r *overloadRequest) {
	u.running++
	a.slotTime = r.work
	if o.isPeak() {
		a.slotTime = time.Duration(float64(r.work) * o.c.Slow)
	}
	o.scheduleAfter(a.slotTime, func() {
		u.running--
		o.deliver(func() {
			if !a.isOver && !r.isOver {
				a.sequence += payloadBytes
				r.succeed()
			}
		})
		for len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			if !next.isOver {
				o.serve(u, next, next.request)
				break
			}
		}
	})
}
