package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// busyTick is the precision of deadlines and back-offs.
	busyTick = 10 * time.Millisecond
	// idleTick is the interval of an admission without work; only records expire then.
	idleTick = time.Second
	// repeatTick is the precision at which requests in progress are sent again.
	repeatTick = 20 * time.Millisecond
	// handbackDelay lets the new holder activate before queued requests reach it.
	handbackDelay = 20 * time.Millisecond
)

// run acts on time for one admission until the Engine stops or the admission has ended.
func (a *admission) run() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-a.engine.done:
			return
		case <-timer.C:
		case <-a.wake:
			// Packets were handled just now; only the next tick comes sooner.
			timer.Reset(busyTick)
			select {
			case <-a.engine.done:
				return
			case <-timer.C:
			}
		}
		if a.engine.remove(a) {
			return
		}
		isElsewhere := a.isHeldElsewhere()
		next := idleTick
		a.locked(func() {
			a.tick(isElsewhere)
			if len(a.busy) > 0 {
				next = repeatTick
			}
		})
		timer.Reset(next)
	}
}

// isHeldElsewhere reports whether queued requests can go to a new holder. The Router is asked
// without the mutex, since it may be calling Release at the same time.
func (a *admission) isHeldElsewhere() bool {
	a.mu.Lock()
	isDue := len(a.handback) > 0 && time.Since(a.released) >= handbackDelay
	a.mu.Unlock()
	if !isDue {
		return false
	}
	to, active, ok := a.engine.options.Router.Route(a.resource)
	return ok && !active && to != a.engine.options.Self
}

// tick handles everything that is due.
func (a *admission) tick(isElsewhere bool) {
	now := time.Now()
	t, ok := a.currentTarget()
	if !ok {
		a.endAll(now)
		return
	}
	a.tracker.Configure(int(t.upstream.GetSlots()), isDraining(t.upstream))
	a.expireQueue(now)
	a.expireBusy(t, now)
	a.repeat(t, now)
	a.probe(t, now)
	a.lendSlots(t, now)
	a.probeHeldBack(t, now)
	if isElsewhere {
		a.handBack(now)
	}
	if a.guard.expire(now) && a.active {
		a.renewToken()
	}
	a.dispatch(t, now)
	a.tell(now)
}

// currentTarget finds the upstream in the configuration in force.
func (a *admission) currentTarget() (t target, ok bool) {
	t.upstream, t.service, t.address, ok = a.engine.options.Config.Current().Upstream(a.resource.Index)
	return t, ok
}

// endAll ends the requests of an upstream that left the configuration.
func (a *admission) endAll(now time.Time) {
	for _, r := range append([]*record(nil), a.queue...) {
		a.unqueue(r)
		a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_UPSTREAM_REMOVED)
	}
	for _, r := range a.busy {
		if r.state != finished {
			a.finish(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_UPSTREAM_REMOVED)
		}
		a.free(r)
	}
	clear(a.watches)
	a.guard.expire(now)
}

func (a *admission) expireQueue(now time.Time) {
	if a.engine.options.Tuning.NoQueueDeadline {
		return
	}
	for _, r := range append([]*record(nil), a.queue...) {
		if !now.Before(r.deadline) {
			a.unqueue(r)
			a.finish(r, pb.Status_STATUS_NOT_RUN, pb.Reason_REASON_DEADLINE)
		}
	}
}

// expireBusy ends requests in progress at their deadline, and frees slots whose grace is over.
func (a *admission) expireBusy(t target, now time.Time) {
	for _, r := range a.busy {
		switch {
		case r.state == finished:
			if !now.Before(r.freeAt) {
				a.free(r)
			}
		case now.Before(r.deadline):
		case r.state == remote:
			// The former holder has told the caller, or is lost.
			r.status, r.reason = pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_OWNER_LOST
			a.guard.finish(r, now)
			a.free(r)
		case r.parts.isPartial():
			a.tracker.RecordTimeout(now)
			a.giveUp(r, pb.Status_STATUS_ERROR, pb.Reason_REASON_PARTS_LOST)
			a.cancelAtUpstream(t.address, r)
		default:
			a.tracker.RecordTimeout(now)
			a.giveUp(r, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_DEADLINE)
			a.cancelAtUpstream(t.address, r)
		}
	}
}

// renewToken forgets the low-water marks when they are too many. Requests stamped before that
// are then refused by their token.
func (a *admission) renewToken() {
	a.token = a.engine.newToken()
	clear(a.guard.marks)
	a.counters().Count("request.token_renewed")
	a.notify(true)
}

// handBack passes requests that were queued at the release to the new holder.
func (a *admission) handBack(now time.Time) {
	for _, r := range a.handback {
		left := r.deadline.Sub(now)
		if left <= 0 {
			continue
		}
		r.packet.DeadlineMs = milliseconds(left)
		a.counters().Count("request.handed_back")
		a.out = append(a.out, effect{kind: toAdmission, target: a.resource.Index, packet: r.packet})
	}
	a.handback = nil
}

// tell publishes the state of the upstream, to other daemons only when it changed.
func (a *admission) tell(now time.Time) {
	if !a.active {
		return
	}
	n := a.noticeNow(now)
	a.engine.options.Load.UpdateLocal(n)
	if a.announce.Due(now, n) {
		a.out = append(a.out, effect{kind: notify, notice: n})
	}
}

func (a *admission) noticeNow(now time.Time) *pb.UpstreamNotice {
	return &pb.UpstreamNotice{
		Upstream:   a.resource.Index,
		Service:    a.resource.Service,
		State:      a.tracker.State(now),
		GuardToken: a.token,
		InProgress: uint32(a.tracker.InProgress()),
		Queued:     uint32(len(a.queue)),
	}
}

// notify sends a notice now.
func (a *admission) notify(tokenChanged bool) {
	now := time.Now()
	n := a.noticeNow(now)
	n.TokenChanged = tokenChanged
	a.engine.options.Load.UpdateLocal(n)
	a.announce.Due(now, n)
	a.out = append(a.out, effect{kind: notify, notice: n})
}
