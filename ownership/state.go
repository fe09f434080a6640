package ownership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// state is the state of a resource on this daemon.
type state int

const (
	// stateNone means that this daemon neither serves nor claims the resource.
	stateNone state = iota
	stateClaiming
	stateActive
)

// route holds the results of the Router methods for one resource. It is immutable.
type route struct {
	to              membership.DaemonID
	active          bool
	successor       membership.DaemonID
	previousHolders []membership.DaemonID
}

// resourceState is the state of one resource on this daemon. Its mutex is locked during calls to
// the ResourceHandler, so that the calls are serialized and consistent with the state.
type resourceState struct {
	resource Resource
	hash     uint64
	handler  ResourceHandler
	route    atomic.Pointer[route]

	mu    sync.Mutex
	zone  string
	state state
	// possibleOwners are the highest-ranked members that can own the resource. The first is the
	// desired holder.
	possibleOwners []membership.DaemonID
	// reachableMembers are the highest-ranked reachable members, including leaving ones.
	reachableMembers []membership.DaemonID
	// desiredIncarnation is the incarnation that the desired holder had when it became the desired
	// holder.
	desiredIncarnation uint64
	// previousDesired are former desired holders, the latest first.
	previousDesired []membership.DaemonID
	// holderLost is set while a dropped member may have been the last holder.
	holderLost bool
	claim      *claim
	// released is the last release to another daemon, or nil if this daemon has held the resource
	// since.
	released *release
	offer    *offer
	// mismatchSince is the time at which this daemon, as the active holder, first saw another
	// desired holder in its view. It is zero while there is no mismatch.
	mismatchSince time.Time
	// offerDelay is the current back-off between failed offers.
	offerDelay  time.Duration
	activatedAt time.Time
	// claimNotBefore and claimDelay delay the next claim after a loss of the resource.
	claimNotBefore time.Time
	claimDelay     time.Duration
	// recordsLost is set when a pause made this daemon discard its records.
	recordsLost bool
	removed     bool
}

// release records to which daemon a resource was released and, for releasedRecordsRetention, its
// records.
type release struct {
	to          membership.DaemonID
	incarnation uint64
	releasedAt  time.Time
	records     *pb.ResourceRecords
	// claimed is set when the records were sent in the response to a claim.
	claimed bool
}

func newResourceState(r Resource, handler ResourceHandler) *resourceState {
	s := &resourceState{resource: r, hash: r.hash(), handler: handler}
	s.route.Store(&route{})
	return s
}

func (s *resourceState) desiredHolder() membership.DaemonID {
	if len(s.possibleOwners) == 0 {
		return ""
	}
	return s.possibleOwners[0]
}

// applyView ranks the members of the view and handles a change of the desired holder. The caller
// holds s.mu.
func (s *resourceState) applyView(o *Ownership, view *membership.View, list []candidate, now time.Time) {
	old := s.desiredHolder()
	s.possibleOwners = rankMembers(list, s.hash, s.zone, maxRanked, membership.Member.CanOwn)
	s.reachableMembers = rankMembers(list, s.hash, s.zone, maxRanked, membership.Member.IsReachable)
	if desiredHolder := s.desiredHolder(); desiredHolder != old {
		m, _ := view.Member(desiredHolder)
		s.desiredIncarnation = m.Incarnation
		if old != "" {
			s.recordPreviousDesired(old)
		}
	}
	s.updateHolderLost(view, list)
	switch {
	case s.state == stateActive && s.desiredHolder() != o.options.Self:
		if s.mismatchSince.IsZero() {
			s.mismatchSince, s.offerDelay = now, 0
		}
	case s.state == stateActive:
		s.mismatchSince = time.Time{}
	case s.state == stateClaiming && s.desiredHolder() != o.options.Self:
		s.state, s.claim = stateNone, nil
	case s.state == stateClaiming:
		s.dropUnreachableCalls(view)
	}
	s.publishRoute(o, view)
}

// recordPreviousDesired puts a former desired holder first in previousDesired.
func (s *resourceState) recordPreviousDesired(id membership.DaemonID) {
	if at := slices.Index(s.previousDesired, id); at >= 0 {
		s.previousDesired = slices.Delete(s.previousDesired, at, at+1)
	}
	s.previousDesired = slices.Insert(s.previousDesired, 0, id)
	s.previousDesired = s.previousDesired[:min(len(s.previousDesired), maxPreviousDesired)]
}

// updateHolderLost checks whether a dropped member may have been the last holder: it was the
// desired holder in a recent view of this daemon, or it would be if it were alive.
func (s *resourceState) updateHolderLost(view *membership.View, list []candidate) {
	s.holderLost = false
	first := rankMembers(list, s.hash, s.zone, 1, func(membership.Member) bool { return true })
	for _, id := range append(first, s.previousDesired...) {
		if m, known := view.Member(id); known && m.State == pb.MemberState_MEMBER_STATE_DROPPED {
			s.holderLost = true
			return
		}
	}
}

