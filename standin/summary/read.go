package summary

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/standin/loadgen"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
)

// Files of a run directory.
const (
	LoadFile        = "loadgen.json"  // report of the load generator
	EventsFile      = "events.tsv"    // Unix ms, kind and text of each event
	UpstreamsFile   = "upstreams.txt" // names of the upstreams whose reports are required
	SteadyFile      = "flows-steady.json"
	EndFile         = "flows-end.json"  // short reports of the upstreams near the end
	UpstreamDir     = "upstream"        // final reports of the upstreams
	DaemonDir       = "daemon"          // counters of each balancer, one JSON file for each
	GenerationsFile = "generations.tsv" // Unix ms, balancer and generation in force, in order
	DaemonsFile     = "daemons.json"    // response of a balancer to "show daemons"
)

// EventKind is the kind of an event. Connections may break after a Fault, but not because of a
// Planned change.
type EventKind string

// Kinds of events.
const (
	Planned EventKind = "planned"
	Fault   EventKind = "fault"
	Info    EventKind = "info"
)

// ErrBadLine reports a malformed line of the events or of the generations.
var ErrBadLine = errors.New("line is not a time in ms and two fields separated by tabs")

// Event is an action of the run on the system.
type Event struct {
	AtMS int64
	Kind EventKind
	Text string
}

// Run holds the reports and events of a run.
type Run struct {
	Load                      loadgen.Report
	Events                    []Event
	ExpectedUpstreams         []string
	Upstreams                 []upstream.Report
	SteadyReports, EndReports []upstream.Report
	// Daemons maps a balancer's name to its metrics by dotted name.
	Daemons map[string]map[string]float64
	// Generations maps a balancer's name to the generation in force on it, as text.
	Generations map[string]string
	// ObservedGenerations are the generations in force on balancers during the run, in order of time.
	ObservedGenerations []GenerationSample
}

// GenerationSample is the generation in force on a balancer at one time.
type GenerationSample struct {
	AtMS       int64
	Daemon     string
	Generation uint64
}

// Read reads a run directory. The report of the load generator is required; the files of balancers
// and of snapshots are optional.
func Read(dir string) (*Run, error) {
	r := &Run{Daemons: map[string]map[string]float64{}}
	raw, err := os.ReadFile(filepath.Join(dir, LoadFile))
	if err != nil {
		return nil, fmt.Errorf("report of the load generator: %w", err)
	}
	if err := json.Unmarshal(raw, &r.Load); err != nil {
		return nil, fmt.Errorf("report of the load generator: %w", err)
	}
	if err := errors.Join(r.readEvents(filepath.Join(dir, EventsFile)), r.readObservedGenerations(filepath.Join(dir, GenerationsFile))); err != nil {
		return nil, err
	}
	if r.SteadyReports, err = readReports(filepath.Join(dir, SteadyFile)); err != nil {
		return nil, err
	}
	if r.EndReports, err = readReports(filepath.Join(dir, EndFile)); err != nil {
		return nil, err
	}
	names, err := readOptional(filepath.Join(dir, UpstreamsFile))
	if err != nil {
		return nil, err
	}
	r.ExpectedUpstreams = strings.Fields(string(names))
	if r.Generations, err = readGenerations(filepath.Join(dir, DaemonsFile)); err != nil {
		return nil, err
	}
	if err := r.readUpstreams(filepath.Join(dir, UpstreamDir)); err != nil {
		return nil, err
	}
	return r, r.readDaemons(filepath.Join(dir, DaemonDir))
}

func readOptional(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("read run directory: %w", err)
	}
	return raw, nil
}

