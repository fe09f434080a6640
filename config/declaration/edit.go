package declaration

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// AddUpstream declares a further upstream. The defaults are weight 1 and state active. Errors are
// ErrUnknownService, ErrUnknownZone, ErrDuplicateName, ErrDuplicateAddress and ErrInvalidValue.
func AddUpstream(previous *pb.Configuration, u Upstream, change Change) (*pb.Configuration, error) {
	return applyEdit(previous, change, func(next *pb.Configuration) error {
		service := findService(next, u.Service)
		if service == nil {
			return fmt.Errorf("%w: %q", ErrUnknownService, u.Service)
		}
		if u.Weight == 0 {
			u.Weight = defaultWeight
		}
		if err := validateUpstream(next, u); err != nil {
			return err
		}
		service.Upstreams = append(service.Upstreams, buildUpstream(nil, next, u, change.At))
		return nil
	})
}

// validateUpstream returns an error if an upstream cannot be added to a configuration.
func validateUpstream(c *pb.Configuration, u Upstream) error {
	if !slices.Contains(c.GetZones(), u.Zone) {
		return fmt.Errorf("%w: %q", ErrUnknownZone, u.Zone)
	}
	if !namePattern.MatchString(u.Name) {
		return fmt.Errorf("%w: name %q", ErrInvalidValue, u.Name)
	}
	if _, err := parseAddrPort(u.Address.String()); err != nil {
		return fmt.Errorf("%w: address %q", ErrInvalidValue, u.Address)
	}
	if u.Slots < 1 || u.Slots > maxSlots {
		return fmt.Errorf("%w: slots \"%d\", allowed 1 to %d", ErrInvalidValue, u.Slots, maxSlots)
	}
	if u.Weight > maxWeight {
		return fmt.Errorf("%w: weight \"%d\", allowed 1 to %d", ErrInvalidValue, u.Weight, maxWeight)
	}
	if findDaemon(c, u.Name) != nil {
		return fmt.Errorf("%w: daemon %q", ErrDuplicateName, u.Name)
	}
	for _, s := range c.GetServices() {
		if s.GetAddress() == u.Address.String() {
			return fmt.Errorf("%w: %q of service %s", ErrDuplicateAddress, u.Address.String(), s.GetName())
		}
		for _, other := range s.GetUpstreams() {
			if other.GetName() == u.Name {
				return fmt.Errorf("%w: %q in service %s", ErrDuplicateName, u.Name, s.GetName())
			}
			if other.GetAddress() == u.Address.String() {
				return fmt.Errorf("%w: %q of upstream %s", ErrDuplicateAddress, u.Address.String(), other.GetName())
			}
		}
	}
	return nil
}

// SetUpstreamState drains an upstream or makes it active again. With an empty service name the upstream
// may be in any service. Errors are ErrUnknownService, ErrUnknownUpstream and ErrInvalidValue.
func SetUpstreamState(previous *pb.Configuration, service, upstream string, state pb.DeclaredState, change Change) (*pb.Configuration, error) {
	return applyEdit(previous, change, func(next *pb.Configuration) error {
		if state != pb.DeclaredState_DECLARED_STATE_ACTIVE && state != pb.DeclaredState_DECLARED_STATE_DRAINING {
			return fmt.Errorf("%w: state %v", ErrInvalidValue, state)
		}
		_, u, err := locateUpstream(next, service, upstream)
		if err != nil {
			return err
		}
		setState(u, state, change.At)
		return nil
	})
}

// RemoveUpstream removes a draining upstream or, if force is set, an upstream in any state. Errors are
// ErrUnknownService, ErrUnknownUpstream and ErrNotDraining.
func RemoveUpstream(previous *pb.Configuration, service, upstream string, force bool, change Change) (*pb.Configuration, error) {
	return applyEdit(previous, change, func(next *pb.Configuration) error {
		s, u, err := locateUpstream(next, service, upstream)
		if err != nil {
			return err
		}
		if !force && u.GetState() != pb.DeclaredState_DECLARED_STATE_DRAINING {
			return fmt.Errorf("%w: %q", ErrNotDraining, upstream)
		}
		s.Upstreams = slices.DeleteFunc(s.Upstreams, func(other *pb.Upstream) bool { return other == u })
		return nil
	})
}

