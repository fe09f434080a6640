package caller

import (
	"context"
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// firstRetransmission is the first retransmission timeout. It is many times the usual time to an
	// answer (about 8 ms with a service time), so that a queued request is rarely sent twice.
	firstRetransmission = 200 * time.Millisecond
	// maxRetransmission limits the back-off, so that a caller retransmits soon after a takeover,
	// which takes about 2.5 s.
	maxRetransmission = 2 * time.Second
	// answerGrace is added to the deadline, so that an answer that the balancer sends at the
	// deadline still reaches the caller.
	answerGrace = 250 * time.Millisecond
	// defaultDeadline is the deadline of a request that sets none.
	defaultDeadline = 30 * time.Second
	// maxParts limits the parts of one answer, and with them its memory to about 1.4 MB.
	maxParts = 1024
)

// Request is one request of a flow.
type Request struct {
	Payload    []byte
	Idempotent bool
	// Deadline is the time from the call until the caller has no more use for the answer; 0
	// means 30 s.
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
	// RequestID is the id of the request on its flow, 0 if the flow had ended before an id was
	// assigned.
	RequestID uint64
}

// pending is a request that waits for its answer.
type pending struct {
	answer     chan Answer
	idempotent bool
	// tokenChanged triggers a retransmission of an idempotent request when the guard token changes.
	tokenChanged chan struct{}
	// hasMixedTokens is true when transmissions carried different guard tokens. A refusal by one
	// admission holder then does not rule out that the other one ran the request, for example
	// when a paused holder resumes.
	hasMixedTokens bool
	reassembly     reassembly
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
	defer f.removePending(p.GetRequestId())
	end := time.Now().Add(r.Deadline)
	overdue := time.NewTimer(r.Deadline + answerGrace)
	defer overdue.Stop()
	retry := f.newBackoff()
	for {
		if left := time.Until(end); left > 0 {
			p.Attempt++
			p.DeadlineMs = uint32(max(left.Milliseconds(), 1))
			if r.Idempotent {
				f.setGuardToken(p, waiting)
			}
			if err := f.send(p); err != nil {
				return sendFailed(p), err
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
			return outcomeUnknown(p, pb.Reason_REASON_ANSWER_LOST), nil
		case <-f.ended:
			timer.Stop()
			_, reason := f.Broken()
			return outcomeUnknown(p, reason), f.err()
		case <-ctx.Done():
			timer.Stop()
			f.cancel(p.GetRequestId())
			return outcomeUnknown(p, pb.Reason_REASON_CANCELLED), fmt.Errorf("request cancelled: %w", ctx.Err())
		case <-waiting.tokenChanged:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// outcomeUnknown returns the answer to a request that was sent and not answered.
func outcomeUnknown(p *pb.Packet, reason pb.Reason) Answer {
	return Answer{Status: pb.Status_STATUS_OUTCOME_UNKNOWN, Reason: reason, Attempts: p.GetAttempt(), RequestID: p.GetRequestId()}
}

// sendFailed returns the answer to a request that the caller could not send. An earlier
// transmission may have reached the upstream, so the request certainly did not run only if its
// first transmission failed.
func sendFailed(p *pb.Packet) Answer {
	if p.GetAttempt() > 1 {
		return outcomeUnknown(p, pb.Reason_REASON_ANSWER_LOST)
	}
	return Answer{Status: pb.Status_STATUS_NOT_RUN, RequestID: p.GetRequestId()}
}

// register assigns the request's id and adds it to the pending requests. A request that may run
// only once keeps the present guard token on every transmission; an idempotent request carries
// the token that is current at each transmission.
func (f *Flow) register(r Request) (*pb.Packet, *pending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	w := &pending{answer: make(chan Answer, 1), idempotent: r.Idempotent, tokenChanged: make(chan struct{}, 1)}
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

// setGuardToken sets the current guard token on an idempotent request.
func (f *Flow) setGuardToken(p *pb.Packet, w *pending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.GetAttempt() > 1 && p.GetGuardToken() != f.token {
		w.hasMixedTokens = true
	}
	p.GuardToken = f.token
}

// resendIdempotent retransmits the pending idempotent requests at once with a changed token. The
// holder that sent the token has not accepted the earlier transmission.
func (f *Flow) resendIdempotent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.pending {
		if !w.idempotent {
			continue
		}
		select {
		case w.tokenChanged <- struct{}{}:
		default:
		}
	}
}

func (f *Flow) removePending(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// cancel sends one CANCEL to the balancer. If it is lost, the request runs and its answer is
// discarded.
func (f *Flow) cancel(id uint64) {
	_ = f.send(&pb.Packet{Kind: pb.Kind_KIND_CANCEL, RequestId: id})
}

func (f *Flow) handleAnswer(p *pb.Packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.pending[p.GetRequestId()]
	if !ok {
		f.options.Counters.CountDrop("late_answer")
		return
	}
	payload, complete := w.reassembly.add(p)
	if !complete {
		return
	}
	delete(f.pending, p.GetRequestId())
	if w.hasMixedTokens && p.GetStatus() == pb.Status_STATUS_NOT_RUN {
		p.Status = pb.Status_STATUS_OUTCOME_UNKNOWN
	}
	w.answer <- Answer{Status: p.GetStatus(), Reason: p.GetReason(), Payload: payload, Upstream: p.GetUpstream()}
}

// reassembly holds the parts of one answer that have arrived.
type reassembly struct {
	attempt uint32
	token   uint64
	parts   [][]byte
	missing uint32
}

// add stores a part and returns the payload once all parts have arrived. Parts of different runs
// of an idempotent request differ in attempt or guard token and are never mixed.
func (g *reassembly) add(p *pb.Packet) ([]byte, bool) {
	parts := max(p.GetParts(), 1)
	if parts > maxParts || p.GetPart() >= parts {
		return nil, false
	}
	if parts == 1 {
		return p.GetPayload(), true
	}
	if g.parts == nil || g.attempt != p.GetAttempt() || g.token != p.GetGuardToken() || uint32(len(g.parts)) != parts {
		*g = reassembly{attempt: p.GetAttempt(), token: p.GetGuardToken(), parts: make([][]byte, parts), missing: parts}
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

// backoff doubles the wait between transmissions and adds a jitter of up to a quarter in either
// direction, so that callers that lost packets at the same time do not retransmit at the same time.
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
