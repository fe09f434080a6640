package request

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// minRetransmitInterval is well above the round-trip time between availability zones.
	minRetransmitInterval = 60 * time.Millisecond
	// maxRetransmitInterval bounds the exponential back-off of the retransmissions. A slow upstream
	// then receives the packet of a run at most about once a second.
	maxRetransmitInterval = time.Second
	// serviceTimesBeforeRetransmit is the number of service times before the first retransmission,
	// so that a run of ordinary length is not retransmitted.
	serviceTimesBeforeRetransmit = 3
)

// transmit sends the packet of a run with a new transmission number and schedules its
// retransmission. Without retransmissions, a request whose packet or answer was lost would occupy
// its slot until the deadline: while a sixth of all answers is still sent to a dead daemon, every
// slot of a service would be occupied after about ten requests.
func (a *admission) transmit(addr netip.AddrPort, r *record, now time.Time, p *pb.Packet) {
	p.Transmission = a.engine.transmissions.Add(1)
	r.runPacket, r.retransmissions = p, 0
	r.retransmitInterval = max(minRetransmitInterval, serviceTimesBeforeRetransmit*a.tracker.ServiceTime(now))
	r.retransmitAt = now.Add(r.retransmitInterval)
	a.sendToUpstream(addr, p)
}

// retransmit sends the packets of runs again whose answers are overdue. The upstream runs a request
// once for each transmission number and otherwise only repeats the answer, so this is safe for
// requests that are not idempotent.
func (a *admission) retransmit(t target, now time.Time) {
	for _, r := range a.occupying {
		if r.state != running || r.runPacket == nil || now.Before(r.retransmitAt) || !now.Before(r.deadline) {
			continue
		}
		r.retransmissions++
		if w := a.watches[r.key.flow]; w != nil && r.retransmissions >= probeAfterRetransmissions && !r.fromRedirect {
			w.probeEarly = true
		}
		r.retransmitInterval = min(2*r.retransmitInterval, maxRetransmitInterval)
		r.retransmitAt = now.Add(r.retransmitInterval)
		again := proto.CloneOf(r.runPacket)
		again.DeadlineMs = milliseconds(r.deadline.Sub(now))
		a.counters().Count("request.repeated")
		a.sendToUpstream(t.address, again)
	}
}
