package check

import "net/netip"

// Difference is one difference from the configuration in force, and what it does to open flows.
type Difference struct {
	// Change is added, removed or changed.
	Change string `json:"change"`
	Place  string `json:"place"`
	// Field is empty for entries that are added or removed; Old and New then hold a route's service address. A
	// value that is absent is empty.
	Field  string `json:"field,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Effect string `json:"effect"`
}

const (
	changeAdded   = "added"
	changeRemoved = "removed"
	changeChanged = "changed"
)

// Effects of differences on open flows.
const (
	effectRouteAdded     = "flows may be opened once a daemon has it"
	effectRouteRemoved   = "its open flows are reset once all daemons have the configuration"
	effectRouteSkipped   = "daemons skip its new form, so that its open flows are reset once all daemons have the configuration"
	effectAddressChanged = "open flows to the old address are reset once all daemons have the configuration"
	effectAddressKept    = "open flows stay: another route serves the old address"
	effectNewFlows       = "open flows stay where they are, new flows follow"
	effectNewRequests    = "open flows stay, new requests only"
	effectFailure        = "open flows stay; decides which flows may be reset early when their upstream fails"
	effectNone           = "no effect on open flows"
	effectShorterIdle    = "flows that are idle may be dropped earlier"
	effectLongerIdle     = "flows that are idle are kept longer"
	effectDefaultIdle    = "flows that are idle may be dropped earlier or later, as daemons use their default for a value that is absent, 0 or invalid"
	effectServiceRemoved = "open flows stay on its upstreams"
	effectHealth         = "open flows stay; upstreams may be registered as ready or not by other health checks"
	effectCold           = "open flows stay, new flows to cold upstreams only"
)

// Compare returns the differences of a document from the one in force: version, routes, services and limits,
// each in the order of the file, removed ones last. It records a finding if daemons would ignore the document
// because of its version.
func Compare(d, inForce *Document) []Difference {
	differences := compareRoutes(d, inForce)
	differences = append(differences, compareServices(d, inForce)...)
	differences = append(differences, compareLimits(d.Limits, inForce.Limits)...)
	if !d.Version.IsSet || !inForce.Version.IsSet {
		return differences
	}
	isSame := d.Version.Integer == inForce.Version.Integer
	if d.Version.Integer < inForce.Version.Integer || isSame && len(differences) > 0 {
		d.Root.report(SeverityError, d.Version.At, "%s %s is not larger than %s in force, so that daemons ignore the configuration",
			d.Version.Label, d.Version.Literal, inForce.Version.Literal)
	}
	if isSame {
		return differences
	}
	return append([]Difference{{changeChanged, d.Version.Label, d.Version.Label, inForce.Version.Literal, d.Version.Literal, effectNone}}, differences...)
}

// inForceRoutes returns the routes by address as daemons have them: without those that they skip, the last of
// each address.
func (d *Document) inForceRoutes() map[netip.AddrPort]*Route {
	routes := map[netip.AddrPort]*Route{}
	for _, r := range d.Routes {
		if address, isValid := r.address(); isValid && r.IsUsed {
			routes[address] = r
		}
	}
	return routes
}

// routeComparison holds the routes of both documents by address, as daemons have them.
type routeComparison struct {
	now, before map[netip.AddrPort]*Route
	// beforeByName holds the routes in force by name.
	beforeByName map[string]*Route
	// isMoved holds the routes in force that are reported with another address.
	isMoved map[*Route]bool
	// isSkipped holds the names of new routes that daemons skip.
	isSkipped map[string]bool
}

// compareRoutes compares routes of the same address, then those of the same name whose address changed.
func compareRoutes(d, inForce *Document) []Difference {
	c := routeComparison{
		now: d.inForceRoutes(), before: inForce.inForceRoutes(), beforeByName: map[string]*Route{},
		isMoved: map[*Route]bool{}, isSkipped: map[string]bool{},
	}
	for _, old := range inForce.Routes {
		if address, _ := old.address(); c.before[address] == old && old.Name.Value != "" {
			c.beforeByName[old.Name.Value] = old
		}
	}
	var differences []Difference
	for _, r := range d.Routes {
		if address, _ := r.address(); c.now[address] == r {
			differences = append(differences, c.compare(r, address)...)
		} else if !r.IsUsed {
			c.isSkipped[r.Name.Value] = true
		}
	}
	for _, old := range inForce.Routes {
		address, _ := old.address()
		if c.before[address] != old || c.now[address] != nil || c.isMoved[old] {
			continue
		}
		effect := effectRouteRemoved
		if c.isSkipped[old.Name.Value] {
			effect = effectRouteSkipped
		}
		differences = append(differences, Difference{Change: changeRemoved, Place: old.place, Old: address.String(), Effect: effect})
	}
	return differences
}

// compare returns the differences of a route from the one in force with its address, or else with its name.
func (c *routeComparison) compare(r *Route, address netip.AddrPort) []Difference {
	if old := c.before[address]; old != nil {
		return compareFields(r.place, r.fields(), old.fields())
	}
	old := c.beforeByName[r.Name.Value]
	if old == nil || c.isMoved[old] {
		return []Difference{{Change: changeAdded, Place: r.place, New: address.String(), Effect: effectRouteAdded}}
	}
	c.isMoved[old] = true
	oldAddress, _ := old.address()
	effect := effectAddressChanged
	if c.now[oldAddress] != nil {
		effect = effectAddressKept
	}
	move := Difference{changeChanged, r.place, r.Host.Label + " " + r.Port.Label, oldAddress.String(), address.String(), effect}
	return append([]Difference{move}, compareFields(r.place, r.fields(), old.fields())...)
}

// value is a field of an entry for a comparison.
type value struct{ label, text, effect string }

func (r *Route) fields() []value {
	label := r.Service.Label
	return []value{
		{r.Name.Label, r.Name.Value, effectNone},
		{r.Kind.Label, r.Kind.Value, effectFailure},
		{label, r.describeServices(), effectNewFlows},
		{r.Timeout.Label, r.Timeout.Literal, effectNewRequests},
		{r.Objective.Label, r.Objective.Literal, effectNewRequests},
		{r.Priority.Label, r.Priority.Literal, effectNewRequests},
		{r.Attempts.Label, r.Attempts.Literal, effectNewRequests},
	}
}

func (s *Service) fields() []value {
	return []value{
		{s.HealthPath.Label, s.HealthPath.Value, effectHealth},
		{s.Protocol.Label, s.Protocol.Value, effectHealth},
		{s.TLS.Label, s.TLS.Value, effectHealth},
		{s.MaxFlows.Label, s.MaxFlows.Literal, effectNewFlows},
		{s.ColdStart.Label, s.ColdStart.Literal, effectCold},
		{s.ColdRate.Label, s.ColdRate.Literal, effectCold},
	}
}

// compareFields compares the fields of two entries in their order.
func compareFields(place string, now, before []value) []Difference {
	var differences []Difference
	for i, v := range now {
		if v.text != before[i].text {
			differences = append(differences, Difference{changeChanged, place, v.label, shorten(before[i].text), shorten(v.text), v.effect})
		}
	}
	return differences
}

func compareServices(d, inForce *Document) []Difference {
	now, before := d.lastServices(), inForce.lastServices()
	var differences []Difference
	for _, s := range d.Services {
		if now[s.Name.Value] != s {
			continue
		}
		if old := before[s.Name.Value]; old != nil {
			differences = append(differences, compareFields(s.place, s.fields(), old.fields())...)
		} else {
			differences = append(differences, Difference{Change: changeAdded, Place: s.place, Effect: effectNone})
		}
	}
	for _, old := range inForce.Services {
		if before[old.Name.Value] == old && now[old.Name.Value] == nil {
			differences = append(differences, Difference{Change: changeRemoved, Place: old.place, Effect: effectServiceRemoved})
		}
	}
	return differences
}

// lastServices returns the services by name, the last of each.
func (d *Document) lastServices() map[string]*Service {
	services := map[string]*Service{}
	for _, s := range d.Services {
		if s.Name.Value != "" {
			services[s.Name.Value] = s
		}
	}
	return services
}

func compareLimits(now, before Limits) []Difference {
	var differences []Difference
	old := before.numbers()
	for i, n := range now.numbers() {
		if n.Literal == old[i].Literal {
			continue
		}
		effect := effectNewRequests
		if n.Label == now.IdleTimeout.Label {
			effect = idleEffect(n, old[i])
		}
		differences = append(differences, Difference{changeChanged, now.place, n.Label, shorten(old[i].Literal), shorten(n.Literal), effect})
	}
	return differences
}

// idleEffect compares idle timeouts, of which one may be the daemons' default.
func idleEffect(now, before Number) string {
	switch {
	case !(now.Value > 0 && before.Value > 0):
		return effectDefaultIdle
	case now.Value < before.Value:
		return effectShorterIdle
	default:
		return effectLongerIdle
	}
}
