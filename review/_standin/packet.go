package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Layout of a packet, as in the example of PROTOCOL.md.
const (
	headerBytes   = 31
	envelopeBytes = 8

	flagSYN     = 2
	flagACK     = 4
	flagFIN     = 32
	flagRST     = 64
	flagBOUNCED = 128
)

// sumKey is the key of the sum that only clients and endpoints know.
const sumKey = "review"

type packet struct {
	echo, seq, ack uint32
	src, dst       netip.AddrPort
	flags          byte
	sum            uint32
	data           []byte
}

// encode returns the packet with its keyed sum.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.echo)
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	copy(b[16:], p.src.Addr().AsSlice())
	binary.BigEndian.PutUint16(b[20:], p.dst.Port())
	copy(b[22:], p.dst.Addr().AsSlice())
	b[26] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[27:], keyedSum(b))
	return b
}

// keyedSum covers all fields but echo, sum and BOUNCED.
func keyedSum(b []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b[0:2])
	_, _ = h.Write(b[6:26])
	_, _ = h.Write([]byte{b[26] &^ flagBOUNCED})
	_, _ = h.Write(b[headerBytes:])
	return h.Sum32() | 1 // Never 0, the sum of the system's resets.
}

// decode returns the packet, whether it is well formed, and whether an end of the flow wrote it.
func decode(b []byte) (p packet, wellFormed, genuine bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b)) {
		return packet{}, false, false
	}
	at := func(port, ip int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		echo: binary.BigEndian.Uint32(b[2:]), seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
		src: at(14, 16), dst: at(20, 22), flags: b[26], sum: binary.BigEndian.Uint32(b[27:]),
		data: append([]byte(nil), b[headerBytes:]...),
	}
	return p, true, p.sum == keyedSum(b)
}
