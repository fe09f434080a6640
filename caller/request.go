package caller

import (
	"context"
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// firstRetransmission is many round trips (about 8 ms with a service time) so that a
	// request that only waits in a queue is rarely sent twice.
	firstRetransmission = 200 * time.Millisecond
	// maxRetransmission bounds the wait after a takeover, which takes about 2.5 s.
	maxRetransmission = 2 * time.Second
	// answerGrace covers the way of the answer that the balancer gives at the deadline.
	answerGrace = 250 * time.Millisecond
	// defaultDeadline bounds a request without a deadline of its own.
	defaultDeadline = 30 * time.Second
	// maxParts bounds the memory of one answer to about 1.4 MB.
	maxParts = 1024
)

// Request is one request of a flow.
type Request struct {
	Payload    []byte
	Idempotent bool
	// Deadline is the time from now until the answer is useless; 0 means 30 s.
	Deadline time.Duration
}

// Answer is the final answer to a request.
type Answer struct {
	Status  pb.Status
	Reason  pb.Reason
	Payload []byte
	// Upstream is the number of the upstream that answered, 0 if none did.
	Upstream uint32
	// Attempts is the number of transmissions.
	Attempts uint32
	// RequestID is the id of the request on its flow, 0 if it was never given one.
	RequestID uint64
}

// pending is a request that waits for its answer.
type pending struct {
	answer     chan Answer
	idempotent bool
	// renewed wakes an idempotent request when the guard token has changed.
	renewed chan struct{}
	// restamped is true when transmissions carried different guard tokens. A refusal by one
	// holder then says nothing of the other, for example when a paused one wakes.
	restamped bool
	gather    gather
}

