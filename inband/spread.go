package inband

import (
	"math"
	"time"

	"github.com/fulmarfield/fulmarfield/platform"
)

const (
	// spreadHalfLife is the time in which the weight of a packet in the share of missed packets halves.
	spreadHalfLife = 2 * time.Second
	// maxMissedShare is the share of packets that show missed ones up to which the packets of a flow count as coming to
	// one daemon. Among two daemons that each get every second packet it is about a half.
	maxMissedShare = 0.2
	// minSpreadPackets is the smallest weight of packets that decides.
	minSpreadPackets = 10
)

// spread finds out whether routers send the packets of a flow to different daemons. Then this daemon does not see when
// most requests end, so that the requests in progress and the response times that it knows show no load. Lost packets
// are no evidence, since callers retransmit data, and no data follows before the response.
type spread struct {
	packets, missed float64
	at              time.Time
}

// record adds a packet of an open flow before the flow is updated with it.
func (s *spread) record(f *flow, p platform.Packet, now time.Time) {
	if !s.at.IsZero() {
		weight := math.Exp2(-now.Sub(s.at).Seconds() / spreadHalfLife.Seconds())
		s.packets, s.missed = s.packets*weight, s.missed*weight
	}
	s.at = now
	s.packets++
	if f.hasMissed(p) {
		s.missed++
	}
}

// isSpread reports whether the packets of flows come to different daemons.
func (s *spread) isSpread() bool {
	return s.packets >= minSpreadPackets && s.missed > maxMissedShare*s.packets
}

// hasMissed reports whether a packet shows that the caller has sent an opening packet or data which this daemon has
// not received.
func (f *flow) hasMissed(p platform.Packet) bool {
	expected := f.dataEnd
	if expected == 0 {
		expected = f.dataStart
	}
	if expected == 0 {
		return f.lastSeen.IsZero()
	}
	return int32(p.Sequence-expected) > 0
}
