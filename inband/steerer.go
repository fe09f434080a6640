package inband

import (
	"math/rand/v2"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/placement"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/suspicion"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// silentOpening is how long after an opening packet its caller must have sent something:
	// its first copy is due after 200 ms.
	silentOpening = 300 * time.Millisecond
	// sweepInterval is how often the flow table is looked through for flows that have ended.
	sweepInterval = 500 * time.Millisecond
	// defaultIdle forgets idle flows while no configuration says how long they may be idle.
	defaultIdle = 15 * time.Second
	// maxUnknown bounds the memory that forged tokens take.
	maxUnknown = 4096
	// confirmedShare is how recently the configuration must have been confirmed before a caller
	// is told that there is no route, as a share of the time in which a new one must hold. Copies
	// are confirmed again after 0.6 of it at the latest.
	confirmedShare = 0.8
)

// Belief is how current the daemon's state is.
type Belief interface {
	// ConfigValidatedAt returns when the configuration was last known to be the newest, and
	// UpstreamsValidatedAt the same of the upstreams.
	ConfigValidatedAt() time.Time
	UpstreamsValidatedAt() time.Time
	// UpstreamsListedSince reports whether a complete list was read that was begun after t and
	// to which entries that lapsed have come back. It may cause one to be read soon.
	UpstreamsListedSince(t time.Time) bool
}

// Options are what a Steerer works with.
type Options struct {
	Zone    string
	Catalog interface{ Current() *catalog.Snapshot }
	Belief  Belief
	// Bound is the time in which a change must be in force on this daemon.
	Bound  time.Duration
	Random *rand.Rand
}

// opening is an opening packet whose caller has not been heard again.
type opening struct {
	key wire.FlowKey
	at  time.Time
}

// Ended is a flow that cannot be served any more.
type Ended struct {
	Flow wire.FlowKey
	// Acknowledged is the caller's last acknowledgement.
	Acknowledged uint32
	Upstream     *catalog.Upstream
	Reason       Reason
}

// Steerer decides on packets. It belongs to one task.
type Steerer struct {
	options Options
	flows   map[wire.FlowKey]*flow
	// load is the number of flows in the table by upstream key.
	load map[uint64]int
	// busy is the number of those on which a request waits for its answer.
	busy     map[uint64]int
	tokens   tokens
	tracker  *suspicion.Tracker
	openings []opening
	// unknown holds since when packets have named a token that no list has shown.
	unknown   map[uint32]time.Time
	lastSweep time.Time
	// ended are flows whose callers are to be told without having asked.
	ended []Ended
	// candidates is reused by each choice.
	candidates []placement.Candidate
}

// NewSteerer returns a Steerer that has seen no flow.
func NewSteerer(o Options) *Steerer {
	return &Steerer{
		options: o, flows: map[wire.FlowKey]*flow{}, load: map[uint64]int{}, busy: map[uint64]int{},
		tracker: suspicion.NewTracker(), unknown: map[uint32]time.Time{},
	}
}

// Flows returns the number of flows in the table.
func (s *Steerer) Flows() int { return len(s.flows) }

// TakeEnded returns flows that have ended since the last call although their callers sent
// nothing. A caller that is told while no request is under way opens another flow for its next
// one, which matters most for requests that may run only once: they are lost on a dead flow.
func (s *Steerer) TakeEnded() []Ended {
	ended := s.ended
	s.ended = nil
	return ended
}

// TakeBeliefs returns what has changed in the belief in upstreams since the last call.
func (s *Steerer) TakeBeliefs() []suspicion.Change { return s.tracker.TakeChanges() }

// Decide returns what to do with a packet.
func (s *Steerer) Decide(p platform.Packet, now time.Time) Verdict {
	s.maintain(now)
	snapshot := s.options.Catalog.Current()
	switch {
	case !snapshot.IsComplete():
		return drop(ReasonNotReady)
	case p.Opens:
		return s.open(snapshot, p, now)
	default:
		return s.steer(snapshot, p, now)
	}
}

