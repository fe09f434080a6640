package declaration

import (
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Limits of declared values. The JSON schema, schema.json, has the same limits.
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

// namePattern restricts names because they appear in object keys, counters and the operators' commands.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse parses a declaration. It returns either a valid declaration and no errors, or nil and all errors
// with file, line and field.
func Parse(fileName string, data []byte) (*Declaration, Errors) {
	r := &reader{file: fileName}
	root := r.parseYAML(data)
	if root == nil {
		return nil, r.sortedErrors()
	}
	f := r.readMapping(root, "")
	p := &declarationParser{reader: r, declaration: &Declaration{}, firstLines: map[string]int{}, declaredNames: map[string]bool{}}
	p.declaration.Deployment = p.parseName(f, "deployment")
	f.forEachElement("zones", true, p.parseZone)
	f.forEachElement("daemons", false, p.parseDaemon)
	f.forEachElement("services", true, p.parseService)
	f.forEachElement("upstreams", false, p.parseUpstream)
	f.checkUnknownFields()
	if len(r.errors) > 0 {
		return nil, r.sortedErrors()
	}
	return p.declaration, nil
}

// declarationParser builds a declaration from the syntax tree.
type declarationParser struct {
	*reader
	declaration *Declaration
	// firstLines has the line of the first use of each name and address. Keys are the kind and the
	// value, separated by a space.
	firstLines map[string]int
	// declaredNames has the declared zones and services. Keys are "zone " or "service " and the name.
	declaredNames map[string]bool
}

func (p *declarationParser) parseZone(node ast.Node, path string) {
	text, ok := node.(*ast.StringNode)
	if !ok || !namePattern.MatchString(text.Value) {
		p.addError(nodeLine(node), path, "must be a name of lower-case letters, digits and hyphens")
		return
	}
	p.checkUnique(nodeLine(node), path, "zone", text.Value)
	p.declaredNames["zone "+text.Value] = true
	p.declaration.Zones = append(p.declaration.Zones, text.Value)
}

func (p *declarationParser) parseDaemon(node ast.Node, path string) {
	f := p.readMapping(node, path)
	d := Daemon{Name: p.parseUniqueName(f, "VM name"), Zone: p.parseReference(f, "zone"), State: p.parseState(f)}
	if text, ok := f.text("address", false); ok {
		addr, err := netip.ParseAddr(text)
		if err != nil || !addr.Is4() {
			f.addError("address", "%q is not an IPv4 address", text)
		} else {
			p.checkUnique(nodeLine(f.values["address"]), f.fieldPath("address"), "address", addr.String())
			d.Address = addr
		}
	}
	f.checkUnknownFields()
	p.declaration.Daemons = append(p.declaration.Daemons, d)
}

func (p *declarationParser) parseService(node ast.Node, path string) {
	f := p.readMapping(node, path)
	s := Service{Name: p.parseUniqueName(f, "service name"), Address: p.parseAddress(f)}
	p.declaredNames["service "+s.Name] = true
	if text, ok := f.text("aim", true); ok {
		if s.Aim, ok = ParseAim(text); !ok {
			f.addError("aim", "%q is not connections or balance", text)
		}
	}
	if node := f.requestNode("limits"); node != nil {
		s.Limits = p.parseLimits(p.readMapping(node, f.fieldPath("limits")))
	}
	f.checkUnknownFields()
	p.declaration.Services = append(p.declaration.Services, s)
}

func (p *declarationParser) parseLimits(f *fields) Limits {
	l := Limits{
		QueueLength:      f.parseNumber("queue_length", false, 0, 1, maxQueueLength),
		RetryPercent:     f.parseNumber("retry_percent", false, 0, 1, maxRetryPercent),
		LoadBoundPercent: f.parseNumber("load_bound_percent", false, 0, minLoadBoundPercent, maxLoadBoundPercent),
		IdleLimit:        f.parseDuration("idle_limit"),
		DrainLimit:       f.parseDuration("drain_limit"),
	}
	f.checkUnknownFields()
	return l
}

func (p *declarationParser) parseUpstream(node ast.Node, path string) {
	f := p.readMapping(node, path)
	u := Upstream{
		Name:    p.parseUniqueName(f, "VM name"),
		Service: p.parseReference(f, "service"),
		Zone:    p.parseReference(f, "zone"),
		Address: p.parseAddress(f),
		Slots:   f.parseNumber("slots", true, 0, 1, maxSlots),
		Weight:  f.parseNumber("weight", false, defaultWeight, 1, maxWeight),
		State:   p.parseState(f),
	}
	f.checkUnknownFields()
	p.declaration.Upstreams = append(p.declaration.Upstreams, u)
}

// parseName parses a required name.
func (p *declarationParser) parseName(f *fields, field string) string {
	text, ok := f.text(field, true)
	if ok && !namePattern.MatchString(text) {
		f.addError(field, "%q is not a name of lower-case letters, digits and hyphens", text)
	}
	return text
}

// parseUniqueName parses the name of an element and checks that it is unique within a kind.
func (p *declarationParser) parseUniqueName(f *fields, kind string) string {
	name := p.parseName(f, "name")
	if name != "" {
		p.checkUnique(nodeLine(f.values["name"]), f.fieldPath("name"), kind, name)
	}
	return name
}

// checkUnique records an error if a name or an address was declared before, and otherwise the line of its
// declaration.
func (p *declarationParser) checkUnique(line int, field, kind, value string) {
	key := kind + " " + value
	if first, ok := p.firstLines[key]; ok {
		p.addError(line, field, "duplicate %s %q, first declared on line %d", kind, value, first)
		return
	}
	p.firstLines[key] = line
}

// parseReference parses a reference to a zone or service, which must be declared.
func (p *declarationParser) parseReference(f *fields, kind string) string {
	text, ok := f.text(kind, true)
	if ok && !p.declaredNames[kind+" "+text] {
		f.addError(kind, "%s %q is not declared", kind, text)
	}
	return text
}

// parseAddress parses the required address and port of a service or upstream, and checks that they are
// unique.
func (p *declarationParser) parseAddress(f *fields) netip.AddrPort {
	text, ok := f.text("address", true)
	if !ok {
		return netip.AddrPort{}
	}
	addr, err := parseAddrPort(text)
	if err != nil {
		f.addError("address", "%q is not an IPv4 address and port", text)
		return netip.AddrPort{}
	}
	p.checkUnique(nodeLine(f.values["address"]), f.fieldPath("address"), "address", addr.String())
	return addr
}

func parseAddrPort(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err == nil && (!addr.Addr().Is4() || addr.Addr().IsUnspecified() || addr.Port() == 0) {
		err = ErrInvalidValue
	}
	return addr, err
}

func (p *declarationParser) parseState(f *fields) pb.DeclaredState {
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
	f.addError("state", "%q is not active or draining", text)
	return pb.DeclaredState_DECLARED_STATE_UNSPECIFIED
}

// ParseAim returns the aim for the text "connections" or "balance", and false for any other text.
func ParseAim(text string) (pb.Aim, bool) {
	switch text {
	case "connections":
		return pb.Aim_AIM_CONNECTIONS, true
	case "balance":
		return pb.Aim_AIM_BALANCE, true
	}
	return pb.Aim_AIM_UNSPECIFIED, false
}

// parseNumber parses a number within limits. It returns defaultValue if the field is absent or not valid.
func (f *fields) parseNumber(field string, required bool, defaultValue, lowest, highest uint32) uint32 {
	text, ok := f.text(field, required)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || uint32(n) < lowest || uint32(n) > highest {
		f.addError(field, "%q is not a whole number from %d to %d", text, lowest, highest)
		return defaultValue
	}
	return uint32(n)
}

// parseDuration parses an optional duration. It returns 0 if the field is absent or not valid.
func (f *fields) parseDuration(field string) time.Duration {
	text, ok := f.text(field, false)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minTimeLimit || d > maxTimeLimit {
		f.addError(field, "%q is not a time from %s to %s, for example 10m", text, minTimeLimit, maxTimeLimit)
		return 0
	}
	return d
}
