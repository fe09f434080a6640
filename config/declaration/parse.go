package declaration

import (
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Bounds of declared values. The JSON schema beside the package states the same.
const (
	maxSlots            = 10000
	maxWeight           = 100
	defaultWeight       = 1
	maxQueueLength      = 1000000
	maxRetryPercent     = 100
	minLoadBoundPercent = 101
	maxLoadBoundPercent = 1000
	minTimeLimit        = time.Second
	maxTimeLimit        = 7 * 24 * time.Hour
)

// Names appear in object keys, counters and the operators' language.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse reads a declaration. It returns either a valid declaration and no errors, or nil and
// every fault with file, line and field.
func Parse(fileName string, data []byte) (*Declaration, Errors) {
	r := &reader{file: fileName}
	root := r.parse(data)
	if root == nil {
		return nil, r.sorted()
	}
	f := r.mapping(root, "")
	p := &parse{reader: r, declaration: &Declaration{}, unique: map[string]int{}, names: map[string]bool{}}
	p.declaration.Deployment = p.name(f, "deployment")
	f.list("zones", true, p.zone)
	f.list("daemons", false, p.daemon)
	f.list("services", true, p.service)
	f.list("upstreams", false, p.upstream)
	f.done()
	if len(r.errors) > 0 {
		return nil, r.sorted()
	}
	return p.declaration, nil
}

type parse struct {
	*reader
	declaration *Declaration
	// unique holds the line of the first use of each name and address, by kind.
	unique map[string]int
	// names holds the declared zones and services as "zone name" and "service name".
	names map[string]bool
}

func (p *parse) zone(node ast.Node, path string) {
	text, ok := node.(*ast.StringNode)
	if !ok || !namePattern.MatchString(text.Value) {
		p.fail(lineOf(node), path, "must be a name of lower-case letters, digits and hyphens")
		return
	}
	p.once(lineOf(node), path, "zone", text.Value)
	p.names["zone "+text.Value] = true
	p.declaration.Zones = append(p.declaration.Zones, text.Value)
}

func (p *parse) daemon(node ast.Node, path string) {
	f := p.mapping(node, path)
	d := Daemon{Name: p.uniqueName(f, "VM name"), Zone: p.reference(f, "zone"), State: p.state(f)}
	if text, ok := f.text("address", false); ok {
		addr, err := netip.ParseAddr(text)
		if err != nil || !addr.Is4() {
			f.fail("address", "%q is not an IPv4 address", text)
		} else {
			p.once(lineOf(f.values["address"]), f.name("address"), "address", addr.String())
			d.Address = addr
		}
	}
	f.done()
	p.declaration.Daemons = append(p.declaration.Daemons, d)
}

func (p *parse) service(node ast.Node, path string) {
	f := p.mapping(node, path)
	s := Service{Name: p.uniqueName(f, "service name"), Address: p.addrPort(f)}
	p.names["service "+s.Name] = true
	if text, ok := f.text("aim", true); ok {
		if s.Aim, ok = ParseAim(text); !ok {
			f.fail("aim", "%q is not connections or balance", text)
		}
	}
	if node := f.get("limits"); node != nil {
		s.Limits = p.limits(p.mapping(node, f.name("limits")))
	}
	f.done()
	p.declaration.Services = append(p.declaration.Services, s)
}

func (p *parse) limits(f *fields) Limits {
	l := Limits{
		QueueLength:      f.number("queue_length", false, 0, 1, maxQueueLength),
		RetryPercent:     f.number("retry_percent", false, 0, 1, maxRetryPercent),
		LoadBoundPercent: f.number("load_bound_percent", false, 0, minLoadBoundPercent, maxLoadBoundPercent),
		IdleLimit:        f.duration("idle_limit"),
		DrainLimit:       f.duration("drain_limit"),
	}
	f.done()
	return l
}

func (p *parse) upstream(node ast.Node, path string) {
	f := p.mapping(node, path)
	u := Upstream{
		Name:    p.uniqueName(f, "VM name"),
		Service: p.reference(f, "service"),
		Zone:    p.reference(f, "zone"),
		Address: p.addrPort(f),
		Slots:   f.number("slots", true, 0, 1, maxSlots),
		Weight:  f.number("weight", false, defaultWeight, 1, maxWeight),
		State:   p.state(f),
	}
	f.done()
	p.declaration.Upstreams = append(p.declaration.Upstreams, u)
}

// name reads a required name.
func (p *parse) name(f *fields, field string) string {
	text, ok := f.text(field, true)
	if ok && !namePattern.MatchString(text) {
		f.fail(field, "%q is not a name of lower-case letters, digits and hyphens", text)
	}
	return text
}

func (p *parse) uniqueName(f *fields, kind string) string {
	name := p.name(f, "name")
	if name != "" {
		p.once(lineOf(f.values["name"]), f.name("name"), kind, name)
	}
	return name
}

// once reports a name or an address that was declared before.
func (p *parse) once(line int, field, kind, value string) {
	key := kind + " " + value
	if first, ok := p.unique[key]; ok {
		p.fail(line, field, "duplicate %s %q, first declared on line %d", kind, value, first)
		return
	}
	p.unique[key] = line
}

// reference reads the name of a declared zone or service.
func (p *parse) reference(f *fields, kind string) string {
	text, ok := f.text(kind, true)
	if ok && !p.names[kind+" "+text] {
		f.fail(kind, "%s %q is not declared", kind, text)
	}
	return text
}

func (p *parse) addrPort(f *fields) netip.AddrPort {
	text, ok := f.text("address", true)
	if !ok {
		return netip.AddrPort{}
	}
	addr, err := parseAddrPort(text)
	if err != nil {
		f.fail("address", "%q is not an IPv4 address and port", text)
		return netip.AddrPort{}
	}
	p.once(lineOf(f.values["address"]), f.name("address"), "address", addr.String())
	return addr
}

func parseAddrPort(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err == nil && (!addr.Addr().Is4() || addr.Addr().IsUnspecified() || addr.Port() == 0) {
		err = ErrInvalidValue
	}
	return addr, err
}

func (p *parse) state(f *fields) pb.DeclaredState {
	text, ok := f.text("state", false)
	if !ok {
		return pb.DeclaredState_DECLARED_STATE_UNSPECIFIED
	}
	switch text {
	case "active":
		return pb.DeclaredState_DECLARED_STATE_ACTIVE
	case "draining":
		return pb.DeclaredState_DECLARED_STATE_DRAINING
	}
	f.fail("state", "%q is not active or draining", text)
	return pb.DeclaredState_DECLARED_STATE_UNSPECIFIED
}

// ParseAim returns the aim that a declaration calls "connections" or "balance".
func ParseAim(text string) (pb.Aim, bool) {
	switch text {
	case "connections":
		return pb.Aim_AIM_CONNECTIONS, true
	case "balance":
		return pb.Aim_AIM_BALANCE, true
	}
	return pb.Aim_AIM_UNSPECIFIED, false
}

func (f *fields) number(field string, required bool, absent, lowest, highest uint32) uint32 {
	text, ok := f.text(field, required)
	if !ok {
		return absent
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || uint32(n) < lowest || uint32(n) > highest {
		f.fail(field, "%q is not a whole number from %d to %d", text, lowest, highest)
		return absent
	}
	return uint32(n)
}

func (f *fields) duration(field string) time.Duration {
	text, ok := f.text(field, false)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minTimeLimit || d > maxTimeLimit {
		f.fail(field, "%q is not a time from %s to %s, for example 10m", text, minTimeLimit, maxTimeLimit)
		return 0
	}
	return d
}
