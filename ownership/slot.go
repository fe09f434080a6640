package ownership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

type state int

const (
	stateNone state = iota
	stateClaiming
	stateActive
)

// route is what the Router methods read. It is immutable.
type route struct {
	to        membership.DaemonID
	active    bool
	successor membership.DaemonID
	previous  []membership.DaemonID
}

// slot is the state of one resource. Its mutex is held during calls of the Keeper, so that
// they come one at a time and agree with the state.
type slot struct {
	resource Resource
	hash     uint64
	keeper   Keeper
	route    atomic.Pointer[route]

	mu    sync.Mutex
	zone  string
	state state
	// ranked are the first members that can own the resource; the first is the desired holder.
	ranked []membership.DaemonID
	// holders are the first reachable members, including those that leave.
	holders []membership.DaemonID
	// desiredIncarnation is the incarnation in which the desired holder became it.
	desiredIncarnation uint64
	// previous are earlier desired holders, newest first.
	previous []membership.DaemonID
	// lost is set while a dropped member may have held the resource last.
	lost  bool
	claim *claim
	// released is the last release to another daemon; nil when this daemon held it since.
	released *release
	offer    *offer
	// mismatchSince is when an active holder first saw another desired holder.
	mismatchSince time.Time
	offerDelay    time.Duration
	activatedAt   time.Time
	holdUntil     time.Time
	holdDelay     time.Duration
	// unreliable is set when records were lost here in a pause.
	unreliable bool
	removed    bool
}

// release remembers to whom a resource went and, for keepReleased, its records.
type release struct {
	to          membership.DaemonID
	incarnation uint64
	at          time.Time
	records     *pb.ResourceRecords
	// claimed is set when the records went out in an answer to a claim.
	claimed bool
}

func newSlot(r Resource, keeper Keeper) *slot {
	s := &slot{resource: r, hash: r.hash(), keeper: keeper}
	s.route.Store(&route{})
	return s
}

func (s *slot) desired() membership.DaemonID {
	if len(s.ranked) == 0 {
		return ""
	}
	return s.ranked[0]
}

// applyView computes the ranks and reacts to a change of the desired holder. s.mu is held.
func (s *slot) applyView(o *Ownership, view *membership.View, list []candidate, now time.Time) {
	old := s.desired()
	s.ranked = rank(list, s.hash, s.zone, ranks, membership.Member.CanOwn)
	s.holders = rank(list, s.hash, s.zone, ranks, membership.Member.IsReachable)
	if desired := s.desired(); desired != old {
		m, _ := view.Member(desired)
		s.desiredIncarnation = m.Incarnation
		if old != "" {
			s.remember(old)
		}
	}
	s.noteLosses(view, list)
	switch {
	case s.state == stateActive && s.desired() != o.options.Self:
		if s.mismatchSince.IsZero() {
			s.mismatchSince, s.offerDelay = now, 0
		}
	case s.state == stateActive:
		s.mismatchSince = time.Time{}
	case s.state == stateClaiming && s.desired() != o.options.Self:
		s.state, s.claim = stateNone, nil
	case s.state == stateClaiming:
		s.dropLostAsks(view)
	}
	s.publish(o, view)
}

// remember puts a former desired holder first among the previous ones.
func (s *slot) remember(id membership.DaemonID) {
	if at := slices.Index(s.previous, id); at >= 0 {
		s.previous = slices.Delete(s.previous, at, at+1)
	}
	s.previous = slices.Insert(s.previous, 0, id)
	s.previous = s.previous[:min(len(s.previous), previousViews)]
}

// noteLosses finds out whether a dropped member may have been the last holder: it was
// desired in a recent view here, or it would be the desired holder if it still lived.
func (s *slot) noteLosses(view *membership.View, list []candidate) {
	s.lost = false
	first := rank(list, s.hash, s.zone, 1, func(membership.Member) bool { return true })
	for _, id := range append(first, s.previous...) {
		if m, known := view.Member(id); known && m.State == pb.MemberState_MEMBER_STATE_DROPPED {
			s.lost = true
			return
		}
	}
}

