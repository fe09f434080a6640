// Package peer sends messages to other daemons: authenticated datagrams and connect calls.
// It owns the sequence numbers and replay windows of datagrams and the connect clients.
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

// Sender sends one datagram to a daemon of the view. It fills in sender, incarnation,
// sequence and receiver, and adds the MAC. A datagram may be lost without error. It returns
// ErrUnknownPeer or ErrTooLarge.
type Sender interface {
	Send(to membership.DaemonID, m *pb.PeerDatagram) error
}

// Clients gives the connect client of a daemon of the view, or ErrUnknownPeer. Callers set a
// deadline on each call's context.
type Clients interface {
	Client(id membership.DaemonID) (fulmarfieldv1connect.PeerServiceClient, error)
}
