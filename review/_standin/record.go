package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// reset is a reset of an open flow that a client received.
type reset struct {
	at         time.Time
	client     string
	local      string
	service    string
	byEndpoint bool
	inFlight   string
}

// record collects what clients, the operator and the platform see, and writes record.txt.
type record struct {
	mu       sync.Mutex
	began    time.Time
	lines    []string
	resets   []reset
	sentIDs  map[string]bool
	answers  map[string]int
	mixedIDs []string
}

func newRecord() *record {
	return &record{began: time.Now(), sentIDs: map[string]bool{}, answers: map[string]int{}}
}

func (r *record) addLocked(at time.Time, format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%09.3f ", at.Sub(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// note adds a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(time.Now(), format, args...)
}

func (r *record) opened(f *flow) {
	r.note("client %s: flow %s to %s opened", f.client.name, f.local, f.service)
}

func (r *record) sent(f *flow, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentIDs[id] = true
	r.addLocked(time.Now(), "client %s: sent %s on %s", f.client.name, id, f.local)
}

func (r *record) answered(f *flow, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id]++
	r.addLocked(time.Now(), "client %s: answer to %s", f.client.name, id)
}

func (r *record) mixed(f *flow, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mixedIDs = append(r.mixedIDs, id)
	r.addLocked(time.Now(), "client %s: foreign answer to %s", f.client.name, id)
}

// reset records a reset of an open flow. The caller holds f.mu.
func (r *record) reset(f *flow, byEndpoint bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.resets = append(r.resets, reset{now, f.client.name, f.local.String(), f.service.String(), byEndpoint, f.inFlight})
	by := "the system"
	if byEndpoint {
		by = "its endpoint"
	}
	r.addLocked(now, "client %s: open flow %s to %s reset by %s, request in progress: %q", f.client.name, f.local, f.service, by, f.inFlight)
}

// endpointLog is what the endpoints' processes wrote.
type endpointLog []endpointEvent

func readEndpointLogs(dir string) (endpointLog, error) {
	files, err := filepath.Glob(filepath.Join(dir, "endpoint-*.log"))
	if err != nil {
		return nil, err
	}
	var events endpointLog
	for _, name := range files {
		in, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		for lines := bufio.NewScanner(in); lines.Scan(); {
			var e endpointEvent
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				events = append(events, e)
			}
		}
		_ = in.Close()
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].AtMS < events[j].AtMS })
	return events, nil
}

// openedAt returns the last opening of a client's flow before a time.
func (l endpointLog) openedAt(client string, before time.Time) (endpointEvent, bool) {
	var found endpointEvent
	for _, e := range l {
		if e.What == "open" && e.Client == client && e.AtMS <= before.UnixMilli() {
			found = e
		}
	}
	return found, found.ID != ""
}

// last returns the time of an endpoint's last event of a kind before a time.
func (l endpointLog) last(id, what string, before time.Time) time.Time {
	var at time.Time
	for _, e := range l {
		if e.ID == id && e.What == what && e.AtMS <= before.UnixMilli() {
			at = time.UnixMilli(e.AtMS)
		}
	}
	return at
}

// runs counts how often each request ran.
func (l endpointLog) runs() map[string]int {
	runs := map[string]int{}
	for _, e := range l {
		if e.What == "run" {
			runs[e.Run]++
		}
	}
	return runs
}

// verdict applies FLOW (a), MIXED, UNASKED and the rule that requests run once at most, and returns the
// violations.
func (r *record) verdict(l endpointLog, disturbedAt map[string][]time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for _, x := range r.resets {
		if x.byEndpoint {
			continue
		}
		opened, isOpen := l.openedAt(x.local, x.at)
		if !isOpen {
			continue
		}
		// The endpoint has lived and was not disturbed in the last stable_window_ms.
		started := l.last(opened.ID, "start", x.at)
		calm := x.at.Sub(started)
		if started.UnixMilli() > opened.AtMS {
			continue // The process that held the flow has ended.
		}
		if x.at.Sub(time.UnixMilli(opened.AtMS)) > flowTTL {
			continue
		}
		for _, at := range disturbedAt[opened.ID] {
			if at.Before(x.at) {
				calm = min(calm, x.at.Sub(at))
			}
		}
		if calm <= stableWindow {
			r.addLocked(x.at, "not counted: flow %s reset %.1f s after a disruption of endpoint %s", x.local, calm.Seconds(), opened.ID)
			continue
		}
		lost := ""
		if x.inFlight != "" && r.answers[x.inFlight] == 0 {
			lost = fmt.Sprintf("; request %s was never answered", x.inFlight)
		}
		broken = append(broken, fmt.Sprintf(
			"FLOW (a): at %.3f s the system reset flow %s to %s of client %s, open on endpoint %s, which has been calm for %.1f s%s",
			x.at.Sub(r.began).Seconds(), x.local, x.service, x.client, opened.ID, calm.Seconds(), lost))
	}
	for _, id := range r.mixedIDs {
		broken = append(broken, "MIXED: foreign answer to "+id)
	}
	for id, n := range l.runs() {
		if !r.sentIDs[id] {
			broken = append(broken, "UNASKED: "+id+" ran")
		}
		if n > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return broken
}

// write writes record.txt.
func (r *record) write(file string, l endpointLog, broken []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := append([]string(nil), r.lines...)
	for _, e := range l {
		at := time.UnixMilli(e.AtMS).Sub(r.began).Seconds()
		lines = append(lines, strings.TrimRight(fmt.Sprintf("%09.3f endpoint %s: %s %s %s", at, e.ID, e.What, e.Client, e.Run), " "))
	}
	sort.Strings(lines)
	lines = append(lines, "", fmt.Sprintf("sent %d requests, answered %d", len(r.sentIDs), len(r.answers)), fmt.Sprintf("violations: %d", len(broken)))
	lines = append(lines, broken...)
	return os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}
