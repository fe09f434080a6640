package wire

import "errors"

// ErrReplayed reports a sequence number that was seen before, is older than the replay window, or
// belongs to an earlier incarnation of the sender.
var ErrReplayed = errors.New("sequence number was replayed or is older than the replay window")

// ReplayWindowSize is the number of most recent sequence numbers that a ReplayWindow tracks.
const ReplayWindowSize = 4096

const wordBits = 64

// ReplayWindow tracks the sequence numbers received from one sender in its latest incarnation. The
// zero value is an empty window. Its methods must not be called concurrently.
type ReplayWindow struct {
	incarnation uint64
	highest     uint64
	seen        [ReplayWindowSize / wordBits]uint64
}

// Accept records a sequence number; 0 is not valid in any incarnation. It returns ErrReplayed when
// the datagram with that number must be dropped.
func (w *ReplayWindow) Accept(incarnation, sequence uint64) error {
	if sequence == 0 || incarnation < w.incarnation {
		return ErrReplayed
	}
	if incarnation > w.incarnation {
		*w = ReplayWindow{incarnation: incarnation}
	}
	if sequence > w.highest {
		w.advance(sequence)
		return nil
	}
	if w.highest-sequence >= ReplayWindowSize {
		return ErrReplayed
	}
	word, bit := bitPosition(sequence)
	if w.seen[word]&bit != 0 {
		return ErrReplayed
	}
	w.seen[word] |= bit
	return nil
}

// Incarnation returns the latest incarnation of the sender, 0 before the first datagram.
func (w *ReplayWindow) Incarnation() uint64 { return w.incarnation }

// advance moves the upper end of the window to sequence. It clears the bits of the skipped numbers,
// which were set for numbers that are now outside the window.
func (w *ReplayWindow) advance(sequence uint64) {
	if sequence-w.highest >= ReplayWindowSize {
		clear(w.seen[:])
	} else {
		for s := w.highest + 1; s < sequence; s++ {
			word, bit := bitPosition(s)
			w.seen[word] &^= bit
		}
	}
	w.highest = sequence
	word, bit := bitPosition(sequence)
	w.seen[word] |= bit
}

func bitPosition(sequence uint64) (word int, bit uint64) {
	index := sequence % ReplayWindowSize
	return int(index / wordBits), 1 << (index % wordBits)
}
