package testcluster

import (
	"net/netip"
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

// gate blocks the goroutines that call wait while it is closed.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
	// waiting is the channel on which goroutines still block after openForNew.
	waiting chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.openForNew()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting != nil {
		close(g.waiting)
		g.waiting = nil
	}
}

// openForNew lets later calls of wait pass. Goroutines that wait already stay blocked until open.
func (g *gate) openForNew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		g.waiting, g.closed = g.closed, nil
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

// gatedConn is the socket of a daemon that can be paused. During a pause received datagrams queue.
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

// Pause stops a daemon as SIGSTOP does: it neither sends nor handles anything, and datagrams for it
// queue. The fabric continues to send to it until Withdraw.
func (c *Cluster) Pause(name string) {
	d := c.Daemon(name)
	d.peerGate.close()
	d.dataGate.close()
}

// resumeGap is the time in which a resumed daemon handles packets from callers and upstreams before
// the goroutines that were about to send to another daemon continue, among them membership probes.
const resumeGap = 20 * time.Millisecond

// Resume continues a paused daemon. It runs the daemon's goroutines in the worst order in which a busy
// machine may schedule them: queued packets are handled first, and the timers that detect the pause
// run last.
func (c *Cluster) Resume(name string) {
	d := c.Daemon(name)
	d.peerGate.openForNew()
	d.dataGate.open()
	time.Sleep(resumeGap)
	d.peerGate.open()
}
