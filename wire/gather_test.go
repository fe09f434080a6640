package wire_test

import (
	"net/netip"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against datagrams that are lost, changed, reordered or never sent when they are gathered, also
// when there are more of them than one system call sends, and against a datagram whose sending fails and
// thereby prevents the sending of the others.
func TestGather(t *testing.T) {
	g := NewWithT(t)
	a, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = a.Close(), b.Close() }()

	const count = 100
	scratch := make([]byte, 0, 8)
	lost := wire.Gather([]wire.Conn{a}, func() {
		for i := range count {
			scratch = append(scratch[:0], make([]byte, i%7+1)...)
			scratch[0] = byte(i)
			g.Expect(a.Send(b.LocalAddr(), scratch)).To(Succeed())
			if i == count/2 {
				// The kernel refuses to send to port 0.
				g.Expect(a.Send(netip.MustParseAddrPort("127.0.0.1:0"), scratch)).To(Succeed())
			}
		}
	})
	g.Expect(lost).To(Equal(1))
	batch := make([]wire.Datagram, 8)
	for received := 0; received < count; {
		n, err := b.ReadBatch(batch)
		g.Expect(err).NotTo(HaveOccurred())
		for _, d := range batch[:n] {
			g.Expect(d.Addr).To(Equal(a.LocalAddr()))
			g.Expect(d.Data).To(HaveLen(received%7 + 1))
			g.Expect(d.Data[0]).To(Equal(byte(received)))
			received++
		}
	}
	g.Expect(wire.Gather([]wire.Conn{a}, func() {})).To(BeZero(), "a lost datagram is reported once")
	g.Expect(a.Close()).To(Succeed())
	wire.Gather([]wire.Conn{a}, func() { g.Expect(a.Send(b.LocalAddr(), scratch)).To(MatchError(wire.ErrClosed)) })
}

// Guards against a datagram that stays in the queue, and against mixed-up buffers, when some
// goroutines gather on a socket while others send on it.
func TestOverlappingGathers(t *testing.T) {
	g := NewWithT(t)
	a, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = a.Close(), b.Close() }()

	const senders, perSender = 4, 20
	var pending sync.WaitGroup
	for sender := range senders {
		pending.Go(func() {
			send := func() {
				for i := range perSender {
					_ = a.Send(b.LocalAddr(), []byte{byte(sender), byte(i), byte(sender)})
				}
			}
			if sender%2 == 0 {
				send()
			} else {
				wire.Gather([]wire.Conn{a}, send)
			}
		})
	}
	pending.Wait()
	nextIndex := [senders]byte{}
	batch := make([]wire.Datagram, 8)
	for received := 0; received < senders*perSender; {
		n, err := b.ReadBatch(batch)
		g.Expect(err).NotTo(HaveOccurred())
		for _, d := range batch[:n] {
			g.Expect(d.Data).To(HaveLen(3))
			g.Expect(d.Data[2]).To(Equal(d.Data[0]))
			g.Expect(d.Data[1]).To(Equal(nextIndex[d.Data[0]]))
			nextIndex[d.Data[0]]++
			received++
		}
	}
}

// Guards against an allocation for each gathered datagram.
func TestGatherDoesNotAllocateForEachDatagram(t *testing.T) {
	g := NewWithT(t)
	a, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = a.Close() }()
	to, data, conns := a.LocalAddr(), make([]byte, 1400), []wire.Conn{a}
	const count = 30
	g.Expect(testing.AllocsPerRun(100, func() {
		wire.Gather(conns, func() {
			for range count {
				_ = a.Send(to, data)
			}
		})
	})).To(BeNumerically("<", count/3))
}
