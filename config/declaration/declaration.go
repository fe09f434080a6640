// Package declaration reads the YAML declaration of a deployment and turns it, or a single
// operator's edit, into the next configuration. It owns no state and calls nothing but the
// generated code.
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
	// Zones in declared order; the first has number 1 in addresses.
	Zones     []string
	Daemons   []Daemon
	Services  []Service
	Upstreams []Upstream
}

// Daemon is a declared balancer daemon.
type Daemon struct {
	Name string
	Zone string
	// Address is the address that other VMs reach the daemon at; the zero value when it is
	// not declared.
	Address netip.Addr
	// State is unspecified when the declaration leaves it as it is.
	State pb.DeclaredState
}

// Service is a declared service without its upstreams.
type Service struct {
	Name    string
	Address netip.AddrPort
	Aim     pb.Aim
	Limits  Limits
}

// Limits are the limits of a service; 0 means the balancer's default.
type Limits struct {
	// QueueLength is the most requests that wait for one upstream.
	QueueLength uint32
	// RetryPercent bounds retries as a share of requests.
	RetryPercent uint32
	// IdleLimit is the time after which a flow without packets is forgotten.
	IdleLimit time.Duration
	// DrainLimit is the time after which flows on a draining upstream are ended.
	DrainLimit time.Duration
	// LoadBoundPercent is the largest load of an upstream in percent of the mean.
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
	// State is unspecified when the declaration leaves it as it is.
	State pb.DeclaredState
}

// Error is one fault of a declaration.
type Error struct {
	File string
	// Line counts from 1; 0 when the fault has no line.
	Line int
	// Field is the path of the field, for example "upstreams[2].slots".
	Field   string
	Message string
}

// Error returns "file:line: field: message".
func (e Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// Errors are all faults of a declaration in the order of their lines.
type Errors []Error

// Error returns one line for each fault.
func (e Errors) Error() string { return strings.Join(e.Lines(), "\n") }

// Lines returns the faults as text.
func (e Errors) Lines() []string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return lines
}

// Proto returns the message form of the limits, in milliseconds.
func (l Limits) Proto() *pb.Limits {
	return &pb.Limits{
		QueueLength:      l.QueueLength,
		RetryPercent:     l.RetryPercent,
		IdleLimitMs:      uint32(l.IdleLimit.Milliseconds()),
		DrainLimitMs:     uint32(l.DrainLimit.Milliseconds()),
		LoadBoundPercent: l.LoadBoundPercent,
	}
}
