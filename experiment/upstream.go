package experiment

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// coldFactor is the initial ratio of a cold upstream's service time to that of a warm one.
	coldFactor = 4
	// coldTime is the shortest time for which an upstream is cold.
	coldTime = 10 * time.Second
)

// requestKey identifies a request by its flow and its number in the flow.
type requestKey struct {
	flow wire.FlowKey
	id   uint64
}

// upstreamRequest is a request that waits or runs at an upstream.
type upstreamRequest struct {
	key      requestKey
	packet   *pb.Packet
	deadline time.Duration
	isEnded  bool
}

// upstream models an upstream with its slots, bounded queue, load reports and faults.
type upstream struct {
	sim       *simulation
	number    uint32
	slots     int
	flows     int
	isRemoved bool
	running   map[requestKey]*upstreamRequest
	queue     []*upstreamRequest
	// maxPresent is the largest number of requests that were queued or running at the same time.
	maxPresent int
	// maxRunning is the largest number of requests that ran at the same time, and runs the number of
	// requests that were started.
	maxRunning int
	runs       int

	coldFrom, coldUntil     time.Duration
	isCold                  bool
	reportsNoLoad, isSilent bool
	frozenReport            *pb.LoadReport
	shedShare               float64

	// answers maps each of the last transmission numbers to its answer, or to nil if it has none yet.
	// transmissions contains these numbers in the order of arrival.
	answers       map[uint64]*pb.Packet
	transmissions []uint64
}

// inject applies a fault to the upstream, for the time that the fault declares.
func (u *upstream) inject(f Fault) {
	now := u.sim.clock.now()
	set := func(on bool) {
		switch f.Kind {
		case "lie":
			u.reportsNoLoad = on
		case "silence":
			u.isSilent = on
		case "freeze":
			u.frozenReport = nil
			if on {
				u.frozenReport = &pb.LoadReport{InProgress: uint32(u.slots), Slots: uint32(u.slots)}
			}
		case "shed":
			u.shedShare = 0
			if on {
				u.shedShare = f.Share
			}
		}
	}
	if f.Kind == "cold" {
		u.isCold, u.coldFrom, u.coldUntil = true, now, now+max(f.For, coldTime)
		return
	}
	set(true)
	if f.For > 0 {
		u.sim.clock.scheduleAfter(f.For, func() { set(false) })
	}
}

// load returns the upstream's load report, which faults may falsify.
func (u *upstream) load() *pb.LoadReport {
	if u.frozenReport != nil {
		return u.frozenReport
	}
	r := &pb.LoadReport{InProgress: uint32(len(u.running)), Queued: uint32(len(u.queue)), Slots: uint32(u.slots),
		Connections: uint32(u.flows), Cold: u.isCold && u.sim.clock.now() < u.coldUntil}
	if u.reportsNoLoad {
		r.InProgress, r.Queued, r.Connections = 0, 0, 0
	}
	return r
}

// receive handles a packet from a daemon.
func (u *upstream) receive(p *pb.Packet) {
	key := requestKey{wire.FlowKeyFromProto(p.GetFlow()), p.GetRequestId()}
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		u.answer(p, pb.Kind_KIND_OPENED, 0)
	case pb.Kind_KIND_KEEPALIVE:
		u.answer(p, pb.Kind_KIND_KEEPALIVE_ACK, 0)
	case pb.Kind_KIND_CANCEL:
		u.cancel(key)
	case pb.Kind_KIND_REQUEST:
		if u.handleDuplicate(p) {
			return
		}
		if u.sim.rand.Float64() < u.shedShare || len(u.running) >= u.slots && len(u.queue) >= u.sim.settings.UpstreamQueue {
			p.Reason = pb.Reason_REASON_UPSTREAM_SHED
			u.answer(p, pb.Kind_KIND_ANSWER, pb.Status_STATUS_NOT_RUN)
			return
		}
		deadline := u.sim.clock.now() + time.Duration(p.GetDeadlineMs())*time.Millisecond
		u.queue = append(u.queue, &upstreamRequest{key: key, packet: p, deadline: deadline})
		u.maxPresent = max(u.maxPresent, len(u.running)+len(u.queue))
		u.startQueued()
	default:
	}
}