// Request sends a request and retransmits it until it is answered or its deadline passes. It
// returns an answer with STATUS_OUTCOME_UNKNOWN and REASON_ANSWER_LOST after the deadline. The
// error is a BrokenError or ErrClosed when the flow ended, ErrTooLarge, or that of ctx, which
// cancels the request; the answer beside it has STATUS_NOT_RUN only if nothing was sent.
func (f *Flow) Request(ctx context.Context, r Request) (Answer, error) {
	if r.Deadline <= 0 {
		r.Deadline = defaultDeadline
	}
	if err := f.err(); err != nil {
		return Answer{Status: pb.Status_STATUS_NOT_RUN, Reason: pb.Reason_REASON_UNKNOWN_FLOW}, err
	}
	p, waiting := f.register(r)
	defer f.forget(p.GetRequestId())
	end := time.Now().Add(r.Deadline)
	overdue := time.NewTimer(r.Deadline + answerGrace)
	defer overdue.Stop()
	retry := f.newBackoff()
	for {
		if left := time.Until(end); left > 0 {
			p.Attempt++
			p.DeadlineMs = uint32(max(left.Milliseconds(), 1))
			if r.Idempotent {
				f.stamp(p, waiting)
			}
			if err := f.send(p); err != nil {
				return unsent(p), err
			}
		}
		timer := time.NewTimer(retry.next())
		select {
		case a := <-waiting.answer:
			timer.Stop()
			a.Attempts, a.RequestID = p.GetAttempt(), p.GetRequestId()
			return a, nil
		case <-overdue.C:
			timer.Stop()
			return lost(p, pb.Reason_REASON_ANSWER_LOST), nil
		case <-f.ended:
			timer.Stop()
			_, reason := f.Broken()
			return lost(p, reason), f.err()
		case <-ctx.Done():
			timer.Stop()
			f.cancel(p.GetRequestId())
			return lost(p, pb.Reason_REASON_CANCELLED), fmt.Errorf("request cancelled: %w", ctx.Err())
		case <-waiting.renewed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// lost is the answer to a request that was sent and not answered.
func lost(p *pb.Packet, reason pb.Reason) Answer {
	return Answer{Status: pb.Status_STATUS_OUTCOME_UNKNOWN, Reason: reason, Attempts: p.GetAttempt(), RequestID: p.GetRequestId()}
}

// unsent is the answer to a request whose transmission failed here. An earlier transmission
// may have reached the upstream, so that only the first failure proves that it did not run.
func unsent(p *pb.Packet) Answer {
	if p.GetAttempt() > 1 {
		return lost(p, pb.Reason_REASON_ANSWER_LOST)
	}
	return Answer{Status: pb.Status_STATUS_NOT_RUN, RequestID: p.GetRequestId()}
}

// register gives the request its id and, if it may run only once, the guard token that it
// keeps on every transmission. An idempotent one carries the token known at each transmission.
func (f *Flow) register(r Request) (*pb.Packet, *pending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	w := &pending{answer: make(chan Answer, 1), idempotent: r.Idempotent, renewed: make(chan struct{}, 1)}
	f.pending[f.lastID] = w
	p := &pb.Packet{
		Kind:       pb.Kind_KIND_REQUEST,
		RequestId:  f.lastID,
		Idempotent: r.Idempotent,
		Payload:    r.Payload,
	}
	if !r.Idempotent {
		p.GuardToken = f.token
	}
	return p, w
}

// stamp gives an idempotent request the current guard token.
func (f *Flow) stamp(p *pb.Packet, w *pending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.GetAttempt() > 1 && p.GetGuardToken() != f.token {
		w.restamped = true
	}
	p.GuardToken = f.token
}

// renew lets idempotent requests go again at once with a changed token; the holder that sent it
// has not taken the earlier transmission.
func (f *Flow) renew() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.pending {
		if !w.idempotent {
			continue
		}
		select {
		case w.renewed <- struct{}{}:
		default:
		}
	}
}

func (f *Flow) forget(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// cancel tells the balancer once; a lost CANCEL only wastes the request's work.
func (f *Flow) cancel(id uint64) {
	_ = f.send(&pb.Packet{Kind: pb.Kind_KIND_CANCEL, RequestId: id})
}

func (f *Flow) handleAnswer(p *pb.Packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.pending[p.GetRequestId()]
	if !ok {
		f.options.Counters.Drop("late_answer")
		return
	}
	payload, whole := w.gather.add(p)
	if !whole {
		return
	}
	delete(f.pending, p.GetRequestId())
	if w.restamped && p.GetStatus() == pb.Status_STATUS_NOT_RUN {
		p.Status = pb.Status_STATUS_OUTCOME_UNKNOWN
	}
	w.answer <- Answer{Status: p.GetStatus(), Reason: p.GetReason(), Payload: payload, Upstream: p.GetUpstream()}
}

// gather collects the parts of one answer.
type gather struct {
	attempt uint32
	token   uint64
	parts   [][]byte
	missing uint32
}

// add keeps a part and returns the payload once all parts are there. Parts of different runs
// of an idempotent request differ in attempt or guard token and are never mixed.
func (g *gather) add(p *pb.Packet) ([]byte, bool) {
	parts := max(p.GetParts(), 1)
	if parts > maxParts || p.GetPart() >= parts {
		return nil, false
	}
	if parts == 1 {
		return p.GetPayload(), true
	}
	if g.parts == nil || g.attempt != p.GetAttempt() || g.token != p.GetGuardToken() || uint32(len(g.parts)) != parts {
		*g = gather{attempt: p.GetAttempt(), token: p.GetGuardToken(), parts: make([][]byte, parts), missing: parts}
	}
	if g.parts[p.GetPart()] != nil {
		return nil, false
	}
	g.parts[p.GetPart()] = append([]byte{}, p.GetPayload()...)
	g.missing--
	if g.missing > 0 {
		return nil, false
	}
	var payload []byte
	for _, part := range g.parts {
		payload = append(payload, part...)
	}
	return payload, true
}

// backoff doubles the wait between transmissions and spreads it by a quarter either way, so
// that callers that lost packets together do not retransmit together.
type backoff struct {
	flow *Flow
	wait time.Duration
}

func (f *Flow) newBackoff() *backoff { return &backoff{flow: f, wait: firstRetransmission} }

func (b *backoff) next() time.Duration {
	b.flow.mu.Lock()
	jitter := 0.75 + b.flow.options.Rand.Float64()/2
	b.flow.mu.Unlock()
	d := time.Duration(float64(b.wait) * jitter)
	b.wait = min(2*b.wait, maxRetransmission)
	return d
}
