package experiment

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const smallDeclaration = `name: small
kind: requests
duration: 40s
measure: 5s
settings: {daemons: 3, upstreams: 4, slots: 2, flows: 60, offered: 1.5, caller_retries: 1, heavy_callers: 0.1, heavy_requests: 0.5}
policies:
  - policy: random
  - policy: round-robin
  - policy: modulo
  - policy: table
  - policy: report
  - policy: fulmar
scenarios:
  - name: faults
    faults: [{at: 25s, kind: cold, target: 2}, {at: 26s, kind: lie, target: 3}, {at: 30s, kind: shed, target: 4, share: 0.5, for: 2s}]
`

func parse(g *WithT, text string) *Declaration {
	d, err := Parse("small.yaml", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	return d
}

// Guards against requests that end twice or never, and against an admission that sends an upstream more
// requests than it has slots.
func TestEveryRequestEndsOnceWithinSlots(t *testing.T) {
	g := NewWithT(t)
	d := parse(g, smallDeclaration)
	r := Run(t, d, 1, io.Discard)
	g.Expect(r.Measures).To(HaveLen(6))
	for _, m := range r.Measures {
		g.Expect(m.attempts).To(BeNumerically(">", 1000), m.Policy)
		g.Expect(m.finished+m.unfinished).To(Equal(m.attempts), m.Policy)
		g.Expect(m.flowsOnUpstreams).To(Equal(m.flowsAtEnd), m.Policy)
		g.Expect(m.maxRunning).To(BeNumerically("<=", 2), m.Policy)
		if m.Policy == Fulmar {
			g.Expect(m.maxWorkPerSlot).To(Equal(1.0), "requests beyond the slots of an upstream")
		}
	}
}

// Guards against randomness that does not come from the seed, which makes a report impossible to
// reproduce. The control bytes of the flows experiment are left out, since steering queues exceptions of
// equal time in the random order of a map and batches them by size.
func TestSameSeedSameReport(t *testing.T) {
	g := NewWithT(t)
	flows := `name: flows
kind: flows
duration: 60s
settings: {daemons: 3, upstreams: 5, slots: 2, flows: 2000, mean_life: 60s, load_bound: 105}
policies: [{policy: fulmar}, {policy: table}]
scenarios: [{name: changes, faults: [{at: 25s, kind: kill, target: 1}, {at: 35s, kind: drain, target: 2}, {at: 45s, kind: join}]}]
`
	for _, text := range []string{smallDeclaration, flows} {
		d := parse(g, text)
		var tables []string
		for _, seed := range []uint64{5, 5, 6} {
			var b bytes.Buffer
			r := Run(t, d, seed, io.Discard)
			for _, m := range r.Measures {
				if d.Kind == kindFlows {
					m.controlRate = 0
				}
			}
			g.Expect(r.WriteTable(&b)).To(Succeed())
			tables = append(tables, b.String()[bytes.IndexByte(b.Bytes(), '|'):])
		}
		g.Expect(tables[1]).To(Equal(tables[0]))
		g.Expect(tables[2]).NotTo(Equal(tables[0]))
	}
}

// Guards against a model that breaks connections which the real daemons keep at planned changes.
func TestNoBrokenConnectionAtPlannedChanges(t *testing.T) {
	g := NewWithT(t)
	d := parse(g, `name: planned
kind: flows
duration: 90s
settings: {daemons: 3, upstreams: 5, slots: 2, flows: 1000, mean_life: 100s}
policies: [{policy: fulmar}]
scenarios: [{name: changes, faults: [{at: 30s, kind: drain, target: 2}, {at: 40s, kind: add}, {at: 50s, kind: join}, {at: 60s, kind: leave, target: 1}]}]
`)
	g.Expect(Run(t, d, 1, io.Discard).Measures[0].broken).To(BeEmpty())
}

// Guards against errors in a declaration that are reported without the line or the field.
func TestBadFieldIsRefusedWithLineAndField(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown field": {"name: a\nkind: flows\nfoo: 1\n", "x.yaml:3: foo: is not a known field"},
		"wrong kind":    {"name: a\nkind: some\n", `x.yaml:2: kind: "some" is not one of`},
		"wrong policy": {"name: a\nkind: flows\nduration: 5s\nsettings: {daemons: 1, upstreams: 2, slots: 1, flows: 5}\npolicies:\n  - policy: fulmar\n  - policy: magic\n",
			`x.yaml:7: policies[1].policy: "magic" is not one of`},
		"fault target": {"name: a\nkind: flows\nduration: 5s\nsettings: {daemons: 1, upstreams: 2, slots: 1, flows: 5}\npolicies: [{policy: fulmar}]\nscenarios:\n  - name: b\n    faults:\n      - kind: kill\n        target: 9\n",
			"x.yaml:10: scenarios[0].faults[0].target: 9 is not in 1 to 1"},
		"missing flows": {"name: a\nkind: flows\nduration: 5s\nsettings:\n  daemons: 1\n  upstreams: 2\n  slots: 1\npolicies: [{policy: fulmar}]\n", "settings.flows: 0 is not in 1 to"},
		"bad time":      {"name: a\nkind: flows\nduration: soon\n", "x.yaml:3: "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Parse("x.yaml", []byte(c.text))
			g.Expect(err).To(MatchError(ErrInvalidDeclaration))
			g.Expect(err.Error()).To(ContainSubstring(c.want))
		})
	}
}

