// Package logread evaluates the log lines of several daemons: it writes the timeline of one flow, and
// the state of each daemon at a given time. It keeps no state.
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

// ErrLine reports a malformed log line; the error names the log and the line number.
var ErrLine = errors.New("not a log line")

// maxLineBytes limits the length of a log line, which is held in memory.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	At     time.Time
	Daemon string
	Event  string
	// Raw is the line from its first brace on, without a prefix that other programs added.
	Raw    string
	fields map[string]any
}

// field returns the value of a field as text, or "" if the line has no such field.
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

// Read returns the lines of a log. Errors contain name, the name of the log. Read skips lines without
// a brace, since other programs may write to the same output. It returns ErrLine for a line that is
// not valid JSON from its first brace on, or that has no valid time.
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

// timelineMargin is the time before the first and after the last line of a flow for which the timeline
// includes the health changes of the flow's upstreams.
const timelineMargin = 5 * time.Second

// WriteFlowTimeline writes the log lines of one flow in order of time, together with the health
// changes of the upstreams that the flow was forwarded to. flow is CALLER>SERVICE or a part of that,
// for example 100.64.0.7:1051. It returns the number of lines written.
func WriteFlowTimeline(w io.Writer, lines []Line, flow string) (int, error) {
	var timeline []Line
	upstreams := map[string]bool{}
	for _, l := range lines {
		if l.field("flow") != "" && strings.Contains(l.field("flow"), flow) {
			timeline = append(timeline, l)
			upstreams[l.field("upstream")] = true
		}
	}
	if len(timeline) == 0 {
		return 0, nil
	}
	sortByTime(timeline)
	first, last := timeline[0].At.Add(-timelineMargin), timeline[len(timeline)-1].At.Add(timelineMargin)
	for _, l := range lines {
		if isHealthChange(l) && upstreams[l.field("upstream")] && l.At.After(first) && l.At.Before(last) {
			timeline = append(timeline, l)
		}
	}
	sortByTime(timeline)
	return len(timeline), writeTimeline(w, timeline)
}

// isHealthChange reports whether a line is about a change of an upstream's health.
func isHealthChange(l Line) bool {
	return l.Event == "upstream_belief" || l.Event == "upstream_outlier"
}

// WriteUpstreamTimeline writes, in order of time, the health changes of an upstream on all daemons, with the
// evidence, and the flows that daemons reset because of them. It returns the number of lines written.
func WriteUpstreamTimeline(w io.Writer, lines []Line, upstream string) (int, error) {
	var timeline []Line
	for _, l := range lines {
		if l.field("upstream") == upstream && (isHealthChange(l) || l.Event == "flow_ended") {
			timeline = append(timeline, l)
		}
	}
	sortByTime(timeline)
	return len(timeline), writeTimeline(w, timeline)
}

// writeTimeline writes lines with their times and daemons.
func writeTimeline(w io.Writer, timeline []Line) error {
	for _, l := range timeline {
		if _, err := fmt.Fprintf(w, "%s %-20s %s\n", l.At.Format("15:04:05.000"), l.Daemon, describe(l)); err != nil {
			return fmt.Errorf("write the timeline: %w", err)
		}
	}
	return nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// describe returns the text of a log line for the timeline. Lines of events that it has no text for are
// returned unchanged.
func describe(l Line) string {
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
	case "upstream_outlier":
		return fmt.Sprintf("upstream %s is %s: %s", l.field("upstream"), l.field("state"), l.field("evidence"))
	default:
		return l.Raw
	}
}

// daemonState is the state of one daemon according to its log: the values of the last matching log
// lines as text, or "-" before the first.
type daemonState struct {
	generation, upstreamsVersion, upstreamCount string
	storeStatus, state                          string
	// unhealthy is the last logged health state of each upstream that is not healthy, and outliers the
	// outlier state of each upstream that is not accepted.
	unhealthy, outliers map[string]string
}

// WriteDaemonStates writes one line for each daemon with its state at the given time. A daemon that
// started again begins with an empty state. It returns the number of daemons.
func WriteDaemonStates(w io.Writer, lines []Line, at time.Time) (int, error) {
	lines = slices.Clone(lines)
	sortByTime(lines)
	daemons := map[string]*daemonState{}
	for _, l := range lines {
		if l.At.After(at) {
			break
		}
		s := daemons[l.Daemon]
		if s == nil || l.Event == "daemon_started" {
			s = &daemonState{generation: "-", upstreamsVersion: "-", upstreamCount: "-", storeStatus: "not heard", state: "running", unhealthy: map[string]string{}, outliers: map[string]string{}}
			daemons[l.Daemon] = s
		}
		s.apply(l)
	}
	names := make([]string, 0, len(daemons))
	for name := range daemons {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := daemons[name]
		if _, err := fmt.Fprintf(w, "%-20s %-9s generation %s, %s upstreams as of %s, store %s, suspects: %s, outliers: %s\n",
			name, s.state, s.generation, s.upstreamCount, s.upstreamsVersion, s.storeStatus,
			joinStates(s.unhealthy), joinStates(s.outliers)); err != nil {
			return 0, fmt.Errorf("write beliefs: %w", err)
		}
	}
	return len(names), nil
}

// joinStates returns the upstreams of a map, each with its state, in the order of their IDs.
func joinStates(states map[string]string) string {
	var list []string
	for upstream, state := range states {
		list = append(list, upstream+" "+state)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// apply updates the state by a log line of the daemon.
func (s *daemonState) apply(l Line) {
	switch l.Event {
	case "configuration_changed":
		s.generation = l.field("generation")
	case "upstreams_changed":
		s.upstreamsVersion, s.upstreamCount = l.field("version"), l.field("upstreams")
	case "store_lost":
		s.storeStatus = "lost at " + l.At.Format("15:04:05.000")
	case "store_regained":
		s.storeStatus = "answers"
	case "daemon_stopping":
		s.state = "leaving"
	case "daemon_stopped":
		s.state = "ended"
	case "upstream_outlier":
		if l.field("state") == "accepted" {
			delete(s.outliers, l.field("upstream"))
		} else {
			s.outliers[l.field("upstream")] = l.field("state")
		}
	case "upstream_belief":
		if l.field("belief") == "heard" {
			delete(s.unhealthy, l.field("upstream"))
		} else {
			s.unhealthy[l.field("upstream")] = l.field("belief")
		}
	}
}
