package request_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/request"
	"github.com/fulmarfield/fulmarfield/wire"
)

// The fixed seed makes each run test the same random cases, so that the result does not vary.
// -rapid.seed=0 tests other cases.
var _ = flag.Set("rapid.seed", "1")

// holderChange is a change of an admission's holder during a trial.
type holderChange struct {
	Kind     string // transfer, kill or pause
	Upstream uint32
	To       int           // index of the new holder
	After    time.Duration // since the previous change
	Outage   time.Duration // until another daemon recovers the admission, or the pause ends
}

// trial is a random history of requests and holder changes. Loss, Duplication, Refuse and Cancel are
// probabilities.
type trial struct {
	Seed              uint64
	Loss, Duplication float64
	Delay             time.Duration
	Refuse            float64
	Cancel            float64
	Requests          int
	Events            []holderChange
}

func drawTrial(t *rapid.T) trial {
	ms := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	tr := trial{
		Seed:        rapid.Uint64().Draw(t, "seed"),
		Loss:        rapid.Float64Range(0, 0.2).Draw(t, "loss"),
		Duplication: rapid.Float64Range(0, 0.3).Draw(t, "copy"),
		Delay:       ms("delay", 0, 200),
		Refuse:      rapid.Float64Range(0, 0.5).Draw(t, "refuse"),
		Cancel:      rapid.Float64Range(0, 0.3).Draw(t, "cancel"),
		Requests:    rapid.IntRange(5, 40).Draw(t, "requests"),
	}
	for range rapid.IntRange(0, 6).Draw(t, "events") {
		tr.Events = append(tr.Events, holderChange{
			Kind:     rapid.SampledFrom([]string{"transfer", "transfer", "kill", "pause"}).Draw(t, "kind"),
			Upstream: rapid.Uint32Range(1, 2).Draw(t, "upstream"),
			To:       rapid.IntRange(0, 3).Draw(t, "to"),
			After:    ms("after", 0, 500),
			Outage:   ms("gap", 0, 1500),
		})
	}
	return tr
}

// runTrial runs a trial and returns the violations that it found.
func runTrial(t *testing.T, tr trial, tuning request.Tuning) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		runSimulation(NewWithT(t), 2, tr.Seed, tuning, func(h *harness) { violations = h.runTrial(tr) })
	})
	return violations
}

func (h *harness) runTrial(tr trial) []string {
	var flows []*caller.Flow
	for i := range 4 {
		flows = append(flows, h.openFlow(uint32(i%2)+1))
	}
	h.mu.Lock()
	h.packetDelays = func(kind hopKind) []time.Duration {
		copies := 1
		if kind != upstreamHop && h.rand.Float64() < tr.Duplication {
			copies = 2
		}
		if h.rand.Float64() < tr.Loss {
			copies--
		}
		delays := make([]time.Duration, copies)
		for i := range delays {
			delays[i] = hopDelay + time.Duration(h.rand.Float64()*h.rand.Float64()*float64(tr.Delay))
		}
		return delays
	}
	h.mu.Unlock()
	for _, u := range h.upstreams {
		u.update(func() {
			u.refuse = func() bool { return h.randomBool(tr.Refuse) }
			u.parts = int(tr.Seed%3) + 1
		})
	}
	type startedRequest struct {
		flow       *caller.Flow
		name       string
		idempotent bool
		answer     chan result
	}
	var list []startedRequest
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, e := range tr.Events {
			time.Sleep(e.After)
			h.applyHolderChange(e)
		}
	}()
	for i := range tr.Requests {
		a := startedRequest{flow: flows[i%4], name: fmt.Sprint(i), idempotent: h.randomBool(0.4)}
		a.answer = h.startRequestWithCancel(h.randomBool(tr.Cancel), a.flow, a.name, a.idempotent,
			time.Duration(300+100*(i%20))*time.Millisecond)
		list = append(list, a)
		time.Sleep(time.Duration(float64(80*time.Millisecond) * h.randomFloat()))
	}
	<-done
	results := make([]result, len(list))
	for i, a := range list {
		results[i] = <-a.answer
	}
	time.Sleep(3 * time.Second)
	violations := h.findRefusedThatRan()
	h.replay()
	for i, a := range list {
		runs, r := 0, results[i]
		for _, u := range h.upstreams {
			runs += u.runCount(a.flow.Key(), a.name)
		}
		if !a.idempotent && runs > 1 {
			violations = append(violations, fmt.Sprintf("request %s ran %d times", a.name, runs))
		}
		if r.Status == notRun && runs > 0 {
			violations = append(violations, fmt.Sprintf("request %s (idempotent %v) ran after not run, %s", a.name, a.idempotent, r.Reason))
		}
		if r.Status == ok && string(r.Payload) != "done "+a.name {
			violations = append(violations, fmt.Sprintf("request %s was answered %q", a.name, r.Payload))
		}
	}
	return violations
}

