package inband

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
)

// flow is what a daemon has seen of a flow.
type flow struct {
	upstream *catalog.Upstream
	lastSeen time.Time
	// isOpen is set by the caller's first acknowledgement.
	isOpen bool
	// acknowledged is the caller's last acknowledgement: it rises with what it receives.
	acknowledged uint32
	// oldest is the first byte of the data that the caller sent since, next the byte after
	// its last. copies counts retransmissions of the byte at oldest.
	oldest, next uint32
	copies       int
	// isBusy is set while a request of the caller's waits for an answer.
	isBusy bool
	// sentAt is when the byte at oldest was first seen.
	sentAt time.Time
}

// idleAfter is how long a flow must be quiet for nothing to be under way on it: its caller would
// have repeated data that was not answered after 200 ms.
const idleAfter = 300 * time.Millisecond

// isIdle reports whether no request is under way on the flow.
func (f *flow) isIdle(now time.Time) bool {
	return f.isOpen && f.copies == 0 && now.Sub(f.lastSeen) > idleAfter
}

// openedAfter returns the time since the opening packet if the flow opens with the packet that came
// now, zero if it was open before or its opening packet was not seen.
func (f *flow) openedAfter(now time.Time) time.Duration {
	if f.isOpen || f.lastSeen.IsZero() {
		return 0
	}
	return now.Sub(f.lastSeen)
}

// event is what a packet shows of its flow's upstream.
type event uint8

const (
	eventNone event = iota
	eventProgress
	eventRetransmission
)

// observe takes a packet of an open flow into account.
func (f *flow) observe(p platform.Packet, now time.Time) event {
	f.lastSeen = now
	seen := eventNone
	if !f.isOpen || int32(p.Acknowledged-f.acknowledged) > 0 {
		f.isOpen, f.acknowledged, f.copies = true, p.Acknowledged, 0
		f.oldest = p.Sequence
		seen = eventProgress
		f.isBusy = false
	}
	f.isBusy = f.isBusy || p.PayloadBytes > 0
	if p.PayloadBytes == 0 {
		return seen
	}
	end := p.Sequence + uint32(p.PayloadBytes)
	if f.next == 0 || int32(end-f.next) > 0 {
		if seen == eventProgress || f.next == 0 || p.Sequence == f.oldest {
			f.oldest, f.sentAt = p.Sequence, now
		}
		f.next = end
		return seen
	}
	if seen == eventProgress {
		return seen
	}
	if p.Sequence == f.oldest {
		f.copies++
	} else {
		f.oldest, f.copies, f.sentAt = p.Sequence, 1, now
	}
	return eventRetransmission
}
