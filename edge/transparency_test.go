package edge

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/platform"
)

const (
	// Offsets and flags of the packet header.
	tokenOffset, endsOffset, flagsOffset = 2, 14, 26
	flagSYN, flagACK, flagRST            = 2, 4, 64
	// quietTime is the time without a datagram after which none is expected any more.
	quietTime = 300 * time.Millisecond
)

// socket is a caller's or upstream's socket that records datagrams.
type socket struct {
	*net.UDPConn
	*WithT
}

func newSocket(t *testing.T, address string) socket {
	g := NewWithT(t)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return socket{c, g}
}

// receive returns the next datagram, or nil if none arrives in time.
func (s socket) receive(timeout time.Duration) []byte {
	s.Expect(s.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	b := make([]byte, 2048)
	n, err := s.Read(b)
	if err != nil {
		return nil
	}
	return b[:n]
}

func (s socket) send(raw []byte) {
	_, err := s.WriteToUDPAddrPort(raw, netip.AddrPortFrom(netip.MustParseAddr("127.51.0.1"), packetPort))
	s.Expect(err).NotTo(HaveOccurred())
}

// newPacket returns a packet from 127.51.1.1 to the service address, with random numbers, checksum and payload.
func newPacket(random *rand.Rand, flags byte, token uint32, payload int) []byte {
	raw := make([]byte, platform.HeaderBytes+payload)
	for i := range raw {
		raw[i] = byte(random.Uint32())
	}
	binary.BigEndian.PutUint16(raw, uint16(payload))
	binary.BigEndian.PutUint32(raw[tokenOffset:], token)
	copy(raw[endsOffset:], []byte{0x40, 0, 127, 51, 1, 1, 0x20, 0xfb, 198, 18, 0, 1})
	raw[flagsOffset] = flags
	return raw
}

// Guards against answers that break off and look complete, and against requests that are changed on their
// way: a daemon forwards each packet as it is, but for the token of an opening packet, and all that it
// sends to callers itself are resets without data.
func TestPacketsAreForwardedUnchanged(t *testing.T) {
	g := NewWithT(t)
	s, address := startStore(t)
	upstream, caller := newSocket(t, "127.51.2.9:9000"), newSocket(t, "127.51.1.1:7701")
	s.Put("servers", "i-b9", map[string]any{
		"service": "bindery", "address": "127.51.2.9:9000", "zone": "zone", "version": "v1", "slots": 2,
		"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1_700_000_000_000,
	})
	s.Put("config", "main", configuration(3))
	startDaemon(t, 1, address)
	waitUntilReady(g, "127.51.0.1")

	random := rand.New(rand.NewPCG(1, 2))
	opening := newPacket(random, flagSYN, 0, 0)
	caller.send(opening)
	opened := upstream.receive(testTimeout)
	g.Expect(opened).NotTo(BeNil())
	token := binary.BigEndian.Uint32(opened[platform.EnvelopeBytes+tokenOffset:])
	binary.BigEndian.PutUint32(opening[tokenOffset:], token)
	g.Expect(hex.EncodeToString(opened[platform.EnvelopeBytes:])).To(Equal(hex.EncodeToString(opening)))
	for range 60 {
		raw := newPacket(random, byte(random.Uint32())&^flagSYN, token, random.IntN(platform.MaxPayloadBytes+1))
		caller.send(raw)
		received := upstream.receive(testTimeout)
		g.Expect(received).NotTo(BeNil())
		g.Expect(hex.EncodeToString(received[platform.EnvelopeBytes:])).To(Equal(hex.EncodeToString(raw)))
	}
	g.Expect(caller.receive(quietTime)).To(BeNil())

	s.Delete("servers", "i-b9")
	var reset []byte
	g.Eventually(func() []byte {
		caller.send(newPacket(random, flagACK, token, 100))
		reset = caller.receive(quietTime)
		return reset
	}, 2*testTimeout).ShouldNot(BeNil())
	for ; reset != nil; reset = caller.receive(quietTime) {
		g.Expect(reset).To(HaveLen(platform.HeaderBytes))
		g.Expect(reset[flagsOffset]).To(BeEquivalentTo(flagRST))
	}
}
