package inband

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/outlier"
	"github.com/fulmarfield/fulmarfield/placement"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/suspicion"
	"github.com/fulmarfield/fulmarfield/wire"
	"github.com/fulmarfield/fulmarfield/workload"
)

const (
	// pendingOpenTimeout is how long after an opening packet its caller must have sent another
	// packet. It is longer than the 200 ms after which a caller retransmits an opening packet.
	pendingOpenTimeout = 300 * time.Millisecond
	// sweepInterval is the time between two searches of the flow table for ended flows.
	sweepInterval = 500 * time.Millisecond
	// defaultIdleTimeout is the idle time-out of flows while the configuration sets none.
	defaultIdleTimeout = 15 * time.Second
	// maxUnresolvedFlows bounds the memory that forged tokens can take up.
	maxUnresolvedFlows = 4096
	// maxStalenessShare is how stale the configuration may be for a caller to be reset because
	// there is no route, as a share of PropagationBound. Cached records are validated again after
	// at most 0.6 of that bound.
	maxStalenessShare = 0.8
)

// Freshness reports how current the daemon's cached state is.
type Freshness interface {
	// ConfigValidatedAt returns when the configuration was last validated against the store, and
	// UpstreamsValidatedAt the same for the upstreams.
	ConfigValidatedAt() time.Time
	UpstreamsValidatedAt() time.Time
	// UpstreamsListedSince reports whether a complete list of upstreams was read that was
	// requested after t and late enough for expired entries to be registered again. If not, it may
	// request a list.
	UpstreamsListedSince(t time.Time) bool
	// ConfigValidatedSince reports whether the configuration was certainly the latest at some time
	// after t.
	ConfigValidatedSince(t time.Time) bool
}

// Options are the settings and dependencies of a Steerer.
type Options struct {
	Zone      string
	Catalog   interface{ Current() *catalog.Snapshot }
	Freshness Freshness
	// PropagationBound is the time within which a change must be in force on this daemon, until SetPropagationBound
	// sets another one.
	PropagationBound time.Duration
	Random           *rand.Rand
	// DaemonCount returns the number of daemons that are known, this one included.
	DaemonCount func() int
	// FleetSize returns the number of daemons that run, this one included, and false while it is not known.
	FleetSize func() (daemons int, isKnown bool)
	// Admission limits the requests in progress on services whose routes have an objective. It needs FleetSize.
	Admission bool
	// ColdLimit is nil if cold upstreams have no limit.
	ColdLimit ColdLimit
	// PlacesByCost makes new flows follow the expected durations of requests, in addition to load.
	PlacesByCost bool
}

// pendingOpen is an opening packet after which the caller has sent nothing yet.
type pendingOpen struct {
	key    wire.FlowKey
	sentAt time.Time
}

// unresolvedFlow is an open flow whose upstream or route is unknown to this daemon, with its token.
type unresolvedFlow struct {
	key   wire.FlowKey
	token uint32
}

// EndedFlow is a flow that the daemon ended because its upstream is dead or deregistered.
type EndedFlow struct {
	Flow wire.FlowKey
	// Acknowledged is the caller's last acknowledgement.
	Acknowledged uint32
	Upstream     *catalog.Upstream
	Reason       Reason
	// OpenFor is for how long this daemon has known the flow to be open.
	OpenFor time.Duration
}