// publish replaces the route. s.mu is held.
func (s *slot) publish(o *Ownership, view *membership.View) {
	self := o.options.Self
	r := &route{}
	for _, id := range s.ranked {
		if id != self {
			r.successor = id
			break
		}
	}
	r.previous = s.likelyHolders(view, self)
	switch {
	case s.state == stateActive:
		r.to, r.active = self, true
	case s.redirects(time.Now()) && isReachable(view, s.released.to):
		r.to = s.released.to
	case s.desired() != self:
		r.to = s.desired()
	default:
		r.to = s.forwardWhileClaiming(view, r.previous)
	}
	s.route.Store(r)
}

// forwardWhileClaiming returns the likeliest holder that has not denied, or "" when the last
// holder is lost and forwarding would only send packets back and forth.
func (s *slot) forwardWhileClaiming(view *membership.View, likely []membership.DaemonID) membership.DaemonID {
	if s.lost && len(s.previous) > 0 && !isReachable(view, s.previous[0]) {
		return ""
	}
	for _, id := range likely {
		if s.claim == nil || !s.claim.denied[id] {
			return id
		}
	}
	return ""
}

func (s *slot) redirects(now time.Time) bool {
	return s.released != nil && now.Sub(s.released.at) < redirectFor
}

// likelyHolders returns reachable daemons that may hold the resource or know its records.
func (s *slot) likelyHolders(view *membership.View, self membership.DaemonID) []membership.DaemonID {
	list := make([]membership.DaemonID, 0, ranks+previousViews+1)
	add := func(id membership.DaemonID) {
		if id != self && !slices.Contains(list, id) && isReachable(view, id) {
			list = append(list, id)
		}
	}
	if s.released != nil {
		add(s.released.to)
	}
	for _, id := range s.previous {
		add(id)
	}
	for _, id := range s.holders {
		add(id)
	}
	return list
}

func isReachable(view *membership.View, id membership.DaemonID) bool {
	m, known := view.Member(id)
	return known && m.IsReachable()
}

// activate starts to serve the resource. s.mu is held.
func (s *slot) activate(o *Ownership, records *pb.ResourceRecords, p Provenance) {
	s.state, s.claim, s.released, s.offer = stateActive, nil, nil, nil
	s.unreliable, s.activatedAt = false, time.Now()
	s.mismatchSince, s.offerDelay = time.Time{}, 0
	s.keeper.Activate(s.resource, records, p)
	if s.desired() != o.options.Self {
		s.mismatchSince = time.Now()
	}
	s.publish(o, o.options.Viewer.View())
	o.logActivation(s.resource, p)
}

// giveTo stops serving the resource and returns its records, which are kept for a while.
// s.mu is held and the state is active.
func (s *slot) giveTo(o *Ownership, to membership.DaemonID, incarnation uint64) *pb.ResourceRecords {
	records := recordsFor(s.resource, s.keeper.Release(s.resource))
	now := time.Now()
	s.state, s.claim = stateNone, nil
	s.mismatchSince = time.Time{}
	s.released = &release{to: to, incarnation: incarnation, at: now, records: records}
	if now.Sub(s.activatedAt) > 2*reclaimMax {
		s.holdDelay = 0
	}
	if s.desired() == o.options.Self {
		s.holdDelay = min(max(2*s.holdDelay, reclaimMin), reclaimMax)
		s.holdUntil = now.Add(jitter(s.holdDelay))
	}
	o.options.Counters.Count("ownership.released")
	s.publish(o, o.options.Viewer.View())
	return records
}

// forget drops everything that this daemon knows of the resource. s.mu is held.
func (s *slot) forget(o *Ownership) {
	if s.state == stateActive {
		s.keeper.Release(s.resource)
	}
	s.unreliable = s.unreliable || s.state == stateActive
	s.state, s.claim, s.released, s.offer = stateNone, nil, nil, nil
	s.mismatchSince = time.Time{}
	s.publish(o, o.options.Viewer.View())
}

// remove ends a slot whose resource is no longer configured.
func (s *slot) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	if s.state == stateActive {
		s.keeper.Release(s.resource)
	}
	s.state, s.claim, s.offer = stateNone, nil, nil
	s.route.Store(&route{})
}
