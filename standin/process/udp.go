package process

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// maxDatagramBytes is the size of the read buffer. It exceeds wire.MaxPacketBytes and is small,
	// since a load generator holds one buffer for each flow.
	maxDatagramBytes  = 2048
	socketBufferBytes = 4 << 20
)

// udpConn implements wire.Conn with a plain UDP socket and reads one datagram at a time.
type udpConn struct {
	*net.UDPConn
	buffer []byte
}

// ListenUDP binds an IPv4 address for data packets and truncates longer datagrams. It returns an
// error that names the address.
func ListenUDP(at netip.AddrPort) (wire.Conn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen on UDP %s: %w", at, err)
	}
	_ = c.SetReadBuffer(socketBufferBytes)
	return &udpConn{UDPConn: c, buffer: make([]byte, maxDatagramBytes)}, nil
}

func (c *udpConn) ReadBatch(ds []wire.Datagram) (int, error) {
	n, from, err := c.ReadFromUDPAddrPort(c.buffer)
	if err != nil {
		return 0, toWireError(err)
	}
	ds[0] = wire.Datagram{Addr: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), Data: c.buffer[:n]}
	return 1, nil
}

func (c *udpConn) Send(to netip.AddrPort, data []byte) error {
	_, err := c.WriteToUDPAddrPort(data, to)
	return toWireError(err)
}

func (c *udpConn) LocalAddr() netip.AddrPort {
	return c.UDPConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func toWireError(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return wire.ErrClosed
	}
	return err
}
