package wire

import (
	"errors"
	"net/netip"
)

// ErrClosed is returned by the methods of a Conn after Close.
var ErrClosed = errors.New("connection is closed")

// Datagram is one received datagram with its source address. Data is valid until the next
// ReadBatch.
type Datagram struct {
	Addr netip.AddrPort
	Data []byte
}

// Conn sends and receives datagrams. It is implemented by UDP sockets and, in tests, by the
// in-memory network of memnet. All methods may be called concurrently, except that ReadBatch
// has one caller.
type Conn interface {
	// ReadBatch blocks until at least one datagram is available, stores up to len(ds) datagrams
	// in ds and returns their number. It returns ErrClosed after Close.
	ReadBatch(ds []Datagram) (int, error)
	// Send sends one datagram and does not retain data. A datagram may be lost without an error.
	Send(to netip.AddrPort, data []byte) error
	// LocalAddr returns the bound address.
	LocalAddr() netip.AddrPort
	// Close closes the connection and unblocks ReadBatch.
	Close() error
}
