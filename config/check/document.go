package check

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// Severity of a finding.
type Severity string

// An error means that daemons would skip, refuse or misread a part, or that it cannot hold. A warning means
// that the configuration works, but probably not as intended.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is one mistake. Line and Column count from 1 and are 0 if it has no place in a file.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file"`
	Line     int      `json:"line"`
	Column   int      `json:"column"`
	// Place names the entry, for example: routes[3] "r-a". It is empty for the whole file.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Document is a configuration as operators wrote it.
type Document struct {
	Root *Object
	// Refused says why daemons would refuse the whole configuration. It is nil if they accept it.
	Refused                error
	Version                Number
	HasRoutes, HasServices bool
	Routes                 []*Route
	Services               []*Service
	Limits                 Limits
}

// Findings returns what was found so far. It holds the mistakes of form after the file was read.
func (d *Document) Findings() []Finding { return d.Root.Findings() }

// Route is a route as operators wrote it. Timeout and Objective are in milliseconds.
type Route struct {
	*Object
	Name, Kind, Host, Port                 Text
	Timeout, Objective, Priority, Attempts Number
	// IP is invalid if Host is no IPv4 address.
	IP netip.Addr
	// PortForm is the form in which the port should be written. It is empty if Port is no port.
	PortForm   string
	PortNumber uint16
	Service    Text
	Split      []Target
	HasSplit   bool
	// IsUsed reports whether daemons can decode the route. They skip others.
	IsUsed bool
}

// Target is one of several services of a route.
type Target struct {
	*Object
	Service Text
	Weight  Number
}

// address returns the service address, or false if it is invalid.
func (r *Route) address() (netip.AddrPort, bool) {
	return netip.AddrPortFrom(r.IP, r.PortNumber), r.IP.IsValid() && r.PortForm != ""
}

// services returns the services that receive flows of the route, with their weights.
func (r *Route) services() []Target {
	var targets []Target
	if r.Service.Value != "" {
		targets = append(targets, Target{Object: r.Object, Service: r.Service, Weight: Number{Value: 1}})
	}
	for _, t := range r.Split {
		if t.Service.Value != "" && t.Weight.IsSet && t.Weight.Value > 0 {
			targets = append(targets, t)
		}
	}
	return targets
}

// describeServices returns the services and weights of the route. A single service has no weight.
func (r *Route) describeServices() string {
	targets := r.services()
	if len(targets) == 1 {
		return targets[0].Service.Value
	}
	var parts []string
	for _, t := range targets {
		parts = append(parts, fmt.Sprintf("%s=%s", t.Service.Value, strconv.FormatFloat(t.Weight.Value, 'f', -1, 64)))
	}
	return strings.Join(parts, ", ")
}

// Service is a service as operators wrote it. ColdStart is in seconds, ColdRate in requests a second.
type Service struct {
	*Object
	Name, HealthPath, Protocol, TLS Text
	MaxFlows, ColdStart, ColdRate   Number
}

// Limits are the limits for all routes: times in milliseconds, sizes in bytes.
type Limits struct {
	*Object
	IdleTimeout, HeaderTimeout, HeaderBytes, BodyBytes Number
}

// numbers returns all limits.
func (l Limits) numbers() []Number {
	return []Number{l.HeaderBytes, l.BodyBytes, l.HeaderTimeout, l.IdleTimeout}
}

// Registrations are the upstreams that are registered, by ID.
type Registrations struct {
	Root      *Object
	Upstreams []Registration
}

// Registration is the entry of an upstream. Upstream is nil if daemons refuse it, for the reason Refused.
type Registration struct {
	*Object
	Upstream *catalog.Upstream
	Refused  error
}
