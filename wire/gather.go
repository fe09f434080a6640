package wire

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/net/ipv4"
)

// maxDatagramsPerSend limits the number of datagrams that one system call sends. The buffers of a
// full queue take 64 KiB.
const maxDatagramsPerSend = 32

// Gatherer is a Conn that can send the datagrams of several calls of Send with one system call.
type Gatherer interface {
	// BeginGather makes Send queue copies of datagrams until the matching EndGather. Gathers of
	// several goroutines may overlap.
	BeginGather()
	// EndGather sends all queued datagrams, including those of overlapping gathers, and returns the
	// number of datagrams that could not be sent.
	EndGather() (lost int)
}

// Gather runs f and queues the datagrams that f sends on those conns that are Gatherers. The queued
// datagrams are sent when f returns. Gather returns the number of datagrams that could not be sent.
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

// sendQueue holds the datagrams of a UDP socket that are sent with one system call.
type sendQueue struct {
	// activeGathers is the number of calls of BeginGather without their EndGather. EndGather
	// decrements it with mu held and after the flush, so that the queue is empty while it is 0 and
	// no datagram overtakes a queued one.
	activeGathers atomic.Int32

	mu       sync.Mutex
	queued   int
	lost     int
	messages []ipv4.Message
	// to and ips hold the destination addresses of messages, so that queuing does not allocate.
	to  [maxDatagramsPerSend]net.UDPAddr
	ips [maxDatagramsPerSend][net.IPv4len]byte
}

// enqueue queues a copy of a datagram and reports whether it did. When a datagram does not fit a
// buffer or its destination is not IPv4, enqueue flushes the queue and returns false, so that Send
// sends that datagram directly and in order.
func (q *sendQueue) enqueue(conn *ipv4.PacketConn, to netip.AddrPort, data []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.activeGathers.Load() == 0 {
		return false
	}
	if len(data) > ReceiveBufferBytes || !to.Addr().Unmap().Is4() {
		q.flush(conn)
		return false
	}
	if q.messages == nil {
		q.messages = make([]ipv4.Message, maxDatagramsPerSend)
		for i := range q.messages {
			q.messages[i] = ipv4.Message{Buffers: [][]byte{make([]byte, ReceiveBufferBytes)}, Addr: &q.to[i]}
		}
	}
	i := q.queued
	q.ips[i] = to.Addr().Unmap().As4()
	q.to[i] = net.UDPAddr{IP: q.ips[i][:], Port: int(to.Port())}
	buffer := q.messages[i].Buffers[0][:len(data)]
	copy(buffer, data)
	q.messages[i].Buffers[0] = buffer
	q.queued++
	if q.queued == maxDatagramsPerSend {
		q.flush(conn)
	}
	return true
}

// endGather sends the queued datagrams and returns the number lost since the previous endGather.
func (q *sendQueue) endGather(conn *ipv4.PacketConn) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flush(conn)
	q.activeGathers.Add(-1)
	lost := q.lost
	q.lost = 0
	return lost
}

// flush sends the queued datagrams. It skips a datagram that fails and sends the others. The caller
// holds q.mu.
func (q *sendQueue) flush(conn *ipv4.PacketConn) {
	for i := 0; i < q.queued; {
		n, err := conn.WriteBatch(q.messages[i:q.queued], 0)
		if err != nil || n == 0 {
			q.lost++
			n = 1
		}
		i += n
	}
	for i := range q.queued {
		q.messages[i].Buffers[0] = q.messages[i].Buffers[0][:ReceiveBufferBytes]
	}
	q.queued = 0
}
