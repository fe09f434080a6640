package client

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Format of the output.
type Format string

// Output formats: text for people, JSON for programs.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Printer writes responses of daemons to the output.
type Printer struct {
	Out    io.Writer
	Format Format
}

// printf writes to the output. Write errors are ignored: when the output is closed, there is no other
// way to report them.
func (p Printer) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.Out, format, args...) }

func (p Printer) printJSON(m proto.Message) {
	p.printf("%s\n", protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Format(m))
}

// PrintCheckResult prints whether a declaration is valid. Text goes to w with one line for each error;
// JSON goes to the output.
func (p Printer) PrintCheckResult(w io.Writer, file string, errs []string) {
	if p.Format == JSON {
		// Strings and a bool always encode, so that there is no error.
		data, _ := json.MarshalIndent(checkResult{File: file, Valid: len(errs) == 0, Errors: append([]string{}, errs...)}, "", "  ")
		p.printf("%s\n", data)
		return
	}
	for _, line := range errs {
		_, _ = fmt.Fprintln(w, line)
	}
	if len(errs) == 0 {
		_, _ = fmt.Fprintf(w, "%s: valid\n", file)
	}
}

// checkResult is the JSON output of the check of a declaration.
type checkResult struct {
	File   string   `json:"file"`
	Valid  bool     `json:"valid"`
	Errors []string `json:"errors"`
}

// PrintPlan prints what a declaration would change.
func (p Printer) PrintPlan(r *pb.PlanResponse) {
	if p.Format == JSON {
		p.printJSON(r)
		return
	}
	p.printLines("error: ", r.GetErrors())
	p.printLines("", r.GetLines())
	p.printFreshness(r.GetBasis())
}

// PrintApplyResult prints the outcome of an applied declaration.
func (p Printer) PrintApplyResult(r *pb.ApplyResponse) {
	if p.Format == JSON {
		p.printJSON(r)
		return
	}
	p.printLines("error: ", r.GetErrors())
	p.printOutcome(r.GetOutcome(), r.GetReason(), r.GetChangeId())
	if r.GetGeneration() > 0 {
		p.printf("generation %d\n", r.GetGeneration())
	}
	p.printInForce(r.GetInForce(), r.GetNotConfirmed())
	p.printFreshness(r.GetBasis())
}

// PrintRunResult prints the response to one line of the language.
func (p Printer) PrintRunResult(r *pb.RunResponse) {
	if p.Format == JSON {
		p.printJSON(r)
		return
	}
	p.printLines("error: ", r.GetErrors())
	if r.GetOutcome() != pb.Outcome_OUTCOME_UNSPECIFIED {
		p.printOutcome(r.GetOutcome(), r.GetReason(), r.GetChangeId())
		p.printInForce(r.GetInForce(), r.GetNotConfirmed())
	}
	p.printTable(r.GetTable())
	p.printFreshness(r.GetBasis())
}

func (p Printer) printLines(prefix string, lines []string) {
	for _, l := range lines {
		p.printf("%s%s\n", prefix, l)
	}
}

// OutcomeName returns the outcome in lower case, for example "committed".
func OutcomeName(o pb.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "OUTCOME_"))
}

func (p Printer) printOutcome(o pb.Outcome, reason, changeID string) {
	text := OutcomeName(o) + " (change " + changeID + ")"
	if reason != "" {
		text += ": " + reason
	}
	p.printf("%s\n", text)
}

func (p Printer) printInForce(inForce, notConfirmed []string) {
	if len(inForce) > 0 {
		p.printf("in force on: %s\n", strings.Join(inForce, ", "))
	}
	if len(notConfirmed) > 0 {
		p.printf("not confirmed by: %s\n", strings.Join(notConfirmed, ", "))
	}
}

func (p Printer) printTable(t *pb.Table) {
	if t == nil {
		return
	}
	w := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(t.GetColumns(), "\t")))
	for _, r := range t.GetRows() {
		_, _ = fmt.Fprintln(w, strings.Join(r.GetCells(), "\t"))
	}
	// Write errors are ignored as in printf.
	_ = w.Flush()
}

// printFreshness prints which state the response is based on and how current and complete it is.
func (p Printer) printFreshness(b *pb.Basis) {
	if b == nil {
		return
	}
	age := (time.Duration(b.GetGenerationAgeMs()) * time.Millisecond).Round(100 * time.Millisecond)
	platform := "reachable"
	if !b.GetPlatformReachable() {
		platform = "unreachable"
	}
	missing := "none"
	if len(b.GetMissing()) > 0 {
		missing = strings.Join(b.GetMissing(), ", ")
	}
	p.printf("# generation %d, in force for %s; heard from %s; missing: %s; platform %s\n",
		b.GetGeneration(), age, strings.Join(b.GetHeard(), ", "), missing, platform)
}
