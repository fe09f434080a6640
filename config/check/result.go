package check

import (
	"encoding/json"
	"fmt"
	"io"
)

// Result is the outcome of a check.
type Result struct {
	File        string       `json:"file"`
	Valid       bool         `json:"valid"`
	Errors      int          `json:"errors"`
	Warnings    int          `json:"warnings"`
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
	// isCompared reports whether there was a configuration in force to compare with.
	isCompared bool
}

// Input is what a check reads. InForce and Upstreams are nil if they were not given.
type Input struct {
	Document, InForce *Document
	Upstreams         *Registrations
	// Evacuated holds the zones that are to be evacuated.
	Evacuated []string
}

// Run checks a configuration. It changes the findings of the input's documents, and must be called once.
func Run(in Input) *Result {
	r := &Result{File: in.Document.Root.file, Findings: []Finding{}, Differences: []Difference{}}
	files := []string{r.File}
	Configuration(in.Document)
	isRead := in.Document.Root.IsPresent()
	if in.InForce != nil && isRead {
		r.isCompared = true
		r.Differences = append(r.Differences, Compare(in.Document, in.InForce)...)
	}
	if in.Upstreams != nil {
		files = append(files, in.Upstreams.Root.file)
		if isRead {
			Upstreams(in.Document, in.Upstreams, in.Evacuated)
		}
		r.Findings = append(r.Findings, *in.Upstreams.Root.findings...)
	}
	r.Findings = append(r.Findings, in.Document.Findings()...)
	sortFindings(r.Findings, files)
	for _, f := range r.Findings {
		if f.Severity == SeverityError {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	r.Valid = r.Errors == 0
	return r
}

// WriteJSON writes the result for programs.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(r)
}

// WriteText writes the result for people: one line for each finding and difference, then a summary.
func (r *Result) WriteText(w io.Writer) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintln(w, d); err != nil {
			return err
		}
	}
	summary := fmt.Sprintf("%s: %s, %s", r.File, count(r.Errors, "error"), count(r.Warnings, "warning"))
	if r.isCompared {
		summary += ", " + count(len(r.Differences), "difference") + " from the one in force"
	}
	_, err := fmt.Fprintln(w, summary)
	return err
}

// String returns the finding as one line in the form of compilers.
func (f Finding) String() string {
	line := f.File
	if f.Line > 0 {
		line += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	line += ": " + string(f.Severity) + ": "
	if f.Place != "" {
		line += f.Place + ": "
	}
	return line + f.Text
}

// String returns the difference as one line.
func (d Difference) String() string {
	if address := d.Old + d.New; d.Field == "" && address != "" {
		return fmt.Sprintf("%s %s (%s); %s", d.Change, d.Place, address, d.Effect)
	}
	if d.Field == "" {
		return fmt.Sprintf("%s %s; %s", d.Change, d.Place, d.Effect)
	}
	return fmt.Sprintf("%s %s: %s %q -> %q; %s", d.Change, d.Place, d.Field, d.Old, d.New, d.Effect)
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
