package experiment

import (
	"math"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/load"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// mergeInterval is the interval at which daemons merge their load reports under LeastReported.
	mergeInterval = time.Second
	// reportPollInterval is the interval at which daemons check for free slots under LeastReported, in
	// addition to the checks at each answer.
	reportPollInterval = 20 * time.Millisecond
	// Bursty arrivals have burstFactor times the mean rate during the first burstOn of each burstPeriod,
	// and for the rest of it a lower rate that keeps the mean.
	burstPeriod = 2 * time.Second
	burstOn     = 500 * time.Millisecond
	burstFactor = 2.5
	// firstRetryPause is the mean pause before a caller's first retry of a failed request. It doubles with
	// each retry.
	firstRetryPause = 200 * time.Millisecond
)

// attempt is one transmission of a caller's request, with its own deadline.
type attempt struct {
	flow       *flow
	id         uint64
	idempotent bool
	sentAt     time.Duration
	startedAt  time.Duration
	retries    int
	isOver     bool
}

// upstreamView is a daemon's view of an upstream under the policy LeastReported: the tracked load, the
// requests that wait for a free slot and the times of those without an answer yet.
type upstreamView struct {
	tracker *load.Tracker
	queue   []*pb.Packet
	sentAt  map[requestKey]time.Time
}

// generateLoad sends a request on a random flow and schedules the next one, until the run ends.
func (sim *simulation) generateLoad() {
	if f := sim.pickFlow(); f != nil {
		sim.measures.offered += sim.measuredIncrement()
		sim.sendRequest(f, sim.rand.Float64() < sim.settings.Idempotent, 0)
	}
	now := sim.clock.now()
	offered := sim.settings.Offered
	if sim.settings.Overload > 0 && now >= sim.settings.OverloadFrom && now < sim.settings.OverloadTo {
		offered = sim.settings.Overload
	}
	rate := offered * sim.measures.capacity
	if sim.settings.Arrivals == "bursty" {
		if now%burstPeriod < burstOn {
			rate *= burstFactor
		} else {
			rate *= (float64(burstPeriod) - burstFactor*float64(burstOn)) / float64(burstPeriod-burstOn)
		}
	}
	sim.clock.scheduleAfter(time.Duration(sim.rand.ExpFloat64()/rate*float64(time.Second)), sim.generateLoad)
}

// pickFlow returns a random open flow, or nil if there is none. The flows of heavy callers have their
// share of the requests.
func (sim *simulation) pickFlow() *flow {
	from := &sim.lightFlows
	if len(sim.heavyFlows) > 0 && sim.rand.Float64() < sim.settings.HeavyRequests {
		from = &sim.heavyFlows
	}
	for len(*from) > 0 {
		i := sim.rand.IntN(len(*from))
		f := (*from)[i]
		if !f.isEnded {
			return f
		}
		(*from)[i] = (*from)[len(*from)-1]
		*from = (*from)[:len(*from)-1]
	}
	return nil
}

// measuredIncrement returns 1 if measuring has begun, and 0 otherwise.
func (sim *simulation) measuredIncrement() int {
	if sim.clock.now() >= sim.measureFrom {
		return 1
	}
	return 0
}

// sendRequest sends a request on a flow and ends the attempt at its deadline.
func (sim *simulation) sendRequest(f *flow, idempotent bool, retries int) {
	f.lastRequestID++
	a := &attempt{flow: f, id: f.lastRequestID, idempotent: idempotent, sentAt: sim.clock.now(), retries: retries}
	f.requests[a.id] = a
	sim.measures.attempts++
	sim.clock.scheduleAfter(callerLatency, func() {
		sim.sendThroughFabric(f, &pb.Packet{Flow: f.key.Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: a.id,
			Attempt: 1, Idempotent: idempotent,
			DeadlineMs: uint32((sim.settings.Deadline - callerLatency).Milliseconds()), GuardToken: f.token, Payload: []byte{1}})
	})
	sim.clock.scheduleAfter(sim.settings.Deadline,
		func() { sim.endAttempt(a, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_ANSWER_LOST) })
}

// endAttempt counts the first end of an attempt and ignores later ones. The caller retries a failed
// request if that is safe and its number of retries allows it.
func (sim *simulation) endAttempt(a *attempt, status pb.Status, reason pb.Reason) {
	if a.isOver {
		return
	}
	a.isOver = true
	delete(a.flow.requests, a.id)
	now := sim.clock.now()
	sim.measures.recordEnd(a, status, reason, now, sim.measuredIncrement() == 1)
	isSafe := a.idempotent || status == pb.Status_STATUS_NOT_RUN
	if status == pb.Status_STATUS_OK || !isSafe || a.retries >= sim.settings.CallerRetries {
		return
	}
	pause := float64(firstRetryPause) * math.Pow(2, float64(a.retries)) * (0.5 + sim.rand.Float64())
	sim.clock.scheduleAfter(time.Duration(pause), func() {
		if !a.flow.isEnded {
			sim.measures.callerRetries += sim.measuredIncrement()
			sim.sendRequest(a.flow, a.idempotent, a.retries+1)
		}
	})
}

