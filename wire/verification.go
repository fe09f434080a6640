package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// verificationLabel derives the key of the tags from the cluster key, so that a tag, which
// upstreams see, is never a MAC under the key of the envelopes between daemons.
const verificationLabel = "fulmarfield verification tag v1"

// Verifier makes and checks the verification tags of the packets between daemons and upstreams.
// A tag is a MAC of flow key and upstream number under a key of the daemons. So every daemon
// checks it alike without a record, also after a hand-over. Its methods may be called
// concurrently.
type Verifier struct {
	states sync.Pool
}

// tagState is one reusable computation with room for its input.
type tagState struct {
	macState
	input [16]byte
}

// NewVerifier returns a Verifier whose key is derived from the cluster key.
func NewVerifier(clusterKey []byte) *Verifier {
	derive := hmac.New(sha256.New, clusterKey)
	_, _ = derive.Write([]byte(verificationLabel)) // A hash never returns an error.
	key := derive.Sum(nil)
	return &Verifier{states: sync.Pool{New: func() any {
		return &tagState{macState: macState{mac: hmac.New(sha256.New, key)}}
	}}}
}

// Tag returns the tag of the packets between an upstream and the daemons on one flow. It does
// not allocate.
func (v *Verifier) Tag(k FlowKey, upstream uint32) uint64 {
	st := v.states.Get().(*tagState)
	b := st.input[:0]
	b = binary.BigEndian.AppendUint32(b, k.CallerIP)
	b = binary.BigEndian.AppendUint16(b, k.CallerPort)
	b = binary.BigEndian.AppendUint32(b, k.ServiceIP)
	b = binary.BigEndian.AppendUint16(b, k.ServicePort)
	b = binary.BigEndian.AppendUint32(b, upstream)
	tag := binary.BigEndian.Uint64(st.compute(b))
	v.states.Put(st)
	return tag
}

// IsValid reports whether a packet that names an upstream carries the tag of its flow there.
// The time that it takes does not depend on the tag.
func (v *Verifier) IsValid(h Header) bool {
	var want, got [8]byte
	binary.BigEndian.PutUint64(want[:], v.Tag(h.Flow, h.Upstream))
	binary.BigEndian.PutUint64(got[:], h.VerificationTag)
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// AppendVerificationTag appends a tag to a serialized Packet, which replaces an earlier one.
func AppendVerificationTag(raw []byte, tag uint64) []byte {
	raw = protowire.AppendTag(raw, fieldVerificationTag, protowire.Fixed64Type)
	return protowire.AppendFixed64(raw, tag)
}
