package experiment

import (
	"math"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/load"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// mergeInterval is how often daemons merge the reports that they saw (policy LeastReport).
	mergeInterval = time.Second
	// pollInterval is how often such a daemon looks for free slots beside the answers.
	pollInterval = 20 * time.Millisecond
	// Bursty arrivals alternate between burstFactor times the mean and less, so that the mean
	// stays: burstOn of each burstPeriod is the burst.
	burstPeriod = 2 * time.Second
	burstOn     = 500 * time.Millisecond
	burstFactor = 2.5
	// retryPause is a caller's first wait before it repeats a failed request.
	retryPause = 200 * time.Millisecond
)

// attempt is one transmission of a caller's request, with its own deadline.
type attempt struct {
	flow       *flow
	id         uint64
	idempotent bool
	sent       time.Duration
	started    time.Duration
	retries    int
	isOver     bool
}

// reported is one daemon's view of one upstream under the policy LeastReport.
type reported struct {
	tracker *load.Tracker
	queue   []*pb.Packet
	sent    map[runKey]time.Time
}

// arrive sends a request and plans the next, for as long as the run lasts.
func (w *world) arrive() {
	if f := w.pick(); f != nil {
		w.m.offered += w.counted()
		w.request(f, w.rand.Float64() < w.s.Idempotent, 0)
	}
	now := w.clock.now()
	offered := w.s.Offered
	if w.s.Overload > 0 && now >= w.s.OverloadFrom && now < w.s.OverloadTo {
		offered = w.s.Overload
	}
	rate := offered * w.m.capacity
	if w.s.Arrivals == "bursty" {
		if now%burstPeriod < burstOn {
			rate *= burstFactor
		} else {
			rate *= (float64(burstPeriod) - burstFactor*float64(burstOn)) / float64(burstPeriod-burstOn)
		}
	}
	w.clock.after(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), w.arrive)
}

// pick returns a random open flow; heavy callers send their share of the requests.
func (w *world) pick() *flow {
	from := &w.light
	if len(w.heavy) > 0 && w.rand.Float64() < w.s.HeavyRequests {
		from = &w.heavy
	}
	for len(*from) > 0 {
		i := w.rand.IntN(len(*from))
		f := (*from)[i]
		if !f.isEnded {
			return f
		}
		(*from)[i] = (*from)[len(*from)-1]
		*from = (*from)[:len(*from)-1]
	}
	return nil
}

// counted is 1 while measuring and else 0.
func (w *world) counted() int {
	if w.clock.now() >= w.measure {
		return 1
	}
	return 0
}

// request sends a request on a flow and watches its deadline.
func (w *world) request(f *flow, idempotent bool, retries int) {
	f.nextID++
	a := &attempt{flow: f, id: f.nextID, idempotent: idempotent, sent: w.clock.now(), retries: retries}
	f.requests[a.id] = a
	w.m.attempts++
	w.clock.after(toCaller, func() {
		w.send(f, &pb.Packet{Flow: f.key.Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: a.id, Attempt: 1, Idempotent: idempotent,
			DeadlineMs: uint32((w.s.Deadline - toCaller).Milliseconds()), GuardToken: f.token, Payload: []byte{1}})
	})
	w.clock.after(w.s.Deadline, func() { w.ended(a, pb.Status_STATUS_OUTCOME_UNKNOWN, pb.Reason_REASON_ANSWER_LOST) })
}

// ended counts the end of an attempt; every attempt ends once.
func (w *world) ended(a *attempt, status pb.Status, reason pb.Reason) {
	if a.isOver {
		return
	}
	a.isOver = true
	delete(a.flow.requests, a.id)
	now := w.clock.now()
	w.m.ends(a, status, reason, now, w.counted() == 1)
	isSafe := a.idempotent || status == pb.Status_STATUS_NOT_RUN
	if status == pb.Status_STATUS_OK || !isSafe || a.retries >= w.s.CallerRetries {
		return
	}
	pause := float64(retryPause) * math.Pow(2, float64(a.retries)) * (0.5 + w.rand.Float64())
	w.clock.after(time.Duration(pause), func() {
		if !a.flow.isEnded {
			w.m.callerRetries += w.counted()
			w.request(a.flow, a.idempotent, a.retries+1)
		}
	})
}

