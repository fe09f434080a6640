package check

import (
	"slices"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// Upstreams records services of a document that have no ready upstream, and that would have none while zones
// are evacuated.
func Upstreams(d *Document, registrations *Registrations, evacuated []string) {
	ready, zones := map[string][]*catalog.Upstream{}, map[string]bool{}
	for _, r := range registrations.Upstreams {
		if r.Upstream == nil {
			r.report(SeverityWarning, r.at(), "daemons refuse this entry: %v", r.Refused)
			continue
		}
		zones[r.Upstream.Zone] = true
		if r.Upstream.State == catalog.StateReady {
			ready[r.Upstream.Service] = append(ready[r.Upstream.Service], r.Upstream)
		}
	}
	evacuated = slices.Compact(slices.Sorted(slices.Values(evacuated)))
	for _, zone := range evacuated {
		if !zones[zone] {
			registrations.Root.report(SeverityWarning, Position{}, "zone %s has no upstream, so that its evacuation has no effect", quote(zone))
		}
	}
	for _, s := range d.servicesByName() {
		s.checkUpstreams(ready[s.name], evacuated)
	}
}

// serviceUse is a service with the place that findings on its upstreams name.
type serviceUse struct {
	*Object
	name string
	at   Position
	// coldRate is 0 if there is no limit.
	coldRate float64
	severity Severity
}

// servicesByName returns the services that are declared or receive flows, each once. Findings on a service
// that receives no flows are warnings.
func (d *Document) servicesByName() []*serviceUse {
	var uses []*serviceUse
	byName := map[string]*serviceUse{}
	add := func(o *Object, name Text, coldRate float64) *serviceUse {
		use := byName[name.Value]
		if use == nil {
			use = &serviceUse{Object: o, name: name.Value, at: name.At, severity: SeverityWarning}
			byName[name.Value] = use
			uses = append(uses, use)
		}
		use.coldRate = max(use.coldRate, coldRate)
		return use
	}
	for _, s := range d.Services {
		if s.Name.Value == "" {
			continue
		}
		rate := 0.0
		if s.ColdRate.IsSet {
			rate = s.ColdRate.Value
		}
		add(s.Object, s.Name, rate)
	}
	for _, r := range d.Routes {
		for _, t := range r.services() {
			add(t.Object, t.Service, 0).severity = SeverityError
		}
	}
	return uses
}

func (s *serviceUse) checkUpstreams(ready []*catalog.Upstream, evacuated []string) {
	if len(ready) == 0 {
		s.report(s.severity, s.at, "service %s has no ready upstream, so that its new flows are refused", quote(s.name))
		return
	}
	isWarm := func(u *catalog.Upstream) bool { return u.ColdRemaining == 0 }
	left := slices.DeleteFunc(slices.Clone(ready), func(u *catalog.Upstream) bool { return slices.Contains(evacuated, u.Zone) })
	switch {
	case len(left) == 0:
		s.report(s.severity, s.at, "the evacuation leaves service %s without any ready upstream; it has %d now", quote(s.name), len(ready))
	case s.coldRate > 0 && slices.ContainsFunc(ready, isWarm) && !slices.ContainsFunc(left, isWarm):
		s.report(SeverityWarning, s.at, "the evacuation leaves service %s only cold upstreams, which are limited to %s flows a second each", quote(s.name), formatNumber(s.coldRate))
	}
}
