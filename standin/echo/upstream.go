package echo

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Upstream answers each request with its ID and the request's text. Its methods may be called concurrently.
type Upstream struct {
	ID string
	// StartedAt distinguishes incarnations with the same ID.
	StartedAt time.Time

	// instance is the number of this upstream in the balancer's envelope. The upstream ignores packets
	// for other instances.
	instance   uint64
	callerPort uint16
	socket     *net.UDPConn

	mu       sync.Mutex
	isSilent bool
	flows    map[netip.AddrPort]*upstreamFlow
	// openTimes are the times at which flows were opened; runs counts how often each request ran.
	openTimes  []time.Time
	placements []Placement
	runs       map[string]int
	// work is how long a request takes. running and queue are the requests in slots and those that wait for one.
	work    time.Duration
	running int
	queue   []job
}

// Placement is the first opening packet of a flow.
type Placement struct {
	At time.Time
	// By is the address of the balancer that sent it.
	By netip.Addr
}

type upstreamFlow struct {
	seq, ack uint32
	isOpen   bool
	answer   []byte
}

// StartUpstream binds an address. The upstream answers callers at their IP address and callerPort.
func StartUpstream(id string, instance uint64, address netip.AddrPort, callerPort uint16) (*Upstream, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("start upstream %s: %w", id, err)
	}
	u := &Upstream{
		ID: id, StartedAt: time.Now(), instance: instance, callerPort: callerPort, socket: socket,
		flows: map[netip.AddrPort]*upstreamFlow{}, runs: map[string]int{},
	}
	go u.serve()
	return u, nil
}

// Address returns the address on which the upstream listens.
func (u *Upstream) Address() netip.AddrPort { return u.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetSilent makes the upstream ignore all packets if on is set, and handle packets again otherwise.
func (u *Upstream) SetSilent(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isSilent = on
}

// OpenTimes returns the times at which flows were opened.
func (u *Upstream) OpenTimes() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]time.Time(nil), u.openTimes...)
}

// Placements returns the first opening packets of all flows, including those that did not open.
func (u *Upstream) Placements() []Placement {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Placement(nil), u.placements...)
}

// Runs returns how often each request ran, by its text.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for request, n := range u.runs {
		runs[request] = n
	}
	return runs
}

// Stop closes the socket without notifying callers.
func (u *Upstream) Stop() { _ = u.socket.Close() } // Close fails only if the upstream was stopped before.

func (u *Upstream) serve() {
	b := make([]byte, 2048)
	for {
		n, from, err := u.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < envelopeBytes {
			continue
		}
		instance := binary.BigEndian.Uint64(b)
		p, ok := decode(b[envelopeBytes:n])
		if !ok || instance != 0 && instance != u.instance {
			continue
		}
		u.mu.Lock()
		if !u.isSilent {
			u.handle(p, from.Addr())
		}
		u.mu.Unlock()
	}
}

func (u *Upstream) handle(p packet, by netip.Addr) {
	f := u.flows[p.src]
	answer := packet{echoedToken: p.echoedToken, src: p.dst, dst: p.src}
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &upstreamFlow{seq: rand.Uint32(), ack: p.seq + 1}
			u.flows[p.src] = f
			u.placements = append(u.placements, Placement{time.Now(), by})
		}
		answer.seq, answer.ack, answer.flags = f.seq, f.ack, flagSYN|flagACK
	case f == nil || !f.isOpen && p.ack != f.seq+1:
		answer.seq, answer.flags = p.ack, flagRST
	case p.flags&flagFIN != 0:
		delete(u.flows, p.src)
		answer.seq, answer.ack, answer.flags = p.ack, p.seq+1, flagFIN|flagACK
	default:
		if !f.isOpen {
			f.isOpen, f.seq = true, f.seq+1
			u.openTimes = append(u.openTimes, time.Now())
		}
		if len(p.payload) == 0 {
			return
		}
		if p.seq == f.ack {
			f.seq += uint32(len(f.answer))
			f.ack += uint32(len(p.payload))
			f.answer = nil
			u.accept(job{flow: f, request: string(p.payload), packet: p})
			if f.answer == nil {
				return
			}
		}
		// The retransmission of a request in progress is acknowledged, so that the caller waits for the answer.
		answer.seq, answer.ack, answer.flags, answer.payload = f.seq, f.ack, flagACK, f.answer
	}
	u.send(answer)
}

func (u *Upstream) send(p packet) {
	// The caller retransmits after a lost datagram.
	_, _ = u.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), u.callerPort))
}

// AnsweringUpstream returns the ID of the upstream in an answer to a request, or "" if the answer is
// incomplete or belongs to another request.
func AnsweringUpstream(answer, request string) string {
	id, rest, found := strings.Cut(answer, " ")
	if !found || rest != request {
		return ""
	}
	return id
}
