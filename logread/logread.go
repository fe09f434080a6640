// Package logread answers questions from the log lines of several daemons: the story of one flow,
// and what each daemon believed at a moment. It owns no state.
package logread

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrLine reports a line that is not a log line; the error names file and line.
var ErrLine = errors.New("not a log line")

// maxLineBytes bounds a line.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	At     time.Time
	Daemon string
	Event  string
	// Raw is the line without what may stand before its first brace.
	Raw    string
	fields map[string]any
}

// field returns a field as text, "" if there is none.
func (l Line) field(name string) string {
	switch v := l.fields[name].(type) {
	case nil:
		return ""
	case float64:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprint(v)
	}
}

// Read returns the lines of a log; name is what errors call it. Lines without a brace are left
// out, since other programs may write to the same output. It returns ErrLine for one that begins
// like a log line and is none.
func Read(name string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		l := Line{Raw: text[brace:], fields: map[string]any{}}
		if err := json.Unmarshal([]byte(l.Raw), &l.fields); err != nil {
			return nil, fmt.Errorf("%s:%d: %w: %w", name, number, ErrLine, err)
		}
		at, err := time.Parse(time.RFC3339Nano, l.field("time"))
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w: %w", name, number, ErrLine, err)
		}
		l.At, l.Daemon, l.Event = at, l.field("daemon"), l.field("event")
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// around is how long before and after a flow's lines the beliefs in its upstreams are told.
const around = 5 * time.Second

// Flow writes the lines on one flow in the order of time, with those on the upstreams that it had.
// flow is CALLER>SERVICE, or a part of it, as 100.64.0.7:1051. It returns the number of lines.
func Flow(w io.Writer, lines []Line, flow string) (int, error) {
	var story []Line
	upstreams := map[string]bool{}
	for _, l := range lines {
		if l.field("flow") != "" && strings.Contains(l.field("flow"), flow) {
			story = append(story, l)
			upstreams[l.field("upstream")] = true
		}
	}
	if len(story) == 0 {
		return 0, nil
	}
	sortByTime(story)
	first, last := story[0].At.Add(-around), story[len(story)-1].At.Add(around)
	for _, l := range lines {
		if l.Event == "upstream_belief" && upstreams[l.field("upstream")] && l.At.After(first) && l.At.Before(last) {
			story = append(story, l)
		}
	}
	sortByTime(story)
	for _, l := range story {
		if _, err := fmt.Fprintf(w, "%s %-20s %s\n", l.At.Format("15:04:05.000"), l.Daemon, tell(l)); err != nil {
			return 0, fmt.Errorf("write the story: %w", err)
		}
	}
	return len(story), nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// tell puts a line in words.
func tell(l Line) string {
	switch l.Event {
	case "flow":
		text := fmt.Sprintf("%s: %s", l.field("action"), l.field("reason"))
		if l.field("upstream") != "" {
			text += fmt.Sprintf(", upstream %s in %s", l.field("upstream"), l.field("zone"))
		}
		return text + fmt.Sprintf(" (generation %s, upstreams %s ms old)", l.field("generation"), l.field("upstreams_age_ms"))
	case "flow_ended":
		return fmt.Sprintf("reset while idle: %s, upstream %s in %s", l.field("reason"), l.field("upstream"), l.field("zone"))
	case "upstream_belief":
		return fmt.Sprintf("upstream %s is %s: %s", l.field("upstream"), l.field("belief"), l.field("evidence"))
	default:
		return l.Raw
	}
}

// belief is what one daemon believed.
type belief struct {
	generation, asOf, upstreams string
	store, state                string
	suspects                    map[string]string
}

// Beliefs writes what each daemon believed at a moment, a line for each. It returns the number of
// daemons.
func Beliefs(w io.Writer, lines []Line, at time.Time) (int, error) {
	lines = slices.Clone(lines)
	sortByTime(lines)
	daemons := map[string]*belief{}
	for _, l := range lines {
		if l.At.After(at) {
			break
		}
		b := daemons[l.Daemon]
		if b == nil || l.Event == "daemon_started" {
			b = &belief{generation: "-", asOf: "-", upstreams: "-", store: "not heard", state: "running", suspects: map[string]string{}}
			daemons[l.Daemon] = b
		}
		b.take(l)
	}
	names := make([]string, 0, len(daemons))
	for name := range daemons {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b := daemons[name]
		var suspects []string
		for upstream, state := range b.suspects {
			suspects = append(suspects, upstream+" "+state)
		}
		slices.Sort(suspects)
		if _, err := fmt.Fprintf(w, "%-20s %-9s generation %s, %s upstreams as of %s, store %s, suspects: %s\n",
			name, b.state, b.generation, b.upstreams, b.asOf, b.store, strings.Join(suspects, ", ")); err != nil {
			return 0, fmt.Errorf("write beliefs: %w", err)
		}
	}
	return len(names), nil
}

func (b *belief) take(l Line) {
	switch l.Event {
	case "configuration_changed":
		b.generation = l.field("generation")
	case "upstreams_changed":
		b.asOf, b.upstreams = l.field("version"), l.field("upstreams")
	case "store_lost":
		b.store = "lost at " + l.At.Format("15:04:05.000")
	case "store_regained":
		b.store = "answers"
	case "daemon_stopping":
		b.state = "leaving"
	case "daemon_stopped":
		b.state = "ended"
	case "upstream_belief":
		if l.field("belief") == "heard" {
			delete(b.suspects, l.field("upstream"))
		} else {
			b.suspects[l.field("upstream")] = l.field("belief")
		}
	}
}
