package soak_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// proxyFault is a fault that a proxy injects into the connections of one daemon to the store.
type proxyFault int32

const (
	faultNone proxyFault = iota
	// faultReset closes open connections and new ones.
	faultReset
	// faultDropAll drops all data in both directions and leaves connections open.
	faultDropAll
	// faultDropResponses drops the data from the store to the daemon.
	faultDropResponses
	// faultDelayResponses delays each read of data from the store by responseDelay.
	faultDelayResponses
	proxyFaultCount
)

const responseDelay = 250 * time.Millisecond

// proxy forwards TCP connections from a daemon to the store.
type proxy struct {
	target string
	fault  atomic.Int32
	mu     sync.Mutex
	// open holds the connections of daemons, with the listeners that accepted them.
	open map[net.Conn]net.Listener
}

func startProxy(address netip.Addr, target string) (*proxy, net.Listener, error) {
	listener, err := net.Listen("tcp4", address.String()+":0")
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{target: target, open: map[net.Conn]net.Listener{}}
	go p.serve(listener)
	return p, listener, nil
}

// serve forwards the connections to a listener until it is closed.
func (p *proxy) serve(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c, listener)
	}
}

// closeListener closes a listener and the connections that it has accepted.
func (p *proxy) closeListener(listener net.Listener) {
	_ = listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, by := range p.open {
		if by == listener {
			_ = c.Close()
		}
	}
}

func (p *proxy) setFault(f proxyFault) {
	p.fault.Store(int32(f))
	if f != faultReset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *proxy) forward(client net.Conn, by net.Listener) {
	defer func() { _ = client.Close() }()
	if proxyFault(p.fault.Load()) == faultReset {
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	p.mu.Lock()
	p.open[client] = by
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, client)
		p.mu.Unlock()
	}()
	go p.copyDirection(server, client, false)
	p.copyDirection(client, server, true)
}

// copyDirection copies one direction of a connection. After data was dropped it copies nothing more,
// so that the direction stays half-open until the connection ends.
func (p *proxy) copyDirection(to, from net.Conn, isResponse bool) {
	b := make([]byte, 64<<10)
	isDropping := false
	for {
		n, err := from.Read(b)
		switch f := proxyFault(p.fault.Load()); {
		case f == faultDropAll || f == faultDropResponses && isResponse:
			isDropping = true
		case f == faultDelayResponses && isResponse:
			time.Sleep(responseDelay)
		}
		if n > 0 && !isDropping {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !isDropping {
				_ = to.Close()
			}
			return
		}
	}
}
