package client_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/client"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// Field names of the JSON output, which operators' programs rely on.
var (
	basisFields = []string{"generation", "generationAgeMs", "heard", "missing", "platformReachable"}
	runFields   = []string{"basis", "outcome", "changeId", "reason", "table", "errors", "inForce", "notConfirmed"}
	applyFields = []string{"basis", "outcome", "changeId", "generation", "reason", "errors", "inForce", "notConfirmed"}
	planFields  = []string{"basis", "lines", "errors"}
	tableFields = []string{"columns", "rows"}
)

// expectFields checks that text is one JSON object with exactly the given fields and with the
// complete freshness metadata in its field basis.
func expectFields(g Gomega, what, text string, fields []string) map[string]any {
	var object map[string]any
	g.Expect(json.Unmarshal([]byte(text), &object)).To(Succeed(), what)
	g.Expect(fieldNames(object)).To(ConsistOf(fields), what)
	basis, hasBasis := object["basis"].(map[string]any)
	g.Expect(hasBasis).To(BeTrue(), what)
	g.Expect(fieldNames(basis)).To(ConsistOf(basisFields), what)
	g.Expect(basis["generation"]).To(MatchRegexp(`^[1-9][0-9]*$`), what)
	g.Expect(basis["generationAgeMs"]).To(MatchRegexp(`^[0-9]+$`), what)
	g.Expect(basis["heard"]).NotTo(BeEmpty(), what)
	return object
}

func fieldNames(object map[string]any) []string {
	var names []string
	for name := range object {
		names = append(names, name)
	}
	return names
}

// Guards against invalid JSON, a renamed field, and a response without freshness metadata, for every
// line of the language page and for plan and apply.
func TestJSONOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := testcluster.Start(t, testcluster.Options{Declaration: "../deployments/hopkrans-hoeve.yaml", Seed: 1})
		defer c.Close()
		var out bytes.Buffer
		p := client.Printer{Out: &out, Format: client.JSON}
		printed := func() string { defer out.Reset(); return out.String() }
		applied, err := c.Apply(context.Background(), "schuur-1", "declare-1", "anna")
		g.Expect(err).NotTo(HaveOccurred())
		p.PrintApplyResult(applied)
		g.Expect(expectFields(g, "apply", printed(), applyFields)["inForce"]).To(HaveLen(6))
		time.Sleep(time.Second)
		planned, err := c.Daemon("schuur-1").Node.OperatorService().Plan(context.Background(),
			connect.NewRequest(&pb.PlanRequest{FileName: "x.yaml", Declaration: c.DeclarationText}))
		g.Expect(err).NotTo(HaveOccurred())
		p.PrintPlan(planned.Msg)
		expectFields(g, "plan", printed(), planFields)
		text, err := os.ReadFile(languagePage)
		g.Expect(err).NotTo(HaveOccurred())
		c.Kill("winkel-2")
		for _, m := range exampleBlock.FindAllStringSubmatch(string(text), -1) {
			r, err := c.Run(context.Background(), "schuur-1", m[1], "change-"+m[1], "anna")
			g.Expect(err).NotTo(HaveOccurred())
			p.PrintRunResult(r)
			object := expectFields(g, m[1], printed(), runFields)
			g.Expect(object["basis"].(map[string]any)["missing"]).To(ContainElement("winkel-2"), m[1])
			if table, ok := object["table"].(map[string]any); ok {
				g.Expect(fieldNames(table)).To(ConsistOf(tableFields), m[1])
				for _, row := range table["rows"].([]any) {
					g.Expect(row).To(HaveKey("cells"))
					g.Expect(row.(map[string]any)["cells"]).To(HaveLen(len(table["columns"].([]any))), m[1])
				}
			}
		}
	})
}

// Guards against an exit status that differs from the documented one, for each command of the client
// and in both output formats.
func TestExitStatuses(t *testing.T) {
	dir := t.TempDir()
	good, err := os.ReadFile("../deployments/hopkrans-hoeve.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	valid, faulty, other := writeFile("valid.yaml", string(good)), writeFile("faulty.yaml", "zones: 3\n"), writeFile("other.yaml", string(good))
	address := startOperatorService(t, newFakeOperatorService())
	for line, want := range map[string]int{
		"query show services": client.ExitOK, "history": client.ExitOK, "command drain upstream a": client.ExitOK,
		"command drain upstream d": client.ExitOK, "validate " + valid: client.ExitOK, "plan " + valid: client.ExitOK,
		"--change-id committed apply " + valid: client.ExitOK, "--change-id unchanged apply " + valid: client.ExitOK,
		"run " + writeFile("good", "show services\ndrain upstream a\n"): client.ExitOK, "--help": client.ExitOK,

		"query dance": client.ExitRefused, "command drain upstream b": client.ExitRefused, "plan " + other: client.ExitRefused,
		"--change-id refused apply " + valid: client.ExitRefused, "run " + writeFile("refused", "drain upstream b\n"): client.ExitRefused,

		"": client.ExitUsage, "dance": client.ExitUsage, "query": client.ExitUsage, "command": client.ExitUsage, "run": client.ExitUsage,
		"plan": client.ExitUsage, "validate " + faulty: client.ExitUsage, "plan " + faulty: client.ExitUsage, "apply " + faulty: client.ExitUsage,
		"validate " + dir + "/none": client.ExitUsage, "--no-such-flag history": client.ExitUsage, "--output xml history": client.ExitUsage,
		"run " + dir + "/none": client.ExitUsage, "run " + writeFile("bad", "show\n"): client.ExitUsage, "--ca " + faulty + " history": client.ExitUsage,

		"command drain upstream c": client.ExitUnknown, "--change-id unknown apply " + valid: client.ExitUnknown,
		"run " + writeFile("unknown", "drain upstream c\n"): client.ExitUnknown,

		"query fail": client.ExitNoAnswer, "command fail": client.ExitNoAnswer, "--change-id fail apply " + valid: client.ExitNoAnswer,
	} {
		for _, format := range []string{"text", "json"} {
			g := NewWithT(t)
			var out, errOut bytes.Buffer
			args := append([]string{"--address", address, "--output", format}, strings.Fields(line)...)
			g.Expect(client.Main(args, strings.NewReader(""), &out, &errOut)).To(Equal(want), "%s: %s%s", line, out.String(), errOut.String())
			if format == "json" && out.Len() > 0 && !strings.HasPrefix(line, "run ") && line != "--help" {
				g.Expect(json.Valid(out.Bytes())).To(BeTrue(), "%s: %s", line, out.String())
			}
			if want == client.ExitUsage && !strings.Contains(line, faulty) {
				g.Expect(errOut.String()).NotTo(BeEmpty(), line)
			}
		}
	}
}
