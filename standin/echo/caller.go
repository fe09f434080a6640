package echo

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Errors of flows and requests. Only ErrNotOpened implies that no request has run.
var (
	ErrNotOpened = errors.New("flow was not opened")
	ErrReset     = errors.New("flow was reset")
	ErrDeadline  = errors.New("deadline has passed")
)

// Timeouts of retransmissions by callers.
const (
	openTimeout       = 1400 * time.Millisecond
	firstRetransmit   = 200 * time.Millisecond
	longestRetransmit = 1600 * time.Millisecond
)

// Caller opens flows from one IP address. Its methods may be called concurrently.
type Caller struct {
	socket *net.UDPConn
	// route returns the balancer to which the next packet is sent.
	route func() netip.AddrPort
	// routeFlow does the same by the port of the flow, if it is set.
	routeFlow func(port uint16) netip.AddrPort

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*Flow
}

// StartCaller binds an address. The caller sends each packet to the balancer that route returns, as
// routers would.
func StartCaller(address netip.AddrPort, route func() netip.AddrPort) (*Caller, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("start caller: %w", err)
	}
	c := &Caller{socket: socket, route: route, nextPort: 1024, flows: map[uint16]*Flow{}}
	go c.receive()
	return c, nil
}

// RouteFlows makes the caller send each packet to the balancer that route returns for the port of its flow, as routers
// would that hash flows. It must be called before the first flow is opened.
func (c *Caller) RouteFlows(route func(port uint16) netip.AddrPort) { c.routeFlow = route }

// Stop closes the socket without notifying the peers of the flows.
func (c *Caller) Stop() { _ = c.socket.Close() } // Close fails only if the caller was stopped before.

func (c *Caller) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.socket.Read(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.service != p.src {
			continue
		}
		select {
		case f.received <- p:
		default: // A full queue drops the packet, as a full socket buffer does.
		}
	}
}

// Flow is one flow of a caller. Only one goroutine may use it.
type Flow struct {
	caller      *Caller
	port        uint16
	service     netip.AddrPort
	received    chan packet
	echoedToken uint32
	seq, ack    uint32
}

// Token returns the token that the flow echoes.
func (f *Flow) Token() uint32 { return f.echoedToken }

// SetToken makes the flow echo another token.
func (f *Flow) SetToken(token uint32) { f.echoedToken = token }

// target returns the balancer to which the next packet is sent.
func (f *Flow) target() netip.AddrPort {
	if f.caller.routeFlow != nil {
		return f.caller.routeFlow(f.port)
	}
	return f.caller.route()
}

func (f *Flow) send(p packet) {
	p.echoedToken, p.dst = f.echoedToken, f.service
	p.src = netip.AddrPortFrom(f.caller.socket.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), f.port)
	// A lost packet is retransmitted.
	_, _ = f.caller.socket.WriteToUDPAddrPort(p.encode(), f.target())
}

// Open opens a flow to a service address, or returns ErrNotOpened, together with ErrReset if it was refused by a reset.
func (c *Caller) Open(service netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.nextPort++
	f := &Flow{caller: c, port: c.nextPort, service: service, received: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[f.port] = f
	c.mu.Unlock()
	deadline := time.After(openTimeout)
	for retransmissions, delay := range []time.Duration{firstRetransmit, 2 * firstRetransmit, openTimeout} {
		f.send(packet{seq: f.seq, ack: uint32(retransmissions), flags: flagSYN})
		again := time.After(delay)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				if p.flags&flagRST != 0 {
					return nil, fmt.Errorf("%w: %w", ErrNotOpened, ErrReset)
				}
				if p.flags&flagSYN != 0 {
					f.echoedToken, f.seq, f.ack = p.echoedToken, f.seq+1, p.seq+1
					f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
					return f, nil
				}
			case <-again:
				waiting = false
			case <-deadline:
				return nil, fmt.Errorf("%w: no answer", ErrNotOpened)
			}
		}
	}
	return nil, fmt.Errorf("%w: no answer", ErrNotOpened)
}

// Request sends a request and returns its answer, or ErrReset or ErrDeadline.
func (f *Flow) Request(request string, timeout time.Duration) (string, error) {
	deadline := time.After(timeout)
	delay := firstRetransmit
	for {
		f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK, payload: []byte(request)})
		again := time.After(delay)
		delay = min(2*delay, longestRetransmit)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				switch {
				case p.flags&flagRST != 0:
					return "", ErrReset
				case len(p.payload) > 0 && p.seq == f.ack:
					f.seq += uint32(len(request))
					f.ack += uint32(len(p.payload))
					f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
					return string(p.payload), nil
				case len(p.payload) == 0 && p.flags == flagACK && p.ack == f.seq+uint32(len(request)):
					again = nil // The upstream has the request, so that it is not retransmitted any more.
				}
			case <-again:
				waiting = false
			case <-deadline:
				return "", ErrDeadline
			}
		}
	}
}

// IsReset reports whether the flow was reset while no request was in progress.
func (f *Flow) IsReset() bool {
	for {
		select {
		case p := <-f.received:
			if p.flags&flagRST != 0 {
				return true
			}
		default:
			return false
		}
	}
}

// Close sends FIN and removes the flow.
func (f *Flow) Close() {
	f.send(packet{seq: f.seq, ack: f.ack, flags: flagFIN | flagACK})
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	delete(f.caller.flows, f.port)
}
