package summary_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/standin/summary"
)

const flow = "127.9.1.1:10000>127.2.1.1:8001"

func readRun(t *testing.T, files map[string]string) *summary.Run {
	t.Helper()
	g := NewWithT(t)
	dir := t.TempDir()
	for name, text := range files {
		g.Expect(os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700)).To(Succeed())
		g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
	}
	run, err := summary.Read(dir)
	g.Expect(err).NotTo(HaveOccurred())
	return run
}

func violatedRules(run *summary.Run) []string {
	var names []string
	for _, v := range run.Check() {
		names = append(names, v.Rule)
	}
	return names
}

func loadReport(broken string) string {
	return `{"started_ms":1000,"services":[{"name":"bindery","address":"127.2.1.1:8001","statuses":{"ok":5},"broken":[` + broken + `]}]}`
}

// Guards against a request that ran once on each of two upstreams and is not reported.
func TestRunsAreMergedOverUpstreams(t *testing.T) {
	g := NewWithT(t)
	files := map[string]string{
		"loadgen.json":        loadReport(""),
		"upstream/first.json": `[{"name":"bindery-1","runs":{"` + flow + `#1":{"n":1},"` + flow + `#2":{"n":1,"i":true}}}]`,
		"upstream/other.json": `[{"name":"bindery-2","runs":{"` + flow + `#2":{"n":1,"i":true}}}]`,
	}
	g.Expect(violatedRules(readRun(t, files))).To(BeEmpty())
	files["upstream/third.json"] = `[{"name":"bindery-3","runs":{"` + flow + `#1":{"n":1}}}]`
	g.Expect(violatedRules(readRun(t, files))).To(ConsistOf("non-idempotent requests run more than once"))
}

// Guards against a run that passes because its reports contain no results.
func TestIncompleteRunFails(t *testing.T) {
	g := NewWithT(t)
	run := readRun(t, map[string]string{
		"loadgen.json":  `{"services":[{"name":"bindery","statuses":{"ok":0}}]}`,
		"upstreams.txt": "bindery-1\n",
	})
	g.Expect(violatedRules(run)).To(ConsistOf("services without any answer", "upstreams without a report"))
}

// Guards against a connection broken by a planned change that is attributed to a later fault, and the
// reverse.
func TestBreaksBeforeTheFirstFault(t *testing.T) {
	g := NewWithT(t)
	files := map[string]string{
		"loadgen.json": loadReport(`{"flow":"` + flow + `","cause":"owner_lost","at_ms":5000}`),
		"events.tsv":   "4000\tplanned\tstop schuur-2\n6000\tfault\tkill schuur-1\n",
	}
	g.Expect(violatedRules(readRun(t, files))).To(ConsistOf("connections broken by a planned change"))
	files["events.tsv"] = "4500\tfault\tkill schuur-1\n"
	run := readRun(t, files)
	g.Expect(violatedRules(run)).To(BeEmpty())
	var out strings.Builder
	g.Expect(run.WriteBrokenConnections(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("at 4.0s upstream 0 cause owner_lost after kill schuur-1"))
}

// Guards against new flows on a draining upstream that are not reported.
func TestLateOpensOnDrainedUpstream(t *testing.T) {
	g := NewWithT(t)
	files := map[string]string{
		"loadgen.json":     loadReport(""),
		"events.tsv":       "10000\tplanned\tdrain bindery-3\n",
		"upstream/it.json": `[{"name":"bindery-3","last_open_ms":12900}]`,
	}
	g.Expect(violatedRules(readRun(t, files))).To(BeEmpty())
	files["upstream/it.json"] = `[{"name":"bindery-3","last_open_ms":13100}]`
	g.Expect(violatedRules(readRun(t, files))).To(ConsistOf("new flows on a draining upstream after 3 s"))
}

// Guards against a configuration that goes back to an older generation and is not reported, and
// against a restart that is reported as one.
func TestGenerationRollbackIsReported(t *testing.T) {
	g := NewWithT(t)
	files := map[string]string{
		"loadgen.json":    loadReport(""),
		"generations.tsv": "1\tschuur-1\t3\n2\tschuur-2\t2\n3\tschuur-1\t0\n4\tschuur-1\t3\n",
	}
	g.Expect(violatedRules(readRun(t, files))).To(BeEmpty())
	files["generations.tsv"] += "5\tschuur-1\t2\n"
	g.Expect(violatedRules(readRun(t, files))).To(ConsistOf("configurations that went back"))
}

// Guards against requests that are attributed to the wrong event.
func TestPhasesSplitAtEvents(t *testing.T) {
	g := NewWithT(t)
	run := readRun(t, map[string]string{
		"loadgen.json": `{"started_ms":10000,"services":[{"timeline":[{"requests":3,"ok":3},{"requests":5,"ok":4,"unknown":1}],` +
			`"broken":[{"at_ms":11200}]}]}`,
		"events.tsv": "11000\tfault\tkill schuur-1\n",
	})
	var out strings.Builder
	g.Expect(run.WritePhases(&out)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`0.0s +3 +3 +0 +0 +0 +0 +start of the load`))
	g.Expect(out.String()).To(MatchRegexp(`1.0s +5 +4 +0 +1 +0 +1 +kill schuur-1`))
}

// Guards against counters and generations of balancers that are missing from the table.
func TestTableShowsBalancers(t *testing.T) {
	g := NewWithT(t)
	run := readRun(t, map[string]string{
		"loadgen.json":         loadReport(""),
		"daemon/schuur-1.json": `{"retry.queue_full":{"count":2},"refusal.deadline":1}`,
		"daemon/schuur-2.json": `{"counters":{"retry.queue_full":3}}`,
		"daemon/winkel-1.json": ``,
		"daemons.json":         `{"table":{"columns":["daemon","zone","generation"],"rows":[{"cells":["schuur-1","schuur","7"]},{"cells":["winkel-1","winkel","unknown"]}]}}`,
		"flows-end.json":       `[{"name":"a","service":"127.2.1.1:8001","flows_known":3}][{"name":"b","service":"127.2.1.1:8001","flows_known":1}]`,
	})
	var out strings.Builder
	g.Expect(run.WriteTable(&out, nil)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`retries by balancers +queue_full 5`))
	g.Expect(out.String()).To(MatchRegexp(`generation in force +schuur-1 7, winkel-1 unknown`))
	g.Expect(out.String()).To(MatchRegexp(`imbalance, end +1.500`))
}

// Guards against a row that omits a service or a violation.
func TestRowAddsServicesUp(t *testing.T) {
	g := NewWithT(t)
	broken := `{"flow":"` + flow + `","cause":"half_open","at_ms":5000}`
	run := readRun(t, map[string]string{
		"loadgen.json": `{"started_ms":1000,"services":[
			{"name":"bindery","requests":7,"statuses":{"ok":5},"broken":[` + broken + `],"refusals":{"queue_full":2}},
			{"name":"galerij","requests":4,"statuses":{"ok":1},"broken":[` + broken + `],"refusals":{"queue_full":1},"unknown":{"stale_guard":1}}]}`,
		"events.tsv": "4000\tfault\tkill schuur-1\n",
	})
	var out strings.Builder
	g.Expect(run.WriteRow(&out, run.Check())).To(Succeed())
	g.Expect(out.String()).To(Equal("held\thalf_open 2\tqueue_full 3\tstale_guard 1\tnone\t11\n"))
	out.Reset()
	run.Events = nil
	g.Expect(run.WriteRow(&out, run.Check())).To(Succeed())
	g.Expect(out.String()).To(HavePrefix("VIOLATED connections broken by a planned change: 2 "))
}