// rememberedTransmissions bounds the transmission numbers that an upstream remembers. It is far above the
// requests that one upstream has in progress.
const rememberedTransmissions = 4096

// handleDuplicate reports whether the transmission number of a packet was received before, and repeats the
// answer to it, as the receiver in the packet protocol does.
func (u *upstream) handleDuplicate(p *pb.Packet) bool {
	n := p.GetTransmission()
	if n == 0 {
		return false
	}
	answer, known := u.answers[n]
	if known {
		if answer != nil && !u.isSilent {
			u.sim.deliverFromUpstream(answer)
		}
		return true
	}
	if u.answers == nil {
		u.answers = map[uint64]*pb.Packet{}
	}
	u.answers[n] = nil
	u.transmissions = append(u.transmissions, n)
	if len(u.transmissions) > rememberedTransmissions {
		delete(u.answers, u.transmissions[0])
		u.transmissions = u.transmissions[1:]
	}
	return false
}

// startQueued starts queued requests while slots are free, and refuses those whose deadline has passed.
func (u *upstream) startQueued() {
	for len(u.queue) > 0 && len(u.running) < u.slots {
		job := u.queue[0]
		u.queue = u.queue[1:]
		remaining := job.deadline - u.sim.clock.now()
		if remaining <= 0 {
			u.refuse(job, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
			continue
		}
		u.running[job.key] = job
		u.maxRunning = max(u.maxRunning, len(u.running))
		u.runs++
		u.sim.recordStart(job)
		duration := u.serviceTime()
		u.sim.clock.scheduleAfter(min(duration, remaining), func() {
			if job.isEnded {
				return
			}
			u.finish(job)
			if duration > remaining {
				u.refuse(job, pb.Status_STATUS_ERROR, pb.Reason_REASON_DEADLINE)
			} else {
				u.answer(job.packet, pb.Kind_KIND_ANSWER, pb.Status_STATUS_OK)
			}
			u.startQueued()
		})
	}
}

// finish ends a running request, which frees its slot.
func (u *upstream) finish(job *upstreamRequest) {
	job.isEnded = true
	delete(u.running, job.key)
}

// refuse answers a request with a status other than OK and a reason.
func (u *upstream) refuse(job *upstreamRequest, status pb.Status, reason pb.Reason) {
	job.packet.Reason = reason
	u.answer(job.packet, pb.Kind_KIND_ANSWER, status)
}

// cancel ends a request whose caller does not wait for it any more and answers it, since the admission
// frees the slot only when it receives an answer.
func (u *upstream) cancel(key requestKey) {
	if job := u.running[key]; job != nil {
		u.finish(job)
		u.refuse(job, pb.Status_STATUS_ERROR, pb.Reason_REASON_CANCELLED)
		u.startQueued()
		return
	}
	for i, job := range u.queue {
		if job.key == key {
			u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
			u.refuse(job, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_CANCELLED)
			return
		}
	}
}

// serviceTime returns an exponentially distributed service time. That of a cold upstream is multiplied by a
// factor that falls from coldFactor to 1.
func (u *upstream) serviceTime() time.Duration {
	t := float64(u.sim.settings.Service) * u.sim.rand.ExpFloat64()
	if now := u.sim.clock.now(); u.isCold && now < u.coldUntil {
		left := float64(u.coldUntil-now) / float64(u.coldUntil-u.coldFrom)
		t *= 1 + (coldFactor-1)*left
	}
	return time.Duration(t)
}

// answer sends the answer to a packet, unless the upstream is silent or removed.
func (u *upstream) answer(p *pb.Packet, kind pb.Kind, status pb.Status) {
	if u.isSilent || u.isRemoved {
		return
	}
	a := &pb.Packet{Flow: p.GetFlow(), Kind: kind, RequestId: p.GetRequestId(), Attempt: p.GetAttempt(),
		Status: status, Reason: p.GetReason(), Part: 0, Parts: 1, Service: serviceNumber, Upstream: u.number, Load: u.load()}
	if _, numbered := u.answers[p.GetTransmission()]; numbered {
		u.answers[p.GetTransmission()] = a
	}
	u.sim.deliverFromUpstream(a)
}
