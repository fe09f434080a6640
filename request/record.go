package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// requestKey identifies a request. Request IDs are unique on a flow.
type requestKey struct {
	flow wire.FlowKey
	id   uint64
}

// state is the state of a request record.
type state int

const (
	// queued means that the request was admitted and not sent to the upstream.
	queued state = iota + 1
	// running means that this daemon sent the request to the upstream.
	running
	// remote means that a former holder of the admission sent the request and may finish it.
	remote
	// redirected means that the request was forwarded to the admission of another upstream and
	// does not run at this one.
	redirected
	// finished means that the final status is recorded.
	finished
)

// record is the state of a request, which the guard keeps.
type record struct {
	key        requestKey
	state      state
	idempotent bool
	// fromRedirect marks a request that another upstream's admission redirected to this one. Its
	// answers carry no guard token, since the caller's flow belongs to the other admission.
	fromRedirect bool
	// mayHaveRun marks a request that a former holder may have sent to the upstream, or that ran
	// before and whose recorded answer was evicted. Such a request never ends as not run.
	mayHaveRun bool
	// packet is the caller's packet until the request is finished.
	packet *pb.Packet
	// attempt is the number of the caller's transmission that was admitted.
	attempt uint32
	// runID is sent to the upstream as the attempt of the current run. The upstream returns it in
	// its answer.
	runID uint32
	// runs counts the runs that this admission sent to the upstream.
	runs int

	recordedAt time.Time
	deadline   time.Time
	sentAt     time.Time
	// runPacket is the packet of the current run. It is retransmitted at retransmitAt.
	runPacket          *pb.Packet
	retransmitAt       time.Time
	retransmitInterval time.Duration
	retransmissions    int
	// slotReassigned is true while another request may use the slot, since the flow seems to be
	// half-open.
	slotReassigned bool

	// occupiesSlot is true while the request occupies a slot. An abandoned request occupies its
	// slot until slotFreeAt.
	occupiesSlot bool
	slotFreeAt   time.Time

	// redirectPacket is the packet that was sent to the other admission, in state redirected. It
	// is nil in an imported record.
	redirectPacket *pb.Packet

	status pb.Status
	reason pb.Reason
	parts  answerParts
	// answer holds the parts of the complete answer until it is evicted.
	answer []*pb.Packet
	// endedAt is the time at which the request finished or was redirected.
	endedAt time.Time
}

// answerParts reassembles an answer from its parts.
type answerParts struct {
	attempt uint32
	parts   []*pb.Packet
	missing int
}

// maxParts bounds the memory of one answer to about 1.4 MB.
const maxParts = 1024

// add stores a part and reports whether the answer is complete. A part of another run than the
// stored parts, or of an answer with another number of parts, replaces them.
func (g *answerParts) add(p *pb.Packet) (complete bool) {
	n := int(max(p.GetParts(), 1))
	if n > maxParts || int(p.GetPart()) >= n {
		return false
	}
	if len(g.parts) != n || g.attempt != p.GetAttempt() {
		*g = answerParts{attempt: p.GetAttempt(), parts: make([]*pb.Packet, n), missing: n}
	}
	if g.parts[p.GetPart()] == nil {
		g.parts[p.GetPart()] = p
		g.missing--
	}
	return g.missing == 0
}

// isPartial reports whether some but not all parts have arrived.
func (g *answerParts) isPartial() bool { return len(g.parts) > 0 && g.missing > 0 }
