package check

import (
	"cmp"
	"net/netip"
	"slices"
)

// Configuration records the findings of a document by itself.
func Configuration(d *Document) {
	if !d.Root.IsPresent() {
		return
	}
	if d.Refused != nil {
		d.Root.report(SeverityError, d.Root.at(), "daemons refuse the whole configuration: %v", d.Refused)
	}
	switch {
	case !d.HasRoutes:
		d.Root.report(SeverityError, d.Root.at(), "there are no routes, so that all open flows would be reset")
	case len(d.Routes) == 0:
		d.Root.report(SeverityWarning, d.Root.at(), "the list of routes has no usable element, so that all open flows would be reset")
	}
	if !d.HasServices {
		d.Root.report(SeverityWarning, d.Root.at(), "there are no services, so that names of services in routes are not checked")
	}
	for _, r := range d.Routes {
		r.check()
		r.checkTargets()
		r.checkLimits(d.Limits)
		r.checkAdmission()
	}
	for _, s := range d.Services {
		s.check()
	}
	d.Limits.check()
	d.findDuplicates()
	d.checkReferences()
}

// check records what is wrong with the route's own address and name.
func (r *Route) check() {
	if !r.IsUsed {
		r.report(SeverityError, r.at(), "daemons skip this route, so that its flows are not served")
	}
	switch {
	case r.Host.Value == "":
		// That it is missing or of another type was recorded while the file was read.
	case !r.IP.IsValid() || !r.IP.Is4():
		r.report(SeverityError, r.Host.At, "%s %s is not an IPv4 address", r.Host.Label, quote(r.Host.Value))
	case r.IP.IsUnspecified() || r.IP.IsMulticast() || r.IP == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		r.report(SeverityError, r.Host.At, "%s %s is not the address of one service", r.Host.Label, quote(r.Host.Value))
	}
	switch {
	case r.Port.Value == "":
	case r.PortForm == "":
		r.report(SeverityError, r.Port.At, "%s %s is not a port between slashes, such as /443/", r.Port.Label, quote(r.Port.Value))
	case r.PortNumber == 0:
		r.report(SeverityError, r.Port.At, "%s %s is port 0, to which no packet is sent", r.Port.Label, quote(r.Port.Value))
	case r.PortForm != r.Port.Value:
		r.report(SeverityWarning, r.Port.At, "%s %s should be written as %s", r.Port.Label, quote(r.Port.Value), r.PortForm)
	}
}

// checkTargets records what is wrong with the route's services and weights.
func (r *Route) checkTargets() {
	switch {
	case r.Service.IsSet && r.HasSplit:
		r.report(SeverityError, r.Service.At, "the route has both one service and several with weights, and daemons add %s to the others with weight 1", quote(r.Service.Value))
	case len(r.services()) == 0 && len(r.Split) > 0:
		r.report(SeverityError, r.at(), "all weights are 0 or invalid, so that no service receives flows")
	case len(r.services()) == 0:
		r.report(SeverityError, r.at(), "the route has no service")
	}
	seen := map[string]bool{}
	for _, t := range r.Split {
		if t.Weight.IsSet && t.Weight.Value == 0 && len(r.services()) > 0 {
			t.report(SeverityWarning, t.Weight.At, "the weight is 0, so that the service never receives flows of this route")
		}
		if name := t.Service.Value; name != "" {
			if seen[name] {
				t.report(SeverityWarning, t.Service.At, "service %s is listed before in this route, and its weights add up", quote(name))
			}
			seen[name] = true
		}
	}
}

// checkLimits records contradictions between the route's times, and with the limits of all routes.
func (r *Route) checkLimits(l Limits) {
	switch {
	case !r.Has(r.Timeout.Label):
		r.report(SeverityWarning, r.at(), "%s is missing, so that other times are not compared with it", r.Timeout.Label)
	case r.Timeout.IsSet && r.Timeout.Value == 0:
		r.report(SeverityError, r.Timeout.At, "%s is 0, so that no response is in time", r.Timeout.Label)
	case r.Timeout.IsSet && r.Objective.IsSet && r.Timeout.Value < r.Objective.Value:
		r.report(SeverityError, r.Timeout.At, "the deadline (%s %s) is below the objective (%s %s)", r.Timeout.Label, r.Timeout.Literal, r.Objective.Label, r.Objective.Literal)
	}
	if idle := l.IdleTimeout; idle.IsSet && idle.Value > 0 && r.Timeout.IsSet && idle.Value < r.Timeout.Value {
		r.report(SeverityWarning, r.Timeout.At, "the deadline (%s %s) is above the idle timeout (%s %s), so that a flow may be dropped while a response is awaited",
			r.Timeout.Label, r.Timeout.Literal, idle.Label, idle.Literal)
	}
}

