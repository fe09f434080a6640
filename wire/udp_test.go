package wire_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/wire"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Guards against datagrams of the UDP socket that are lost, mixed up or have a wrong source address,
// and against a ReadBatch that stays blocked after Close.
func TestListenUDP(t *testing.T) {
	g := NewWithT(t)
	a, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = a.Close() }()

	const count = 20
	for i := range count {
		g.Expect(a.Send(b.LocalAddr(), []byte{byte(i)})).To(Succeed())
	}
	batch := make([]wire.Datagram, 8)
	received := map[byte]bool{}
	for len(received) < count {
		n, err := b.ReadBatch(batch)
		g.Expect(err).NotTo(HaveOccurred())
		for _, d := range batch[:n] {
			g.Expect(d.Addr).To(Equal(a.LocalAddr()))
			g.Expect(d.Data).To(HaveLen(1))
			received[d.Data[0]] = true
		}
	}

	readErr := make(chan error, 1)
	go func() {
		_, err := b.ReadBatch(batch)
		readErr <- err
	}()
	time.Sleep(10 * time.Millisecond)
	g.Expect(b.Close()).To(Succeed())
	g.Eventually(readErr).Should(Receive(MatchError(wire.ErrClosed)))
	g.Expect(b.Send(a.LocalAddr(), nil)).To(MatchError(wire.ErrClosed))
}

// Guards against a bind error that cannot be identified with errors.Is.
func TestListenUDPErrors(t *testing.T) {
	g := NewWithT(t)
	a, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = a.Close() }()
	_, err = wire.ListenUDP(a.LocalAddr())
	g.Expect(err).To(MatchError(wire.ErrListen))
	_, err = wire.ListenUDP(netip.MustParseAddrPort("[::1]:0"))
	g.Expect(err).To(MatchError(wire.ErrNotIPv4))
}

// Guards against an allocation for each packet sent.
func TestUDPSendDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	a, err := wire.ListenUDP(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = a.Close() }()
	to, data := a.LocalAddr(), make([]byte, 1400)
	g.Expect(testing.AllocsPerRun(100, func() { _ = a.Send(to, data) })).To(BeZero())
}
