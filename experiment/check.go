package experiment

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// checkDurations returns a FieldError for each duration that does not parse; the decoder's
// own error does not tell the line.
func checkDurations(file string, data []byte) error {
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return syntaxError(file, err)
	}
	v := &durations{file: file}
	for _, document := range parsed.Docs {
		ast.Walk(v, document)
	}
	return errors.Join(v.errs...)
}

// durations visits the fields of a document.
type durations struct {
	file string
	errs []error
}

// Visit checks one node.
func (v *durations) Visit(node ast.Node) ast.Visitor {
	m, ok := node.(*ast.MappingValueNode)
	if !ok || m.Value == nil || !durationFields[m.Key.GetToken().Value] {
		return v
	}
	token := m.Value.GetToken()
	if _, err := time.ParseDuration(token.Value); err != nil {
		v.errs = append(v.errs, &FieldError{File: v.file, Field: m.Key.GetToken().Value, Line: token.Position.Line,
			Problem: fmt.Sprintf("%q is not a duration such as 30s", token.Value)})
	}
	return v
}

// durationFields are the names of the fields that hold a duration.
var durationFields = func() map[string]bool {
	names := map[string]bool{}
	for _, of := range []reflect.Type{reflect.TypeFor[Declaration](), reflect.TypeFor[Settings](), reflect.TypeFor[Fault](), reflect.TypeFor[Notices]()} {
		for i := range of.NumField() {
			if f := of.Field(i); f.Type == reflect.TypeFor[time.Duration]() {
				names[f.Tag.Get("yaml")] = true
			}
		}
	}
	return names
}()

// check collects the faults of a declaration.
type check struct {
	file string
	data []byte
	errs []error
}

func (c *check) fail(field, format string, arguments ...any) {
	c.errs = append(c.errs, &FieldError{File: c.file, Field: field, Line: c.line(field), Problem: fmt.Sprintf(format, arguments...)})
}

// line returns the line of a field, or of the nearest enclosing field that is in the file.
func (c *check) line(field string) int {
	file, err := parser.ParseBytes(c.data, 0)
	for err == nil && field != "" {
		path, bad := yaml.PathString("$." + field)
		if bad == nil {
			if node, missing := path.FilterFile(file); missing == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		field = field[:max(strings.LastIndex(field, "."), 0)]
	}
	return 1
}

func (c *check) oneOf(field, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.fail(field, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}

func (c *check) between(field string, value, low, high float64) {
	if value < low || value > high {
		c.fail(field, "%g is not in %g to %g", value, low, high)
	}
}

func (c *check) declaration(d *Declaration) {
	if d.Name == "" || strings.ContainsAny(d.Name, "/ \\") {
		c.fail("name", "%q must be a word without spaces and slashes", d.Name)
	}
	c.oneOf("kind", d.Kind, kinds)
	if d.Kind == kindNotices {
		c.notices(d.Notices)
		return
	}
	c.between("duration", d.Duration.Seconds(), 1, maxDuration.Seconds())
	c.between("measure", d.Measure.Seconds(), 0, d.Duration.Seconds())
	c.settings("settings", d.Settings, true)
	if len(d.Policies) == 0 {
		c.fail("policies", "at least one policy is needed")
	}
	for i, p := range d.Policies {
		c.oneOf(fmt.Sprintf("policies[%d].policy", i), p.Policy, policies)
		c.settings(fmt.Sprintf("policies[%d].overrides", i), p.Overrides, false)
	}
	for i, s := range d.Scenarios {
		c.settings(fmt.Sprintf("scenarios[%d].overrides", i), s.Overrides, false)
		for k, f := range s.Faults {
			field := fmt.Sprintf("scenarios[%d].faults[%d]", i, k)
			c.oneOf(field+".kind", f.Kind, faults)
			c.between(field+".at", f.At.Seconds(), 0, d.Duration.Seconds())
			c.between(field+".share", f.Share, 0, 1)
			c.target(field+".target", f, d)
		}
	}
}

func (c *check) target(field string, f Fault, d *Declaration) {
	switch f.Kind {
	case "add", "join":
	case "leave", "kill":
		c.between(field, float64(f.Target), 1, float64(d.Settings.Daemons))
	default:
		c.between(field, float64(f.Target), 1, float64(d.Settings.Upstreams))
	}
}

func (c *check) settings(field string, s Settings, required bool) {
	low := 0.0
	if required {
		low = 1
	}
	c.between(field+".daemons", float64(s.Daemons), low, maxDaemons)
	c.between(field+".upstreams", float64(s.Upstreams), low, maxUpstreams)
	c.between(field+".slots", float64(s.Slots), low, maxUpstreams)
	c.between(field+".flows", float64(s.Flows), low, maxFlows)
	if s.LoadBound != 0 {
		c.between(field+".load_bound", float64(s.LoadBound), 101, 100_000)
	}
	if s.Fabric != "" {
		c.oneOf(field+".fabric", s.Fabric, []string{fabricFlow, fabricPacket})
	}
	if s.Aim != "" {
		c.oneOf(field+".aim", s.Aim, []string{"connections", "balance"})
	}
	if s.Arrivals != "" {
		c.oneOf(field+".arrivals", s.Arrivals, []string{"poisson", "bursty"})
	}
	if s.Tail != 0 {
		c.between(field+".tail", s.Tail, 1.01, 10)
	}
	c.between(field+".offered", s.Offered, 0, 100)
	c.between(field+".overload", s.Overload, 0, 100)
	c.between(field+".heavy_callers", s.HeavyCallers, 0, 1)
	c.between(field+".heavy_requests", s.HeavyRequests, 0, 1)
	c.between(field+".idempotent", s.Idempotent, 0, 1)
	c.between(field+".caller_retries", float64(s.CallerRetries), 0, 10)
}
