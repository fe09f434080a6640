// Package echo provides small stand-ins for callers and upstreams that use the users' packet format
// and echo the balancer's token. Its codec follows the published format and shares no code with
// package platform, so that the two check each other.
package echo

import (
	"encoding/binary"
	"net/netip"
)

const (
	headerBytes = 31
	// envelopeBytes is the size of the instance number that the balancer puts before each packet to an
	// upstream.
	envelopeBytes = 8

	flagSYN = 2
	flagACK = 4
	flagFIN = 32
	flagRST = 64
)

// packet is a header with its payload.
type packet struct {
	echoedToken, seq, ack uint32
	src, dst              netip.AddrPort
	flags                 byte
	payload               []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.payload))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.payload)))
	binary.BigEndian.PutUint32(b[2:], p.echoedToken)
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	copy(b[16:], p.src.Addr().AsSlice())
	binary.BigEndian.PutUint16(b[20:], p.dst.Port())
	copy(b[22:], p.dst.Addr().AsSlice())
	b[26] = p.flags
	return append(b, p.payload...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b)) {
		return packet{}, false
	}
	address := func(port, ip int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		echoedToken: binary.BigEndian.Uint32(b[2:]), seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
		src: address(14, 16), dst: address(20, 22), flags: b[26], payload: append([]byte(nil), b[headerBytes:]...),
	}, true
}
