package loadgen

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/wire"
)

// Service is a service that the load generator sends requests to.
type Service struct {
	Name    string
	Address netip.AddrPort
}

// Config holds the settings of a run. Duration and MaxRequests limit the run.
type Config struct {
	Services []Service
	// Flows is the number of long-lived flows to each service, opened evenly over Ramp.
	Flows int
	Ramp  time.Duration
	// Churn is the mean number of short flows that arrive each second at each service.
	Churn float64
	// Duration is the duration of the load; the final check of each flow follows.
	Duration time.Duration
	// Closing End ends the load before Duration; the final check still follows.
	// Nil means that only Duration ends the load.
	End         <-chan struct{}
	MaxRequests int64
	// Final is the time after the load over which the last requests of the long-lived flows are
	// spread.
	Final time.Duration
	// Think is the mean of the think time, the heavy-tailed time between an answer and the next
	// request.
	Think time.Duration
	// Deadline is the deadline of each request.
	Deadline time.Duration
	// NonIdempotent and Large are shares of the requests: requests that may run only once, and
	// requests whose answer has several parts.
	NonIdempotent, Large float64
	Seed                 uint64
	// Network is the first local address of flows; 200 consecutive addresses are used.
	Network netip.Addr
	// Listen binds the connection of one flow.
	Listen func(netip.AddrPort) (wire.Conn, error)
	// Progress is called about every ProgressInterval with one line about the state of the run.
	Progress         func(line string)
	ProgressInterval time.Duration
	Log              zerolog.Logger
}

const (
	openTimeout = 5 * time.Second
	// reopenWait is the pause after a flow was refused, before the caller opens another one.
	reopenWait = 300 * time.Millisecond
	// resetPollInterval is the interval in which a caller checks during its think time whether its
	// flow was reset.
	resetPollInterval = 500 * time.Millisecond
	// maxUnansweredRequests is the number of consecutive requests without any answer after which a
	// caller records its flow as broken.
	maxUnansweredRequests = 2
	// shortFlowRequests is the largest number of requests on a short flow.
	shortFlowRequests = 4
	// maxShortFlows limits the short flows that are open at the same time for each service.
	maxShortFlows = 5000

	smallAnswerBytes = 200
	largeAnswerBytes = 3000
	bodyBytes        = 64

	// paretoShape is the shape of the think times: a heavy tail with a finite mean. They are limited
	// to maxThinkFactor times the mean, so that each flow sends requests during a run.
	paretoShape    = 1.5
	maxThinkFactor = 10
)
