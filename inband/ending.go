package inband

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

// evidence is what this daemon knows of an open flow at a time. Whatever it does not know is its zero value,
// which ends no flow.
type evidence struct {
	// flow is nil if the flow is new to this daemon.
	flow *flow
	// upstream is the flow's upstream as the catalog has it, of whichever incarnation, nil if it has none.
	upstream *catalog.Upstream
	status   catalog.RegistrationStatus
	// isRouteRemoved means that a configuration which was the latest after the first packet of this flow
	// without a route has no route either.
	isRouteRemoved bool
	// isUnlisted means that a list of upstreams which was complete after the flow was known to be open
	// contains no entry of the flow's upstream, also none that cannot be decoded or has another address.
	isUnlisted bool
	// isSilent means that the upstream responds neither to the data of this flow nor on others.
	isSilent bool
	// mayEndSilent means that the caller loses nothing by a reset while the upstream is silent: no request
	// is in progress, or its caller may retry it.
	mayEndSilent bool
}

// ending returns the reason for which a flow has certainly ended, or ReasonNone if it goes on or waits. Every
// reset of an open flow rests on it. docs/design.md says what each reason proves. Entries of several incarnations of
// the upstream end no flow: nothing shows which of the processes accepted it, and a process that runs resets the
// flows that it does not hold.
func (e evidence) ending() Reason {
	switch {
	case e.isRouteRemoved:
		return ReasonNoRoute
	case e.upstream == nil && e.isUnlisted:
		return ReasonUnknownToken
	case e.upstream == nil:
		return ReasonNone
	case e.status == catalog.StatusDeregistered && e.isUnlisted:
		return ReasonUpstreamDeregistered
	case e.isSilent && e.mayEndSilent:
		return ReasonUpstreamDead
	default:
		return ReasonNone
	}
}

// isOlderThan reports whether the flow was known to be open before the upstreams were validated, so that the
// records show its upstream as it was afterwards. Another flow to the same ID may have been opened later,
// through a daemon that has read a newer entry.
func (e evidence) isOlderThan(validatedAt time.Time) bool {
	f := e.flow
	return f != nil && f.isOpen && f.upstream.ID == e.upstream.ID && validatedAt.Sub(f.openSince) >= validationMargin
}

// validationMargin is by how much the time of a validation may be too late, because of suspensions that are too short to
// be accounted.
const validationMargin = 300 * time.Millisecond

// gather returns the evidence on the flow of a packet. It also reports whether the flow waits for evidence that
// is not there yet, and whether it already did at an earlier packet.
func (s *Steerer) gather(known state, p platform.Packet, now time.Time) (e evidence, isWaiting, hasWaited bool) {
	e.flow = s.flows[p.Flow]
	if e.upstream = known.ByToken(p.Flow.Service(), p.Token); e.upstream != nil {
		e.status = known.status(e.upstream)
	}
	hasRoute := known.Route(p.Flow.Service()) != nil
	isRegistered := e.upstream != nil && e.status != catalog.StatusDeregistered
	e.isUnlisted = e.upstream != nil && e.isOlderThan(known.upstreamsValidatedAt)
	if hasRoute && (isRegistered || e.isUnlisted) {
		if len(s.unresolvedFlows) > 0 {
			delete(s.unresolvedFlows, unresolvedFlow{p.Flow, p.Token})
		}
		return e, false, false
	}
	since, status := s.recordUnresolved(p, now)
	if status == notTracked {
		return e, true, false
	}
	if !hasRoute {
		e.isRouteRemoved = s.options.Freshness.ConfigValidatedSince(since) && s.isCurrent(known)
	}
	if !isRegistered && !e.isUnlisted && !e.isRouteRemoved {
		e.isUnlisted = s.isUnlistedSince(known, e.upstream, p.Token, since)
	}
	return e, true, status == alreadyTracked
}

// isUnlistedSince reports whether a complete list after a time shows that the upstream of a token, nil if the token names
// none, is not registered.
func (s *Steerer) isUnlistedSince(known state, u *catalog.Upstream, token uint32, since time.Time) bool {
	if u == nil && known.MayHaveEntry(token) {
		return false
	}
	return s.options.Freshness.UpstreamsListedSince(since) && s.isCurrent(known)
}

// isCurrent reports whether the catalog still holds the snapshot. Freshness that was read after the snapshot
// describes the snapshot only if it does.
func (s *Steerer) isCurrent(known state) bool { return s.options.Catalog.Current() == known.Snapshot }

// trackingStatus is whether a flow is in the table of unresolved flows.
type trackingStatus uint8

const (
	// notTracked means that the table is full.
	notTracked trackingStatus = iota
	newlyTracked
	alreadyTracked
)

// recordUnresolved returns the time of the first packet of a flow whose upstream or route is unknown.
func (s *Steerer) recordUnresolved(p platform.Packet, now time.Time) (time.Time, trackingStatus) {
	key := unresolvedFlow{p.Flow, p.Token}
	if since, seen := s.unresolvedFlows[key]; seen {
		return since, alreadyTracked
	}
	if len(s.unresolvedFlows) >= maxUnresolvedFlows {
		return time.Time{}, notTracked
	}
	s.unresolvedFlows[key] = now
	return now, newlyTracked
}

// end removes the flow of a packet, and returns the verdict on that packet: a reset of the caller, unless the
// packet itself is a reset.
func (s *Steerer) end(p platform.Packet, e evidence, r Reason, now time.Time) Verdict {
	v := reset(r)
	if p.Resets {
		v = drop(r)
	}
	v.Upstream, v.OpenFor = e.upstream, e.flow.openFor(now)
	s.removeFlow(p.Flow)
	return v
}

// endFlow removes a flow, and records it for a proactive reset of its caller.
func (s *Steerer) endFlow(key wire.FlowKey, f *flow, r Reason, now time.Time) {
	s.endedFlows = append(s.endedFlows,
		EndedFlow{Flow: key, Acknowledged: f.acknowledged, Upstream: f.upstream, Reason: r, OpenFor: f.openFor(now)})
	s.removeFlow(key)
}

// endIdleFlows ends the idle flows of an upstream that does not respond, and those on which a retryable
// request that the upstream has acknowledged is in progress.
func (s *Steerer) endIdleFlows(known state, upstream uint64, now time.Time) {
	for key, f := range s.flows {
		if f.upstream.Key != upstream {
			continue
		}
		e := evidence{flow: f, upstream: f.upstream, isSilent: true,
			mayEndSilent: f.isIdle(now) || f.isQuiet(now) && isRetryable(known, key)}
		if r := e.ending(); r != ReasonNone {
			s.endFlow(key, f, r, now)
		}
	}
}

// checkUpstream ends an open flow that has certainly ended at its upstream, and otherwise assigns it to the incarnation
// that the catalog has at the address where it was opened.
func (s *Steerer) checkUpstream(known state, key wire.FlowKey, f *flow, now time.Time) {
	u := known.Latest(f.upstream.ID)
	if u == nil {
		return
	}
	e := evidence{flow: f, upstream: u, status: known.status(u)}
	e.isUnlisted = e.isOlderThan(known.upstreamsValidatedAt)
	if r := e.ending(); r != ReasonNone {
		s.endFlow(key, f, r, now)
	} else if u.Key != f.upstream.Key && u.Address == f.upstream.Address {
		s.moveFlow(f, u, now)
	}
}

// isRetryable reports whether callers may retry the requests of a flow's route.
func isRetryable(known state, key wire.FlowKey) bool {
	route := known.Route(key.Service())
	return route != nil && route.Kind.IsRetryable()
}
