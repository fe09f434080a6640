package wire

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"
)

// ErrListen reports that a UDP address could not be bound.
var ErrListen = errors.New("cannot bind the UDP address")

const (
	// ReceiveBufferBytes is the size of a receive buffer; a UDP Conn truncates longer datagrams.
	ReceiveBufferBytes = 2048
	// maxReadBatch limits the datagrams of one read, and so the read buffers of a Conn to 128 KiB.
	maxReadBatch = 64
	// socketBufferBytes is the requested size of the kernel's socket buffers, which hold a burst while
	// the reader is busy. The kernel may grant less.
	socketBufferBytes = 4 << 20
)

type udpConn struct {
	socket     *net.UDPConn
	packetConn *ipv4.PacketConn
	localAddr  netip.AddrPort
	closed     atomic.Bool
	// readMessages is used only by ReadBatch, which has one caller at a time.
	readMessages []ipv4.Message
	sendQueue    sendQueue
}

// ListenUDP binds an IPv4 address; for port 0 the kernel chooses a free port. It returns ErrNotIPv4
// or ErrListen.
func ListenUDP(addr netip.AddrPort) (Conn, error) {
	if !addr.Addr().Unmap().Is4() {
		return nil, fmt.Errorf("listen on %s: %w", addr, ErrNotIPv4)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListen, err)
	}
	// If the kernel refuses a size, the socket keeps the default, which still works.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return &udpConn{
		socket:     socket,
		packetConn: ipv4.NewPacketConn(socket),
		localAddr:  unmapIPv4(socket.LocalAddr().(*net.UDPAddr).AddrPort()),
	}, nil
}

func (c *udpConn) ReadBatch(ds []Datagram) (int, error) {
	limit := min(len(ds), maxReadBatch)
	for len(c.readMessages) < limit {
		c.readMessages = append(c.readMessages, ipv4.Message{Buffers: [][]byte{make([]byte, ReceiveBufferBytes)}})
	}
	for {
		n, err := c.packetConn.ReadBatch(c.readMessages[:limit], 0)
		if err != nil {
			if c.closed.Load() || errors.Is(err, net.ErrClosed) {
				return 0, ErrClosed
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return 0, ErrTimeout
			}
			return 0, fmt.Errorf("read from %s: %w", c.localAddr, err)
		}
		if n = c.convertMessages(ds, n); n > 0 {
			return n, nil
		}
	}
}

// SetReadDeadline implements DeadlineReader.
func (c *udpConn) SetReadDeadline(t time.Time) error {
	if err := c.socket.SetReadDeadline(t); err != nil {
		if c.closed.Load() || errors.Is(err, net.ErrClosed) {
			return ErrClosed
		}
		return fmt.Errorf("set the read deadline of %s: %w", c.localAddr, err)
	}
	return nil
}

// convertMessages stores the first n read messages in ds, without those that have no UDP source
// address, and returns the number stored.
func (c *udpConn) convertMessages(ds []Datagram, n int) int {
	filled := 0
	for i := range n {
		m := &c.readMessages[i]
		from, ok := m.Addr.(*net.UDPAddr)
		if !ok {
			continue
		}
		ds[filled] = Datagram{Addr: unmapIPv4(from.AddrPort()), Data: m.Buffers[0][:m.N]}
		filled++
	}
	return filled
}

// BeginGather implements Gatherer.
func (c *udpConn) BeginGather() { c.sendQueue.activeGathers.Add(1) }

// EndGather implements Gatherer.
func (c *udpConn) EndGather() (lost int) { return c.sendQueue.endGather(c.packetConn) }

func (c *udpConn) Send(to netip.AddrPort, data []byte) error {
	if c.sendQueue.activeGathers.Load() > 0 && !c.closed.Load() && c.sendQueue.enqueue(c.packetConn, to, data) {
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

func (c *udpConn) LocalAddr() netip.AddrPort { return c.localAddr }

func (c *udpConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if err := c.socket.Close(); err != nil {
		return fmt.Errorf("close %s: %w", c.localAddr, err)
	}
	return nil
}

func unmapIPv4(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
