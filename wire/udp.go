package wire

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/net/ipv4"
)

// ErrListen reports that a UDP address could not be bound.
var ErrListen = errors.New("cannot bind the UDP address")

const (
	// ReceiveBufferBytes is the longest datagram that a UDP Conn receives whole.
	ReceiveBufferBytes = 2048
	// maxBatch bounds the buffers of one Conn to 128 KiB.
	maxBatch = 64
	// socketBufferBytes absorbs a burst while the reader is busy. The kernel may grant less.
	socketBufferBytes = 4 << 20
)

type udpConn struct {
	socket *net.UDPConn
	batch  *ipv4.PacketConn
	local  netip.AddrPort
	closed atomic.Bool
	// messages is used by the one caller of ReadBatch only.
	messages []ipv4.Message
	outbox   outbox
}

// ListenUDP binds an IPv4 address; port 0 takes any free port. It returns ErrNotIPv4 or
// ErrListen.
func ListenUDP(addr netip.AddrPort) (Conn, error) {
	if !addr.Addr().Unmap().Is4() {
		return nil, fmt.Errorf("listen on %s: %w", addr, ErrNotIPv4)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListen, err)
	}
	// A refused size leaves the default of the kernel, which still works.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return &udpConn{
		socket: socket,
		batch:  ipv4.NewPacketConn(socket),
		local:  unmap(socket.LocalAddr().(*net.UDPAddr).AddrPort()),
	}, nil
}

func (c *udpConn) ReadBatch(ds []Datagram) (int, error) {
	want := min(len(ds), maxBatch)
	for len(c.messages) < want {
		c.messages = append(c.messages, ipv4.Message{Buffers: [][]byte{make([]byte, ReceiveBufferBytes)}})
	}
	for {
		n, err := c.batch.ReadBatch(c.messages[:want], 0)
		if err != nil {
			if c.closed.Load() || errors.Is(err, net.ErrClosed) {
				return 0, ErrClosed
			}
			return 0, fmt.Errorf("read from %s: %w", c.local, err)
		}
		if n = c.fill(ds, n); n > 0 {
			return n, nil
		}
	}
}

// fill hands out the first n messages and skips those without an IPv4 sender.
func (c *udpConn) fill(ds []Datagram, n int) int {
	filled := 0
	for i := range n {
		m := &c.messages[i]
		from, ok := m.Addr.(*net.UDPAddr)
		if !ok {
			continue
		}
		ds[filled] = Datagram{Addr: unmap(from.AddrPort()), Data: m.Buffers[0][:m.N]}
		filled++
	}
	return filled
}

// BeginGather implements Gatherer.
func (c *udpConn) BeginGather() { c.outbox.open.Add(1) }

// EndGather implements Gatherer.
func (c *udpConn) EndGather() (lost int) { return c.outbox.end(c.batch) }

func (c *udpConn) Send(to netip.AddrPort, data []byte) error {
	if c.outbox.open.Load() > 0 && !c.closed.Load() && c.outbox.add(c.batch, to, data) {
		return nil
	}
	if _, err := c.socket.WriteToUDPAddrPort(data, to); err != nil {
		if c.closed.Load() || errors.Is(err, net.ErrClosed) {
			return ErrClosed
		}
		return fmt.Errorf("send to %s: %w", to, err)
	}
	return nil
}

func (c *udpConn) LocalAddr() netip.AddrPort { return c.local }

func (c *udpConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if err := c.socket.Close(); err != nil {
		return fmt.Errorf("close %s: %w", c.local, err)
	}
	return nil
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
