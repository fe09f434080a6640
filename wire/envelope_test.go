package wire_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

var clusterKey = []byte("cluster key")

// Guards against an envelope that does not decode as the declared protobuf message, and against a
// datagram that is accepted although a bit was flipped or another key was used.
func TestEnvelope(t *testing.T) {
	g := NewWithT(t)
	sealer := wire.NewSealer(clusterKey)
	raw := sealer.Seal(nil, []byte("body"))
	g.Expect(len(raw)).To(BeNumerically("<=", len("body")+wire.EnvelopeOverhead))
	e := &pb.Envelope{}
	g.Expect(proto.Unmarshal(raw, e)).To(Succeed())
	g.Expect(e.GetBody()).To(Equal([]byte("body")))
	g.Expect(e.GetMac()).To(HaveLen(wire.MACBytes))
	g.Expect(sealer.Open(raw)).To(Equal([]byte("body")))

	_, err := wire.NewSealer([]byte("another key")).Open(raw)
	g.Expect(err).To(MatchError(wire.ErrForged))
	for i := range raw {
		changed := bytes.Clone(raw)
		changed[i] ^= 1
		_, err := sealer.Open(changed)
		g.Expect(err).To(Or(MatchError(wire.ErrForged), MatchError(wire.ErrMalformed)), "byte %d", i)
	}
	_, err = sealer.Open(raw[:len(raw)-1])
	g.Expect(err).To(MatchError(wire.ErrMalformed))
	short, err := proto.Marshal(&pb.Envelope{Body: []byte("body"), Mac: e.GetMac()[:8]})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = sealer.Open(short)
	g.Expect(err).To(MatchError(wire.ErrMalformed), "a shorter MAC must not be accepted")
}

// Guards against an allocation for each forwarded packet.
func TestEnvelopeDoesNotAllocate(t *testing.T) {
	if raceEnabled {
		t.Skip("sync.Pool drops items at random under the race detector")
	}
	g := NewWithT(t)
	sealer := wire.NewSealer(clusterKey)
	body, raw := make([]byte, 1400), make([]byte, 0, 2048)
	g.Expect(testing.AllocsPerRun(200, func() {
		if _, err := sealer.Open(sealer.Seal(raw, body)); err != nil {
			t.Fatal(err)
		}
	})).To(BeZero())
}

// Guards against a panic on any input, and against an accepted envelope whose body differs
// from the body that protobuf decodes.
func FuzzSealerOpen(f *testing.F) {
	sealer := wire.NewSealer(clusterKey)
	f.Add([]byte{})
	f.Add(sealer.Seal(nil, []byte("body")))
	f.Add(append(sealer.Seal(nil, []byte("first")), sealer.Seal(nil, []byte("second"))...))
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := sealer.Open(raw)
		if err != nil {
			return
		}
		e := &pb.Envelope{}
		if proto.Unmarshal(raw, e) != nil || !bytes.Equal(e.GetBody(), body) {
			t.Fatalf("opened %x, protobuf decodes %v", body, e)
		}
	})
}

// Guards against a body that changes when it is sealed and opened again.
func FuzzSealerSeal(f *testing.F) {
	f.Add([]byte("key"), []byte("body"))
	f.Fuzz(func(t *testing.T, key, body []byte) {
		sealer := wire.NewSealer(key)
		got, err := sealer.Open(sealer.Seal([]byte{}, body))
		if len(body) == 0 {
			if err == nil {
				t.Fatal("an empty body was accepted")
			}
			return
		}
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("opened %x, %v", got, err)
		}
	})
}
