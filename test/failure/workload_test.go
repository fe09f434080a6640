package failure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// workload sends requests on long-lived flows and records the outcomes that their callers see.
type workload struct {
	t       *testing.T
	cluster *testcluster.Cluster
	wg      sync.WaitGroup
	stop    context.CancelFunc

	mu           sync.Mutex
	opened       int
	failedOpens  int // flows that could not be opened
	broken       []string
	wrongAnswers []string
	statuses     map[string]int
	notRun       map[string]bool // non-idempotent requests that were answered not run
}

const (
	thinkTime       = 700 * time.Millisecond
	requestDeadline = 4 * time.Second
	openTimeout     = 8 * time.Second
	// One of requestsPerLargeAnswer requests, at random, asks for an answer in several parts.
	requestsPerLargeAnswer = 10
	largeAnswerBytes       = 3000
)

// startWorkload starts callers for each service, which open flows and send requests until finish.
func startWorkload(t *testing.T, c *testcluster.Cluster, flows int, seed uint64) *workload {
	ctx, cancel := context.WithCancel(context.Background())
	w := &workload{t: t, cluster: c, stop: cancel, statuses: map[string]int{}, notRun: map[string]bool{}}
	for _, s := range c.Declaration.Services {
		for i := range flows {
			rng := rand.New(rand.NewPCG(seed, uint64(i)<<8+uint64(len(s.Name))))
			w.wg.Go(func() { w.runCaller(ctx, s.Name, rng) })
		}
	}
	return w
}

// runCaller runs one caller: it opens a flow, sends requests on it, and opens another one after the
// flow broke.
func (w *workload) runCaller(ctx context.Context, service string, rng *rand.Rand) {
	sleep(ctx, time.Duration(rng.Int64N(int64(2*time.Second))))
	for ctx.Err() == nil {
		openCtx, cancel := context.WithTimeout(ctx, openTimeout)
		f, err := w.cluster.Open(openCtx, service)
		cancel()
		if err != nil {
			w.update(func() { w.failedOpens++ })
			sleep(ctx, time.Second)
			continue
		}
		w.update(func() { w.opened++ })
		w.useFlow(ctx, f, service, rng)
	}
}

func (w *workload) useFlow(ctx context.Context, f *caller.Flow, service string, rng *rand.Rand) {
	defer f.Close()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(thinkTime)))
		if broken, reason := f.Broken(); broken {
			at := time.Now().Format("05.000")
			w.update(func() {
				w.broken = append(w.broken, fmt.Sprintf("%s %s %s %s", at, service, f.Key(), telemetry.ReasonName(reason)))
			})
			return
		}
		if ctx.Err() == nil {
			w.request(ctx, f, rng)
		}
	}
}

func (w *workload) request(ctx context.Context, f *caller.Flow, rng *rand.Rand) {
	size := uint32(0)
	if rng.IntN(requestsPerLargeAnswer) == 0 {
		size = largeAnswerBytes
	}
	payload := upstream.RequestPayload(size, []byte{byte(rng.Uint32()), byte(rng.Uint32())})
	idempotent := rng.IntN(2) == 0
	a, err := f.Request(ctx, caller.Request{Payload: payload, Idempotent: idempotent, Deadline: requestDeadline})
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.statuses["flow ended"]++
		return
	}
	kind := "non-idempotent"
	if idempotent {
		kind = "idempotent"
	}
	name := kind + " " + a.Status.String()[len("STATUS_"):]
	if a.Status != pb.Status_STATUS_OK {
		name += " " + telemetry.ReasonName(a.Reason)
	}
	w.statuses[name]++
	if a.Status == pb.Status_STATUS_NOT_RUN && !idempotent {
		w.notRun[upstream.RequestName(f.Key().String(), a.RequestID)] = true
	}
	if a.Status != pb.Status_STATUS_OK {
		return
	}
	if err := upstream.VerifyAnswer(f.Key(), a.RequestID, payload, a.Payload); err != nil {
		w.wrongAnswers = append(w.wrongAnswers, err.Error())
	}
}

func (w *workload) update(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// errInvariant marks a violated invariant.
var errInvariant = errors.New("invariant violated")

// finish ends the load and checks the invariants that hold in every run.
func (w *workload) finish() {
	w.stop()
	w.wg.Wait()
	runs, again, wrongService := map[string]int{}, 0, int64(0)
	for _, u := range w.cluster.Upstreams {
		report := u.Report(true)
		wrongService += report.WrongService
		for name, run := range report.Runs {
			if !run.Idempotent {
				runs[name] += run.Count
			}
		}
	}
	for name, n := range runs {
		if n > 1 {
			again++
			w.t.Errorf("%v: %s ran %d times", errInvariant, name, n)
		}
		if w.notRun[name] {
			w.t.Errorf("%v: %s was answered not run but ran", errInvariant, name)
		}
	}
	for _, text := range w.wrongAnswers {
		w.t.Errorf("%v: %s", errInvariant, text)
	}
	if wrongService > 0 {
		w.t.Errorf("%v: %d packets reached a wrong service", errInvariant, wrongService)
	}
}

// report logs the outcomes and the daemons' counters, to explain a failed run.
func (w *workload) report() {
	w.t.Logf("flows opened %d, not opened %d, broken %d", w.opened, w.failedOpens, len(w.broken))
	names := make([]string, 0, len(w.statuses))
	for name := range w.statuses {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		w.t.Logf("  %s: %d", name, w.statuses[name])
	}
	for _, text := range w.broken {
		w.t.Logf("  broken: %s", text)
	}
	counters := map[string]int64{}
	for _, d := range w.cluster.Live() {
		for name, n := range d.Node.Counters().Snapshot() {
			counters[name] += n
		}
	}
	names = names[:0]
	for name := range counters {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		w.t.Logf("  %s %d", name, counters[name])
	}
}
