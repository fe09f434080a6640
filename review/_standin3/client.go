package main

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/standin/echo"
)

// Layout of a packet's header, and the times of the protocol.
const (
	headerBytes = 31
	flagSYN     = 2
	flagACK     = 4
	flagFIN     = 32
	flagRST     = 64

	openTimeout    = 1400 * time.Millisecond
	firstCopy      = 200 * time.Millisecond
	longestCopy    = 1600 * time.Millisecond
	resetTolerance = 76_800
)

var (
	errReset    = errors.New("reset")
	errDeadline = errors.New("deadline")
)

// received is a packet with its sender on the network.
type received struct {
	from     netip.Addr
	token    uint32
	seq, ack uint32
	flags    byte
	payload  []byte
	dport    uint16
}

// client is the clients' machine: it opens flows, and tells who reset them.
type client struct {
	socket *net.UDPConn
	route  func(port uint16) netip.AddrPort
	mu     sync.Mutex
	next   uint16
	flows  map[uint16]*clientFlow
}

// clientFlow is a flow of one client.
type clientFlow struct {
	client     *client
	port       uint16
	service    netip.AddrPort
	in         chan received
	token      uint32
	seq, ack   uint32
	openedAt   time.Time
	lastUsedAt time.Time
	// endpoint is the ID of the endpoint that has answered on the flow, "" until then.
	endpoint string
	// resetBy is the address of the machine that reset the flow.
	resetBy netip.Addr
}

func startClient(address netip.AddrPort, route func(port uint16) netip.AddrPort) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{socket: socket, route: route, next: 2000, flows: map[uint16]*clientFlow{}}
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
		if n < headerBytes {
			continue
		}
		p := received{
			from: from.Addr().Unmap(), token: binary.BigEndian.Uint32(b[2:]), seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
			dport: binary.BigEndian.Uint16(b[20:]), flags: b[26], payload: append([]byte(nil), b[headerBytes:n]...),
		}
		c.mu.Lock()
		f := c.flows[p.dport]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.in <- p:
		default: // A full queue drops the packet.
		}
	}
}

func (f *clientFlow) send(seq, ack uint32, flags byte, payload []byte) {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint16(b, uint16(len(payload)))
	if flags != flagSYN {
		binary.BigEndian.PutUint32(b[2:], f.token)
	}
	binary.BigEndian.PutUint32(b[6:], seq)
	binary.BigEndian.PutUint32(b[10:], ack)
	binary.BigEndian.PutUint16(b[14:], f.port)
	own := f.client.socket.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap().As4()
	copy(b[16:], own[:])
	binary.BigEndian.PutUint16(b[20:], f.service.Port())
	ip := f.service.Addr().As4()
	copy(b[22:], ip[:])
	b[26] = flags
	binary.BigEndian.PutUint32(b[27:], rand.Uint32()) // The sum, whose key is not disclosed.
	_, _ = f.client.socket.WriteToUDPAddrPort(append(b, payload...), f.client.route(f.port))
}

// open opens a flow, nil if no endpoint accepts it in time.
func (c *client) open(service netip.AddrPort) *clientFlow {
	c.mu.Lock()
	c.next++
	f := &clientFlow{client: c, port: c.next, service: service, in: make(chan received, 64), seq: rand.Uint32()}
	c.flows[f.port] = f
	c.mu.Unlock()
	deadline := time.After(openTimeout)
	for copies, pause := range []time.Duration{firstCopy, 2 * firstCopy, openTimeout} {
		f.send(f.seq, uint32(copies), flagSYN, nil)
		again := time.After(pause)
		for isWaiting := true; isWaiting; {
			select {
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					f.remove()
					return nil
				}
				if p.flags&flagSYN != 0 {
					f.token, f.seq, f.ack = p.token, f.seq+1, p.seq+1
					f.openedAt, f.lastUsedAt = time.Now(), time.Now()
					f.send(f.seq, f.ack, flagACK, nil)
					return f
				}
			case <-again:
				isWaiting = false
			case <-deadline:
				f.remove()
				return nil
			}
		}
	}
	f.remove()
	return nil
}

// isReset reports whether a packet is a reset that an open flow accepts, and records who sent it.
func (f *clientFlow) isReset(p received) bool {
	if p.flags&flagRST == 0 {
		return false
	}
	if distance := int32(p.seq - f.ack); distance > resetTolerance || distance < -resetTolerance {
		return false
	}
	f.resetBy = p.from
	return true
}

// idle waits for a pause between two requests, and returns errReset if the flow is reset meanwhile.
func (f *clientFlow) idle(pause time.Duration) error {
	end := time.After(pause)
	for {
		select {
		case p := <-f.in:
			if f.isReset(p) {
				return errReset
			}
		case <-end:
			return nil
		}
	}
}

// request sends a request and waits for its response.
func (f *clientFlow) request(text string, deadline time.Duration) error {
	f.lastUsedAt = time.Now()
	end, pause := time.After(deadline), firstCopy
	for {
		f.send(f.seq, f.ack, flagACK, []byte(text))
		again := time.After(pause)
		pause = min(2*pause, longestCopy)
		for isWaiting := true; isWaiting; {
			select {
			case p := <-f.in:
				switch {
				case f.isReset(p):
					return errReset
				case len(p.payload) > 0 && p.seq == f.ack:
					f.seq, f.ack = f.seq+uint32(len(text)), f.ack+uint32(len(p.payload))
					f.send(f.seq, f.ack, flagACK, nil)
					if id := echo.AnsweringUpstream(string(p.payload), text); id != "" {
						f.endpoint = id
					}
					return nil
				case len(p.payload) == 0 && p.flags == flagACK && p.ack == f.seq+uint32(len(text)):
					again = nil // The endpoint has the request, which is not retransmitted any more.
				}
			case <-again:
				isWaiting = false
			case <-end:
				return errDeadline
			}
		}
	}
}

func (f *clientFlow) remove() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.port)
}

// finish closes the flow.
func (f *clientFlow) finish() {
	f.send(f.seq, f.ack, flagFIN|flagACK, nil)
	f.remove()
}