// Steerer decides how packets are handled. It must be used by one goroutine only, but for SetPropagationBound.
type Steerer struct {
	options Options
	// propagationBound is the bound in force, in nanoseconds.
	propagationBound atomic.Int64
	flows            map[wire.FlowKey]*flow
	// flowsByUpstream is the number of unfinished flows in the table by upstream key.
	flowsByUpstream map[uint64]int
	// work holds the requests that wait for a response.
	work *workload.Ledger
	// admission is nil if it is off.
	admission    *admissionQueue
	spread       spread
	costs        *costs
	tracker      *suspicion.Tracker
	detector     *outlier.Detector
	responses    *responses
	pendingOpens []pendingOpen
	// unresolvedFlows holds the flows for whose packets the catalog has no upstream or no route, with
	// the time of the first such packet. The flow was open then, so that a later state of the store
	// without the upstream or the route shows that it was removed.
	unresolvedFlows map[unresolvedFlow]time.Time
	// withoutUpstreamSince holds the service addresses for whose routes no upstream accepts flows, with
	// the time of the first opening packet that could not be placed.
	withoutUpstreamSince map[netip.AddrPort]time.Time
	lastSweep            time.Time
	// endedFlows are the flows whose callers have to be reset proactively.
	endedFlows []EndedFlow
	// candidates is a buffer that is reused by each choice of an upstream.
	candidates []placement.Candidate
}

// NewSteerer returns a Steerer with an empty flow table.
func NewSteerer(o Options) *Steerer {
	detector := outlier.NewDetector(o.DaemonCount, o.Random)
	work := workload.New()
	costs := newCosts(o.PlacesByCost, work)
	s := &Steerer{
		detector: detector, responses: newResponses(detector, costs),
		options: o, flows: map[wire.FlowKey]*flow{}, flowsByUpstream: map[uint64]int{}, work: work, costs: costs,
		tracker: suspicion.NewTracker(), unresolvedFlows: map[unresolvedFlow]time.Time{},
		withoutUpstreamSince: map[netip.AddrPort]time.Time{},
	}
	s.propagationBound.Store(int64(o.PropagationBound))
	s.admission = newAdmissionQueue(s)
	return s
}

// SetPropagationBound changes the time within which a change must be in force on this daemon. It may be called
// concurrently with the other methods.
func (s *Steerer) SetPropagationBound(bound time.Duration) { s.propagationBound.Store(int64(bound)) }

// FlowCount returns the number of flows in the table.
func (s *Steerer) FlowCount() int { return len(s.flows) }

// FlowsInEvacuatedZones returns the number of unfinished flows in the table by evacuated zone.
func (s *Steerer) FlowsInEvacuatedZones() map[string]int {
	known := s.options.Catalog.Current()
	counts := map[string]int{}
	for _, e := range known.Evacuations() {
		counts[e.Zone] = 0
	}
	if len(counts) == 0 {
		return counts
	}
	for key, flows := range s.flowsByUpstream {
		if u := known.Upstream(key); u != nil && known.IsEvacuated(u.Zone) {
			counts[u.Zone] += flows
		}
	}
	return counts
}

// TakeEndedFlows returns the flows that ended since the last call without a packet of their callers.
// The daemon resets these callers proactively: a caller that is reset while no request is in progress
// opens another flow for its next request. This matters most for requests that may run at most once,
// which would be lost on a dead flow.
func (s *Steerer) TakeEndedFlows() []EndedFlow {
	endedFlows := s.endedFlows
	s.endedFlows = nil
	return endedFlows
}

// TakeHealthChanges returns the changes of upstreams' health states since the last call.
func (s *Steerer) TakeHealthChanges() []suspicion.HealthChange { return s.tracker.TakeChanges() }

// TakeReports returns what this daemon has to report to other daemons on response times since the last
// call.
func (s *Steerer) TakeReports() []outlier.Report { return s.detector.TakeReports() }

// RecordReport records the report of another daemon on response times. Reports on upstreams that are
// not registered are ignored.
func (s *Steerer) RecordReport(r outlier.Report, now time.Time) {
	if s.options.Catalog.Current().Upstream(r.Upstream) != nil {
		s.detector.RecordReport(r, now)
	}
}

// RecordResumption records when this process last resumed after a pause.
func (s *Steerer) RecordResumption(at time.Time) { s.responses.resumedAt = at }

// TakeOutlierChanges returns the changes of upstreams' outlier states since the last call.
func (s *Steerer) TakeOutlierChanges() []outlier.Change { return s.detector.TakeChanges() }

