package loadgen

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/wire"
)

// Service is a service that gets load.
type Service struct {
	Name    string
	Address netip.AddrPort
}

// Config holds the settings of a run. The run is bounded by Duration and MaxRequests.
type Config struct {
	Services []Service
	// Flows is the number of long-lived flows to each service, opened evenly over Ramp.
	Flows int
	Ramp  time.Duration
	// Churn is the mean number of short flows that arrive each second at each service.
	Churn float64
	// Duration is the length of the load; the final check of each flow comes after it.
	Duration time.Duration
	// End ends the load before Duration when it is closed; the final check still follows.
	// Nil means that Duration alone ends it.
	End         <-chan struct{}
	MaxRequests int64
	// Final spreads the last request of each long-lived flow after the load.
	Final time.Duration
	// Think is the mean of the heavy-tailed time between an answer and the next request.
	Think time.Duration
	// Deadline of each request.
	Deadline time.Duration
	// NonIdempotent and Large are shares of the requests: those that may run only once, and
	// those whose answer comes in several parts.
	NonIdempotent, Large float64
	Seed                 uint64
	// Network is the first address that flows come from; about 200 addresses are used.
	Network netip.Addr
	// Listen binds the connection of one flow.
	Listen func(netip.AddrPort) (wire.Conn, error)
	// Progress is called about every ProgressEvery with a line on the state of the run.
	Progress      func(line string)
	ProgressEvery time.Duration
	Log           zerolog.Logger
}

const (
	openTimeout = 5 * time.Second
	// retryOpen is the wait before a refused flow is opened again.
	retryOpen = 300 * time.Millisecond
	// breakPoll is how often a thinking caller looks whether its flow was reset.
	breakPoll = 500 * time.Millisecond
	// silentAfter is the number of requests in a row without any answer after which a caller
	// takes its flow for dead.
	silentAfter = 2
	// shortFlowRequests is the most requests of a short flow.
	shortFlowRequests = 4
	// maxShortFlows bounds the short flows that are open at a time for each service.
	maxShortFlows = 5000

	smallAnswerBytes = 200
	largeAnswerBytes = 3000
	bodyBytes        = 64

	// paretoShape gives think times with a heavy tail and a finite mean; they are cut at
	// maxThinkFactor times the mean, so that each flow is used in a run.
	paretoShape    = 1.5
	maxThinkFactor = 10
)
