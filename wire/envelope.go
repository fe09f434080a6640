package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"hash"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrForged reports an envelope whose MAC does not match its body under the cluster key.
var ErrForged = errors.New("envelope has a wrong MAC")

// MACBytes is the length of the truncated HMAC-SHA256 value in an envelope.
const MACBytes = 16

// EnvelopeOverhead is the largest number of bytes that an envelope adds to a body of less
// than 16 KiB: two field tags, two lengths and the MAC.
const EnvelopeOverhead = 1 + 2 + 1 + 1 + MACBytes

// Field numbers of Envelope.
const (
	fieldEnvelopeBody = 1
	fieldEnvelopeMAC  = 2
)

// Sealer seals and opens envelopes with one cluster key. Its methods may be called
// concurrently.
type Sealer struct {
	macPool sync.Pool
}

// macState is a reusable HMAC instance with a buffer for its result.
type macState struct {
	mac hash.Hash
	sum [sha256.Size]byte
}

// NewSealer returns a Sealer with a copy of key.
func NewSealer(key []byte) *Sealer {
	owned := append([]byte(nil), key...)
	return &Sealer{macPool: sync.Pool{New: func() any {
		return &macState{mac: hmac.New(sha256.New, owned)}
	}}}
}

// Seal appends a serialized Envelope with body and its MAC to dst. It does not allocate when dst
// has capacity for body and EnvelopeOverhead more bytes.
func (s *Sealer) Seal(dst, body []byte) []byte {
	st := s.macPool.Get().(*macState)
	dst = protowire.AppendTag(dst, fieldEnvelopeBody, protowire.BytesType)
	dst = protowire.AppendBytes(dst, body)
	dst = protowire.AppendTag(dst, fieldEnvelopeMAC, protowire.BytesType)
	dst = protowire.AppendBytes(dst, st.compute(body))
	s.macPool.Put(st)
	return dst
}

// Open verifies a serialized Envelope and returns its body, which is a slice of raw. It returns
// ErrMalformed or ErrForged.
func (s *Sealer) Open(raw []byte) ([]byte, error) {
	body, mac, err := splitEnvelope(raw)
	if err != nil {
		return nil, err
	}
	st := s.macPool.Get().(*macState)
	valid := hmac.Equal(mac, st.compute(body))
	s.macPool.Put(st)
	if !valid {
		return nil, ErrForged
	}
	return body, nil
}

func (st *macState) compute(body []byte) []byte {
	st.mac.Reset()
	_, _ = st.mac.Write(body) // A hash never returns an error.
	return st.mac.Sum(st.sum[:0])[:MACBytes]
}

func splitEnvelope(raw []byte) (body, mac []byte, err error) {
	for b := raw; len(b) > 0; {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, nil, ErrMalformed
		}
		b = b[n:]
		if typ != protowire.BytesType {
			if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
				return nil, nil, ErrMalformed
			}
			b = b[n:]
			continue
		}
		v, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return nil, nil, ErrMalformed
		}
		b = b[n:]
		switch num {
		case fieldEnvelopeBody:
			body = v
		case fieldEnvelopeMAC:
			mac = v
		}
	}
	if len(body) == 0 || len(mac) != MACBytes {
		return nil, nil, ErrMalformed
	}
	return body, mac, nil
}
