package declaration_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/config/declaration"
)

const validYAML = `deployment: hopkrans-hoeve
zones: [schuur, winkel]
daemons:
  - {name: schuur-1, zone: schuur, address: 127.1.1.1}
services:
  - name: bindery
    address: 127.2.1.1:8001
    aim: connections
    limits: {idle_limit: 5m, retry_percent: 10}
  - {name: galerij, address: "127.2.2.1:8002", aim: balance}
upstreams:
  - {name: bindery-1, service: bindery, zone: schuur, address: "127.1.1.51:9000", slots: 2}
  - {name: bindery-2, service: bindery, zone: winkel, address: "127.1.2.51:9000", slots: 2, weight: 3}
`

// Guards against an error in a declaration that is accepted, or reported without its line and field.
func TestErrorsAreReportedWithLineAndField(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"unknown field", "weight: 3", "wieght: 3", "d.yaml:13: upstreams[1].wieght: unknown field"},
		{"unknown root field", "daemons:", "deamons:", "d.yaml:4: deamons: unknown field"},
		{"missing field", "aim: connections", "", `d.yaml:6: services[0].aim: is missing`},
		{"bad aim", "aim: connections", "aim: speed", `d.yaml:8: services[0].aim: "speed" is not connections or balance`},
		{"bad slots", "slots: 2, weight", "slots: two, weight", `d.yaml:13: upstreams[1].slots: "two" is not a whole number from 1 to 10000`},
		{"zero slots", "slots: 2, weight", "slots: 0, weight", `d.yaml:13: upstreams[1].slots: "0" is not`},
		{"bad address", "127.1.2.51:9000", "127.1.2.551:9000", `d.yaml:13: upstreams[1].address: "127.1.2.551:9000" is not an IPv4 address and port`},
		{"no port", "127.2.1.1:8001", "127.2.1.1", `d.yaml:7: services[0].address: "127.2.1.1" is not`},
		{"duplicate address", "127.1.2.51:9000", "127.1.1.51:9000", `d.yaml:13: upstreams[1].address: duplicate address "127.1.1.51:9000", first declared on line 12`},
		{"duplicate name", "name: bindery-2", "name: bindery-1", `d.yaml:13: upstreams[1].name: duplicate VM name "bindery-1", first declared on line 12`},
		{"name of a daemon", "name: bindery-2", "name: schuur-1", `d.yaml:13: upstreams[1].name: duplicate VM name "schuur-1"`},
		{"undeclared zone", "zone: winkel", "zone: zolder", `d.yaml:13: upstreams[1].zone: zone "zolder" is not declared`},
		{"unknown service", "service: bindery, zone: winkel", "service: binderij, zone: winkel", `d.yaml:13: upstreams[1].service: service "binderij" is not declared`},
		{"bad duration", "idle_limit: 5m", "idle_limit: 5", `d.yaml:9: services[0].limits.idle_limit: "5" is not a time`},
		{"field twice", "slots: 2, weight", "slots: 2, slots: 3, weight", `d.yaml:13: upstreams[1].slots: is given twice`},
		{"bad name", "name: galerij", "name: Galerij", `d.yaml:10: services[1].name: "Galerij" is not a name`},
		{"bad state", "weight: 3", "state: gone", `d.yaml:13: upstreams[1].state: "gone" is not active or draining`},
		{"list for a value", "slots: 2, weight", "slots: [2], weight", `d.yaml:13: upstreams[1].slots: must be a single value, is a list`},
		{"value for a list", "zones: [schuur, winkel]", "zones: schuur", `d.yaml:2: zones: must be a list, is text`},
		{"line that is slow to parse as YAML", "aim: connections", strings.Repeat("- ", 1000), "d.yaml:8: declaration: line is longer"},
		{"deep nesting", "[schuur, winkel]", strings.Repeat("[", 100), "d.yaml:2: declaration: line is longer than 1024 bytes or brackets are nested deeper than 32"},
		{"not YAML", "aim: connections", "aim: [", "d.yaml:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(validYAML).To(ContainSubstring(c.old))
			d, errs := declaration.Parse("d.yaml", []byte(strings.Replace(validYAML, c.old, c.replacement, 1)))
			g.Expect(d).To(BeNil(), "Parse must not return a part of the declaration")
			g.Expect(errs.Lines()).To(ContainElement(ContainSubstring(c.want)))
		})
	}
}

