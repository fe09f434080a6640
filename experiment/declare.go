package experiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Declaration is an experiment as its file declares it. Every scenario is run with every
// policy; policies and scenarios may override settings.
type Declaration struct {
	Name  string `yaml:"name"`
	Title string `yaml:"title"`
	// Kind is "flows" (connections only), "requests" or "notices".
	Kind     string        `yaml:"kind"`
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Measure is when measuring begins.
	Measure   time.Duration `yaml:"measure"`
	Settings  Settings      `yaml:"settings"`
	Policies  []Policy      `yaml:"policies"`
	Scenarios []Scenario    `yaml:"scenarios"`
	Notices   Notices       `yaml:"notices"`
	// Plots name the figures: "imbalance", "goodput" and "frontier".
	Plots []string `yaml:"plots"`
}

// Settings describe deployment and load. Zero values of an override change nothing.
type Settings struct {
	Daemons   int `yaml:"daemons"`
	Upstreams int `yaml:"upstreams"`
	Slots     int `yaml:"slots"`
	// LoadBound is in percent of the mean; 0 is the default of the service's aim.
	LoadBound  int           `yaml:"load_bound"`
	Aim        string        `yaml:"aim"`
	DrainLimit time.Duration `yaml:"drain_limit"`
	// Fabric is "packet" (any daemon for each datagram) or "flow" (by flow hash over the
	// daemons of its list).
	Fabric string `yaml:"fabric"`
	// ConfigSpread bounds the random delay after which a daemon follows a new generation.
	ConfigSpread time.Duration `yaml:"config_spread"`

	Flows int `yaml:"flows"`
	// MeanLife and Tail are the mean and exponent of the Pareto distributed lives; a mean of 0
	// keeps flows until the end.
	MeanLife    time.Duration `yaml:"mean_life"`
	Tail        float64       `yaml:"tail"`
	PacketEvery time.Duration `yaml:"packet_every"`

	// Offered is the load as a multiple of the capacity of all slots.
	Offered  float64 `yaml:"offered"`
	Arrivals string  `yaml:"arrivals"`
	// Overload replaces Offered between OverloadFrom and OverloadTo.
	Overload     float64       `yaml:"overload"`
	OverloadFrom time.Duration `yaml:"overload_from"`
	OverloadTo   time.Duration `yaml:"overload_to"`
	// HeavyCallers is the share of flows that send HeavyRequests of the requests.
	HeavyCallers  float64       `yaml:"heavy_callers"`
	HeavyRequests float64       `yaml:"heavy_requests"`
	Service       time.Duration `yaml:"service"`
	Deadline      time.Duration `yaml:"deadline"`
	Idempotent    float64       `yaml:"idempotent"`
	// CallerRetries is the number of times that a caller repeats a failed request.
	CallerRetries int `yaml:"caller_retries"`
	// UpstreamQueue is the number of requests that wait at an upstream; more are refused.
	UpstreamQueue int `yaml:"upstream_queue"`
	// QueueLength bounds the queue of the project's admission; 0 is its default.
	QueueLength int `yaml:"queue_length"`
	// RetryPercent is the service's retry budget; 0 is the default of 10 %.
	RetryPercent    int  `yaml:"retry_percent"`
	NoQueueDeadline bool `yaml:"no_queue_deadline"`
	NoRetryBudget   bool `yaml:"no_retry_budget"`
}

// Policy is one policy of the comparison.
type Policy struct {
	Policy    string   `yaml:"policy"`
	Label     string   `yaml:"label"`
	Overrides Settings `yaml:"overrides"`
}

// Scenario is one condition under which all policies run.
type Scenario struct {
	Name      string   `yaml:"name"`
	Overrides Settings `yaml:"overrides"`
	Faults    []Fault  `yaml:"faults"`
}

// Fault is a change or fault at a time.
type Fault struct {
	At   time.Duration `yaml:"at"`
	Kind string        `yaml:"kind"`
	// Target is the number of the upstream or daemon, from 1.
	Target int           `yaml:"target"`
	For    time.Duration `yaml:"for"`
	Share  float64       `yaml:"share"`
}

// Policies of the comparison.
const (
	Random      = "random"
	RoundRobin  = "round-robin"
	Modulo      = "modulo"
	TableAlone  = "table"
	LeastReport = "report"
	Fulmar      = "fulmar"
)

var (
	kinds    = []string{kindFlows, kindRequests, kindNotices}
	policies = []string{Random, RoundRobin, Modulo, TableAlone, LeastReport, Fulmar}
	faults   = []string{"add", "drain", "remove", "join", "leave", "kill", "cold", "lie", "freeze", "silence", "shed"}
)

const (
	kindFlows    = "flows"
	kindRequests = "requests"
	kindNotices  = "notices"

	fabricFlow   = "flow"
	fabricPacket = "packet"

	maxFlows     = 200_000
	maxUpstreams = 1000
	maxDaemons   = 64
	maxDuration  = time.Hour
)

// ErrDeclaration is the class of every fault of a declaration.
var ErrDeclaration = errors.New("bad experiment")

// FieldError is a fault of a declared experiment.
type FieldError struct {
	File, Field, Problem string
	Line                 int
}

// Error names file, line and field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// Unwrap returns ErrDeclaration.
func (e *FieldError) Unwrap() error { return ErrDeclaration }

// Load reads a declared experiment. It returns a FieldError for each fault, joined, or the
// error of the file system.
func Load(file string) (*Declaration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	return Parse(file, data)
}

// Parse reads a declared experiment from the content of a file. Its errors are FieldErrors.
func Parse(file string, data []byte) (*Declaration, error) {
	d := &Declaration{}
	if err := checkDurations(file, data); err != nil {
		return nil, err
	}
	if err := yaml.UnmarshalWithOptions(data, d, yaml.Strict()); err != nil {
		return nil, syntaxError(file, err)
	}
	c := &check{file: file, data: data}
	c.declaration(d)
	if err := errors.Join(c.errs...); err != nil {
		return nil, err
	}
	d.setDefaults()
	return d, nil
}

func syntaxError(file string, err error) error {
	e := &FieldError{File: file, Field: "document", Problem: err.Error()}
	var unknown *yaml.UnknownFieldError
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		e.Line = syntax.GetToken().Position.Line
		e.Field, e.Problem = syntax.GetToken().Value, syntax.GetMessage()
	}
	if errors.As(err, &unknown) {
		e.Problem = "is not a known field"
	}
	return e
}

func (d *Declaration) setDefaults() {
	if d.Seed == 0 {
		d.Seed = 1
	}
	if len(d.Scenarios) == 0 {
		d.Scenarios = []Scenario{{Name: "steady"}}
	}
	for i, p := range d.Policies {
		if p.Label == "" {
			d.Policies[i].Label = p.Policy
		}
	}
	d.Settings = Settings{Fabric: fabricPacket, Aim: "connections", Tail: 1.5, PacketEvery: 20 * time.Second,
		ConfigSpread: 500 * time.Millisecond, Arrivals: "poisson", Service: 50 * time.Millisecond,
		Deadline: 2 * time.Second, Idempotent: 0.7, UpstreamQueue: 64}.with(d.Settings)
}
