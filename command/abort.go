package command

import (
	"fmt"
	"net/netip"
	"strings"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// edit makes the upstreams and daemons active again whose drain the change began and which
// still drain. The edit is one declaration, so that it counts one generation however many
// drains it reverses.
func (a *Abort) edit(previous *pb.Configuration, change declaration.Change) (*pb.Configuration, error) {
	begun, later := findChange(previous.GetHistory(), a.ChangeID)
	if begun == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownID, a.ChangeID)
	}
	reversed := 0
	stateOf := func(draining bool) pb.DeclaredState {
		if !draining {
			return pb.DeclaredState_DECLARED_STATE_UNSPECIFIED
		}
		reversed++
		return pb.DeclaredState_DECLARED_STATE_ACTIVE
	}
	d, err := redeclare(previous, func(u *pb.Upstream) pb.DeclaredState {
		return stateOf(isDraining(u.GetState()) && u.GetDrainingSinceMs() == begun.GetCommittedAtMs())
	}, func(daemon *pb.DeclaredDaemon) pb.DeclaredState {
		return stateOf(isDraining(daemon.GetState()) && drains(begun, later, daemon.GetName()))
	})
	if err != nil {
		return nil, err
	}
	if reversed == 0 {
		return nil, fmt.Errorf("%w: %q", ErrNothingToAbort, a.ChangeID)
	}
	next, _ := declaration.Build(previous, d, change.ID, change.Author, change.At)
	return next, nil
}

func isDraining(s pb.DeclaredState) bool { return s == pb.DeclaredState_DECLARED_STATE_DRAINING }

// redeclare returns the declaration of a configuration with the states that the functions
// give; unspecified leaves a state as it is.
func redeclare(c *pb.Configuration, ofUpstream func(*pb.Upstream) pb.DeclaredState, ofDaemon func(*pb.DeclaredDaemon) pb.DeclaredState) (*declaration.Declaration, error) {
	d := &declaration.Declaration{Deployment: c.GetDeployment(), Zones: c.GetZones()}
	for _, declared := range c.GetDaemons() {
		d.Daemons = append(d.Daemons, declaration.Daemon{Name: declared.GetName(), State: ofDaemon(declared)})
	}
	for _, s := range c.GetServices() {
		address, err := netip.ParseAddrPort(s.GetAddress())
		if err != nil {
			return nil, fmt.Errorf("service %s: address %q: %w", s.GetName(), s.GetAddress(), declaration.ErrInvalidValue)
		}
		limits, err := currentLimits(c, s.GetName())
		if err != nil {
			return nil, err
		}
		d.Services = append(d.Services, declaration.Service{Name: s.GetName(), Address: address, Aim: s.GetAim(), Limits: limits})
		for _, u := range s.GetUpstreams() {
			address, err := netip.ParseAddrPort(u.GetAddress())
			if err != nil {
				return nil, fmt.Errorf("upstream %s: address %q: %w", u.GetName(), u.GetAddress(), declaration.ErrInvalidValue)
			}
			d.Upstreams = append(d.Upstreams, declaration.Upstream{
				Name: u.GetName(), Service: s.GetName(), Zone: u.GetZone(), Address: address,
				Slots: u.GetSlots(), Weight: u.GetWeight(), State: ofUpstream(u),
			})
		}
	}
	return d, nil
}

// findChange returns the record of a change and those after it. The history is newest first.
func findChange(history []*pb.ChangeRecord, id string) (found *pb.ChangeRecord, later []*pb.ChangeRecord) {
	for i, r := range history {
		if r.GetChangeId() == id {
			return r, history[:i]
		}
	}
	return nil, nil
}

// drains reports whether a change began the drain of a daemon and no later one did so again.
// The configuration dates the drains of upstreams only, so the summaries tell.
func drains(begun *pb.ChangeRecord, later []*pb.ChangeRecord, daemon string) bool {
	for _, r := range later {
		if beginsDrain(r, daemon) {
			return false
		}
	}
	return beginsDrain(begun, daemon)
}

func beginsDrain(r *pb.ChangeRecord, daemon string) bool {
	for line := range strings.SplitSeq(r.GetSummary(), "; ") {
		if line == "daemon "+daemon+" is draining" {
			return true
		}
	}
	return false
}
