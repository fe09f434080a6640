package wire

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/net/ipv4"
)

// gatherLimit is the number of datagrams that one system call sends; their buffers take 64 KiB.
const gatherLimit = 32

// Gatherer is a Conn that can send the datagrams of several calls of Send by one system call.
type Gatherer interface {
	// BeginGather has Send keep copies of datagrams until EndGather. Calls may overlap.
	BeginGather()
	// EndGather sends all that was kept, also by others, and returns the number of datagrams
	// that could not be sent.
	EndGather() (lost int)
}

// Gather runs f and has the conns that are Gatherers send what f sends on them at its end. It
// returns the number of datagrams that could not be sent.
func Gather(conns []Conn, f func()) (lost int) {
	for _, c := range conns {
		if g, ok := c.(Gatherer); ok {
			g.BeginGather()
		}
	}
	f()
	for _, c := range conns {
		if g, ok := c.(Gatherer); ok {
			lost += g.EndGather()
		}
	}
	return lost
}

// outbox keeps the datagrams of a UDP socket that are sent together.
type outbox struct {
	// open is the number of calls of BeginGather without their EndGather. It falls under mu and
	// after the flush, so that nothing is kept while it is 0 and no datagram overtakes kept ones.
	open atomic.Int32

	mu       sync.Mutex
	count    int
	lost     int
	messages []ipv4.Message
	to       [gatherLimit]net.UDPAddr
	numbers  [gatherLimit][net.IPv4len]byte
}

// add keeps a copy of a datagram and reports whether it did. A datagram that does not fit is
// sent at once, after those before it.
func (o *outbox) add(batch *ipv4.PacketConn, to netip.AddrPort, data []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open.Load() == 0 {
		return false
	}
	if len(data) > ReceiveBufferBytes || !to.Addr().Unmap().Is4() {
		o.flush(batch)
		return false
	}
	if o.messages == nil {
		o.messages = make([]ipv4.Message, gatherLimit)
		for i := range o.messages {
			o.messages[i] = ipv4.Message{Buffers: [][]byte{make([]byte, ReceiveBufferBytes)}, Addr: &o.to[i]}
		}
	}
	i := o.count
	o.numbers[i] = to.Addr().Unmap().As4()
	o.to[i] = net.UDPAddr{IP: o.numbers[i][:], Port: int(to.Port())}
	buffer := o.messages[i].Buffers[0][:len(data)]
	copy(buffer, data)
	o.messages[i].Buffers[0] = buffer
	o.count++
	if o.count == gatherLimit {
		o.flush(batch)
	}
	return true
}

// end sends what is kept and returns the datagrams lost since the last end.
func (o *outbox) end(batch *ipv4.PacketConn) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flush(batch)
	o.open.Add(-1)
	lost := o.lost
	o.lost = 0
	return lost
}

// flush sends what is kept. A datagram with an error is skipped and the rest is sent. o.mu is held.
func (o *outbox) flush(batch *ipv4.PacketConn) {
	for i := 0; i < o.count; {
		n, err := batch.WriteBatch(o.messages[i:o.count], 0)
		if err != nil || n == 0 {
			o.lost++
			n = 1
		}
		i += n
	}
	for i := range o.count {
		o.messages[i].Buffers[0] = o.messages[i].Buffers[0][:ReceiveBufferBytes]
	}
	o.count = 0
}
