package wire_test

import (
	"net/netip"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against datagrams that are lost, changed, reordered or kept back when they are sent
// together, also more than one system call takes, and against one bad datagram that stops the rest.
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
				// Port 0 cannot be sent to.
				g.Expect(a.Send(netip.MustParseAddrPort("127.0.0.1:0"), scratch)).To(Succeed())
			}
		}
	})
	g.Expect(lost).To(Equal(1))
	batch := make([]wire.Datagram, 8)
	for got := 0; got < count; {
		n, err := b.ReadBatch(batch)
		g.Expect(err).NotTo(HaveOccurred())
		for _, d := range batch[:n] {
			g.Expect(d.Addr).To(Equal(a.LocalAddr()))
			g.Expect(d.Data).To(HaveLen(got%7 + 1))
			g.Expect(d.Data[0]).To(Equal(byte(got)))
			got++
		}
	}
	g.Expect(wire.Gather([]wire.Conn{a}, func() {})).To(BeZero(), "losses are reported once")
	g.Expect(a.Close()).To(Succeed())
	wire.Gather([]wire.Conn{a}, func() { g.Expect(a.Send(b.LocalAddr(), scratch)).To(MatchError(wire.ErrClosed)) })
}

// Guards against a datagram that stays behind, or buffers that are mixed up, when several tasks
// gather on one socket and others send on it meanwhile.
func TestGatherOverlaps(t *testing.T) {
	g := NewWithT(t)
	a, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = a.Close(), b.Close() }()

	const tasks, each = 4, 20
	var sent sync.WaitGroup
	for task := range tasks {
		sent.Go(func() {
			send := func() {
				for i := range each {
					_ = a.Send(b.LocalAddr(), []byte{byte(task), byte(i), byte(task)})
				}
			}
			if task%2 == 0 {
				send()
			} else {
				wire.Gather([]wire.Conn{a}, send)
			}
		})
	}
	sent.Wait()
	next := [tasks]byte{}
	batch := make([]wire.Datagram, 8)
	for got := 0; got < tasks*each; {
		n, err := b.ReadBatch(batch)
		g.Expect(err).NotTo(HaveOccurred())
		for _, d := range batch[:n] {
			g.Expect(d.Data).To(HaveLen(3))
			g.Expect(d.Data[2]).To(Equal(d.Data[0]))
			g.Expect(d.Data[1]).To(Equal(next[d.Data[0]]))
			next[d.Data[0]]++
			got++
		}
	}
}

// Guards against an allocation for each datagram that is kept and sent with others.
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
