package echo

import (
	"strings"
	"time"
)

const (
	// Slots is the number of requests that an upstream runs at the same time.
	Slots = 2
	// queueLength is the number of requests that wait for a slot. Further ones are answered as not run.
	queueLength = 8
	// notRun precedes the request's text in the answer to a request that was not run.
	notRun = "not-run "
)

// job is a request with the packet that it came in.
type job struct {
	flow    *upstreamFlow
	request string
	packet  packet
}

// SetWork sets how long each request takes in its slot. 0, as at the start, means that requests are answered at once
// and need no slot.
func (u *Upstream) SetWork(work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = work
}

// accept answers a request, lets it run or wait, or refuses it as not run.
func (u *Upstream) accept(j job) {
	switch {
	case u.work == 0:
		u.runs[j.request]++
		j.flow.answer = []byte(u.ID + " " + j.request)
	case u.running < Slots:
		u.run(j)
	case len(u.queue) < queueLength:
		u.queue = append(u.queue, j)
	default:
		j.flow.answer = []byte(notRun + j.request)
	}
}

// run runs a request in a slot, and then the next one that waits.
func (u *Upstream) run(j job) {
	u.running++
	u.runs[j.request]++
	time.AfterFunc(u.work, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		j.flow.answer = []byte(u.ID + " " + j.request)
		if !u.isSilent {
			u.send(packet{
				echoedToken: j.packet.echoedToken, src: j.packet.dst, dst: j.packet.src,
				seq: j.flow.seq, ack: j.flow.ack, flags: flagACK, payload: j.flow.answer,
			})
		}
		u.running--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.run(next)
		}
	})
}

// IsNotRun reports whether an answer says that the request was not run.
func IsNotRun(answer, request string) bool {
	rest, found := strings.CutPrefix(answer, notRun)
	return found && rest == request
}
