package upstream

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// work is one request that waits for a slot or runs in one.
type work struct {
	packet          *pb.Packet
	key             runKey
	deadline        time.Time // zero if there is none
	exceedsDeadline bool      // the deadline comes before the end of the service time
	timer           *time.Timer
	// resendAnswer sends the answer again; nil until the request is answered.
	resendAnswer func()
}

type runKey struct {
	flow wire.FlowKey
	id   uint64
}

type run struct {
	count      int
	idempotent bool
}

// handleRequest starts, queues or sheds a request of a known flow. It does not deduplicate by request
// id: the balancer has to ensure that a request runs at most once, and the report must show a second
// run.
func (u *Upstream) handleRequest(p *pb.Packet, key wire.FlowKey) {
	w := &work{packet: p, key: runKey{flow: key, id: p.GetRequestId()}}
	u.transmissions.add(p.GetTransmission(), w)
	if ms := p.GetDeadlineMs(); ms > 0 {
		w.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	switch {
	case u.faults.shedShare > 0 && u.rng.Float64() < u.faults.shedShare:
		u.refuseRequest(w, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_UPSTREAM_SHED)
	case len(u.running) < u.config.Slots:
		u.startWork(w)
	case len(u.queue) < u.config.Queue:
		u.counters.Count("queued")
		u.queue = append(u.queue, w)
	default:
		u.refuseRequest(w, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_UPSTREAM_SHED)
	}
}

// refuseRequest answers without a result. Only a request that was not started gets STATUS_NOT_RUN.
func (u *Upstream) refuseRequest(w *work, status pb.Status, reason pb.Reason) {
	u.counters.CountRefusal(reason)
	a := reply(w.packet, pb.Kind_KIND_ANSWER)
	a.Status, a.Reason, a.Parts = status, reason, 1
	w.resendAnswer = func() { u.send(a) }
	u.send(a)
}

// handleRepeated handles a datagram that was received before. It sends the same answer again if the
// request has been answered.
func (u *Upstream) handleRepeated(w *work) {
	u.counters.Count("repeated")
	if f := u.flows[w.key.flow]; f != nil && f.muted {
		return
	}
	if w.resendAnswer != nil {
		w.resendAnswer()
	}
}

func (u *Upstream) startWork(w *work) {
	r := u.runs[w.key]
	if r == nil {
		r = &run{idempotent: w.packet.GetIdempotent()}
		u.runs[w.key] = r
	}
	r.count++
	u.counters.Count("run")
	if r.count > 1 && !r.idempotent {
		u.counters.Count("run_again")
		u.config.Log.Error().Str("event", "run_again").Str("upstream", u.config.Name).
			Stringer("flow", w.key.flow).Uint64("request", w.key.id).Int("runs", r.count).Send()
	}
	serviceTime := u.drawServiceTime()
	if left := time.Until(w.deadline); !w.deadline.IsZero() && serviceTime > left {
		serviceTime, w.exceedsDeadline = left, true
	}
	u.running[w] = struct{}{}
	w.timer = time.AfterFunc(serviceTime, func() { u.finish(w) })
}

// finish answers a request whose service time is over and starts the next one.
func (u *Upstream) finish(w *work) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, running := u.running[w]; !running || u.closed {
		return
	}
	if wait := time.Until(u.faults.pausedUntil); wait > 0 {
		w.timer = time.AfterFunc(wait, func() { u.finish(w) })
		return
	}
	delete(u.running, w)
	if f := u.flows[w.key.flow]; f != nil && f.muted {
		u.counters.CountDrop("muted")
	} else if w.exceedsDeadline {
		u.refuseRequest(w, pb.Status_STATUS_ERROR, pb.Reason_REASON_DEADLINE)
	} else {
		u.answer(w)
	}
	u.startQueued()
}

func (u *Upstream) answer(w *work) {
	w.resendAnswer = func() { u.answer(w) }
	u.counters.Count("answered")
	parts := split(Answer(w.key.flow, w.key.id, w.packet.GetPayload()))
	for i, part := range parts {
		a := reply(w.packet, pb.Kind_KIND_ANSWER)
		a.Status, a.Part, a.Parts, a.Payload = pb.Status_STATUS_OK, uint32(i), uint32(len(parts)), part
		u.send(a)
	}
}

func (u *Upstream) startQueued() {
	for len(u.queue) > 0 && len(u.running) < u.config.Slots {
		w := u.queue[0]
		u.queue = u.queue[1:]
		if !w.deadline.IsZero() && !time.Now().Before(w.deadline) {
			u.refuseRequest(w, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
			continue
		}
		u.startWork(w)
	}
}

// cancel removes a queued request and answers it as not run. It stops a request in progress and
// answers with an error, since the request has run in part.
func (u *Upstream) cancel(key wire.FlowKey, id uint64) {
	wanted := runKey{flow: key, id: id}
	u.counters.Count("cancel")
	for i, w := range u.queue {
		if w.key == wanted {
			u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
			u.refuseRequest(w, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_CANCELLED)
			return
		}
	}
	for w := range u.running {
		if w.key == wanted {
			w.timer.Stop()
			delete(u.running, w)
			u.refuseRequest(w, pb.Status_STATUS_ERROR, pb.Reason_REASON_CANCELLED)
			u.startQueued()
			return
		}
	}
}
