package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Errors of flows and requests.
var (
	// ErrTooLarge reports a request that does not fit one datagram.
	ErrTooLarge = errors.New("request does not fit a datagram")
	// ErrClosed reports a flow that the caller closed.
	ErrClosed = errors.New("flow is closed")
	// ErrAddress reports a local or service address that is not IPv4.
	ErrAddress = errors.New("address is not usable for a flow")
	// ErrNotOpened reports a flow that was not opened before the context ended.
	ErrNotOpened = errors.New("flow was not opened in time")
	// ErrSocket reports a connection that cannot be bound.
	ErrSocket = errors.New("socket failed")
)

// BrokenError reports a flow that the service reset.
type BrokenError struct {
	Reason pb.Reason
}

// Error returns a message with the reason of the reset.
func (e *BrokenError) Error() string {
	return "flow was reset: " + telemetry.ReasonName(e.Reason)
}

// Options are the dependencies of a Caller. Conn and Service are required.
type Options struct {
	// Conn carries exactly one flow at a time, since a flow is identified by its port.
	Conn     wire.Conn
	Service  netip.AddrPort
	Logger   zerolog.Logger
	Counters *telemetry.Counters
	// Rand draws the jitter of retransmissions; nil means a generator with a random seed.
	Rand *rand.Rand
}

// Caller opens one flow on its connection.
type Caller struct {
	options Options
}

// New returns a Caller on the connection of the options.
func New(o Options) *Caller {
	if o.Counters == nil {
		o.Counters = telemetry.NewCounters()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Caller{options: o}
}

// Open opens the flow and retransmits until ctx ends. It returns a BrokenError when the
// service refuses the flow, ErrNotOpened when ctx ends first, or ErrAddress. The flow
// takes ownership of the connection: it is closed with the flow, also after an error.
func (c *Caller) Open(ctx context.Context) (*Flow, error) {
	key, err := wire.NewFlowKey(c.options.Conn.LocalAddr(), c.options.Service)
	if err != nil {
		_ = c.options.Conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrAddress, err)
	}
	f := newFlow(c.options, key)
	go f.read()
	if err := f.open(ctx); err != nil {
		f.shutDown(false)
		return nil, err
	}
	return f, nil
}

// Dialer opens flows from one process, each on its own connection and local port. A flow costs
// one socket and one goroutine that waits for datagrams.
type Dialer struct {
	// Listen binds a local address; port 0 lets the system choose.
	Listen func(local netip.AddrPort) (wire.Conn, error)
	// Local is the address that flows come from, usually with port 0.
	Local    netip.AddrPort
	Service  netip.AddrPort
	Logger   zerolog.Logger
	Counters *telemetry.Counters
	// Rand seeds the generator of each flow's jitter; nil means a random seed.
	Rand *rand.Rand

	mu sync.Mutex
}

// Open binds a connection and opens a flow on it. It returns the errors of Caller.Open, or
// ErrSocket.
func (d *Dialer) Open(ctx context.Context) (*Flow, error) {
	conn, err := d.Listen(d.Local)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSocket, err)
	}
	return New(Options{
		Conn:     conn,
		Service:  d.Service,
		Logger:   d.Logger,
		Counters: d.Counters,
		Rand:     d.nextRand(),
	}).Open(ctx)
}

// nextRand returns a separate generator for each flow, since rand.Rand is not safe for
// concurrent use.
func (d *Dialer) nextRand() *rand.Rand {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Rand == nil {
		return nil
	}
	return rand.New(rand.NewPCG(d.Rand.Uint64(), d.Rand.Uint64()))
}
