package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is what a proxy does to the connections of one daemon to the store.
type linkFault int32

const (
	linkWorks linkFault = iota
	// linkResets ends connections.
	linkResets
	// linkSilent lets connections go silent without ending them.
	linkSilent
	// linkOneWay loses what the store answers.
	linkOneWay
	// linkSlow delays each answer.
	linkSlow
	linkFaults
)

const slowBy = 250 * time.Millisecond

// proxy carries TCP connections from a daemon to the store.
type proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", r4(hostProxies, 0, 1).String()+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

func (p *proxy) set(f linkFault) {
	p.fault.Store(int32(f))
	if f != linkResets {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *proxy) carry(client net.Conn) {
	defer func() { _ = client.Close() }()
	if linkFault(p.fault.Load()) == linkResets {
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	p.mu.Lock()
	p.open[client] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, client)
		p.mu.Unlock()
	}()
	go p.copy(server, client, false)
	p.copy(client, server, true)
}

// copy carries one direction. What is lost to a fault stays lost, so that the connection is
// silent for good.
func (p *proxy) copy(to, from net.Conn, isAnswer bool) {
	b := make([]byte, 64<<10)
	isLost := false
	for {
		n, err := from.Read(b)
		switch f := linkFault(p.fault.Load()); {
		case f == linkSilent || f == linkOneWay && isAnswer:
			isLost = true
		case f == linkSlow && isAnswer:
			time.Sleep(slowBy)
		}
		if n > 0 && !isLost {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !isLost {
				_ = to.Close()
			}
			return
		}
	}
}
