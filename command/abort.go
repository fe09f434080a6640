package command

import (
	"fmt"
	"net/netip"
	"strings"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// edit reverses the drains that the aborted change started and that are still going on: it declares
// the upstreams and daemons active. It builds one declaration, so that the abort adds one generation
// however many drains it reverses.
func (a *Abort) edit(previous *pb.Configuration, change declaration.Change) (*pb.Configuration, error) {
	aborted, laterChanges := findChange(previous.GetHistory(), a.ChangeID)
	if aborted == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownID, a.ChangeID)
	}
	reversedDrains := 0
	newState := func(draining bool) pb.DeclaredState {
		if !draining {
			return pb.DeclaredState_DECLARED_STATE_UNSPECIFIED
		}
		reversedDrains++
		return pb.DeclaredState_DECLARED_STATE_ACTIVE
	}
	d, err := declarationWithStates(previous, func(u *pb.Upstream) pb.DeclaredState {
		return newState(isDraining(u.GetState()) && u.GetDrainingSinceMs() == aborted.GetCommittedAtMs())
	}, func(daemon *pb.DeclaredDaemon) pb.DeclaredState {
		return newState(isDraining(daemon.GetState()) && startedLatestDrain(aborted, laterChanges, daemon.GetName()))
	})
	if err != nil {
		return nil, err
	}
	if reversedDrains == 0 {
		return nil, fmt.Errorf("%w: %q", ErrNothingToAbort, a.ChangeID)
	}
	next, _ := declaration.Build(previous, d, change.ID, change.Author, change.At)
	return next, nil
}

func isDraining(s pb.DeclaredState) bool { return s == pb.DeclaredState_DECLARED_STATE_DRAINING }

// declarationWithStates returns the declaration of a configuration with the states that the functions
// return; an unspecified state leaves the declared one unchanged.
func declarationWithStates(c *pb.Configuration, upstreamState func(*pb.Upstream) pb.DeclaredState, daemonState func(*pb.DeclaredDaemon) pb.DeclaredState) (*declaration.Declaration, error) {
	d := &declaration.Declaration{Deployment: c.GetDeployment(), Zones: c.GetZones()}
	for _, declared := range c.GetDaemons() {
		d.Daemons = append(d.Daemons, declaration.Daemon{Name: declared.GetName(), State: daemonState(declared)})
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
				Slots: u.GetSlots(), Weight: u.GetWeight(), State: upstreamState(u),
			})
		}
	}
	return d, nil
}

// findChange returns the record of a change and the records of later changes. The history is sorted
// newest first.
func findChange(history []*pb.ChangeRecord, id string) (found *pb.ChangeRecord, laterChanges []*pb.ChangeRecord) {
	for i, r := range history {
		if r.GetChangeId() == id {
			return r, history[:i]
		}
	}
	return nil, nil
}

// startedLatestDrain reports whether a change started the drain of a daemon and no later change
// started another drain of it. It reads the summaries of the changes, since the configuration has the
// start times of drains for upstreams only.
func startedLatestDrain(change *pb.ChangeRecord, laterChanges []*pb.ChangeRecord, daemon string) bool {
	for _, r := range laterChanges {
		if startsDrain(r, daemon) {
			return false
		}
	}
	return startsDrain(change, daemon)
}

// startsDrain reports whether the summary of a change says that it started the drain of a daemon.
func startsDrain(r *pb.ChangeRecord, daemon string) bool {
	for line := range strings.SplitSeq(r.GetSummary(), "; ") {
		if line == "daemon "+daemon+" is draining" {
			return true
		}
	}
	return false
}