// Guards against a change of the declaration's format that makes the experiments of the repository
// invalid.
func TestDeclaredExperimentsLoad(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../experiments/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		_, err := Load(file)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against a report that lacks its seed or one of its files.
func TestReportFiles(t *testing.T) {
	g := NewWithT(t)
	d := parse(g, smallDeclaration+"plots: [imbalance, goodput, frontier]\n")
	d.Duration = 30 * time.Second
	d.Policies = d.Policies[:1]
	dir := t.TempDir()
	g.Expect(Run(t, d, 3, io.Discard).Write(dir)).To(Succeed())
	for _, name := range []string{"small.csv", "small-00-wait.hgrm", "small-imbalance-faults.svg", "small-goodput.svg", "small-frontier.svg"} {
		g.Expect(filepath.Join(dir, name)).To(BeARegularFile())
	}
	text, err := os.ReadFile(filepath.Join(dir, "small.txt"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(ContainSubstring("seed 3"))
}

// Guards against a report of several seeds that hides a number that differs between them or mixes up
// cases.
func TestMergeReports(t *testing.T) {
	g := NewWithT(t)
	d := parse(g, `name: two
kind: flows
duration: 70s
measure: 55s
settings: {daemons: 2, upstreams: 3, slots: 2, flows: 300, mean_life: 60s, tail: 1.5, packet_every: 20s}
policies:
  - policy: modulo
scenarios:
  - name: add
    faults: [{at: 60s, kind: add}]
`)
	one, two := Run(t, d, 1, io.Discard), Run(t, d, 2, io.Discard)
	s, err := MergeReports([]*Report{one, two})
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(s.WriteTable(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("seeds 1, 2"))
	low, high := min(one.Measures[0].Broken(), two.Measures[0].Broken()), max(one.Measures[0].Broken(), two.Measures[0].Broken())
	g.Expect(low).To(BeNumerically("<", high))
	g.Expect(s.rows[1][2]).To(Equal(fmt.Sprintf("%d to %d", low, high)))
	g.Expect(s.rows[1][0]).To(Equal("add"))
	g.Expect(mergeCells([]string{"-", "1"})).To(Equal("- | 1"))
	g.Expect(mergeCells([]string{"3", "-2", "10"})).To(Equal("-2 to 10"))
	dir := t.TempDir()
	g.Expect(s.Write(dir)).To(Succeed())
	g.Expect(filepath.Join(dir, "seed-2", "two.csv")).To(BeARegularFile())
	g.Expect(filepath.Join(dir, "two.csv")).To(BeARegularFile())
	_, err = MergeReports(nil)
	g.Expect(err).To(MatchError(ErrDifferentReports))
}
