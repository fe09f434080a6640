package inband

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

// flow is the state that one daemon has derived from the caller's packets of a flow.
type flow struct {
	key      wire.FlowKey
	upstream *catalog.Upstream
	lastSeen time.Time
	// isOpen is set by the caller's first acknowledgement that this daemon received, and openSince is
	// the time of that packet. The flow may have been opened earlier, through another daemon.
	isOpen    bool
	openSince time.Time
	// isAnswered is set once the caller has acknowledged something that the upstream sent after a packet which this
	// daemon had forwarded, so that packets are known to get through in both directions.
	isAnswered bool
	// acknowledged is the caller's last acknowledgement. It rises as the caller receives data.
	acknowledged uint32
	// dataStart is the sequence number of the first byte that the caller sent after that
	// acknowledgement, and dataEnd the number after the last byte that it sent.
	dataStart, dataEnd uint32
	// retransmissions counts the retransmissions of the byte at dataStart.
	retransmissions int
	// isBusy is set while a request of the caller waits for a response.
	isBusy bool
	// sentAt is when this daemon first received the byte at dataStart, and resentAt when it last did. Before the first data
	// sentAt is when it forwarded the opening packet, the zero time if it forwarded a copy.
	sentAt, resentAt time.Time
	// requestedAt is when the present request began. It is the zero time if none is in progress, or
	// if the response time of the present one is not measured.
	requestedAt time.Time
	// releasedAt is when the flow was placed if its opening packet was held, otherwise the zero time.
	releasedAt time.Time
	cost       requestCost
	// isFinished is set when the caller has closed or reset the flow. Such a flow is no load.
	isFinished bool
}

// idleAfter is how long a caller must have sent nothing for its flow to count as idle. It is longer
// than the 200 ms after which the caller retransmits data without a response.
const idleAfter = 300 * time.Millisecond

// finishedRetention is how long a finished flow is kept, so that its last acknowledgements, which may
// arrive after the packet that closed it, are not taken for packets of an open flow.
const finishedRetention = 2 * time.Second

// isIdle reports whether the flow is open and no request is in progress on it.
func (f *flow) isIdle(now time.Time) bool { return !f.isBusy && f.isQuiet(now) }

// isQuiet reports whether the flow is open and its caller has sent nothing lately. A request may be in
// progress on it if the upstream has acknowledged the request.
func (f *flow) isQuiet(now time.Time) bool {
	return f.isOpen && !f.isFinished && f.retransmissions == 0 && now.Sub(f.lastSeen) > idleAfter
}

// openLatency returns the time since the opening packet if the flow is not open yet, so that the packet
// received now opens it. It returns zero if the flow is open already or if this daemon did not receive
// the opening packet.
func (f *flow) openLatency(now time.Time) time.Duration {
	if f.isOpen || f.lastSeen.IsZero() {
		return 0
	}
	return now.Sub(f.lastSeen)
}

// openFor returns for how long this daemon has known the flow to be open, 0 if it is not open.
func (f *flow) openFor(now time.Time) time.Duration {
	if f == nil || !f.isOpen {
		return 0
	}
	return now.Sub(f.openSince)
}

// event is the evidence of the upstream's health that a packet of a flow contains.
type event uint8

const (
	eventNone event = iota
	eventProgress
	eventRetransmission
)

// observe updates the flow with a packet and returns the evidence of the upstream's health that the
// packet contains.
func (f *flow) observe(p platform.Packet, now time.Time) event {
	isNew := f.lastSeen.IsZero()
	wasPlacedHere := !f.isOpen && !isNew
	f.lastSeen = now
	observed := eventNone
	if !f.isOpen || int32(p.Acknowledged-f.acknowledged) > 0 {
		f.acknowledge(p, wasPlacedHere, now)
		if !isNew { // The caller may have received long ago what the first packet of a flow that moved here acknowledges.
			observed = eventProgress
		}
	}
	f.isBusy = f.isBusy || p.PayloadBytes > 0
	if p.PayloadBytes == 0 {
		return observed
	}
	end := p.Sequence + uint32(p.PayloadBytes)
	if f.dataEnd == 0 || int32(end-f.dataEnd) > 0 {
		if observed == eventProgress || f.dataEnd == 0 || p.Sequence == f.dataStart {
			f.dataStart, f.sentAt, f.resentAt = p.Sequence, now, now
		}
		f.dataEnd = end
		return observed
	}
	if observed == eventProgress {
		return observed
	}
	if p.Sequence != f.dataStart {
		f.dataStart, f.retransmissions, f.sentAt, f.resentAt = p.Sequence, 1, now, now
		return eventRetransmission
	}
	sincePrevious := now.Sub(f.resentAt)
	f.resentAt = now
	if sincePrevious < minCopyInterval {
		return eventNone
	}
	f.retransmissions++
	return eventRetransmission
}

// acknowledge updates the flow with a packet that opens it or shows that the caller has received data. wasPlacedHere is
// set if this daemon forwarded the opening packet.
func (f *flow) acknowledge(p platform.Packet, wasPlacedHere bool, now time.Time) {
	f.isAnswered = f.isAnswered || wasPlacedHere || f.isBusy
	if !f.isOpen {
		f.openSince = now
	}
	f.isOpen, f.acknowledged, f.retransmissions = true, p.Acknowledged, 0
	f.dataStart, f.isBusy = p.Sequence, false
}

// minCopyInterval is the shortest time between two copies of the same data as its caller sends them: 200 ms,
// less variations of the network. Copies that are received sooner after one another waited together on this
// VM, so that the upstream had no time to respond to the earlier one.
const minCopyInterval = 150 * time.Millisecond

// wasReleasedWithin reports whether the opening packet of the flow was held and forwarded no longer than d ago. The
// upstream may not have had time to respond, so that a retransmission shows nothing.
func (f *flow) wasReleasedWithin(d time.Duration, now time.Time) bool {
	return !f.releasedAt.IsZero() && now.Sub(f.releasedAt) < d
}