// Decide returns how to handle a packet.
func (s *Steerer) Decide(p platform.Packet, now time.Time) Verdict {
	s.maintain(now)
	known := s.readState()
	switch {
	case !known.IsComplete():
		return drop(ReasonNotReady)
	case p.Opens:
		return s.open(known, p, now)
	default:
		return s.steer(known, p, now)
	}
}

// state is what is known of the store when a decision is taken.
type state struct {
	*catalog.Snapshot
	// upstreamsValidatedAt is when the upstreams were last known to be the latest.
	upstreamsValidatedAt time.Time
}

// status returns the registration status of an upstream.
func (s state) status(u *catalog.Upstream) catalog.RegistrationStatus {
	return s.RegistrationStatus(u.Key, s.upstreamsValidatedAt)
}

// readState reads the freshness before the snapshot: changes that are applied in between can only make the
// snapshot newer than its freshness says. The other way round, a flow could be ended by an old snapshot with
// the freshness of a newer one.
func (s *Steerer) readState() state {
	validatedAt := s.options.Freshness.UpstreamsValidatedAt()
	return state{s.options.Catalog.Current(), validatedAt}
}

// open handles an opening packet and places its flow on an upstream. A retransmission of the packet is
// evidence against the upstream that did not respond, and is therefore placed on another one.
func (s *Steerer) open(known state, p platform.Packet, now time.Time) Verdict {
	isRetransmission := p.Acknowledged != 0
	f := s.flows[p.Flow]
	if f != nil && !f.isOpen {
		if (!isRetransmission || f.wasReleasedWithin(minCopyInterval, now)) && known.AcceptsFlows(f.upstream.Key) {
			if s.isColdLimited(known, f.upstream, now) {
				return drop(ReasonColdLimit)
			}
			s.recordColdPlacement(known, f.upstream, now)
			f.lastSeen = now
			return forward(f.upstream, ReasonPlacedAgain)
		}
		if isRetransmission {
			s.tracker.RecordOpenRetransmission(f.upstream.Key, f.lastSeen, now)
		}
	}
	route := known.Route(p.Flow.Service())
	if route == nil {
		return s.refuseRoute(now)
	}
	service := s.chooseService(route)
	if v, isAdmitted := s.admit(known, route, service, p, now); !isAdmitted {
		return v
	}
	return s.placeOn(known, route, service, p, now)
}

// refuseRoute handles an opening packet to an address without a route.
func (s *Steerer) refuseRoute(now time.Time) Verdict {
	if now.Sub(s.options.Freshness.ConfigValidatedAt()) >
		time.Duration(maxStalenessShare*float64(s.propagationBound.Load())) {
		return drop(ReasonRouteUnvalidated)
	}
	return reset(ReasonNoRoute)
}

// chooseService returns the service of a new flow on a route.
func (s *Steerer) chooseService(route *catalog.Route) string {
	return placement.ChooseService(route.Targets, s.options.Random.Float64())
}

// placeOn places the flow of an opening packet on an upstream of a service.
func (s *Steerer) placeOn(known state, route *catalog.Route, service string, p platform.Packet, now time.Time) Verdict {
	u, isColdLimited := s.chooseUpstream(known, route, service, now)
	switch {
	case u == nil && isColdLimited:
		return drop(ReasonColdLimit)
	case u == nil:
		return s.refuseOpen(known, route, now)
	}
	return s.placeFlow(route, u, p, now)
}

// placeFlow records the flow of an opening packet on an upstream.
func (s *Steerer) placeFlow(route *catalog.Route, u *catalog.Upstream, p platform.Packet, now time.Time) Verdict {
	delete(s.withoutUpstreamSince, route.Address)
	f := &flow{upstream: u, lastSeen: now}
	if p.Acknowledged == 0 { // The upstream may have got an earlier copy, too.
		f.sentAt = now
	}
	s.addFlow(p.Flow, f)
	expected := s.newRequest(route, f, now)
	expected.IsPending = true
	s.work.Begin(p.Flow, expected)
	s.pendingOpens = append(s.pendingOpens, pendingOpen{p.Flow, now})
	if p.Acknowledged != 0 {
		return forward(u, ReasonPlacedAgain)
	}
	return forward(u, ReasonPlaced)
}