// readTimedLines calls handle for each line, which has a Unix time in milliseconds and two more fields.
func readTimedLines(file string, handle func(atMS int64, second, third string) error) error {
	raw, err := readOptional(file)
	if err != nil {
		return err
	}
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		fields := strings.SplitN(lines.Text(), "\t", 3)
		if len(fields) != 3 {
			return fmt.Errorf("%q: %w", lines.Text(), ErrBadLine)
		}
		at, err := strconv.ParseInt(fields[0], 10, 64)
		if err == nil {
			err = handle(at, fields[1], fields[2])
		}
		if err != nil {
			return fmt.Errorf("%q: %w: %w", lines.Text(), ErrBadLine, err)
		}
	}
	return nil
}

func (r *Run) readEvents(file string) error {
	return readTimedLines(file, func(atMS int64, kind, text string) error {
		r.Events = append(r.Events, Event{AtMS: atMS, Kind: EventKind(kind), Text: text})
		return nil
	})
}

func (r *Run) readObservedGenerations(file string) error {
	return readTimedLines(file, func(atMS int64, daemon, generation string) error {
		n, err := strconv.ParseUint(generation, 10, 64)
		r.ObservedGenerations = append(r.ObservedGenerations, GenerationSample{AtMS: atMS, Daemon: daemon, Generation: n})
		return err
	})
}

// readReports reads a sequence of JSON arrays of reports.
func readReports(file string) ([]upstream.Report, error) {
	raw, err := readOptional(file)
	if err != nil {
		return nil, err
	}
	var all []upstream.Report
	for decoder := json.NewDecoder(bytes.NewReader(raw)); ; {
		var some []upstream.Report
		if err := decoder.Decode(&some); errors.Is(err, io.EOF) {
			return all, nil
		} else if err != nil {
			return nil, fmt.Errorf("reports of upstreams in %s: %w", filepath.Base(file), err)
		}
		all = append(all, some...)
	}
}

// readGenerations reads the response to "show daemons"; the file is optional.
func readGenerations(file string) (map[string]string, error) {
	generations := map[string]string{}
	raw, err := readOptional(file)
	if err != nil || len(raw) == 0 {
		return generations, err
	}
	answer := &pb.RunResponse{}
	if err := protojson.Unmarshal(raw, answer); err != nil {
		return nil, fmt.Errorf("answer to show daemons: %w", err)
	}
	name, generation := -1, -1
	for i, column := range answer.GetTable().GetColumns() {
		switch column {
		case "daemon":
			name = i
		case "generation":
			generation = i
		}
	}
	for _, row := range answer.GetTable().GetRows() {
		if cells := row.GetCells(); name >= 0 && generation >= 0 && len(cells) > max(name, generation) {
			generations[cells[name]] = cells[generation]
		}
	}
	return generations, nil
}

func (r *Run) readUpstreams(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return fmt.Errorf("list reports of upstreams: %w", err)
	}
	for _, file := range files {
		some, err := readReports(file)
		if err != nil {
			return err
		}
		r.Upstreams = append(r.Upstreams, some...)
	}
	return nil
}

func (r *Run) readDaemons(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return fmt.Errorf("list reports of balancers: %w", err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("report of a balancer: %w", err)
		}
		numbers := map[string]float64{}
		for decoder := json.NewDecoder(bytes.NewReader(raw)); ; {
			var v any
			// A killed balancer leaves an empty or truncated file.
			if decoder.Decode(&v) != nil {
				break
			}
			flatten("", v, numbers)
		}
		r.Daemons[strings.TrimSuffix(filepath.Base(file), ".json")] = numbers
	}
	return nil
}

// flatten adds the numbers of a JSON value to a map, by their dotted names.
func flatten(prefix string, v any, into map[string]float64) {
	switch v := v.(type) {
	case float64:
		into[strings.TrimSuffix(prefix, ".")] = v
	case string:
		// Protobuf's JSON writes 64-bit numbers as strings.
		if n, err := strconv.ParseFloat(v, 64); err == nil {
			into[strings.TrimSuffix(prefix, ".")] = n
		}
	case map[string]any:
		for name, inner := range v {
			flatten(prefix+name+".", inner, into)
		}
	}
}
