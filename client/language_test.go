package client_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/client"
	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/query"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

var updatePage = flag.Bool("update-page", false, "write the examples' output to docs/language.md")

const languagePage = "../docs/language.md"

// exampleBlock matches one example of the page: the line after the prompt and its output.
var exampleBlock = regexp.MustCompile("(?s)```text\n> ([^\n]+)\n(.*?)```\n")

// Guards against examples of the page whose output differs from that of the programs, and against a
// form of the language without an example.
func TestPageShowsRealOutput(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile(languagePage)
	g.Expect(err).NotTo(HaveOccurred())
	var outputs []string
	synctest.Test(t, func(t *testing.T) { outputs = runExamples(t, string(text)) })
	n := 0
	got := exampleBlock.ReplaceAllStringFunc(string(text), func(string) string {
		n++
		return outputs[n-1]
	})
	if *updatePage {
		g.Expect(os.WriteFile(languagePage, []byte(got), 0o644)).To(Succeed())
		return
	}
	g.Expect(got).To(Equal(string(text)), "run: go test ./client -run Page -update-page")
	for _, form := range append(append([]string{}, query.Forms...), command.Forms...) {
		g.Expect(got).To(ContainSubstring("### `"+form+"`\n"), "form without an example")
	}
}

// runExamples runs the examples of the page in order and returns them with their current output.
func runExamples(t *testing.T, text string) []string {
	g := NewWithT(t)
	c := testcluster.Start(t, testcluster.Options{Declaration: "../deployments/hopkrans-hoeve.yaml", Seed: 1})
	defer c.Close()
	_, err := c.Apply(context.Background(), "schuur-1", "declare-1", "anna")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(2 * time.Second)
	f, err := c.Open(context.Background(), "bindery")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.Request(context.Background(), caller.Request{Deadline: 5 * time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	var blocks []string
	for i, m := range exampleBlock.FindAllStringSubmatch(text, -1) {
		r, err := c.Run(context.Background(), "schuur-1", m[1], fmt.Sprintf("change-%d", i+1), "anna")
		g.Expect(err).NotTo(HaveOccurred())
		// This count differs between runs, since daemons receive the first configuration and the first
		// notices at the same instant of virtual time in any order.
		if r.GetTable() != nil {
			r.Table.Rows = slices.DeleteFunc(r.GetTable().GetRows(), func(row *pb.Row) bool {
				return row.GetCells()[0] == "notice_unknown_upstream"
			})
		}
		var out bytes.Buffer
		client.Printer{Out: &out, Format: client.Text}.PrintRunResult(r)
		// The age of the configuration depends on the jitter of retransmissions and polls.
		masked := regexp.MustCompile(`in force for [^;]+;`).ReplaceAllString(out.String(), "in force for AGE;")
		blocks = append(blocks, "```text\n> "+m[1]+"\n"+masked+"```\n")
		time.Sleep(time.Second)
	}
	return blocks
}

// Guards against an exit status that the page does not list exactly once.
func TestPageListsExitStatuses(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile(languagePage)
	g.Expect(err).NotTo(HaveOccurred())
	for _, status := range []int{client.ExitOK, client.ExitRefused, client.ExitUsage, client.ExitUnknown, client.ExitNoAnswer} {
		g.Expect(strings.Count(string(text), fmt.Sprintf("\n| %d | ", status))).To(Equal(1))
	}
}
