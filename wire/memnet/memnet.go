// Package memnet is an in-memory datagram network for tests in virtual time. It owns the
// queues of datagrams in flight. A test sets latency, loss and network partitions with a Policy.
package memnet

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

// Policy decides how one datagram is delivered: one copy arrives after each of the returned delays,
// and without a delay the datagram is lost. It may inspect data but must not retain it.
type Policy func(from, to netip.AddrPort, data []byte) []time.Duration

// Network carries datagrams between the Conns that Listen returns.
type Network struct {
	mu     sync.Mutex
	conns  map[netip.AddrPort]*conn
	policy Policy
}

// New returns a network that applies policy to each datagram; with nil, it delivers all datagrams
// without delay.
func New(policy Policy) *Network {
	return &Network{conns: map[netip.AddrPort]*conn{}, policy: policy}
}

// SetPolicy replaces the policy for datagrams sent from now on.
func (n *Network) SetPolicy(policy Policy) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.policy = policy
}

// Listen binds addr. It returns an error if addr is in use.
func (n *Network) Listen(addr netip.AddrPort) (wire.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, inUse := n.conns[addr]; inUse {
		return nil, fmt.Errorf("listen on %s: address in use", addr)
	}
	c := &conn{network: n, addr: addr, queue: make(chan wire.Datagram, queueLength), closed: make(chan struct{})}
	n.conns[addr] = c
	return c, nil
}

func (n *Network) send(from, to netip.AddrPort, data []byte) {
	n.mu.Lock()
	policy := n.policy
	n.mu.Unlock()
	delays := []time.Duration{0}
	if policy != nil {
		delays = policy(from, to, data)
	}
	for _, d := range delays {
		copied := append([]byte(nil), data...)
		if d <= 0 {
			n.deliver(from, to, copied)
			continue
		}
		time.AfterFunc(d, func() { n.deliver(from, to, copied) })
	}
}

func (n *Network) deliver(from, to netip.AddrPort, data []byte) {
	n.mu.Lock()
	c := n.conns[to]
	n.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c.queue <- wire.Datagram{Addr: from, Data: data}:
	default: // A full queue drops the datagram, as a full socket buffer does.
	}
}

// queueLength limits the datagrams that wait to be read from one Conn.
const queueLength = 4096

type conn struct {
	network   *Network
	addr      netip.AddrPort
	queue     chan wire.Datagram
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *conn) ReadBatch(ds []wire.Datagram) (int, error) {
	select {
	case <-c.closed:
		return 0, wire.ErrClosed
	case d := <-c.queue:
		ds[0] = d
	}
	n := 1
	for n < len(ds) {
		select {
		case d := <-c.queue:
			ds[n] = d
			n++
		default:
			return n, nil
		}
	}
	return n, nil
}

func (c *conn) Send(to netip.AddrPort, data []byte) error {
	select {
	case <-c.closed:
		return wire.ErrClosed
	default:
	}
	c.network.send(c.addr, to, data)
	return nil
}

func (c *conn) LocalAddr() netip.AddrPort { return c.addr }

func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		if c.network.conns[c.addr] == c {
			delete(c.network.conns, c.addr)
		}
	})
	return nil
}