// deliverToAdmission delivers a packet to the daemon that holds the upstream's admission.
func (sim *simulation) deliverToAdmission(p *pb.Packet) {
	n := sim.admissionHolder(p.GetUpstream())
	if n != nil && !n.dead.Load() {
		n.engine.HandleCaller(p)
	}
}

// deliverToUpstream delivers a packet to an upstream. Under LeastReported, a daemon first queues a request
// until its view of the upstream has a free slot. Under the other policies requests arrive at once.
func (sim *simulation) deliverToUpstream(p *pb.Packet) {
	u := sim.upstreams[p.GetUpstream()]
	if u == nil || u.isRemoved {
		return
	}
	if sim.policy == LeastReported && p.GetKind() == pb.Kind_KIND_REQUEST {
		n := sim.admitter(wire.FlowKeyFromProto(p.GetFlow()))
		view := n.upstreamView(u)
		view.queue = append(view.queue, p)
		n.dispatchQueued(u, view)
		return
	}
	u.receive(p)
}

// deliverFromUpstream delivers a packet of an upstream to the admission after one hop, or to the caller
// under policies without one.
func (sim *simulation) deliverFromUpstream(p *pb.Packet) {
	sim.clock.scheduleAfter(hopLatency, func() {
		if sim.policy == Fulmar {
			if n := sim.admissionHolder(p.GetUpstream()); n != nil && !n.dead.Load() {
				n.engine.HandleUpstream(p)
			}
			return
		}
		if sim.policy == LeastReported {
			sim.admitter(wire.FlowKeyFromProto(p.GetFlow())).recordAnswer(p)
		}
		sim.clock.scheduleAfter(callerLatency, func() { sim.deliverToCaller(p) })
	})
}

// recordStart records that an upstream starts a request, which ends the wait of the request.
func (sim *simulation) recordStart(job *upstreamRequest) {
	f := sim.flows[job.key.flow]
	if f == nil {
		return
	}
	if a := f.requests[job.key.id]; a != nil && a.startedAt == 0 {
		a.startedAt = sim.clock.now()
		sim.measures.recordWait(a, sim.measuredIncrement() == 1)
	}
}

// admitter returns the daemon that admits a flow's requests under LeastReported.
func (sim *simulation) admitter(k wire.FlowKey) *node {
	return sim.nodes[int(k.Hash()>>40)%len(sim.nodes)]
}

// upstreamView returns the daemon's view of an upstream and creates it if necessary.
func (n *node) upstreamView(u *upstream) *upstreamView {
	view := n.upstreamViews[u.number]
	if view == nil {
		view = &upstreamView{tracker: load.NewTracker(u.slots), sentAt: map[requestKey]time.Time{}}
		n.upstreamViews[u.number] = view
	}
	return view
}

// dispatchQueued sends queued requests while the reports and the daemon's own count leave free slots. It drops
// requests whose caller does not wait any more.
func (n *node) dispatchQueued(u *upstream, view *upstreamView) {
	now := time.Now()
	for len(view.queue) > 0 && view.tracker.FreeSlots(now) > 0 {
		p := view.queue[0]
		view.queue = view.queue[1:]
		key := requestKey{wire.FlowKeyFromProto(p.GetFlow()), p.GetRequestId()}
		if f := n.sim.flows[key.flow]; f == nil || f.requests[key.id] == nil {
			continue
		}
		view.tracker.RecordStart(now)
		view.sentAt[key] = now
		u.receive(p)
	}
}

// recordAnswer records an upstream's answer and the load report in it.
func (n *node) recordAnswer(p *pb.Packet) {
	u := n.sim.upstreams[p.GetUpstream()]
	view := n.upstreamView(u)
	now := time.Now()
	view.tracker.RecordContact(now)
	view.tracker.RecordReport(now, p.GetLoad())
	key := requestKey{wire.FlowKeyFromProto(p.GetFlow()), p.GetRequestId()}
	if at, ok := view.sentAt[key]; ok {
		delete(view.sentAt, key)
		view.tracker.RecordFinish(now, now.Sub(at))
	}
	n.dispatchQueued(u, view)
}

// pollReports has all daemons merge reports at each mergeInterval and check for free slots at each
// reportPollInterval, under LeastReported.
func (sim *simulation) pollReports() {
	if sim.policy != LeastReported {
		return
	}
	merge := sim.clock.now()%mergeInterval < reportPollInterval
	for _, n := range sim.nodes {
		for i := range sim.settings.Upstreams {
			u := sim.upstreams[uint32(i+1)]
			view := n.upstreamView(u)
			if merge && !u.isSilent {
				view.tracker.RecordReport(time.Now(), u.load())
			}
			// A request without an answer frees its slot after its deadline, when its caller has given up.
			for key, at := range view.sentAt {
				if time.Since(at) > sim.settings.Deadline {
					delete(view.sentAt, key)
					view.tracker.ReleaseSlot()
				}
			}
			n.dispatchQueued(u, view)
		}
	}
	sim.clock.scheduleAfter(reportPollInterval, sim.pollReports)
}
