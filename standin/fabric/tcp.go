package fabric

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// cutHold is the time for which a connection across a cut is held open without any data, since
	// its packets would be lost, before it is reset.
	cutHold = 10 * time.Second
)

// tcpRelay is one relayed connection.
type tcpRelay struct {
	from, to netip.Addr
	mu       sync.Mutex
	conns    []*net.TCPConn
	ended    bool
	done     chan struct{}
}

// add registers a connection of the relay. If the relay has ended, it resets the connection and
// returns false.
func (r *tcpRelay) add(c *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		reset(c)
		return false
	}
	r.conns = append(r.conns, c)
	return true
}

// abort resets both connections.
func (r *tcpRelay) abort() { r.end(reset) }

// finish closes both connections; data that was written before still arrives.
func (r *tcpRelay) finish() { r.end(func(c *net.TCPConn) { _ = c.Close() }) }

func (r *tcpRelay) end(closeConn func(*net.TCPConn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	close(r.done)
	for _, c := range r.conns {
		closeConn(c)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (f *Fabric) listenTCP(at, to netip.AddrPort) error {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("listen on TCP %s: %w", at, err)
	}
	f.mu.Lock()
	f.closers = append(f.closers, l)
	f.mu.Unlock()
	f.readers.Go(func() {
		for {
			conn, err := l.AcceptTCP()
			if err != nil {
				return
			}
			from := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
			f.readers.Go(func() { f.relayTCP(conn, from, to) })
		}
	})
	return nil
}

func (f *Fabric) relayTCP(in *net.TCPConn, from netip.Addr, to netip.AddrPort) {
	f.counters.Count("tcp.accepted")
	r := &tcpRelay{from: from, to: to.Addr(), done: make(chan struct{})}
	r.add(in)
	if !f.addRelay(r) {
		return
	}
	defer f.removeRelay(r)
	if _, cut := f.rules.Load().cutSince(from, to.Addr()); cut {
		f.counters.Count("tcp.held_by_cut")
		select {
		case <-r.done:
		case <-f.done:
		case <-time.After(cutHold):
		}
		r.abort()
		return
	}
	ctx, cancel := f.context()
	defer cancel()
	// The receiver sees the sender's relay address, as with datagrams.
	dialer := net.Dialer{Timeout: dialTimeout}
	if zoneNumber(from) != 0 {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(relayAddress(from), 0))
	}
	dialed, err := dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		f.counters.Count("tcp.refused")
		r.abort()
		return
	}
	out := dialed.(*net.TCPConn)
	if !r.add(out) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { pipe(out, in) })
	wg.Go(func() { pipe(in, out) })
	wg.Wait()
}

// pipe copies one direction and forwards its end of stream.
func pipe(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(from)
		reset(to)
		return
	}
	_ = to.CloseWrite()
}

func (f *Fabric) addRelay(r *tcpRelay) bool {
	f.mu.Lock()
	closed := f.closed
	if !closed {
		f.relays[r] = struct{}{}
	}
	f.mu.Unlock()
	if closed {
		r.abort()
	}
	return !closed
}

func (f *Fabric) removeRelay(r *tcpRelay) {
	r.finish()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.relays, r)
}

// breakCutRelays resets the open relays whose path is cut.
func (f *Fabric) breakCutRelays() {
	rules := f.rules.Load()
	f.mu.Lock()
	var broken []*tcpRelay
	for r := range f.relays {
		if _, cut := rules.cutSince(r.from, r.to); cut {
			broken = append(broken, r)
		}
	}
	f.mu.Unlock()
	for _, r := range broken {
		f.counters.Count("tcp.broken_by_cut")
		r.abort()
	}
}
