package inband

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
)

// Action is what happens to a packet.
type Action uint8

// Actions on a packet.
const (
	ActionDrop Action = iota
	ActionForward
	// ActionReset answers the caller that the flow has ended.
	ActionReset
	// Actions is the number of actions.
	Actions = iota
)

// String returns the action in lower case.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset"}[a]
}

// Reason says why a packet was handled as it was.
type Reason uint8

// Reasons of a verdict.
const (
	ReasonNone Reason = iota
	ReasonPlaced
	ReasonPlacedAgain
	ReasonOpen
	ReasonMissingUpstream
	ReasonNoRoute
	ReasonRouteUnconfirmed
	ReasonNoUpstream
	ReasonUnknownToken
	ReasonUpstreamGone
	ReasonUpstreamDead
	ReasonNotReady
	// Reasons is the number of reasons.
	Reasons = iota
)

// String returns the reason as counters and log lines name it.
func (r Reason) String() string {
	return [...]string{
		"none", "placed", "placed_again", "open", "missing_upstream", "no_route", "route_unconfirmed",
		"no_upstream", "unknown_token", "upstream_gone", "upstream_dead", "not_ready",
	}[r]
}

// Verdict is the decision on a packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Upstream is where the packet goes or, when the flow has ended, what it was on; nil if
	// that is not known.
	Upstream *catalog.Upstream
	// OpenedAfter is the time from the last copy of the opening packet to the caller's first
	// acknowledgement, for the packet that has it; zero for others.
	OpenedAfter time.Duration
	// IsRepeated marks a decision that was reported before.
	IsRepeated bool
}

func drop(r Reason) Verdict  { return Verdict{Action: ActionDrop, Reason: r} }
func reset(r Reason) Verdict { return Verdict{Action: ActionReset, Reason: r} }
func forward(u *catalog.Upstream, r Reason) Verdict {
	return Verdict{Action: ActionForward, Reason: r, Upstream: u}
}

// refuse answers a packet of a flow that has ended, unless the caller ends it just now.
func refuse(p platform.Packet, u *catalog.Upstream, r Reason) Verdict {
	v := reset(r)
	if p.Resets {
		v = drop(r)
	}
	v.Upstream = u
	return v
}
