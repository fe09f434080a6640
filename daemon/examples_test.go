package daemon_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/client"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// directiveOrExample matches a directive to the test, or an example: a command and its output.
var directiveOrExample = regexp.MustCompile("(?s)<!-- test: ([^>]*) -->|```text\n\\$ ([^\n]+)\n(.*?)```\n")

// Guards against examples of the page whose output differs from that of the programs, and against a
// documented procedure that breaks a flow.
func TestExamplesOfTheOperationsPage(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	var got strings.Builder
	for i, part := range strings.SplitAfter(string(text), "\n## ") {
		if i > 0 && directiveOrExample.MatchString(part) {
			part = runSection(t, part)
		}
		got.WriteString(part)
	}
	if flag.Lookup("update-page").Value.String() == "true" {
		g.Expect(os.WriteFile("../docs/OPERATIONS.md", []byte(got.String()), 0o644)).To(Succeed())
		return
	}
	g.Expect(got.String()).To(Equal(string(text)), "run: go test ./daemon -run Examples -update-page")
}

// section runs the examples of one section of the page on a deployment of its own.
type section struct {
	fixture
	log          *os.File
	files        map[string][]byte
	flows        []*caller.Flow
	exampleCount int
}

// flowsPerSection is the number of flows of a section, enough for most upstreams to have some.
const flowsPerSection = 40

// runSection returns a section of the page with the current output of its examples.
func runSection(t *testing.T, part string) string {
	log, err := os.CreateTemp(t.TempDir(), "log")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	options := testcluster.Options{Log: log}
	if strings.Contains(part, "test: overload") {
		options.MeanService = 300 * time.Millisecond
	}
	var got string
	runWithCluster(t, options, func(c fixture) {
		s := &section{fixture: c, log: log, files: map[string][]byte{"hopkrans-hoeve.yaml": c.DeclarationText}}
		for i := range flowsPerSection {
			s.flows = append(s.flows, c.openFlow([]string{"bindery", "galerij"}[i%2]))
		}
		got = directiveOrExample.ReplaceAllStringFunc(part, func(whole string) string {
			m := directiveOrExample.FindStringSubmatch(whole)
			if m[2] == "" {
				for _, directive := range strings.Split(m[1], "; ") {
					s.runDirective(directive)
				}
				return whole
			}
			return "```text\n$ " + m[2] + "\n" + s.runExample(m[2]) + "```\n"
		})
		for _, f := range s.flows {
			broken, _ := f.Broken()
			c.Expect(broken).To(BeFalse(), "a flow broke")
		}
	})
	return got
}

// runExample runs a command of the page and returns its masked output.
func (s *section) runExample(line string) string {
	s.t.Helper()
	words := strings.Fields(line)
	if words[0] == "curl" {
		m := regexp.MustCompile(`^http://([0-9.]+):7003(/.*)$`).FindStringSubmatch(words[1])
		s.Expect(m).NotTo(BeNil(), line)
		return s.getAdmin(s.daemonAt(m[1]), m[2]).Body.String()
	}
	s.Expect(words[0]).To(Equal("fulmarctl"), line)
	s.exampleCount++
	address, id, expected := "127.1.1.1", fmt.Sprintf("ops-%d", s.exampleCount), uint64(0)
	words = words[1:]
	for ; strings.HasPrefix(words[0], "--"); words = words[2:] {
		switch words[0] {
		case "--address":
			address, _, _ = strings.Cut(words[1], ":")
		case "--change-id":
			id = words[1]
		case "--expected-generation":
			n, err := strconv.ParseUint(words[1], 10, 64)
			s.Expect(err).NotTo(HaveOccurred())
			expected = n
		default:
			s.t.Fatalf("flag of %q", line)
		}
	}
	var out bytes.Buffer
	s.runOperatorCommand(client.Printer{Out: &out, Format: client.Text}, s.daemonAt(address), words, id, expected)
	return maskVolatile(out.String())
}

// maskVolatile replaces the parts of an output that differ between runs: ages, counters, and the
// generation in the response to a change with an unknown outcome, since the daemon may or may not have
// received the change.
func maskVolatile(text string) string {
	text = regexp.MustCompile(`in force for [^;]+;`).ReplaceAllString(text, "in force for AGE;")
	text = regexp.MustCompile(`(?m)^([a-z_]+ +(?:at least )?)\d+$`).ReplaceAllString(text, "${1}N")
	if strings.HasPrefix(text, "unknown (change") {
		text = regexp.MustCompile(`# generation \d+`).ReplaceAllString(text, "# generation N")
	}
	return text
}

// runOperatorCommand runs a command of the client at a daemon and prints the response.
func (s *section) runOperatorCommand(p client.Printer, daemon string, words []string, id string, expected uint64) {
	s.t.Helper()
	service := s.Daemon(daemon).Node.OperatorService()
	switch words[0] {
	case "plan":
		r, err := service.Plan(context.Background(), connect.NewRequest(&pb.PlanRequest{FileName: words[1], Declaration: s.files[words[1]]}))
		s.Expect(err).NotTo(HaveOccurred())
		p.PrintPlan(r.Msg)
	case "apply":
		r, err := service.Apply(context.Background(), connect.NewRequest(&pb.ApplyRequest{
			FileName: words[1], Declaration: s.files[words[1]], ChangeId: id, Author: "anna", ExpectedGeneration: expected, WaitMs: 3000,
		}))
		s.Expect(err).NotTo(HaveOccurred())
		p.PrintApplyResult(r.Msg)
	case "query", "command":
		r := s.runLine(daemon, strings.Join(words[1:], " "), id)
		// This count differs between runs, since the first notice may arrive before or after the first
		// configuration.
		if r.GetTable() != nil {
			r.Table.Rows = slices.DeleteFunc(r.GetTable().GetRows(), func(row *pb.Row) bool {
				return row.GetCells()[0] == "notice_unknown_upstream"
			})
		}
		p.PrintRunResult(r)
	default:
		s.t.Fatalf("command %q", words[0])
	}
}

// daemonAt returns the name of the daemon with the given address.
func (s *section) daemonAt(ip string) string {
	s.t.Helper()
	for _, d := range s.Declaration.Daemons {
		if d.Address == netip.MustParseAddr(ip) {
			return d.Name
		}
	}
	s.t.Fatalf("no daemon at %s", ip)
	return ""
}
