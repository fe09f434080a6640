package wire

import "errors"

// ErrReplayed reports a sequence that was seen before, is too old to tell, or belongs to an
// earlier incarnation of the sender.
var ErrReplayed = errors.New("sequence was replayed or is too old")

// ReplayWindowSize is the number of latest sequences that a ReplayWindow tells apart.
const ReplayWindowSize = 4096

const wordBits = 64

// ReplayWindow remembers the sequences seen from one sender in its latest incarnation. The
// zero value has seen nothing. It must not be used concurrently.
type ReplayWindow struct {
	incarnation uint64
	highest     uint64
	seen        [ReplayWindowSize / wordBits]uint64
}

// Accept records a sequence, which starts at 1 in each incarnation or later. It returns
// ErrReplayed for one that must not be acted on.
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
	word, bit := position(sequence)
	if w.seen[word]&bit != 0 {
		return ErrReplayed
	}
	w.seen[word] |= bit
	return nil
}

// Incarnation returns the latest incarnation of the sender, 0 before the first datagram.
func (w *ReplayWindow) Incarnation() uint64 { return w.incarnation }

// advance moves the upper end to sequence and forgets what falls out of the window.
func (w *ReplayWindow) advance(sequence uint64) {
	if sequence-w.highest >= ReplayWindowSize {
		clear(w.seen[:])
	} else {
		for s := w.highest + 1; s < sequence; s++ {
			word, bit := position(s)
			w.seen[word] &^= bit
		}
	}
	w.highest = sequence
	word, bit := position(sequence)
	w.seen[word] |= bit
}

func position(sequence uint64) (word int, bit uint64) {
	index := sequence % ReplayWindowSize
	return int(index / wordBits), 1 << (index % wordBits)
}
