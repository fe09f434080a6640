package upstream

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// MaxAnswerBytes limits the size of the answer that a request may specify. At 64 KB an answer has
	// about 60 parts.
	MaxAnswerBytes = 64 << 10
	// partBytes is the largest payload of one part of an answer. It leaves room for the header in
	// the datagram.
	partBytes  = 1100
	sizePrefix = 4
)

// ErrWrongAnswer reports an answer that does not belong to the request.
var ErrWrongAnswer = errors.New("answer does not belong to the request")

// RequestPayload returns a request payload that specifies an answer of answerBytes bytes. The size of
// the answer is limited to MaxAnswerBytes and is at least the size of the digest.
func RequestPayload(answerBytes uint32, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, answerBytes), body...)
}

// Answer returns the answer to a request: a SHA-256 digest of flow, request id and payload,
// repeated up to the size that the payload specifies.
func Answer(flow wire.FlowKey, requestID uint64, payload []byte) []byte {
	h := sha256.New()
	for _, v := range []any{flow.CallerIP, flow.CallerPort, flow.ServiceIP, flow.ServicePort, requestID} {
		_ = binary.Write(h, binary.BigEndian, v) // A hash returns no write errors.
	}
	h.Write(payload)
	digest := h.Sum(nil)
	size := len(digest)
	if len(payload) >= sizePrefix {
		size = max(size, min(int(binary.BigEndian.Uint32(payload)), MaxAnswerBytes))
	}
	return bytes.Repeat(digest, size/len(digest)+1)[:size]
}

// VerifyAnswer returns ErrWrongAnswer unless answer is the complete answer to the request.
func VerifyAnswer(flow wire.FlowKey, requestID uint64, payload, answer []byte) error {
	if want := Answer(flow, requestID, payload); !bytes.Equal(want, answer) {
		return fmt.Errorf("%w: flow %s request %d: got %d bytes, want %d", ErrWrongAnswer, flow, requestID, len(answer), len(want))
	}
	return nil
}

// split divides an answer into the payloads of its parts, at least one.
func split(answer []byte) [][]byte {
	var parts [][]byte
	for len(answer) > partBytes {
		parts = append(parts, answer[:partBytes])
		answer = answer[partBytes:]
	}
	return append(parts, answer)
}
