package request

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// minRepeat is well above a round trip between availability zones.
	minRepeat = 60 * time.Millisecond
	// maxRepeat keeps a slow upstream from being asked more than once a second.
	maxRepeat = time.Second
	// serviceTimesBeforeRepeat keeps an ordinary run from being asked for again.
	serviceTimesBeforeRepeat = 3
)

// transmit sends the packet of a run under a number of its own. A lost packet or answer would
// otherwise hold the slot until the deadline: while a dead daemon still gets a sixth of all
// answers, every slot of a service is held after some ten requests.
func (a *admission) transmit(addr netip.AddrPort, r *record, now time.Time, p *pb.Packet) {
	p.Transmission = a.engine.transmissions.Add(1)
	r.outgoing, r.repeats = p, 0
	r.interval = max(minRepeat, serviceTimesBeforeRepeat*a.tracker.ServiceTime(now))
	r.repeatAt = now.Add(r.interval)
	a.toUpstream(addr, p)
}

// repeat sends the packets again whose answers are overdue. The upstream runs each number once
// and repeats its answer, so that this is safe for requests that may run only once.
func (a *admission) repeat(t target, now time.Time) {
	for _, r := range a.busy {
		if r.state != running || r.outgoing == nil || now.Before(r.repeatAt) || !now.Before(r.deadline) {
			continue
		}
		r.repeats++
		if w := a.watches[r.key.flow]; w != nil && r.repeats >= probeAfterRepeats && !r.spilled {
			w.early = true
		}
		r.interval = min(2*r.interval, maxRepeat)
		r.repeatAt = now.Add(r.interval)
		again := proto.CloneOf(r.outgoing)
		again.DeadlineMs = milliseconds(r.deadline.Sub(now))
		a.counters().Count("request.repeated")
		a.toUpstream(t.address, again)
	}
}