// findRefusedThatRan checks every refusal that was sent to a caller, including those for requests
// that the caller had already ended, against the runs of non-idempotent requests.
func (h *harness) findRefusedThatRan() (violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	type key struct {
		flow wire.FlowKey
		id   uint64
	}
	refused := map[key]pb.Reason{}
	for _, p := range h.packetsToCallers {
		if p.GetStatus() == notRun {
			refused[key{wire.FlowKeyFromProto(p.GetFlow()), p.GetRequestId()}] = p.GetReason()
		}
	}
	for _, p := range h.requestTransmissions {
		k := wire.FlowKeyFromProto(p.GetFlow())
		reason, isRefused := refused[key{k, p.GetRequestId()}]
		if isRefused && !p.GetIdempotent() && h.upstreams[h.flows[k]].runCount(k, string(p.GetPayload())) > 0 {
			violations = append(violations, fmt.Sprintf("request %s ran, but a refusal was sent: %s", p.GetPayload(), reason))
		}
	}
	return violations
}

// replay sends the recorded requests of the callers again, long after they were answered. It omits
// idempotent requests that were not refused, since these may run again.
func (h *harness) replay() {
	h.mu.Lock()
	h.packetDelays = nil
	packets := h.requestTransmissions
	h.requestTransmissions = nil
	h.mu.Unlock()
	for _, p := range packets {
		if !p.GetIdempotent() || h.wasRefused(p.GetRequestId()) {
			h.deliverFromCaller(proto.CloneOf(p))
		}
	}
	time.Sleep(3 * time.Second)
}

func (h *harness) wasRefused(id uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.packetsToCallers {
		if p.GetRequestId() == id && p.GetStatus() == notRun {
			return true
		}
	}
	return false
}

func (h *harness) randomFloat() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rand.Float64()
}

func (h *harness) randomBool(p float64) bool { return h.randomFloat() < p }

// applyHolderChange carries out a holder change unless one of the two daemons is unavailable, so
// that the last available daemon is not killed.
func (h *harness) applyHolderChange(e holderChange) {
	ids := []membership.DaemonID{"a", "b", "c", "d"}
	from, to := h.holder(e.Upstream), h.daemons[ids[e.To]]
	if to == from || to.isUnavailable() || from.isUnavailable() {
		return
	}
	switch e.Kind {
	case "transfer":
		h.transfer(e.Upstream, to.id)
	case "kill":
		from.kill()
		time.Sleep(e.Outage)
		for u := range h.upstreams {
			if h.holder(u) == from {
				h.activate(to.id, u, nil, ownership.Recovered)
			}
		}
	case "pause":
		from.setPaused(true)
		h.activate(to.id, e.Upstream, nil, ownership.Recovered)
		time.Sleep(e.Outage)
		from.setPaused(false)
		records := from.Release(admission(e.Upstream))
		to.Merge(admission(e.Upstream), proto.CloneOf(records))
	}
}

func (d *daemon) isUnavailable() bool {
	d.h.mu.Lock()
	defer d.h.mu.Unlock()
	return d.isDead || d.isPaused
}

// Guards against a non-idempotent request that runs twice and against a request that runs although
// its caller received the status not run, with random packet loss, duplication and reordering and
// random changes of holder.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := drawTrial(rt)
		if violations := runTrial(t, tr, request.Tuning{}); len(violations) > 0 {
			rt.Fatalf("%+v: %v", tr, violations)
		}
	})
}

// Shows that the property of TestAtMostOnce depends on the guard token: without the token, histories
// with a lost holder violate it.
func TestAtMostOnceNeedsToken(t *testing.T) {
	for seed := range uint64(50) {
		tr := trial{Seed: seed, Delay: 100 * time.Millisecond, Requests: 40, Events: []holderChange{
			{Kind: "kill", Upstream: 1, To: 1, After: 300 * time.Millisecond, Outage: 300 * time.Millisecond},
		}}
		if violations := runTrial(t, tr, request.Tuning{NoGuardToken: true}); len(violations) > 0 {
			t.Logf("seed %d: %v", seed, violations)
			return
		}
	}
	t.Fatal("no history violated the property without the guard token")
}
