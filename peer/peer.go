// Package peer implements the messaging between daemons: authenticated datagrams and connect calls.
// It owns the sequence numbers and replay windows of datagrams, the connect clients and the budget
// for control traffic.
package peer

import (
	"errors"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/membership"
)

// Errors of sending to a peer.
var (
	ErrUnknownPeer = errors.New("peer is not in the view")
	ErrTooLarge    = errors.New("message does not fit a datagram")
)

// Sender sends one datagram to a daemon of the view. It sets the sender, incarnation, sequence and
// receiver of the datagram and adds the MAC. A datagram may be lost without an error. Send returns
// ErrUnknownPeer, ErrTooLarge or ErrTransport.
type Sender interface {
	Send(to membership.DaemonID, m *pb.PeerDatagram) error
}

// Clients provides the connect clients of the daemons of the view.
type Clients interface {
	// Client returns the connect client of a daemon, or ErrUnknownPeer. Each call of the client needs a
	// context with a deadline.
	Client(id membership.DaemonID) (fulmarfieldv1connect.PeerServiceClient, error)
}