// refuseOpen handles an opening packet for which there is no upstream. An upstream may have registered
// after the cached records were validated, for example just before its route was added. Therefore callers
// are reset only if a complete list that was requested after the first such packet contains none either;
// until then they retransmit.
func (s *Steerer) refuseOpen(known state, route *catalog.Route, now time.Time) Verdict {
	if slices.ContainsFunc(route.Targets, func(t catalog.Target) bool { return known.HasEvacuated(t.Service) }) {
		return reset(ReasonZoneEvacuated)
	}
	since, isWaiting := s.withoutUpstreamSince[route.Address]
	if !isWaiting {
		since = now
		s.withoutUpstreamSince[route.Address] = now
	}
	if !s.options.Freshness.UpstreamsListedSince(since) {
		return drop(ReasonUpstreamsUnvalidated)
	}
	return reset(ReasonNoUpstream)
}

// chooseUpstream returns the upstream of a new flow, or nil if no upstream of the service accepts one. isColdLimited
// is set if some would accept one later, because they are cold.
func (s *Steerer) chooseUpstream(known state, route *catalog.Route, service string, now time.Time) (u *catalog.Upstream, isColdLimited bool) {
	s.candidates = s.candidates[:0]
	for _, u := range known.Placeable(service, known.upstreamsValidatedAt) {
		if s.isColdLimited(known, u, now) {
			isColdLimited = true
			continue
		}
		s.candidates = append(s.candidates, placement.Candidate{
			Upstream: u, Flows: s.flowsByUpstream[u.Key], BusyFlows: s.work.Requests(u.Key),
			IsSuspect: s.tracker.IsSuspect(u.Key, now),
			IsOutlier: s.detector.State(u.Key, now) != outlier.Accepted && !s.detector.IsProbeDue(u.Key, now),
		})
	}
	classes := s.costs.classes(service, known.Placeable(service, known.upstreamsValidatedAt), now)
	s.costs.addTo(s.candidates, route.Address, classes, now)
	u = s.chooseCandidate(known, route, now)
	if u == nil {
		return nil, isColdLimited
	}
	s.detector.RecordPlacement(u.Key, now)
	s.recordColdPlacement(known, u, now)
	return u, false
}

// chooseCandidate returns the candidate for a new flow, or nil if there is none. Only the one that was chosen is examined
// for a token that belongs to another upstream: that takes more time than all else for a candidate, and is rare.
func (s *Steerer) chooseCandidate(known state, route *catalog.Route, now time.Time) *catalog.Upstream {
	for {
		i := placement.Choose(s.options.Zone, s.candidates, now, s.options.Random.Float64)
		if i < 0 {
			return nil
		}
		if u := s.candidates[i].Upstream; !known.IsAmbiguous(route.Address, u) {
			return u
		}
		s.candidates = slices.Delete(s.candidates, i, i+1)
	}
}

// steer forwards a packet of an open flow to the upstream that its token identifies, unless the flow has
// ended. Another daemon may have read the entry of the upstream, or the route, earlier than this one: without
// the upstream the packet is dropped until there is evidence, without the route the flow goes on.
func (s *Steerer) steer(known state, p platform.Packet, now time.Time) Verdict {
	s.cancelHeld(p.Flow)
	e, isWaiting, hasWaited := s.gather(known, p, now)
	if r := e.ending(); r != ReasonNone {
		return s.end(p, e, r, now)
	}
	if e.upstream == nil {
		v := drop(ReasonUnknownToken)
		v.IsRepeated = hasWaited
		return v
	}
	f := s.trackFlow(p.Flow, e, now)
	if f.isFinished {
		f.lastSeen = now
		return forwardOpen(e, isWaiting)
	}
	openLatency := f.openLatency(now)
	e.flow, e.isSilent = f, s.recordPacket(known, f, p, now)
	// Only callers whose requests are retryable are reset, since they retry on a new flow.
	e.mayEndSilent = isRetryable(known, p.Flow)
	if r := e.ending(); r != ReasonNone {
		return s.end(p, e, r, now)
	}
	if p.Finishes || p.Resets {
		s.finishFlow(f)
	}
	v := forwardOpen(e, isWaiting)
	v.OpenLatency, v.IsRepeated = openLatency, hasWaited
	return v
}

