package inband

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// Action is the way in which a packet is handled.
type Action uint8

// Actions on a packet.
const (
	ActionDrop Action = iota
	ActionForward
	// ActionReset sends a reset to the caller, which ends the flow.
	ActionReset
	// ActionHold keeps an opening packet until Steerer.TakeHeld returns its flow.
	ActionHold
	// ActionCount is the number of actions.
	ActionCount = iota
)

// String returns the action in lower case.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset", "hold"}[a]
}

// Reason is the reason of a verdict.
type Reason uint8

// Reasons of a verdict.
const (
	ReasonNone Reason = iota
	ReasonPlaced
	// ReasonPlacedAgain means that the opening packet was received more than once.
	ReasonPlacedAgain
	// ReasonOpen means that the packet belongs to an open flow.
	ReasonOpen
	// ReasonMissingUpstream means that the packet belongs to an open flow whose upstream has the
	// status catalog.StatusMissing.
	ReasonMissingUpstream
	ReasonNoRoute
	// ReasonRouteUnvalidated means that there is no route, but the configuration may be stale: opening
	// packets are dropped, and packets of open flows are forwarded.
	ReasonRouteUnvalidated
	ReasonNoUpstream
	// ReasonUpstreamsUnvalidated means that no upstream accepts the flow as far as this daemon knows,
	// but that one may have registered lately.
	ReasonUpstreamsUnvalidated
	ReasonUnknownToken
	ReasonUpstreamDeregistered
	ReasonUpstreamDead
	ReasonNotReady
	// ReasonZoneEvacuated means that the only upstreams which accept flows are in evacuated zones.
	ReasonZoneEvacuated
	// ReasonAdmissionWait means that the opening packet waits for a request in progress to end.
	ReasonAdmissionWait
	// ReasonOverloaded means that the flow could not be answered within its objective.
	ReasonOverloaded
	// ReasonColdLimit means that the only upstreams which accept flows are cold and receive no more opening
	// packets for now.
	ReasonColdLimit
	// ReasonCount is the number of reasons.
	ReasonCount = iota
)

// String returns the reason as it is written in counters and log lines.
func (r Reason) String() string {
	return [...]string{
		"none", "placed", "placed_again", "open", "missing_upstream", "no_route", "route_unconfirmed",
		"no_upstream", "upstreams_unconfirmed", "unknown_token", "upstream_gone", "upstream_dead", "not_ready",
		"zone_evacuated", "admission_wait", "overloaded", "cold_limit",
	}[r]
}

// Proof returns what shows that a flow has ended for the reason, empty for a reason that ends no open flow.
func (r Reason) Proof() string {
	return map[Reason]string{
		ReasonNoRoute:              "a later configuration has no route",
		ReasonUnknownToken:         "a later list has no such upstream",
		ReasonUpstreamDeregistered: "the entry was missing for the grace period in validated lists",
		ReasonUpstreamDead:         "several copies of data got no response, on any flow",
	}[r]
}

// Verdict is the decision on a packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Upstream is the upstream to which the packet is forwarded or, when the flow has ended, that
	// to which the flow belonged. It is nil if there is none or it is unknown.
	Upstream *catalog.Upstream
	// OpenLatency is the time from the last transmission of the opening packet to the caller's
	// first acknowledgement. It is set for the packet with that acknowledgement and zero for others.
	OpenLatency time.Duration
	// OpenFor is for how long this daemon has known a flow to be open that it ends. It is zero if the
	// flow is new to this daemon.
	OpenFor time.Duration
	// IsRepeated is set if the same verdict was returned for the token before.
	IsRepeated bool
}

// drop, reset and forward return verdicts with the actions of the same names.
func drop(r Reason) Verdict  { return Verdict{Action: ActionDrop, Reason: r} }
func reset(r Reason) Verdict { return Verdict{Action: ActionReset, Reason: r} }
func forward(u *catalog.Upstream, r Reason) Verdict {
	return Verdict{Action: ActionForward, Reason: r, Upstream: u}
}
