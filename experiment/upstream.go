package experiment

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// coldFactor is the service time of a cold upstream over that of a warm one, at first.
	coldFactor = 4
	coldTime   = 10 * time.Second
)

type runKey struct {
	flow wire.FlowKey
	id   uint64
}

// work is a request at an upstream.
type work struct {
	key      runKey
	packet   *pb.Packet
	deadline time.Duration
	ended    bool
}

// upstream models an upstream: slots, a bounded queue, a load report and its faults.
type upstream struct {
	w       *world
	number  uint32
	slots   int
	flows   int
	isGone  bool
	running map[runKey]*work
	queue   []*work
	// most is the largest number of requests that were there at once.
	most int
	// mostRunning is the largest number of requests that ran at once.
	mostRunning int
	runs        int

	coldFrom, coldUntil time.Duration
	isCold              bool
	isLying, isSilent   bool
	frozen              *pb.LoadReport
	shed                float64

	// answers holds the answer to each of the last transmission numbers, nil before there is
	// one; numbers has them in order.
	answers map[uint64]*pb.Packet
	numbers []uint64
}

func (u *upstream) inject(f Fault) {
	now := u.w.clock.now()
	set := func(on bool) {
		switch f.Kind {
		case "lie":
			u.isLying = on
		case "silence":
			u.isSilent = on
		case "freeze":
			u.frozen = nil
			if on {
				u.frozen = &pb.LoadReport{InProgress: uint32(u.slots), Slots: uint32(u.slots)}
			}
		case "shed":
			u.shed = 0
			if on {
				u.shed = f.Share
			}
		}
	}
	if f.Kind == "cold" {
		u.isCold, u.coldFrom, u.coldUntil = true, now, now+max(f.For, coldTime)
		return
	}
	set(true)
	if f.For > 0 {
		u.w.clock.after(f.For, func() { set(false) })
	}
}

func (u *upstream) load() *pb.LoadReport {
	if u.frozen != nil {
		return u.frozen
	}
	r := &pb.LoadReport{InProgress: uint32(len(u.running)), Queued: uint32(len(u.queue)), Slots: uint32(u.slots),
		Connections: uint32(u.flows), Cold: u.isCold && u.w.clock.now() < u.coldUntil}
	if u.isLying {
		r.InProgress, r.Queued, r.Connections = 0, 0, 0
	}
	return r
}

// receive takes a packet of a daemon.
func (u *upstream) receive(p *pb.Packet) {
	key := runKey{wire.FlowKeyFromProto(p.GetFlow()), p.GetRequestId()}
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		u.answer(p, pb.Kind_KIND_OPENED, 0)
	case pb.Kind_KIND_KEEPALIVE:
		u.answer(p, pb.Kind_KIND_KEEPALIVE_ACK, 0)
	case pb.Kind_KIND_CANCEL:
		u.cancel(key)
	case pb.Kind_KIND_REQUEST:
		if u.isRepeated(p) {
			return
		}
		if u.w.rand.Float64() < u.shed || len(u.running) >= u.slots && len(u.queue) >= u.w.s.UpstreamQueue {
			p.Reason = pb.Reason_REASON_UPSTREAM_SHED
			u.answer(p, pb.Kind_KIND_ANSWER, pb.Status_STATUS_NOT_RUN)
			return
		}
		deadline := u.w.clock.now() + time.Duration(p.GetDeadlineMs())*time.Millisecond
		u.queue = append(u.queue, &work{key: key, packet: p, deadline: deadline})
		u.most = max(u.most, len(u.running)+len(u.queue))
		u.next()
	default:
	}
}

// rememberedNumbers is far above the requests that one upstream has in progress.
const rememberedNumbers = 4096

// isRepeated answers a datagram again whose transmission number is known, as the receiving end
// of the packet protocol does.
func (u *upstream) isRepeated(p *pb.Packet) bool {
	n := p.GetTransmission()
	if n == 0 {
		return false
	}
	answer, known := u.answers[n]
	if known {
		if answer != nil && !u.isSilent {
			u.w.fromUpstream(answer)
		}
		return true
	}
	if u.answers == nil {
		u.answers = map[uint64]*pb.Packet{}
	}
	u.answers[n] = nil
	u.numbers = append(u.numbers, n)
	if len(u.numbers) > rememberedNumbers {
		delete(u.answers, u.numbers[0])
		u.numbers = u.numbers[1:]
	}
	return false
}

// next starts queued work while slots are free. Work whose deadline has passed is refused.
func (u *upstream) next() {
	for len(u.queue) > 0 && len(u.running) < u.slots {
		job := u.queue[0]
		u.queue = u.queue[1:]
		left := job.deadline - u.w.clock.now()
		if left <= 0 {
			u.refuse(job, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
			continue
		}
		u.running[job.key] = job
		u.mostRunning = max(u.mostRunning, len(u.running))
		u.runs++
		u.w.started(job)
		takes := u.serviceTime()
		u.w.clock.after(min(takes, left), func() {
			if job.ended {
				return
			}
			u.stop(job)
			if takes > left {
				u.refuse(job, pb.Status_STATUS_ERROR, pb.Reason_REASON_DEADLINE)
			} else {
				u.answer(job.packet, pb.Kind_KIND_ANSWER, pb.Status_STATUS_OK)
			}
			u.next()
		})
	}
}

func (u *upstream) stop(job *work) {
	job.ended = true
	delete(u.running, job.key)
}

func (u *upstream) refuse(job *work, status pb.Status, reason pb.Reason) {
	job.packet.Reason = reason
	u.answer(job.packet, pb.Kind_KIND_ANSWER, status)
}

// cancel ends a request that nobody waits for any more, and says so: only then does the
// admission know that the slot is free.
func (u *upstream) cancel(key runKey) {
	if job := u.running[key]; job != nil {
		u.stop(job)
		u.refuse(job, pb.Status_STATUS_ERROR, pb.Reason_REASON_CANCELLED)
		u.next()
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

// serviceTime is exponential; while cold it is longer, less so with time.
func (u *upstream) serviceTime() time.Duration {
	t := float64(u.w.s.Service) * u.w.rand.ExpFloat64()
	if now := u.w.clock.now(); u.isCold && now < u.coldUntil {
		left := float64(u.coldUntil-now) / float64(u.coldUntil-u.coldFrom)
		t *= 1 + (coldFactor-1)*left
	}
	return time.Duration(t)
}

func (u *upstream) answer(p *pb.Packet, kind pb.Kind, status pb.Status) {
	if u.isSilent || u.isGone {
		return
	}
	a := &pb.Packet{Flow: p.GetFlow(), Kind: kind, RequestId: p.GetRequestId(), Attempt: p.GetAttempt(),
		Status: status, Reason: p.GetReason(), Part: 0, Parts: 1, Service: serviceNumber, Upstream: u.number, Load: u.load()}
	if _, numbered := u.answers[p.GetTransmission()]; numbered {
		u.answers[p.GetTransmission()] = a
	}
	u.w.fromUpstream(a)
}
