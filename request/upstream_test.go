package request_test

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

type runKey struct {
	flow wire.FlowKey
	name string
}

// fakeUpstream runs every request that it receives, so that a second run is seen. Work above
// its slots shares them, as on a real machine.
type fakeUpstream struct {
	w       *world
	number  uint32
	slots   int
	service time.Duration

	mu      sync.Mutex
	runs    map[runKey]int
	flows   map[wire.FlowKey]bool
	mute    map[wire.FlowKey]bool // flows that the upstream has lost
	current map[runKey]bool
	peak    int // most requests at once
	frozen  bool
	silent  bool
	refuse  func() bool
	report  *pb.LoadReport
	parts   int
	reorder bool
	drop    int // part that is never sent, from 1
	seen    []*pb.Packet
	// numbers holds the transmission numbers that were received, with what repeats the answer.
	numbers map[uint64]func()
}

func (u *fakeUpstream) receive(p *pb.Packet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isRepeated(p) {
		return
	}
	u.seen = append(u.seen, p)
	k := wire.FlowKeyFromProto(p.GetFlow())
	if u.silent || u.mute[k] {
		return
	}
	// As the packet protocol asks: no answer on a flow that was not opened here.
	if k := p.GetKind(); (k == pb.Kind_KIND_KEEPALIVE || k == pb.Kind_KIND_REQUEST) && !u.flows[wire.FlowKeyFromProto(p.GetFlow())] && !p.GetStandalone() {
		u.reply(p, &pb.Packet{Kind: pb.Kind_KIND_RESET, Reason: pb.Reason_REASON_UNKNOWN_FLOW})
		return
	}
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		u.flows[k] = true
		u.reply(p, &pb.Packet{Kind: pb.Kind_KIND_OPENED})
	case pb.Kind_KIND_KEEPALIVE:
		u.reply(p, &pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE_ACK})
	case pb.Kind_KIND_REQUEST:
		u.run(p, runKey{flow: k, name: string(p.GetPayload())})
	}
}

// isRepeated answers a datagram again that was received before, as the receiving end of the
// packet protocol does. A request under a new number runs.
func (u *fakeUpstream) isRepeated(p *pb.Packet) bool {
	n := p.GetTransmission()
	if p.GetKind() != pb.Kind_KIND_REQUEST || n == 0 {
		return false
	}
	again, known := u.numbers[n]
	if u.numbers == nil {
		u.numbers = map[uint64]func(){}
	}
	if !known {
		u.numbers[n] = nil
	}
	if again != nil && !u.silent && !u.mute[wire.FlowKeyFromProto(p.GetFlow())] {
		again()
	}
	return known
}

func (u *fakeUpstream) run(p *pb.Packet, k runKey) {
	if u.refuse != nil && u.refuse() {
		u.numbers[p.GetTransmission()] = func() {
			u.reply(p, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Status: pb.Status_STATUS_NOT_RUN, Reason: pb.Reason_REASON_UPSTREAM_SHED})
		}
		u.reply(p, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Status: pb.Status_STATUS_NOT_RUN, Reason: pb.Reason_REASON_UPSTREAM_SHED})
		return
	}
	u.runs[k]++
	u.current[k] = true
	u.peak = max(u.peak, len(u.current))
	if u.frozen {
		return
	}
	took := u.service
	if over := len(u.current); over > u.slots {
		took = took * time.Duration(over) / time.Duration(u.slots)
	}
	time.AfterFunc(took, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.current, k)
		if !u.silent && !u.mute[k.flow] {
			u.answer(p, k.name)
		}
	})
}

func (u *fakeUpstream) answer(p *pb.Packet, name string) {
	u.numbers[p.GetTransmission()] = func() { u.answer(p, name) }
	parts := max(u.parts, 1)
	for i := range parts {
		n := i
		if u.reorder {
			n = parts - 1 - i
		}
		if n+1 == u.drop {
			continue
		}
		text := []byte("done " + name)
		from, to := n*len(text)/parts, (n+1)*len(text)/parts
		u.reply(p, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Status: pb.Status_STATUS_OK, Part: uint32(n), Parts: uint32(parts),
			Payload: text[from:to], Load: u.report})
	}
}

func (u *fakeUpstream) reply(p, q *pb.Packet) {
	q.Flow, q.RequestId, q.Attempt, q.Service, q.Upstream = p.GetFlow(), p.GetRequestId(), p.GetAttempt(), p.GetService(), u.number
	u.w.later(q, func(q *pb.Packet) {
		h := u.w.holder(u.number)
		h.do(func() { h.HandleUpstream(q) })
	})
}

// set changes the behaviour of the upstream.
func (u *fakeUpstream) set(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

func (u *fakeUpstream) ran(k wire.FlowKey, name string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[runKey{flow: k, name: name}]
}

func (u *fakeUpstream) count(k pb.Kind) (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.seen {
		if p.GetKind() == k {
			n++
		}
	}
	return n
}