// SetDaemonState drains a daemon or makes it active again. Errors are ErrUnknownDaemon and
// ErrInvalidValue.
func SetDaemonState(previous *pb.Configuration, daemon string, state pb.DeclaredState, change Change) (*pb.Configuration, error) {
	return applyEdit(previous, change, func(next *pb.Configuration) error {
		if state != pb.DeclaredState_DECLARED_STATE_ACTIVE && state != pb.DeclaredState_DECLARED_STATE_DRAINING {
			return fmt.Errorf("%w: state %v", ErrInvalidValue, state)
		}
		d := findDaemon(next, daemon)
		if d == nil {
			return fmt.Errorf("%w: %q", ErrUnknownDaemon, daemon)
		}
		d.State = state
		return nil
	})
}

// SetAim changes the aim of a service. Errors are ErrUnknownService and ErrInvalidValue.
func SetAim(previous *pb.Configuration, service string, aim pb.Aim, change Change) (*pb.Configuration, error) {
	return applyEdit(previous, change, func(next *pb.Configuration) error {
		if aim != pb.Aim_AIM_CONNECTIONS && aim != pb.Aim_AIM_BALANCE {
			return fmt.Errorf("%w: aim %v", ErrInvalidValue, aim)
		}
		s := findService(next, service)
		if s == nil {
			return fmt.Errorf("%w: %q", ErrUnknownService, service)
		}
		s.Aim = aim
		return nil
	})
}

// SetLimits replaces the limits of a service. Errors are ErrUnknownService and ErrInvalidValue.
func SetLimits(previous *pb.Configuration, service string, limits Limits, change Change) (*pb.Configuration, error) {
	return applyEdit(previous, change, func(next *pb.Configuration) error {
		s := findService(next, service)
		if s == nil {
			return fmt.Errorf("%w: %q", ErrUnknownService, service)
		}
		if err := limits.validate(); err != nil {
			return err
		}
		s.Limits = limits.Proto()
		return nil
	})
}

// validate returns ErrInvalidValue if a limit is outside the range that Parse accepts.
func (l Limits) validate() error {
	switch {
	case l.QueueLength > maxQueueLength:
		return fmt.Errorf("%w: queue_length \"%d\", allowed 1 to %d, or 0 for the default", ErrInvalidValue, l.QueueLength, maxQueueLength)
	case l.RetryPercent > maxRetryPercent:
		return fmt.Errorf("%w: retry_percent \"%d\", allowed 1 to %d, or 0 for the default", ErrInvalidValue, l.RetryPercent, maxRetryPercent)
	case l.LoadBoundPercent != 0 && (l.LoadBoundPercent < minLoadBoundPercent || l.LoadBoundPercent > maxLoadBoundPercent):
		return fmt.Errorf("%w: load_bound_percent \"%d\", allowed %d to %d, or 0 for the default", ErrInvalidValue, l.LoadBoundPercent, minLoadBoundPercent, maxLoadBoundPercent)
	case l.IdleLimit != 0 && (l.IdleLimit < minTimeLimit || l.IdleLimit > maxTimeLimit):
		return fmt.Errorf("%w: idle_limit \"%d\" ms, allowed %d to %d, or 0 for the default", ErrInvalidValue,
			l.IdleLimit.Milliseconds(), minTimeLimit.Milliseconds(), maxTimeLimit.Milliseconds())
	case l.DrainLimit != 0 && (l.DrainLimit < minTimeLimit || l.DrainLimit > maxTimeLimit):
		return fmt.Errorf("%w: drain_limit \"%d\" ms, allowed %d to %d, or 0 for the default", ErrInvalidValue,
			l.DrainLimit.Milliseconds(), minTimeLimit.Milliseconds(), maxTimeLimit.Milliseconds())
	}
	return nil
}

// applyEdit applies f to a copy of previous and returns the copy as the next configuration.
func applyEdit(previous *pb.Configuration, change Change, f func(next *pb.Configuration) error) (*pb.Configuration, error) {
	next := &pb.Configuration{}
	if previous != nil {
		next = proto.CloneOf(previous)
	}
	if err := f(next); err != nil {
		return nil, err
	}
	finalize(previous, next, change, Differences(previous, next))
	return next, nil
}

// locateUpstream returns an upstream and its service. An empty service name means any service.
func locateUpstream(c *pb.Configuration, service, upstream string) (*pb.Service, *pb.Upstream, error) {
	if service != "" {
		s := findService(c, service)
		if s == nil {
			return nil, nil, fmt.Errorf("%w: %q", ErrUnknownService, service)
		}
		if u := findUpstream(s, upstream); u != nil {
			return s, u, nil
		}
		return nil, nil, fmt.Errorf("%w: %q in service %s", ErrUnknownUpstream, upstream, service)
	}
	for _, s := range c.GetServices() {
		if u := findUpstream(s, upstream); u != nil {
			return s, u, nil
		}
	}
	return nil, nil, fmt.Errorf("%w: %q", ErrUnknownUpstream, upstream)
}
