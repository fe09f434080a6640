package command

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// Errors of an edit, besides those of package declaration.
var (
	ErrBadNumber = errors.New("not a whole number from 0 to 4294967295")
	ErrUnknownID = errors.New("change id is not among the changes in the store")
	// ErrNothingToAbort reports the abort of a change that started no drain or whose drains have ended.
	ErrNothingToAbort = errors.New("change began no drain that is still going on")
	// ErrLastDaemon reports the drain of the only declared daemon that is active.
	ErrLastDaemon = errors.New("no other declared daemon is active")
)

// Edit returns the configuration after the command; it does not modify previous. It returns the
// errors of package declaration, ErrBadNumber, ErrUnknownID, ErrNothingToAbort or ErrLastDaemon.
func (c *Command) Edit(previous *pb.Configuration, change declaration.Change) (*pb.Configuration, error) {
	switch {
	case c.AddUpstream != nil:
		return c.AddUpstream.edit(previous, change)
	case c.SetState != nil:
		return c.SetState.edit(previous, change)
	case c.Remove != nil:
		return c.Remove.edit(previous, change)
	case c.SetAim != nil:
		aim, _ := declaration.ParseAim(c.SetAim.Aim)
		return declaration.SetAim(previous, c.SetAim.Service, aim, change)
	case c.SetLimit != nil:
		return c.SetLimit.edit(previous, change)
	default:
		return c.Abort.edit(previous, change)
	}
}

func (a *AddUpstream) edit(previous *pb.Configuration, change declaration.Change) (*pb.Configuration, error) {
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w, allowed IP:PORT", a.Address, declaration.ErrInvalidValue)
	}
	slots, err := parseNumber("slots", a.Slots)
	if err != nil {
		return nil, err
	}
	weight, err := parseNumber("weight", a.Weight)
	if err != nil {
		return nil, err
	}
	return declaration.AddUpstream(previous, declaration.Upstream{
		Name: a.Name, Service: a.Service, Zone: a.Zone, Address: address, Slots: slots, Weight: weight,
	}, change)
}

// parseNumber parses an optional number; it returns 0, which means the default, for an empty word.
func parseNumber(field, word string) (uint32, error) {
	if word == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(word, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%s %q: %w", field, word, ErrBadNumber)
	}
	return uint32(n), nil
}

// serviceNameFor returns the name of the service that the upstream belongs to.
func serviceNameFor(c *pb.Configuration, upstream string) (string, error) {
	for _, s := range c.GetServices() {
		for _, u := range s.GetUpstreams() {
			if u.GetName() == upstream {
				return s.GetName(), nil
			}
		}
	}
	return "", fmt.Errorf("%w: %q", declaration.ErrUnknownUpstream, upstream)
}

func (s *SetState) edit(previous *pb.Configuration, change declaration.Change) (*pb.Configuration, error) {
	state := pb.DeclaredState_DECLARED_STATE_ACTIVE
	if s.Verb == "drain" {
		state = pb.DeclaredState_DECLARED_STATE_DRAINING
	}
	if s.Kind == "daemon" {
		if s.Verb == "drain" && isLastDaemon(previous, s.Name) {
			return nil, fmt.Errorf("daemon %q: %w", s.Name, ErrLastDaemon)
		}
		return declaration.SetDaemonState(previous, s.Name, state, change)
	}
	service, err := serviceNameFor(previous, s.Name)
	if err != nil {
		return nil, err
	}
	return declaration.SetUpstreamState(previous, service, s.Name, state, change)
}

// isLastDaemon reports whether the daemon is the only one that is declared active.
func isLastDaemon(c *pb.Configuration, name string) bool {
	found := false
	for _, d := range c.GetDaemons() {
		switch {
		case d.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING:
		case d.GetName() == name:
			found = true
		default:
			return false
		}
	}
	return found
}

func (r *Remove) edit(previous *pb.Configuration, change declaration.Change) (*pb.Configuration, error) {
	service, err := serviceNameFor(previous, r.Name)
	if err != nil {
		return nil, err
	}
	return declaration.RemoveUpstream(previous, service, r.Name, r.Force != "", change)
}

func (s *SetLimit) edit(previous *pb.Configuration, change declaration.Change) (*pb.Configuration, error) {
	value, err := parseNumber(s.Limit, s.Value)
	if err != nil {
		return nil, err
	}
	limits, err := currentLimits(previous, s.Service)
	if err != nil {
		return nil, err
	}
	switch s.Limit {
	case "queue-length":
		limits.QueueLength = value
	case "retry-percent":
		limits.RetryPercent = value
	case "idle-ms":
		limits.IdleLimit = time.Duration(value) * time.Millisecond
	case "drain-ms":
		limits.DrainLimit = time.Duration(value) * time.Millisecond
	default:
		limits.LoadBoundPercent = value
	}
	return declaration.SetLimits(previous, s.Service, limits, change)
}

// currentLimits returns the limits of a service in the configuration.
func currentLimits(c *pb.Configuration, service string) (declaration.Limits, error) {
	for _, s := range c.GetServices() {
		if s.GetName() != service {
			continue
		}
		l := s.GetLimits()
		return declaration.Limits{
			QueueLength: l.GetQueueLength(), RetryPercent: l.GetRetryPercent(),
			IdleLimit:        time.Duration(l.GetIdleLimitMs()) * time.Millisecond,
			DrainLimit:       time.Duration(l.GetDrainLimitMs()) * time.Millisecond,
			LoadBoundPercent: l.GetLoadBoundPercent(),
		}, nil
	}
	return declaration.Limits{}, fmt.Errorf("%w: %q", declaration.ErrUnknownService, service)
}
