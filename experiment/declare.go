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
	// MeasureFrom is the simulated time from which results are counted.
	MeasureFrom time.Duration `yaml:"measure"`
	Settings    Settings      `yaml:"settings"`
	Policies    []Policy      `yaml:"policies"`
	Scenarios   []Scenario    `yaml:"scenarios"`
	Notices     Notices       `yaml:"notices"`
	// Plots lists the figures to draw: "imbalance", "goodput" or "frontier".
	Plots []string `yaml:"plots"`
}

// Settings describes the deployment and the load. A field that is zero in an override changes nothing.
// Reports print the fields under their Go names.
type Settings struct {
	Daemons   int `yaml:"daemons"`
	Upstreams int `yaml:"upstreams"`
	Slots     int `yaml:"slots"`
	// LoadBound is the load bound in percent of the mean; 0 selects the default of the service's aim.
	LoadBound int `yaml:"load_bound"`
	// Aim is the aim of the service, "connections" or "balance".
	Aim        string        `yaml:"aim"`
	DrainLimit time.Duration `yaml:"drain_limit"`
	// Fabric is "packet" (each datagram goes to a random daemon) or "flow" (the flow hash selects one
	// of the daemons that the fabric lists).
	Fabric string `yaml:"fabric"`
	// ConfigSpread bounds the random delay after which a daemon applies a new generation.
	ConfigSpread time.Duration `yaml:"config_spread"`

	Flows int `yaml:"flows"`
	// MeanLife and Tail are the mean and the exponent of the Pareto distribution of flow lifetimes. With
	// a mean of 0, flows stay open until the end.
	MeanLife    time.Duration `yaml:"mean_life"`
	Tail        float64       `yaml:"tail"`
	PacketEvery time.Duration `yaml:"packet_every"`

	// Offered is the offered load as a multiple of the capacity of all slots.
	Offered float64 `yaml:"offered"`
	// Arrivals is "poisson" or "bursty".
	Arrivals string `yaml:"arrivals"`
	// Overload replaces Offered between OverloadFrom and OverloadTo.
	Overload     float64       `yaml:"overload"`
	OverloadFrom time.Duration `yaml:"overload_from"`
	OverloadTo   time.Duration `yaml:"overload_to"`
	// HeavyCallers is the share of the flows that send the share HeavyRequests of all requests.
	HeavyCallers  float64 `yaml:"heavy_callers"`
	HeavyRequests float64 `yaml:"heavy_requests"`
	// Service is the mean service time, Deadline the deadline of each attempt of a request, and Idempotent the
	// share of idempotent requests.
	Service    time.Duration `yaml:"service"`
	Deadline   time.Duration `yaml:"deadline"`
	Idempotent float64       `yaml:"idempotent"`
	// CallerRetries is the number of times that a caller repeats a failed request.
	CallerRetries int `yaml:"caller_retries"`
	// UpstreamQueue bounds the requests that wait at an upstream, which refuses further ones.
	UpstreamQueue int `yaml:"upstream_queue"`
	// QueueLength bounds the queue of the project's admission; 0 selects its default.
	QueueLength int `yaml:"queue_length"`
	// RetryPercent is the service's retry budget; 0 selects the default of 10 %.
	RetryPercent int `yaml:"retry_percent"`
	// NoQueueDeadline and NoRetryBudget disable a mechanism of the project's admission to show its effect, as
	// in request.Tuning.
	NoQueueDeadline bool `yaml:"no_queue_deadline"`
	NoRetryBudget   bool `yaml:"no_retry_budget"`
}

// Policy is a policy of the comparison. Label is its name in reports; the default is Policy.
type Policy struct {
	Policy    string   `yaml:"policy"`
	Label     string   `yaml:"label"`
	Overrides Settings `yaml:"overrides"`
}

// Scenario is a set of overrides and faults under which all policies run.
type Scenario struct {
	Name      string   `yaml:"name"`
	Overrides Settings `yaml:"overrides"`
	Faults    []Fault  `yaml:"faults"`
}

// Fault is a change or a fault that is injected at a time.
type Fault struct {
	At time.Duration `yaml:"at"`
	// Kind is a planned change ("add", "drain" or "remove" of an upstream, "join" or "leave" of a daemon), the
	// end of a daemon without a handover ("kill") or a fault of an upstream: "cold" lengthens the service
	// times, "lie" reports no load, "freeze" always reports that all slots are in use, "silence" sends no
	// answers and "shed" refuses a share of the requests.
	Kind string `yaml:"kind"`
	// Target is the number of the upstream or daemon, from 1.
	Target int `yaml:"target"`
	// For is how long the fault of an upstream lasts; 0 is until the end of the run.
	// An upstream stays cold for at least 10 s.
	For time.Duration `yaml:"for"`
	// Share is the share of requests that an upstream refuses while the fault "shed" lasts.
	Share float64 `yaml:"share"`
}

// Policies of the comparison. Random, RoundRobin and LeastReported choose the upstream when a flow
// opens. Modulo uses the flow hash modulo the number of active upstreams. LocalTable is the bucket
// table with a flow table on each daemon, without flow owners. Fulmar is the project's own steering
// and admission.
const (
	Random        = "random"
	RoundRobin    = "round-robin"
	Modulo        = "modulo"
	LocalTable    = "table"
	LeastReported = "report"
	Fulmar        = "fulmar"
)

var (
	kinds    = []string{kindFlows, kindRequests, kindNotices}
	policies = []string{Random, RoundRobin, Modulo, LocalTable, LeastReported, Fulmar}
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

// ErrInvalidDeclaration is wrapped by every FieldError.
var ErrInvalidDeclaration = errors.New("invalid experiment declaration")

// FieldError is an invalid field of an experiment's declaration.
type FieldError struct {
	File, Field, Problem string
	Line                 int
}

// Error returns the problem with its file, line and field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// Unwrap returns ErrInvalidDeclaration.
func (e *FieldError) Unwrap() error { return ErrInvalidDeclaration }

// Load reads an experiment's declaration from a file. It returns a FieldError for each invalid field,
// joined, or the error of the file system.
func Load(file string) (*Declaration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	return Parse(file, data)
}

// Parse reads an experiment's declaration from the content of a file. It returns a FieldError for each
// invalid field, joined.
func Parse(file string, data []byte) (*Declaration, error) {
	d := &Declaration{}
	if err := checkDurations(file, data); err != nil {
		return nil, err
	}
	if err := yaml.UnmarshalWithOptions(data, d, yaml.Strict()); err != nil {
		return nil, syntaxError(file, err)
	}
	c := &checker{file: file, data: data}
	c.checkDeclaration(d)
	if err := errors.Join(c.errs...); err != nil {
		return nil, err
	}
	d.setDefaults()
	return d, nil
}

// syntaxError converts an error of the YAML parser to a FieldError with the line.
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

// setDefaults sets the fields that the declaration leaves out.
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
		Deadline: 2 * time.Second, Idempotent: 0.7, UpstreamQueue: 64}.withOverrides(d.Settings)
}
