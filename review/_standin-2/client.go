package main

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The packet header of PROTOCOL.md.
const (
	headerBytes = 31

	flagSYN = 2
	flagACK = 4
	flagFIN = 32
	flagRST = 64

	openTimeout       = 1400 * time.Millisecond
	firstRetransmit   = 200 * time.Millisecond
	longestRetransmit = 1600 * time.Millisecond
	// resetWindow is how far the number of a reset may be from the client's last acknowledgement on an open flow.
	resetWindow = 76_800
)

var (
	errNotOpened = errors.New("flow was not opened")
	errReset     = errors.New("flow was reset")
	errDeadline  = errors.New("deadline has passed")
)

type packet struct {
	echo, seq, ack uint32
	src, dst       netip.AddrPort
	flags          byte
	payload        []byte
	// sender is the address from which the datagram came.
	sender netip.Addr
}

func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.payload))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.payload)))
	binary.BigEndian.PutUint32(b[2:], p.echo)
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	copy(b[16:], p.src.Addr().AsSlice())
	binary.BigEndian.PutUint16(b[20:], p.dst.Port())
	copy(b[22:], p.dst.Addr().AsSlice())
	b[26] = p.flags
	return append(b, p.payload...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b)) {
		return packet{}, false
	}
	at := func(port, ip int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		echo: binary.BigEndian.Uint32(b[2:]), seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
		src: at(14, 16), dst: at(20, 22), flags: b[26], payload: append([]byte(nil), b[headerBytes:]...),
	}, true
}

// client opens flows from one IP address. Each packet goes to the daemon that the router selects for its flow then.
type client struct {
	address netip.AddrPort
	socket  *net.UDPConn
	route   func(flow netip.AddrPort, service netip.AddrPort) netip.AddrPort

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*flow
}

func startClient(address netip.AddrPort, route func(flow, service netip.AddrPort) netip.AddrPort) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{address: address, socket: socket, route: route, nextPort: 1024, flows: map[uint16]*flow{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		p.sender = from.Addr()
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.service != p.src {
			continue
		}
		select {
		case f.received <- p:
		default:
		}
	}
}

// flow is one flow of a client. Only one goroutine may use it.
type flow struct {
	client   *client
	local    netip.AddrPort
	service  netip.AddrPort
	received chan packet
	echo     uint32
	seq, ack uint32
	openedAt time.Time
	usedAt   time.Time
	// endpoint is the address that accepted the flow.
	endpoint netip.Addr
	// resetBy is the sender of the reset that ended the flow.
	resetBy netip.Addr
}

func (f *flow) send(p packet) {
	p.echo, p.src, p.dst = f.echo, f.local, f.service
	_, _ = f.client.socket.WriteToUDPAddrPort(p.encode(), f.client.route(f.local, f.service))
}

// open opens a flow, or returns errNotOpened, or errReset if it was refused by a reset.
func (c *client) open(service netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.nextPort++
	f := &flow{
		client: c, local: netip.AddrPortFrom(c.address.Addr(), c.nextPort), service: service,
		received: make(chan packet, 64), seq: rand.Uint32(),
	}
	c.flows[c.nextPort] = f
	c.mu.Unlock()
	deadline := time.After(openTimeout)
	for copies, delay := range []time.Duration{firstRetransmit, 2 * firstRetransmit, openTimeout} {
		f.send(packet{seq: f.seq, ack: uint32(copies), flags: flagSYN})
		again := time.After(delay)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				switch {
				case p.flags&flagRST != 0:
					f.resetBy = p.sender
					f.remove()
					return f, errReset
				case p.flags&flagSYN != 0:
					f.echo, f.seq, f.ack, f.endpoint = p.echo, f.seq+1, p.seq+1, p.sender
					f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
					f.openedAt, f.usedAt = time.Now(), time.Now()
					return f, nil
				}
			case <-again:
				waiting = false
			case <-deadline:
				f.remove()
				return f, errNotOpened
			}
		}
	}
	f.remove()
	return f, errNotOpened
}

// isReset reports whether a packet resets the open flow.
func (f *flow) isReset(p packet) bool {
	distance := int32(p.seq - f.ack)
	return p.flags&flagRST != 0 && distance <= resetWindow && distance >= -resetWindow
}

// request sends a request and returns its answer, or errReset or errDeadline.
func (f *flow) request(text string, timeout time.Duration) (string, error) {
	deadline := time.After(timeout)
	delay := firstRetransmit
	f.usedAt = time.Now()
	for {
		f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK, payload: []byte(text)})
		again := time.After(delay)
		delay = min(2*delay, longestRetransmit)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				switch {
				case f.isReset(p):
					f.resetBy = p.sender
					return "", errReset
				case p.flags&flagRST != 0:
				case len(p.payload) > 0 && p.seq == f.ack:
					f.seq += uint32(len(text))
					f.ack += uint32(len(p.payload))
					f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
					f.usedAt = time.Now()
					return string(p.payload), nil
				case len(p.payload) == 0 && p.flags == flagACK && p.ack == f.seq+uint32(len(text)):
					again = nil // The endpoint has the request.
				}
			case <-again:
				waiting = false
			case <-deadline:
				return "", errDeadline
			}
		}
	}
}

// wasReset reports whether the flow was reset while no request was in progress.
func (f *flow) wasReset() bool {
	for {
		select {
		case p := <-f.received:
			if f.isReset(p) {
				f.resetBy = p.sender
				return true
			}
		default:
			return false
		}
	}
}

func (f *flow) close() {
	f.send(packet{seq: f.seq, ack: f.ack, flags: flagFIN | flagACK})
	f.remove()
}

func (f *flow) remove() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.local.Port())
}