// toAdmission hands a packet to the daemon that holds the upstream's admission.
func (w *world) toAdmission(p *pb.Packet) {
	n := w.admissionOf(p.GetUpstream())
	if n != nil && !n.dead.Load() {
		n.engine.HandleCaller(p)
	}
}

// toUpstream delivers a packet to an upstream. Without the project's admission, daemons send
// requests at once, except under LeastReport, where they admit by reports.
func (w *world) toUpstream(p *pb.Packet) {
	u := w.ups[p.GetUpstream()]
	if u == nil || u.isGone {
		return
	}
	if w.policy == LeastReport && p.GetKind() == pb.Kind_KIND_REQUEST {
		n := w.reporterOf(wire.FlowKeyFromProto(p.GetFlow()))
		r := n.reported(u)
		r.queue = append(r.queue, p)
		n.dispatch(u, r)
		return
	}
	u.receive(p)
}

// fromUpstream delivers a packet of an upstream after one hop.
func (w *world) fromUpstream(p *pb.Packet) {
	w.clock.after(hop, func() {
		if w.policy == Fulmar {
			if n := w.admissionOf(p.GetUpstream()); n != nil && !n.dead.Load() {
				n.engine.HandleUpstream(p)
			}
			return
		}
		if w.policy == LeastReport {
			w.reporterOf(wire.FlowKeyFromProto(p.GetFlow())).learn(p)
		}
		w.clock.after(toCaller, func() { w.fromService(p) })
	})
}

// started notes when an upstream starts a request, which ends its wait.
func (w *world) started(job *work) {
	f := w.flows[job.key.flow]
	if f == nil {
		return
	}
	if a := f.requests[job.key.id]; a != nil && a.started == 0 {
		a.started = w.clock.now()
		w.m.waited(a, w.counted() == 1)
	}
}

// reporterOf returns the daemon that admits a flow's requests under LeastReport.
func (w *world) reporterOf(k wire.FlowKey) *node { return w.nodes[int(k.Hash()>>40)%len(w.nodes)] }

func (n *node) reported(u *upstream) *reported {
	r := n.trackers[u.number]
	if r == nil {
		r = &reported{tracker: load.NewTracker(u.slots), sent: map[runKey]time.Time{}}
		n.trackers[u.number] = r
	}
	return r
}

// dispatch sends what the merged report and the own count allow.
func (n *node) dispatch(u *upstream, r *reported) {
	now := time.Now()
	for len(r.queue) > 0 && r.tracker.FreeSlots(now) > 0 {
		p := r.queue[0]
		r.queue = r.queue[1:]
		key := runKey{wire.FlowKeyFromProto(p.GetFlow()), p.GetRequestId()}
		if f := n.w.flows[key.flow]; f == nil || f.requests[key.id] == nil {
			continue
		}
		r.tracker.RecordStart(now)
		r.sent[key] = now
		u.receive(p)
	}
}

// learn takes an upstream's answer with its report.
func (n *node) learn(p *pb.Packet) {
	u := n.w.ups[p.GetUpstream()]
	r := n.reported(u)
	now := time.Now()
	r.tracker.RecordContact(now)
	r.tracker.RecordReport(now, p.GetLoad())
	key := runKey{wire.FlowKeyFromProto(p.GetFlow()), p.GetRequestId()}
	if at, ok := r.sent[key]; ok {
		delete(r.sent, key)
		r.tracker.RecordFinish(now, now.Sub(at))
	}
	n.dispatch(u, r)
}

// poll merges reports and lets daemons look for free slots under LeastReport.
func (w *world) poll() {
	if w.policy != LeastReport {
		return
	}
	merge := w.clock.now()%mergeInterval < pollInterval
	for _, n := range w.nodes {
		for i := range w.s.Upstreams {
			u := w.ups[uint32(i+1)]
			r := n.reported(u)
			if merge && !u.isSilent {
				r.tracker.RecordReport(time.Now(), u.load())
			}
			// A request without an answer frees its slot when its caller has given up.
			for key, at := range r.sent {
				if time.Since(at) > w.s.Deadline {
					delete(r.sent, key)
					r.tracker.ReleaseSlot()
				}
			}
			n.dispatch(u, r)
		}
	}
	w.clock.after(pollInterval, w.poll)
}
