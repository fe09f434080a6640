package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// requestKey identifies a request; ids are unique on a flow.
type requestKey struct {
	flow wire.FlowKey
	id   uint64
}

// state is the state of a request record.
type state int

const (
	// queued: admitted and not sent.
	queued state = iota + 1
	// running: sent to the upstream from here.
	running
	// remote: sent by a former holder of the admission, which may finish it.
	remote
	// moved: handed to the admission of another upstream without being sent.
	moved
	// finished: the final status is recorded.
	finished
)

// record is what the guard keeps of a request.
type record struct {
	key        requestKey
	state      state
	idempotent bool
	// spilled marks a request handed on by another upstream's admission. Its answers carry
	// no guard token, since the caller's flow belongs to the other admission.
	spilled bool
	// mayHaveRun marks a request that a former holder may have sent, or that ran here and
	// whose answer is no longer held. It is never refused as not run.
	mayHaveRun bool
	// packet is the caller's packet until the request is finished.
	packet *pb.Packet
	// attempt is the caller's transmission that was admitted.
	attempt uint32
	// run identifies the current run to the upstream, which echoes it as the attempt.
	run  uint32
	runs int

	since    time.Time // recorded
	deadline time.Time
	sent     time.Time
	// outgoing is the packet of the current run; it is repeated at repeatAt.
	outgoing *pb.Packet
	repeatAt time.Time
	interval time.Duration
	repeats  int
	// lent is true while another request may use the slot, since the flow looks dead.
	lent bool

	// slot is true while the request occupies a slot, also after it was given up, until
	// freeAt.
	slot   bool
	freeAt time.Time

	// forward is the packet that was handed on, for state moved.
	forward *pb.Packet

	status pb.Status
	reason pb.Reason
	parts  gather
	answer []*pb.Packet
	ended  time.Time
}

// gather collects the parts of an answer.
type gather struct {
	attempt uint32
	parts   []*pb.Packet
	missing int
}

// maxParts bounds the memory of one answer to about 1.4 MB.
const maxParts = 1024

// add keeps a part and reports whether the answer is whole. A part of another run than the
// ones before starts again.
func (g *gather) add(p *pb.Packet) (whole bool) {
	n := int(max(p.GetParts(), 1))
	if n > maxParts || int(p.GetPart()) >= n {
		return false
	}
	if len(g.parts) != n || g.attempt != p.GetAttempt() {
		*g = gather{attempt: p.GetAttempt(), parts: make([]*pb.Packet, n), missing: n}
	}
	if g.parts[p.GetPart()] == nil {
		g.parts[p.GetPart()] = p
		g.missing--
	}
	return g.missing == 0
}

// isPartial reports whether some parts have arrived.
func (g *gather) isPartial() bool { return len(g.parts) > 0 && g.missing > 0 }