// Guards against a parser that stops at the first error.
func TestEveryErrorIsReported(t *testing.T) {
	g := NewWithT(t)
	text := strings.NewReplacer("weight: 3", "weight: 300", "aim: connections", "aim: speed", "zone: schuur, address: 127", "zone: zolder, address: 127").Replace(validYAML)
	_, errs := declaration.Parse("d.yaml", []byte(text))
	g.Expect(errs.Lines()).To(HaveExactElements(
		ContainSubstring("d.yaml:4: daemons[0].zone"),
		ContainSubstring("d.yaml:8: services[0].aim"),
		ContainSubstring("d.yaml:13: upstreams[1].weight"),
	))
}

// Guards against fields of the JSON schema that the parser does not have, or has with another type.
func TestSchemaHasTheFieldsOfTheParser(t *testing.T) {
	g := NewWithT(t)
	raw, err := os.ReadFile("schema.json")
	g.Expect(err).NotTo(HaveOccurred())
	var schema struct {
		Properties map[string]any
		Defs       map[string]struct{ Properties map[string]any } `json:"$defs"`
	}
	g.Expect(json.Unmarshal(raw, &schema)).To(Succeed())
	objects := map[string]map[string]any{
		"": schema.Properties, "daemons[0].": schema.Defs["daemon"].Properties, "services[0].": schema.Defs["service"].Properties,
		"services[0].limits.": schema.Defs["limits"].Properties, "upstreams[0].": schema.Defs["upstream"].Properties,
	}
	for path, fields := range objects {
		g.Expect(fields).NotTo(BeEmpty(), path)
		for field := range fields {
			// Each field is given a value of a wrong type: a number for a list, a list for any other.
			value := "[1]"
			if path == "" && field != "deployment" {
				value = "1"
			}
			text := map[string]string{
				"":                    field + ": " + value,
				"daemons[0].":         "daemons: [{" + field + ": " + value + "}]",
				"services[0].":        "services: [{" + field + ": " + value + "}]",
				"services[0].limits.": "services: [{limits: {" + field + ": " + value + "}}]",
				"upstreams[0].":       "upstreams: [{" + field + ": " + value + "}]",
			}[path]
			_, errs := declaration.Parse("d.yaml", []byte(text))
			g.Expect(errs.Lines()).To(ContainElement(ContainSubstring(": "+path+field+": must be ")), text)
			g.Expect(errs.Lines()).NotTo(ContainElement(ContainSubstring("unknown field")), text)
		}
	}
}

// Guards against panics on any input, and against valid declarations whose configuration differs when
// they are built again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Add([]byte("deployment: a\nzones: []\nservices: []\n"))
	f.Add([]byte("a: &x [*x, *x]\n<<: *x\n"))
	f.Add([]byte("? {a: b}\n: !!binary x\n---\n"))
	f.Add(bytes.Repeat([]byte("["), 100))
	f.Add([]byte("zones: !t\n  - |\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, errs := declaration.Parse("d.yaml", data)
		if (d == nil) != (len(errs) > 0) {
			t.Fatalf("declaration %v with errors %v", d, errs)
		}
		if d == nil {
			return
		}
		c, _ := declaration.Build(nil, d, "id", "author", time.UnixMilli(1))
		again, _ := declaration.Build(c, d, "id-2", "author", time.UnixMilli(2))
		if !declaration.SameContent(c, again) {
			t.Fatalf("the same declaration differs: %v and %v", c, again)
		}
	})
}
