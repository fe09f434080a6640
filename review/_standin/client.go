package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// openTimeout is how long a client waits for the answer to its opening packets.
const openTimeout = 1400 * time.Millisecond

// maxResetDistance is the largest distance of a reset's seq from the client's last ack.
const maxResetDistance = 76_800

var (
	errNotOpened = errors.New("flow was not opened")
	errReset     = errors.New("flow was reset")
	errDeadline  = errors.New("deadline has passed")
)

// client has one IP address and opens flows from ever new ports.
type client struct {
	name   string
	zone   string
	socket *net.UDPConn
	ip     netip.Addr
	router *router
	record *record

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is one flow of a client. Only one goroutine sends on it.
type flow struct {
	client   *client
	local    netip.AddrPort
	service  netip.AddrPort
	received chan packet
	wasReset chan struct{}

	mu             sync.Mutex
	echo, seq, ack uint32
	isOpen         bool
	isClosed       bool
	inFlight       string
}

func startClient(name, zone string, address netip.AddrPort, r *router, rec *record) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{name: name, zone: zone, socket: socket, ip: address.Addr(), router: r, record: rec, port: 20000, flows: map[uint16]*flow{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.socket.Read(b)
		if err != nil {
			return
		}
		p, wellFormed, genuine := decode(b[:n])
		if !wellFormed {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.service != p.src {
			continue
		}
		if p.flags&flagRST != 0 {
			f.handleReset(p, genuine)
			continue
		}
		if !genuine {
			continue
		}
		select {
		case f.received <- p:
		default: // A full queue drops the packet.
		}
	}
}

// handleReset ends the flow if the reset is valid, and records it.
func (f *flow) handleReset(p packet, genuine bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	distance := int32(p.seq - f.ack)
	if !genuine && (p.sum != 0 || len(p.data) > 0 || f.isOpen && (distance > maxResetDistance || distance < -maxResetDistance)) {
		return
	}
	select {
	case <-f.wasReset:
		return
	default:
	}
	close(f.wasReset)
	if f.isOpen && !f.isClosed {
		f.client.record.reset(f, genuine)
	}
}

// send sends a packet through the daemon that the router selects. The caller does not hold f.mu.
func (f *flow) send(p packet) {
	f.mu.Lock()
	p.echo, p.src, p.dst = f.echo, f.local, f.service
	f.mu.Unlock()
	if to, ok := f.client.router.route(f.client.zone, f.local, f.service); ok {
		_, _ = f.client.socket.WriteToUDPAddrPort(p.encode(), to)
	}
}

// open opens a flow to a service address.
func (c *client) open(service netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.port++
	f := &flow{
		client: c, local: netip.AddrPortFrom(c.ip, c.port), service: service, received: make(chan packet, 64),
		wasReset: make(chan struct{}), seq: rand.Uint32(),
	}
	c.flows[c.port] = f
	c.mu.Unlock()
	end := time.After(openTimeout)
	for copies, delay := range []time.Duration{firstRetransmit, 2 * firstRetransmit, openTimeout} {
		f.send(packet{seq: f.seq, ack: uint32(copies), flags: flagSYN})
		again := time.After(delay)
		for waiting := true; waiting; {
			select {
			case <-f.wasReset:
				c.forget(f)
				return nil, errNotOpened
			case p := <-f.received:
				if p.flags&flagSYN != 0 && p.ack == f.seq+1 {
					f.mu.Lock()
					f.echo, f.seq, f.ack, f.isOpen = p.echo, f.seq+1, p.seq+1, true
					f.mu.Unlock()
					c.record.opened(f)
					f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
					return f, nil
				}
			case <-again:
				waiting = false
			case <-end:
				c.forget(f)
				return nil, errNotOpened
			}
		}
	}
	c.forget(f)
	return nil, errNotOpened
}

func (c *client) forget(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.local.Port())
}

// request sends a request on the flow and waits for its response.
func (f *flow) request(id string, timeout time.Duration) error {
	f.client.record.sent(f, id)
	f.mu.Lock()
	f.inFlight = id
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.inFlight = ""
		f.mu.Unlock()
	}()
	end, delay := time.After(timeout), firstRetransmit
	data, acked := []byte(request(id)), false
	for {
		if !acked {
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK, data: data})
		}
		again := time.After(delay)
		delay = min(2*delay, lastRetransmit)
		for waiting := true; waiting; {
			select {
			case <-f.wasReset:
				return errReset
			case p := <-f.received:
				if p.flags&flagSYN != 0 {
					continue
				}
				f.mu.Lock()
				f.echo = p.echo
				f.mu.Unlock()
				acked = acked || p.ack == f.seq+uint32(len(data))
				switch {
				case len(p.data) > 0 && p.seq == f.ack:
					f.mu.Lock()
					f.seq += uint32(len(data))
					f.ack += uint32(len(p.data))
					f.mu.Unlock()
					f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
					if !strings.Contains(string(p.data), "X-Response-Signature: "+id+"\r\n") {
						f.client.record.mixed(f, id)
					}
					f.client.record.answered(f, id)
					return nil
				case len(p.data) > 0: // A copy of an earlier response: its acknowledgement was lost.
					f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
				}
			case <-again:
				waiting = false
			case <-end:
				return errDeadline
			}
		}
	}
}

// isReset reports whether the flow was reset.
func (f *flow) isReset() bool {
	select {
	case <-f.wasReset:
		return true
	default:
		return false
	}
}

// close sends FIN and forgets the flow.
func (f *flow) close() {
	f.mu.Lock()
	f.isClosed = true
	f.mu.Unlock()
	f.send(packet{seq: f.seq, ack: f.ack, flags: flagFIN | flagACK})
	f.client.forget(f)
}