// open places a new flow. Copies of an opening packet go to another upstream than the one that
// did not answer the first.
func (s *Steerer) open(snapshot *catalog.Snapshot, p platform.Packet, now time.Time) Verdict {
	isCopy := p.Acknowledged != 0
	f := s.flows[p.Flow]
	if f != nil && !f.isOpen {
		if !isCopy && snapshot.TakesFlows(f.upstream.Key) {
			f.lastSeen = now
			return forward(f.upstream, ReasonPlacedAgain)
		}
		if isCopy {
			s.tracker.OpeningCopied(f.upstream.Key, f.lastSeen, now)
		}
	}
	route := snapshot.Route(p.Flow.Service())
	if route == nil {
		if now.Sub(s.options.Belief.ConfigValidatedAt()) > time.Duration(confirmedShare*float64(s.options.Bound)) {
			return drop(ReasonRouteUnconfirmed)
		}
		return reset(ReasonNoRoute)
	}
	u := s.place(snapshot, route, now)
	if u == nil {
		return reset(ReasonNoUpstream)
	}
	s.remember(p.Flow, &flow{upstream: u, lastSeen: now})
	s.openings = append(s.openings, opening{p.Flow, now})
	if isCopy {
		return forward(u, ReasonPlacedAgain)
	}
	return forward(u, ReasonPlaced)
}

func (s *Steerer) place(snapshot *catalog.Snapshot, route *catalog.Route, now time.Time) *catalog.Upstream {
	s.candidates = s.candidates[:0]
	for _, u := range snapshot.Ready(placement.Service(route.Targets, s.options.Random.Float64())) {
		if s.tokens.isAmbiguous(snapshot, route.Address, u) {
			continue
		}
		s.candidates = append(s.candidates, placement.Candidate{
			Upstream: u, Flows: s.load[u.Key], Busy: s.busy[u.Key], IsSuspect: s.tracker.IsSuspect(u.Key, now),
		})
	}
	i := placement.Choose(s.options.Zone, s.candidates, now, s.options.Random.Float64)
	if i < 0 {
		return nil
	}
	return s.candidates[i].Upstream
}

// steer finds the upstream of a flow that is open already.
func (s *Steerer) steer(snapshot *catalog.Snapshot, p platform.Packet, now time.Time) Verdict {
	u := s.tokens.find(snapshot, p.Flow.Service(), p.Token)
	if u == nil {
		return s.steerUnknown(p, now)
	}
	fate := snapshot.Fate(u.Key, s.options.Belief.UpstreamsValidatedAt())
	if fate == catalog.FateGone {
		s.forget(p.Flow)
		return refuse(p, u, ReasonUpstreamGone)
	}
	f := s.flows[p.Flow]
	if f == nil || f.upstream.Key != u.Key {
		f = &flow{upstream: u}
		s.remember(p.Flow, f)
	}
	openedAfter := f.openedAfter(now)
	isDead := s.learn(f, p, now)
	// Only requests that may be repeated are better off with a reset: their callers try again on
	// a new flow.
	if route := snapshot.Route(p.Flow.Service()); isDead && route != nil && route.Kind.IsRepeatable() {
		s.forget(p.Flow)
		return refuse(p, u, ReasonUpstreamDead)
	}
	if p.Finishes || p.Resets {
		s.forget(p.Flow)
	}
	v := forward(u, ReasonOpen)
	if fate == catalog.FateMissing {
		v.Reason = ReasonMissingUpstream
	}
	v.OpenedAfter = openedAfter
	return v
}

// learn takes a packet of an open flow into account. It reports whether the packet has data that
// the flow's upstream will not answer.
func (s *Steerer) learn(f *flow, p platform.Packet, now time.Time) bool {
	upstream := f.upstream.Key
	wasBusy := f.isBusy
	seen := f.observe(p, now)
	s.countBusy(upstream, wasBusy, f.isBusy)
	isDead := false
	switch seen {
	case eventProgress:
		s.tracker.Progress(upstream, now)
	case eventRetransmission:
		wasDead := s.tracker.IsDead(upstream, now)
		isDead = s.tracker.Retransmitted(upstream, p.Flow.Hash(), f.copies, f.sentAt, now)
		if !wasDead && s.tracker.IsDead(upstream, now) {
			s.endIdle(upstream, now)
		}
	}
	return isDead || p.PayloadBytes > 0 && s.tracker.IsDead(upstream, now)
}