// publishRoute computes and replaces the route. The caller holds s.mu.
func (s *resourceState) publishRoute(o *Ownership, view *membership.View) {
	self := o.options.Self
	r := &route{}
	for _, id := range s.possibleOwners {
		if id != self {
			r.successor = id
			break
		}
	}
	r.previousHolders = s.likelyHolders(view, self)
	switch {
	case s.state == stateActive:
		r.to, r.active = self, true
	case s.isRedirecting(time.Now()) && isReachable(view, s.released.to):
		r.to = s.released.to
	case s.desiredHolder() != self:
		r.to = s.desiredHolder()
	default:
		r.to = s.forwardTarget(view, r.previousHolders)
	}
	s.route.Store(r)
}

// forwardTarget returns the daemon to which packets are forwarded during a claim: the likeliest
// holder that has not denied the claim. It returns "" when the last holder is lost, since packets
// would then only be forwarded back and forth.
func (s *resourceState) forwardTarget(view *membership.View, likely []membership.DaemonID) membership.DaemonID {
	if s.holderLost && len(s.previousDesired) > 0 && !isReachable(view, s.previousDesired[0]) {
		return ""
	}
	for _, id := range likely {
		if s.claim == nil || !s.claim.denied[id] {
			return id
		}
	}
	return ""
}

func (s *resourceState) isRedirecting(now time.Time) bool {
	return s.released != nil && now.Sub(s.released.releasedAt) < redirectDuration
}

// likelyHolders returns the reachable daemons that may hold the resource or have records of it,
// the likeliest first.
func (s *resourceState) likelyHolders(view *membership.View, self membership.DaemonID) []membership.DaemonID {
	list := make([]membership.DaemonID, 0, maxRanked+maxPreviousDesired+1)
	add := func(id membership.DaemonID) {
		if id != self && !slices.Contains(list, id) && isReachable(view, id) {
			list = append(list, id)
		}
	}
	if s.released != nil {
		add(s.released.to)
	}
	for _, id := range s.previousDesired {
		add(id)
	}
	for _, id := range s.reachableMembers {
		add(id)
	}
	return list
}

func isReachable(view *membership.View, id membership.DaemonID) bool {
	m, known := view.Member(id)
	return known && m.IsReachable()
}

// activate starts serving the resource. The caller holds s.mu.
func (s *resourceState) activate(o *Ownership, records *pb.ResourceRecords, p Provenance) {
	s.state, s.claim, s.released, s.offer = stateActive, nil, nil, nil
	s.recordsLost, s.activatedAt = false, time.Now()
	s.mismatchSince, s.offerDelay = time.Time{}, 0
	s.handler.Activate(s.resource, records, p)
	if s.desiredHolder() != o.options.Self {
		s.mismatchSince = time.Now()
	}
	s.publishRoute(o, o.options.Viewer.View())
	o.logActivation(s.resource, p)
}

// releaseTo stops serving the resource and returns its records, which are also kept for
// releasedRecordsRetention. The caller holds s.mu, and the state must be active.
func (s *resourceState) releaseTo(o *Ownership, to membership.DaemonID, incarnation uint64) *pb.ResourceRecords {
	records := setResource(s.resource, s.handler.Release(s.resource))
	now := time.Now()
	s.state, s.claim = stateNone, nil
	s.mismatchSince = time.Time{}
	s.released = &release{to: to, incarnation: incarnation, releasedAt: now, records: records}
	if now.Sub(s.activatedAt) > 2*reclaimDelayMax {
		s.claimDelay = 0
	}
	if s.desiredHolder() == o.options.Self {
		s.claimDelay = min(max(2*s.claimDelay, reclaimDelayMin), reclaimDelayMax)
		s.claimNotBefore = now.Add(jitter(s.claimDelay))
	}
	o.options.Counters.Count("ownership.released")
	s.publishRoute(o, o.options.Viewer.View())
	return records
}

// discard stops serving the resource and discards its records and any claim or offer in progress.
// The caller holds s.mu.
func (s *resourceState) discard(o *Ownership) {
	if s.state == stateActive {
		s.handler.Release(s.resource)
	}
	s.recordsLost = s.recordsLost || s.state == stateActive
	s.state, s.claim, s.released, s.offer = stateNone, nil, nil, nil
	s.mismatchSince = time.Time{}
	s.publishRoute(o, o.options.Viewer.View())
}

// remove stops serving a resource that is no longer configured.
func (s *resourceState) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	if s.state == stateActive {
		s.handler.Release(s.resource)
	}
	s.state, s.claim, s.offer = stateNone, nil, nil
	s.route.Store(&route{})
}
