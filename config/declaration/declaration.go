// Package declaration parses the YAML declaration of a deployment and builds the next configuration
// from a declaration or from a single edit of an operator. It has no state and makes no calls to other
// components.
package declaration

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Declaration is a valid declaration of a deployment.
type Declaration struct {
	Deployment string
	// Zones are in declared order; the first has number 1 in the address plan.
	Zones     []string
	Daemons   []Daemon
	Services  []Service
	Upstreams []Upstream
}

// Daemon is a declared balancer daemon.
type Daemon struct {
	Name string
	Zone string
	// Address is the address at which other VMs reach the daemon; the zero value if it is not
	// declared.
	Address netip.Addr
	// State is unspecified if the declaration omits it; the present state is then kept.
	State pb.DeclaredState
}

// Service is a declared service without its upstreams.
type Service struct {
	Name    string
	Address netip.AddrPort
	Aim     pb.Aim
	Limits  Limits
}

// Limits are the limits of a service. A limit of 0 means the balancer's default.
type Limits struct {
	// QueueLength is the maximum number of requests that wait for one upstream.
	QueueLength uint32
	// RetryPercent limits the retries, in percent of the requests.
	RetryPercent uint32
	// IdleLimit is the time without packets after which the record of a flow is deleted.
	IdleLimit time.Duration
	// DrainLimit is the time after which the flows on a draining upstream are ended.
	DrainLimit time.Duration
	// LoadBoundPercent is the maximum load of an upstream, in percent of the mean load.
	LoadBoundPercent uint32
}

// Upstream is a declared upstream of a service.
type Upstream struct {
	Name    string
	Service string
	Zone    string
	Address netip.AddrPort
	Slots   uint32
	Weight  uint32
	// State is unspecified if the declaration omits it; the present state is then kept.
	State pb.DeclaredState
}

// Error is one error in a declaration.
type Error struct {
	File string
	// Line counts from 1; 0 means that the error has no line.
	Line int
	// Field is the path of the field, for example "upstreams[2].slots".
	Field   string
	Message string
}

// Error returns "file:line: field: message".
func (e Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// Errors are all errors in a declaration, in the order of their lines.
type Errors []Error

// Error returns one line for each error.
func (e Errors) Error() string { return strings.Join(e.Lines(), "\n") }

// Lines returns the text of each error.
func (e Errors) Lines() []string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return lines
}

// Proto returns the limits as a protobuf message, with durations in milliseconds.
func (l Limits) Proto() *pb.Limits {
	return &pb.Limits{
		QueueLength:      l.QueueLength,
		RetryPercent:     l.RetryPercent,
		IdleLimitMs:      uint32(l.IdleLimit.Milliseconds()),
		DrainLimitMs:     uint32(l.DrainLimit.Milliseconds()),
		LoadBoundPercent: l.LoadBoundPercent,
	}
}
