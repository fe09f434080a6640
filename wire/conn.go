package wire

import (
	"errors"
	"net/netip"
	"time"
)

// ErrClosed is returned by the methods of a Conn after Close.
var ErrClosed = errors.New("connection is closed")

// ErrTimeout is returned by ReadBatch when the time of SetReadDeadline has passed.
var ErrTimeout = errors.New("no datagram has arrived in time")

// DeadlineReader is implemented by connections whose ReadBatch can end without a datagram.
type DeadlineReader interface {
	// SetReadDeadline sets the time at which ReadBatch returns ErrTimeout. The zero time means never.
	SetReadDeadline(t time.Time) error
}

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