// trackFlow returns the state of an open flow, which it creates if the flow is new to this daemon.
func (s *Steerer) trackFlow(key wire.FlowKey, e evidence, now time.Time) *flow {
	f := e.flow
	switch {
	case f == nil || f.upstream.ID != e.upstream.ID || f.upstream.Address != e.upstream.Address:
		f = &flow{upstream: e.upstream}
		s.addFlow(key, f)
	case f.upstream.Key != e.upstream.Key:
		s.moveFlow(f, e.upstream, now)
	}
	return f
}

// forwardOpen returns the verdict on a packet of an open flow.
func forwardOpen(e evidence, lacksRoute bool) Verdict {
	switch {
	case e.status != catalog.StatusRegistered:
		return forward(e.upstream, ReasonMissingUpstream)
	case lacksRoute:
		return forward(e.upstream, ReasonRouteUnvalidated)
	default:
		return forward(e.upstream, ReasonOpen)
	}
}

// recordPacket updates the state of an open flow and the evidence on its upstream with a packet. It
// reports whether the packet carries data to which the upstream will not respond.
func (s *Steerer) recordPacket(known state, f *flow, p platform.Packet, now time.Time) bool {
	upstream := f.upstream.Key
	wasBusy, sentAt, copiedAt := f.isBusy, f.sentAt, f.resentAt
	s.spread.record(f, p, now)
	observed := f.observe(p, now)
	if wasBusy && observed == eventProgress {
		s.recordTook(f, now)
	}
	s.recordRequest(known, f, observed, wasBusy, now)
	s.responses.recordPacket(f, p, observed, wasBusy, now)
	isDead := false
	switch observed {
	case eventProgress:
		s.tracker.RecordProgress(upstream, sentAt, now)
	case eventRetransmission:
		if !f.isAnswered { // Nothing has shown that the caller receives what the upstream sends.
			break
		}
		wasDead := s.tracker.IsDead(upstream, now)
		isDead = s.tracker.RecordRetransmission(upstream, p.Flow.Hash(), f.retransmissions, f.sentAt, copiedAt, now)
		if !wasDead && s.tracker.IsDead(upstream, now) {
			s.endIdleFlows(known, upstream, now)
		}
	}
	return isDead || f.isAnswered && p.PayloadBytes > 0 && s.tracker.IsDead(upstream, now)
}

// addFlow adds a flow to the table, in place of an earlier one with the same key.
func (s *Steerer) addFlow(key wire.FlowKey, f *flow) {
	s.removeFlow(key)
	f.key = key
	s.flows[key] = f
	s.countFlow(f.upstream.Key, 1)
}

// moveFlow assigns a flow to another incarnation of its upstream at the same address. What the flow showed of the one
// before is no evidence on this one.
func (s *Steerer) moveFlow(f *flow, u *catalog.Upstream, now time.Time) {
	if !f.isFinished {
		s.countFlow(f.upstream.Key, -1)
		s.countFlow(u.Key, 1)
		if r, found := s.work.Request(f.key); found {
			r.Upstream = u.Key
			s.work.Begin(f.key, r)
		}
	}
	f.upstream, f.retransmissions, f.sentAt, f.resentAt, f.requestedAt = u, 0, now, now, time.Time{}
}

