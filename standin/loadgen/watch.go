package loadgen

import (
	"net/netip"
	"sync/atomic"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// watchedConn notes the id of the last request that is sent, which proves whose answer
// arrives whatever ids the flow chooses. It serves a flow with one request at a time.
type watchedConn struct {
	wire.Conn
	lastRequest atomic.Uint64
}

// Send notes the id of a request and sends the datagram.
func (c *watchedConn) Send(to netip.AddrPort, data []byte) error {
	if p, err := wire.DecodePacket(data); err == nil && p.GetKind() == pb.Kind_KIND_REQUEST {
		c.lastRequest.Store(p.GetRequestId())
	}
	return c.Conn.Send(to, data)
}
