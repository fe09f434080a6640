package testcluster

import (
	"net/netip"
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

// gate holds back what passes it while it is closed.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
	// left is the channel of those that still wait after admitNew.
	left chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.admitNew()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left != nil {
		close(g.left)
		g.left = nil
	}
}

// admitNew opens the gate, but not to those that wait already; open follows.
func (g *gate) admitNew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		g.left, g.closed = g.closed, nil
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil
}

func (g *gate) wait() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// gatedConn is the socket of a daemon that can be paused: datagrams for it queue meanwhile.
type gatedConn struct {
	wire.Conn
	gate *gate
}

func (c *gatedConn) ReadBatch(ds []wire.Datagram) (int, error) {
	n, err := c.Conn.ReadBatch(ds)
	c.gate.wait()
	return n, err
}

func (c *gatedConn) Send(to netip.AddrPort, data []byte) error {
	c.gate.wait()
	return c.Conn.Send(to, data)
}

// Pause stops a daemon as SIGSTOP does: it sends nothing, answers nothing and handles nothing,
// and datagrams for it queue. The fabric goes on sending to it until Withdraw.
func (c *Cluster) Pause(name string) {
	d := c.Daemon(name)
	d.peerGate.close()
	d.dataGate.close()
}

// wakeGap is the time that a woken daemon handles packets from callers and upstreams before the
// tasks that were about to send to another daemon go on, among them the probes of membership.
const wakeGap = 20 * time.Millisecond

// Resume wakes a paused daemon. Of the orders in which a busy machine may run its tasks it takes
// the worst: packets that queued are handled first, and the timers that notice the pause last.
func (c *Cluster) Resume(name string) {
	d := c.Daemon(name)
	d.peerGate.admitNew()
	d.dataGate.open()
	time.Sleep(wakeGap)
	d.peerGate.open()
}