// countFlow adds to the number of an upstream's unfinished flows.
func (s *Steerer) countFlow(upstream uint64, n int) {
	if s.flowsByUpstream[upstream] += n; s.flowsByUpstream[upstream] <= 0 {
		delete(s.flowsByUpstream, upstream)
	}
}

// removeFlow removes a flow from the table, if it is there, and updates the counts of its upstream.
func (s *Steerer) removeFlow(key wire.FlowKey) {
	f := s.flows[key]
	if f == nil {
		return
	}
	s.finishFlow(f)
	delete(s.flows, key)
}

// finishFlow marks a flow as finished and removes it from the counts of its upstream.
func (s *Steerer) finishFlow(f *flow) {
	if f.isFinished {
		return
	}
	s.work.End(f.key)
	s.countFlow(f.upstream.Key, -1)
	f.isFinished, f.isBusy, f.requestedAt = true, false, time.Time{}
}

// recordRequest updates the record of requests in progress after a packet of an open flow.
func (s *Steerer) recordRequest(known state, f *flow, observed event, wasBusy bool, now time.Time) {
	switch {
	case !f.isBusy:
		s.work.End(f.key)
	case !wasBusy || observed == eventProgress:
		s.work.Begin(f.key, s.newRequest(known.Route(f.key.Service()), f, now))
	}
}

// newRequest returns the record of a request that begins now. The route may be nil.
func (s *Steerer) newRequest(route *catalog.Route, f *flow, now time.Time) workload.Request {
	r := workload.Request{Upstream: f.upstream.Key, Service: f.upstream.Service, Began: now, Expected: s.costs.expected(f, now)}
	if route != nil {
		r.Priority, r.Objective = route.Priority, route.Objective
	}
	return r
}

// maintain records opening packets that got no response and overdue requests, and sweeps the tables once
// per sweepInterval.
func (s *Steerer) maintain(now time.Time) {
	for len(s.pendingOpens) > 0 && now.Sub(s.pendingOpens[0].sentAt) > pendingOpenTimeout {
		o := s.pendingOpens[0]
		s.pendingOpens = s.pendingOpens[1:]
		if f := s.flows[o.key]; f != nil && !f.isOpen && f.lastSeen.Equal(o.sentAt) {
			s.tracker.RecordUnansweredOpen(f.upstream.Key, o.sentAt, now)
			s.removeFlow(o.key)
			s.admission.recordUnanswered(o.key, o.sentAt)
		}
	}
	s.responses.findOverdue(s.flows, now)
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	known := s.readState()
	s.sweepFlows(known, now)
	for key, since := range s.unresolvedFlows {
		if now.Sub(since) > defaultIdleTimeout {
			delete(s.unresolvedFlows, key)
		}
	}
	s.tracker.Retain(func(key uint64) bool { return s.flowsByUpstream[key] > 0 || s.tracker.IsSuspect(key, now) })
	s.detector.Retain(func(key uint64) bool { return known.Upstream(key) != nil }, known.UpstreamCount(), now)
	s.responses.retain(known.Snapshot)
	s.admission.maintain(known, now)
	s.costs.update(known, now)
	for address := range s.withoutUpstreamSince {
		if known.Route(address) == nil {
			delete(s.withoutUpstreamSince, address)
		}
	}
}

// sweepFlows removes idle and finished flows, and ends those that have certainly ended at their upstreams.
func (s *Steerer) sweepFlows(known state, now time.Time) {
	idleTimeout := defaultIdleTimeout
	if known.Config != nil && known.Config.IdleTimeout > 0 {
		idleTimeout = known.Config.IdleTimeout
	}
	for key, f := range s.flows {
		switch {
		case now.Sub(f.lastSeen) > idleTimeout, f.isFinished && now.Sub(f.lastSeen) > finishedRetention:
			s.removeFlow(key)
		case f.isOpen && !f.isFinished:
			s.checkUpstream(known, key, f, now)
		}
	}
}
