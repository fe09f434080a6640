package wire_test

import (
	"encoding/binary"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against a replayed datagram that is accepted, and against a late datagram that is refused
// although its sequence number is within the window.
func TestReplayWindow(t *testing.T) {
	g := NewWithT(t)
	w := &wire.ReplayWindow{}
	g.Expect(w.Accept(10, 0)).To(MatchError(wire.ErrReplayed), "0 is not a sequence number")
	g.Expect(w.Accept(10, 1)).To(Succeed())
	g.Expect(w.Accept(10, 1)).To(MatchError(wire.ErrReplayed))
	g.Expect(w.Accept(10, 5000)).To(Succeed())
	g.Expect(w.Accept(10, 5000-wire.ReplayWindowSize)).To(MatchError(wire.ErrReplayed), "older than the window")
	g.Expect(w.Accept(10, 5000-wire.ReplayWindowSize+1)).To(Succeed())
	g.Expect(w.Accept(9, 6000)).To(MatchError(wire.ErrReplayed), "older incarnation")
	g.Expect(w.Accept(11, 1)).To(Succeed(), "newer incarnation")
	g.Expect(w.Accept(10, 7000)).To(MatchError(wire.ErrReplayed), "older incarnation")
	g.Expect(w.Incarnation()).To(Equal(uint64(11)))
}

// Guards against a window that accepts other sequence numbers than a reference model that records
// every number.
func FuzzReplayWindow(f *testing.F) {
	f.Add([]byte{0, 1, 0, 2, 0, 1, 1, 1, 0, 9})
	f.Add([]byte{0, 255, 4, 255, 0, 254, 8, 1, 0, 3, 7, 250})
	f.Fuzz(func(t *testing.T, input []byte) {
		w := &wire.ReplayWindow{}
		incarnation, highest := uint64(0), uint64(0)
		seen := map[uint64]bool{}
		for ; len(input) >= 2; input = input[2:] {
			v := binary.BigEndian.Uint16(input)
			senderIncarnation, sequence := uint64(v>>14), uint64(v&(1<<14-1))
			want := sequence != 0 && senderIncarnation >= incarnation
			if want && senderIncarnation > incarnation {
				incarnation, highest = senderIncarnation, 0
				clear(seen)
			}
			want = want && !seen[sequence] && sequence+wire.ReplayWindowSize > highest
			if got := w.Accept(senderIncarnation, sequence) == nil; got != want {
				t.Fatalf("incarnation %d sequence %d: accepted %v, want %v", senderIncarnation, sequence, got, want)
			}
			if want {
				seen[sequence] = true
				highest = max(highest, sequence)
			}
		}
	})
}
