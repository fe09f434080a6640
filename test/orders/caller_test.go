package orders_test

import (
	"time"

	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	workTime      = 30 * time.Millisecond
	requestBytes  = 200
	responseBytes = 600
	openTimeout   = 1400 * time.Millisecond
	// reopenAfter is the time after which a caller whose flow did not open tries again on another one.
	reopenAfter = 40 * time.Millisecond
	// requestTimeout is the deadline of a request.
	requestTimeout = 2 * time.Second
	firstCopyAfter = 200 * time.Millisecond
	lastCopyAfter  = 1600 * time.Millisecond
)

// answerKind is what a caller receives.
type answerKind uint8

const (
	answerAccept answerKind = iota
	answerResponse
	// answerReset is a reset by an upstream, and answerSystemReset one by a daemon.
	answerReset
	answerSystemReset
)

// answer is a packet to a caller.
type answer struct {
	kind    answerKind
	from    *upstream
	process *process
	token   uint32
	// number is the upstream's first sequence number, or the sequence number of the request that is answered.
	number uint32
	// by and reason are the daemon that reset the flow, and its reason.
	by     *daemon
	reason string
	// isForOpening is set on the reset of an opening packet, which an open flow ignores.
	isForOpening bool
}

// callerFlow is a caller's end of a flow. The world's lock protects it.
type callerFlow struct {
	world *world
	key   wire.FlowKey
	// sequence and acknowledged are the numbers of the next packet.
	sequence, acknowledged, token uint32
	isOpen, isClosed, isBusy      bool
	openedAt, lastUsedAt          time.Time
	// upstream and process accepted the flow.
	upstream *upstream
	process  *process
	requests int
	// number is the route, and tries the number of further flows that are opened if this one is not.
	number, tries int
}

func (f *callerFlow) packet() platform.Packet {
	return platform.Packet{Flow: f.key, Token: f.token, Sequence: f.sequence, Acknowledged: f.acknowledged, Acknowledges: true}
}

// open sends opening packets until the flow is accepted.
func (f *callerFlow) open() {
	f.world.flows[f.key] = f
	f.sequence = f.world.random.Uint32()
	for n, at := range []time.Duration{0, firstCopyAfter, 3 * firstCopyAfter} {
		f.world.after(at, func() {
			if !f.isOpen && !f.isClosed {
				f.world.toDaemon(platform.Packet{Flow: f.key, Opens: true, Sequence: f.sequence, Acknowledged: uint32(n)})
			}
		})
	}
	f.world.after(openTimeout, func() {
		if !f.isOpen {
			f.close()
		}
	})
}

func (f *callerFlow) close() {
	if f.isClosed {
		return
	}
	f.isClosed = true
	delete(f.world.flows, f.key)
	if !f.isOpen && f.tries > 0 {
		f.world.after(reopenAfter, func() { f.world.openFlow(f.number, f.tries-1) })
	}
}

// receive handles a packet from an upstream or a reset from a daemon.
func (f *callerFlow) receive(a answer) {
	switch a.kind {
	case answerAccept:
		if f.isOpen {
			return
		}
		f.isOpen, f.token, f.upstream, f.process, f.openedAt = true, a.token, a.from, a.process, time.Now()
		f.sequence, f.acknowledged = f.sequence+1, a.number+1
		f.world.toDaemon(f.packet())
		f.world.after(f.world.thinkTime(), f.request)
	case answerReset:
		if a.from == f.upstream || !f.isOpen {
			f.close()
		}
	case answerSystemReset:
		if a.isForOpening && f.isOpen {
			return
		}
		f.world.judge.checkReset(f, a)
		f.close()
	case answerResponse:
		if !f.isBusy || a.number != f.sequence || a.process != f.process {
			return
		}
		f.isBusy = false
		f.sequence, f.acknowledged, f.lastUsedAt = f.sequence+requestBytes, f.acknowledged+responseBytes, time.Now()
		f.world.judge.answered++
		f.world.toDaemon(f.packet())
		if f.requests--; f.requests > 0 {
			f.world.after(f.world.thinkTime(), f.request)
			return
		}
		p := f.packet()
		p.Finishes = true
		f.world.toDaemon(p)
		f.close()
	}
}

// request sends a request until it is answered.
func (f *callerFlow) request() {
	if f.isClosed {
		return
	}
	f.isBusy, f.lastUsedAt = true, time.Now()
	f.world.judge.sent++
	sequence := f.sequence
	f.world.after(requestTimeout, func() {
		if f.isBusy && f.sequence == sequence {
			f.close()
		}
	})
	f.transmit(sequence, firstCopyAfter)
}

func (f *callerFlow) transmit(sequence uint32, again time.Duration) {
	if f.isClosed || !f.isBusy || f.sequence != sequence {
		return
	}
	p := f.packet()
	p.PayloadBytes = requestBytes
	f.world.toDaemon(p)
	f.world.after(again, func() { f.transmit(sequence, min(2*again, lastCopyAfter)) })
}