// endIdle ends the idle flows of an upstream that does not answer.
func (s *Steerer) endIdle(upstream uint64, now time.Time) {
	for key, f := range s.flows {
		if f.upstream.Key == upstream && f.isIdle(now) {
			s.end(key, f, ReasonUpstreamDead)
		}
	}
}

func (s *Steerer) end(key wire.FlowKey, f *flow, r Reason) {
	s.ended = append(s.ended, Ended{Flow: key, Acknowledged: f.acknowledged, Upstream: f.upstream, Reason: r})
	s.forget(key)
}

// steerUnknown handles a token that the catalog does not have. It may be of an upstream that
// another daemon learned of earlier, so the caller is told only after a list that was begun
// later does not show it either.
func (s *Steerer) steerUnknown(p platform.Packet, now time.Time) Verdict {
	since, seen := s.unknown[p.Token]
	if !seen {
		if len(s.unknown) >= maxUnknown {
			return drop(ReasonUnknownToken)
		}
		since = now
		s.unknown[p.Token] = now
	}
	if !s.options.Belief.UpstreamsListedSince(since) {
		v := drop(ReasonUnknownToken)
		v.IsRepeated = seen
		return v
	}
	s.forget(p.Flow)
	return refuse(p, nil, ReasonUnknownToken)
}

func (s *Steerer) remember(key wire.FlowKey, f *flow) {
	s.forget(key)
	s.flows[key] = f
	s.load[f.upstream.Key]++
}

func (s *Steerer) forget(key wire.FlowKey) {
	f := s.flows[key]
	if f == nil {
		return
	}
	delete(s.flows, key)
	s.countBusy(f.upstream.Key, f.isBusy, false)
	if s.load[f.upstream.Key]--; s.load[f.upstream.Key] <= 0 {
		delete(s.load, f.upstream.Key)
	}
}

// countBusy follows a change of a flow's state.
func (s *Steerer) countBusy(upstream uint64, was, is bool) {
	switch {
	case is && !was:
		s.busy[upstream]++
	case was && !is:
		if s.busy[upstream]--; s.busy[upstream] <= 0 {
			delete(s.busy, upstream)
		}
	}
}

// maintain notes openings that stayed without an answer and forgets idle flows.
func (s *Steerer) maintain(now time.Time) {
	for len(s.openings) > 0 && now.Sub(s.openings[0].at) > silentOpening {
		o := s.openings[0]
		s.openings = s.openings[1:]
		if f := s.flows[o.key]; f != nil && !f.isOpen && f.lastSeen.Equal(o.at) {
			s.tracker.OpeningUnanswered(f.upstream.Key, o.at, now)
			s.forget(o.key)
		}
	}
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	snapshot := s.options.Catalog.Current()
	idle := defaultIdle
	if snapshot.Config != nil && snapshot.Config.IdleTimeout > 0 {
		idle = snapshot.Config.IdleTimeout
	}
	confirmedAt := s.options.Belief.UpstreamsValidatedAt()
	for key, f := range s.flows {
		switch {
		case now.Sub(f.lastSeen) > idle:
			s.forget(key)
		case f.isOpen && snapshot.Fate(f.upstream.Key, confirmedAt) == catalog.FateGone:
			s.end(key, f, ReasonUpstreamGone)
		}
	}
	for token, since := range s.unknown {
		if now.Sub(since) > defaultIdle {
			delete(s.unknown, token)
		}
	}
	s.tracker.Forget(func(key uint64) bool { return s.load[key] > 0 || s.tracker.IsSuspect(key, now) })
}
