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

// checkDurations returns a FieldError for each duration that does not parse, since the decoder's own
// error does not contain the line.
func checkDurations(file string, data []byte) error {
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return syntaxError(file, err)
	}
	v := &durationVisitor{file: file}
	for _, document := range parsed.Docs {
		ast.Walk(v, document)
	}
	return errors.Join(v.errs...)
}

// durationVisitor collects the durations in a document that do not parse.
type durationVisitor struct {
	file string
	errs []error
}

// Visit checks a node if it is a field that holds a duration.
func (v *durationVisitor) Visit(node ast.Node) ast.Visitor {
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

// durationFields contains the names of the fields that hold a duration.
var durationFields = func() map[string]bool {
	names := map[string]bool{}
	for _, structType := range []reflect.Type{reflect.TypeFor[Declaration](), reflect.TypeFor[Settings](), reflect.TypeFor[Fault](), reflect.TypeFor[Notices]()} {
		for i := range structType.NumField() {
			if f := structType.Field(i); f.Type == reflect.TypeFor[time.Duration]() {
				names[f.Tag.Get("yaml")] = true
			}
		}
	}
	return names
}()

// checker collects the errors in a declaration.
type checker struct {
	file string
	data []byte
	errs []error
}

// addError adds an error about a field.
func (c *checker) addError(field, format string, arguments ...any) {
	c.errs = append(c.errs, &FieldError{File: c.file, Field: field, Line: c.line(field), Problem: fmt.Sprintf(format, arguments...)})
}

// line returns the line of a field, of the nearest enclosing field if the file lacks that one, or 1.
func (c *checker) line(field string) int {
	file, err := parser.ParseBytes(c.data, 0)
	for err == nil && field != "" {
		path, pathErr := yaml.PathString("$." + field)
		if pathErr == nil {
			if node, filterErr := path.FilterFile(file); filterErr == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		field = field[:max(strings.LastIndex(field, "."), 0)]
	}
	return 1
}

// checkOneOf checks that the value of a field is one of the allowed values.
func (c *checker) checkOneOf(field, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.addError(field, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}

// checkRange checks that the value of a field is in a range that includes its ends.
func (c *checker) checkRange(field string, value, low, high float64) {
	if value < low || value > high {
		c.addError(field, "%g is not in %g to %g", value, low, high)
	}
}

// checkDeclaration checks all fields that the kind of the experiment uses.
func (c *checker) checkDeclaration(d *Declaration) {
	if d.Name == "" || strings.ContainsAny(d.Name, "/ \\") {
		c.addError("name", "%q must be a word without spaces and slashes", d.Name)
	}
	c.checkOneOf("kind", d.Kind, kinds)
	if d.Kind == kindNotices {
		c.checkNotices(d.Notices)
		return
	}
	c.checkRange("duration", d.Duration.Seconds(), 1, maxDuration.Seconds())
	c.checkRange("measure", d.MeasureFrom.Seconds(), 0, d.Duration.Seconds())
	c.checkSettings("settings", d.Settings, true)
	if len(d.Policies) == 0 {
		c.addError("policies", "at least one policy is needed")
	}
	for i, p := range d.Policies {
		c.checkOneOf(fmt.Sprintf("policies[%d].policy", i), p.Policy, policies)
		c.checkSettings(fmt.Sprintf("policies[%d].overrides", i), p.Overrides, false)
	}
	for i, s := range d.Scenarios {
		c.checkSettings(fmt.Sprintf("scenarios[%d].overrides", i), s.Overrides, false)
		for k, f := range s.Faults {
			field := fmt.Sprintf("scenarios[%d].faults[%d]", i, k)
			c.checkOneOf(field+".kind", f.Kind, faults)
			c.checkRange(field+".at", f.At.Seconds(), 0, d.Duration.Seconds())
			c.checkRange(field+".share", f.Share, 0, 1)
			c.checkTarget(field+".target", f, d)
		}
	}
}

// checkTarget checks that a fault names an existing daemon or upstream, if its kind needs one.
func (c *checker) checkTarget(field string, f Fault, d *Declaration) {
	switch f.Kind {
	case "add", "join":
	case "leave", "kill":
		c.checkRange(field, float64(f.Target), 1, float64(d.Settings.Daemons))
	default:
		c.checkRange(field, float64(f.Target), 1, float64(d.Settings.Upstreams))
	}
}

// checkSettings checks the settings of an experiment, whose sizes are required, or an override, in which
// 0 changes nothing.
func (c *checker) checkSettings(field string, s Settings, required bool) {
	low := 0.0
	if required {
		low = 1
	}
	c.checkRange(field+".daemons", float64(s.Daemons), low, maxDaemons)
	c.checkRange(field+".upstreams", float64(s.Upstreams), low, maxUpstreams)
	c.checkRange(field+".slots", float64(s.Slots), low, maxUpstreams)
	c.checkRange(field+".flows", float64(s.Flows), low, maxFlows)
	if s.LoadBound != 0 {
		c.checkRange(field+".load_bound", float64(s.LoadBound), 101, 100_000)
	}
	if s.Fabric != "" {
		c.checkOneOf(field+".fabric", s.Fabric, []string{fabricFlow, fabricPacket})
	}
	if s.Aim != "" {
		c.checkOneOf(field+".aim", s.Aim, []string{"connections", "balance"})
	}
	if s.Arrivals != "" {
		c.checkOneOf(field+".arrivals", s.Arrivals, []string{"poisson", "bursty"})
	}
	if s.Tail != 0 {
		c.checkRange(field+".tail", s.Tail, 1.01, 10)
	}
	c.checkRange(field+".offered", s.Offered, 0, 100)
	c.checkRange(field+".overload", s.Overload, 0, 100)
	c.checkRange(field+".heavy_callers", s.HeavyCallers, 0, 1)
	c.checkRange(field+".heavy_requests", s.HeavyRequests, 0, 1)
	c.checkRange(field+".idempotent", s.Idempotent, 0, 1)
	c.checkRange(field+".caller_retries", float64(s.CallerRetries), 0, 10)
}