// checkAdmission records an objective, a priority or attempts that have another meaning than the number suggests.
func (r *Route) checkAdmission() {
	if r.Objective.IsSet && r.Objective.Value == 0 {
		r.report(SeverityWarning, r.Objective.At, "%s is 0, which means that the route has no objective", r.Objective.Label)
	}
	if r.Objective.Value > 0 && !r.Has(r.Priority.Label) {
		r.report(SeverityWarning, r.at(), "%s is missing, and daemons use 0, the most urgent", r.Priority.Label)
	}
	if r.Attempts.IsSet && r.Attempts.Value == 0 {
		r.report(SeverityError, r.Attempts.At, "%s is 0, which permits no request", r.Attempts.Label)
	}
}

func (s *Service) check() {
	if s.ColdRate.IsSet && s.ColdRate.Value > 0 && (!s.Has(s.ColdStart.Label) || s.ColdStart.IsSet && s.ColdStart.Value == 0) {
		s.report(SeverityWarning, s.ColdRate.At, "%s limits cold upstreams, but without %s none is cold", s.ColdRate.Label, s.ColdStart.Label)
	}
	if s.MaxFlows.IsSet && s.MaxFlows.Value == 0 {
		s.report(SeverityError, s.MaxFlows.At, "%s is 0, which permits no flow", s.MaxFlows.Label)
	}
	if s.HealthPath.Value != "" && s.HealthPath.Value[0] != '/' {
		s.report(SeverityWarning, s.HealthPath.At, "%s %s does not begin with a slash", s.HealthPath.Label, quote(s.HealthPath.Value))
	}
}

func (l Limits) check() {
	for _, n := range l.numbers() {
		if n.IsSet && n.Value == 0 {
			l.report(SeverityWarning, n.At, "%s is 0, which counts as not set", n.Label)
		}
	}
	if l.HeaderTimeout.IsSet && l.IdleTimeout.IsSet && l.IdleTimeout.Value > 0 && l.IdleTimeout.Value < l.HeaderTimeout.Value {
		l.report(SeverityWarning, l.IdleTimeout.At, "the idle timeout (%s %s) is below %s %s, which therefore never ends",
			l.IdleTimeout.Label, l.IdleTimeout.Literal, l.HeaderTimeout.Label, l.HeaderTimeout.Literal)
	}
}

// findDuplicates records names and service addresses that an earlier entry has too.
func (d *Document) findDuplicates() {
	names, addresses := map[string]*Route{}, map[netip.AddrPort]*Route{}
	for _, r := range d.Routes {
		if name := r.Name.Value; name != "" {
			if earlier := names[name]; earlier != nil {
				r.report(SeverityError, r.Name.At, "%s %s is also that of %s", r.Name.Label, quote(name), earlier.place)
			}
			names[name] = r
		}
		if address, isValid := r.address(); isValid {
			if earlier := addresses[address]; earlier != nil {
				r.report(SeverityError, r.Host.At, "service address %s is also that of %s, and only the last valid one of them is ever used", address, earlier.place)
			}
			addresses[address] = r
		}
	}
	services := map[string]*Service{}
	for _, s := range d.Services {
		if name := s.Name.Value; name != "" {
			if earlier := services[name]; earlier != nil {
				s.report(SeverityError, s.Name.At, "%s %s is also that of %s, and only the last one counts", s.Name.Label, quote(name), earlier.place)
			}
			services[name] = s
		}
	}
}

// checkReferences records services that only one of the two lists has.
func (d *Document) checkReferences() {
	declared, routed := map[string]bool{}, map[string]bool{}
	for _, s := range d.Services {
		declared[s.Name.Value] = true
	}
	for _, r := range d.Routes {
		named := []Target{{Object: r.Object, Service: r.Service}}
		for _, t := range append(named, r.Split...) {
			name := t.Service.Value
			if name != "" && d.HasServices && !declared[name] {
				t.report(SeverityError, t.Service.At, "service %s is not declared", quote(name))
			}
			routed[name] = true
		}
	}
	for _, s := range d.Services {
		if s.Name.Value != "" && !routed[s.Name.Value] {
			s.report(SeverityWarning, s.Name.At, "no route names the service, so that it never receives flows")
		}
	}
}

// sortFindings orders findings as they stand in the files, with findings of a file's own place first.
func sortFindings(findings []Finding, files []string) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(files, a.File), slices.Index(files, b.File)),
			cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Place, b.Place), cmp.Compare(a.Text, b.Text),
		)
	})
}
