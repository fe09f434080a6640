package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// verificationKeyLabel is the label with which the key of verification tags is derived from the
// cluster key. With a separate key, a tag, which upstreams see, is never a MAC under the key of the
// envelopes between daemons.
const verificationKeyLabel = "fulmarfield verification tag v1"

// Verifier computes and checks the verification tags of the packets between daemons and upstreams.
// A tag is a MAC of the flow key and the upstream number under a key that all daemons derive from
// the cluster key. Every daemon can therefore check a tag without a stored record, also after a
// hand-over. The methods of Verifier may be called concurrently.
type Verifier struct {
	macPool sync.Pool
}

// tagState is a reusable HMAC instance with a buffer for its input.
type tagState struct {
	macState
	input [16]byte
}

// NewVerifier returns a Verifier whose key is derived from the cluster key.
func NewVerifier(clusterKey []byte) *Verifier {
	derive := hmac.New(sha256.New, clusterKey)
	_, _ = derive.Write([]byte(verificationKeyLabel)) // A hash never returns an error.
	key := derive.Sum(nil)
	return &Verifier{macPool: sync.Pool{New: func() any {
		return &tagState{macState: macState{mac: hmac.New(sha256.New, key)}}
	}}}
}

// Tag returns the tag that the packets of a flow between the daemons and an upstream carry. It does
// not allocate.
func (v *Verifier) Tag(k FlowKey, upstream uint32) uint64 {
	st := v.macPool.Get().(*tagState)
	b := st.input[:0]
	b = binary.BigEndian.AppendUint32(b, k.CallerIP)
	b = binary.BigEndian.AppendUint16(b, k.CallerPort)
	b = binary.BigEndian.AppendUint32(b, k.ServiceIP)
	b = binary.BigEndian.AppendUint16(b, k.ServicePort)
	b = binary.BigEndian.AppendUint32(b, upstream)
	tag := binary.BigEndian.Uint64(st.compute(b))
	v.macPool.Put(st)
	return tag
}

// IsValid reports whether a packet carries the tag of its flow and upstream. The comparison takes
// constant time.
func (v *Verifier) IsValid(h Header) bool {
	var want, got [8]byte
	binary.BigEndian.PutUint64(want[:], v.Tag(h.Flow, h.Upstream))
	binary.BigEndian.PutUint64(got[:], h.VerificationTag)
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// AppendVerificationTag appends a tag to a serialized Packet. It overrides an earlier tag.
func AppendVerificationTag(raw []byte, tag uint64) []byte {
	raw = protowire.AppendTag(raw, fieldVerificationTag, protowire.Fixed64Type)
	return protowire.AppendFixed64(raw, tag)
}
