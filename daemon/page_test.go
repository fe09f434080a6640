package daemon

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var updatePage = flag.Bool("update-page", false, "write the settings table to docs/OPERATIONS.md")

const operationsPage = "../docs/OPERATIONS.md"

// inBandDirectories matches the directories of the in-band daemon, which has tables of its own on the
// page.
var inBandDirectories = regexp.MustCompile(`^(catalog|discovery|edge|fleet|inband|logread|placement|platform|suspicion)$`)

// sharedSource is the code of both daemons that logs events and that sourceText would leave out.
const sharedSource = "../internal/suspension/suspension.go"

// sourceText returns the concatenated source code, without stand-ins, tests and tools, of the in-band
// daemon or of all other packages, and the shared one.
func sourceText(g Gomega, isInBand bool) string {
	var text strings.Builder
	g.Expect(filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if top, _, _ := strings.Cut(strings.TrimPrefix(path, "../"), "/"); !d.IsDir() && inBandDirectories.MatchString(top) != isInBand {
			return nil
		}
		if d.IsDir() && regexp.MustCompile(`^(standin|experiment|test|internal|api|cmd|caller|bin|spec|\.git)$`).MatchString(d.Name()) {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		text.Write(data)
		return err
	})).To(Succeed())
	data, err := os.ReadFile(sharedSource)
	g.Expect(err).NotTo(HaveOccurred())
	text.Write(data)
	return text.String()
}

// distinctMatches returns the set of first groups of the patterns' matches.
func distinctMatches(text string, patterns ...string) map[string]bool {
	found := map[string]bool{}
	for _, p := range patterns {
		for _, m := range regexp.MustCompile(p).FindAllStringSubmatch(text, -1) {
			found[m[1]] = true
		}
	}
	return found
}

// pageSection returns the text of a section of the page.
func pageSection(g Gomega, page, title string) string {
	_, rest, found := strings.Cut(page, "\n## "+title+"\n")
	g.Expect(found).To(BeTrue(), title)
	rest, _, _ = strings.Cut(rest, "\n## ")
	return rest
}

// Guards against a log event or a counter family that the page does not document, and against a
// documented one that no longer exists.
func TestPageListsEventsAndCounters(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile(operationsPage)
	g.Expect(err).NotTo(HaveOccurred())
	for _, isInBand := range []bool{false, true} {
		suffix := ""
		if isInBand {
			suffix = " of in-band daemons"
		}
		code := sourceText(g, isInBand)
		events := distinctMatches(code, `Str\("event", *"([a-z_]+)"`, `\bevent\w* +:?= "([a-z_]+)"`, `\bevent = "([a-z_]+)"`)
		g.Expect(distinctMatches(pageSection(g, string(data), "Log events"+suffix), "(?m)^\\| `([a-z_]+)\\*?` \\|")).To(Equal(events))
		families := distinctMatches(code, `(?:Count|Add|Observe|Distribution)\("([a-z_]+)\.`, `"(retry|refusal|drop|config|forward)\.[a-z_]*"`)
		g.Expect(distinctMatches(pageSection(g, string(data), "Counters"+suffix), "(?m)^\\| `([a-z_]+)\\.\\*` \\|")).To(Equal(families))
	}
}

// Guards against a settings table on the page that differs from the flags.
func TestPageListsSettings(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile(operationsPage)
	g.Expect(err).NotTo(HaveOccurred())
	table := "| flag | variable | default | meaning |\n|---|---|---|---|\n"
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		value := f.Tag.Get("default")
		if f.Tag.Get("required") == "true" {
			value = "required"
		}
		table += fmt.Sprintf("| `--%s` | `%s` | %s | %s |\n", f.Tag.Get("long"), f.Tag.Get("env"), value, f.Tag.Get("description"))
	}
	const begin, end = "<!-- settings: go test ./daemon -run Page -update-page -->\n", "<!-- end of settings -->"
	before, rest, found := strings.Cut(string(data), begin)
	g.Expect(found).To(BeTrue())
	_, after, found := strings.Cut(rest, end)
	g.Expect(found).To(BeTrue())
	want := before + begin + table + end + after
	if *updatePage {
		g.Expect(os.WriteFile(operationsPage, []byte(want), 0o644)).To(Succeed())
		return
	}
	g.Expect(string(data)).To(Equal(want))
}

// Guards against a documented alarm that the page neither shows in an example nor lists as an exception.
func TestPageExamplesShowAlarms(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile(operationsPage)
	g.Expect(err).NotTo(HaveOccurred())
	table, rest, found := strings.Cut(pageSection(g, string(data), "Alarms"), "\n\nThe examples cause")
	g.Expect(found).To(BeTrue())
	alarms := distinctMatches(table, "(?m)^\\| `([^`]+)`")
	g.Expect(alarms).NotTo(BeEmpty())
	for alarm := range alarms {
		word := alarm[strings.LastIndexAny(alarm, "./")+1:]
		g.Expect(rest).To(ContainSubstring(word), alarm)
	}
}
