package loadgen

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// session is one open flow of the load.
type session struct {
	runner      *runner
	rec         *recorder
	rng         *rand.Rand
	flow        *caller.Flow
	unanswered  int
	isLongLived bool
}

// open opens a flow. If this fails it records the cause and returns nil.
func (r *runner) open(rec *recorder, rng *rand.Rand) *session {
	ctx, cancel := context.WithTimeout(r.load, openTimeout)
	defer cancel()
	dialer := &caller.Dialer{Listen: r.listen, Service: rec.service.Address, Logger: r.config.Log, Counters: r.counters, Rand: rng}
	start := time.Now()
	flow, err := dialer.Open(ctx)
	if err != nil {
		if r.load.Err() == nil {
			rec.recordOpenFailure(openFailureCause(err))
		}
		return nil
	}
	s := &session{runner: r, rec: rec, rng: rng, flow: flow}
	rec.recordOpened(s, time.Since(start))
	return s
}

func openFailureCause(err error) string {
	var broken *caller.BrokenError
	switch {
	case errors.As(err, &broken):
		return telemetry.ReasonName(broken.Reason)
	case errors.Is(err, caller.ErrNotOpened):
		return "timeout"
	default:
		return "local_error"
	}
}

// sendRequests sends up to limit requests until the flow breaks. A last request checks each
// long-lived flow that is still open when the load ends.
func (s *session) sendRequests(limit int) {
	for range limit {
		if !s.waitThinkTime() {
			break
		}
		if s.runner.remaining.Add(-1) < 0 {
			<-s.runner.load.Done()
			break
		}
		if !s.request(s.runner.parent, s.rng.Float64() >= s.runner.config.NonIdempotent) {
			return
		}
	}
	if s.checkBroken() || !s.isLongLived {
		return
	}
	if sleep(s.runner.parent, time.Duration(s.rng.Int64N(int64(s.runner.config.Final)+1))) {
		for s.request(s.runner.parent, true) && s.unanswered > 0 {
			continue
		}
	}
}

// waitThinkTime waits for the think time and reports whether the caller has to send another request. A reset
// of the flow ends the wait.
func (s *session) waitThinkTime() bool {
	for left := s.runner.drawThinkTime(s.rng); left > 0; left -= resetPollInterval {
		if !sleep(s.runner.load, min(left, resetPollInterval)) {
			return false
		}
		if broken, _ := s.flow.Broken(); broken {
			return true
		}
	}
	return true
}

// checkBroken records a reset of the flow and reports whether there was one.
func (s *session) checkBroken() bool {
	broken, reason := s.flow.Broken()
	if broken {
		s.rec.recordBroken(s, telemetry.ReasonName(reason))
	}
	return broken
}

// request sends one request, checks its answer and reports whether the flow is still usable.
func (s *session) request(ctx context.Context, idempotent bool) bool {
	if s.checkBroken() {
		return false
	}
	size := uint32(smallAnswerBytes)
	if s.rng.Float64() < s.runner.config.Large {
		size = largeAnswerBytes
	}
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte(s.rng.Uint32())
	}
	payload := upstream.RequestPayload(size, body)
	start := time.Now()
	answer, err := s.flow.Request(ctx, caller.Request{Payload: payload, Idempotent: idempotent, Deadline: s.runner.config.Deadline})
	if err != nil && answer.Attempts == 0 {
		// The flow ended before the request got an id.
		return !s.checkBroken() && ctx.Err() == nil
	}
	result := outcome{
		name: upstream.RequestName(s.flow.Key().String(), answer.RequestID), answer: answer,
		idempotent: idempotent, latency: time.Since(start), endedLocally: err != nil,
	}
	if err == nil && answer.Status == pb.Status_STATUS_OK {
		result.isWrongAnswer = upstream.VerifyAnswer(s.flow.Key(), answer.RequestID, payload, answer.Payload) != nil
	}
	s.rec.recordRequest(s, result)
	if s.checkBroken() || err != nil {
		return false
	}
	if answer.Reason != pb.Reason_REASON_ANSWER_LOST {
		s.unanswered = 0
		return true
	}
	if s.unanswered++; s.unanswered >= maxUnansweredRequests {
		s.rec.recordBroken(s, "silent")
		return false
	}
	return true
}
