package loadgen

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	localAddresses  = 200
	firstPort       = 10_000
	lastPort        = 65_000
	maxBindAttempts = 100
)

// ErrNoPort reports that all local addresses and ports have been used.
var ErrNoPort = errors.New("no local address is left")

// runner is one run of the load.
type runner struct {
	config    Config
	counters  *telemetry.Counters
	recorders []*recorder
	remaining atomic.Int64
	nextLocal atomic.Uint64
	nextRand  atomic.Uint64
	// load ends when callers must not send further requests of the load; parent also ends the final
	// check.
	load   context.Context
	parent context.Context
}

// Run applies the load and returns its report. It ends early, with a report, when ctx ends.
func Run(ctx context.Context, c Config) *Report {
	load, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	go func() {
		select {
		case <-c.End:
			cancel()
		case <-load.Done():
		}
	}()
	r := &runner{config: c, counters: telemetry.NewCounters(), load: load, parent: ctx}
	r.remaining.Store(c.MaxRequests)
	started := time.Now()
	var flows sync.WaitGroup
	for _, s := range c.Services {
		rec := newRecorder(s)
		r.recorders = append(r.recorders, rec)
		for i := range c.Flows {
			wait := time.Duration(int64(c.Ramp) * int64(i) / int64(c.Flows))
			flows.Go(func() { r.runLongLivedFlow(rec, wait) })
		}
		if c.Churn > 0 {
			flows.Go(func() { r.runShortFlows(rec) })
		}
	}
	done := make(chan struct{})
	go func() { flows.Wait(); close(done) }()
	r.reportProgress(started, done)
	report := &Report{Seed: c.Seed, StartedMS: started.UnixMilli(), DurationMS: time.Since(started).Milliseconds(), Counters: r.counters.Snapshot()}
	for _, rec := range r.recorders {
		report.Services = append(report.Services, rec.buildReport())
	}
	return report
}

// reportProgress calls Config.Progress at its interval until done is closed.
func (r *runner) reportProgress(started time.Time, done <-chan struct{}) {
	every := r.config.ProgressInterval
	if every <= 0 || r.config.Progress == nil {
		<-done
		return
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			line := fmt.Sprintf("%4.0fs", time.Since(started).Seconds())
			for _, rec := range r.recorders {
				line += "  " + rec.formatProgress()
			}
			r.config.Progress(line)
		}
	}
}

func (r *runner) runLongLivedFlow(rec *recorder, wait time.Duration) {
	rng := r.newRand()
	if !sleep(r.load, wait) {
		return
	}
	for r.load.Err() == nil {
		s := r.open(rec, rng)
		if s == nil {
			sleep(r.load, reopenWait)
			continue
		}
		s.isLongLived = true
		s.sendRequests(math.MaxInt)
		s.flow.Close()
		rec.recordClosed(s)
	}
}

// runShortFlows opens short flows in a Poisson process.
func (r *runner) runShortFlows(rec *recorder) {
	rng := r.newRand()
	var flows sync.WaitGroup
	defer flows.Wait()
	limit := make(chan struct{}, maxShortFlows)
	for sleep(r.load, time.Duration(rng.ExpFloat64()/r.config.Churn*float64(time.Second))) {
		select {
		case limit <- struct{}{}:
		default:
			continue
		}
		flows.Go(func() {
			defer func() { <-limit }()
			own := r.newRand()
			if s := r.open(rec, own); s != nil {
				s.sendRequests(1 + own.IntN(shortFlowRequests))
				s.flow.Close()
				rec.recordClosed(s)
			}
		})
	}
}

func (r *runner) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(r.config.Seed, r.nextRand.Add(1)))
}

// listen binds the next local address and port. Each pair is used once in a run, since it identifies
// the flow and its requests in the reports.
func (r *runner) listen(netip.AddrPort) (wire.Conn, error) {
	for range maxBindAttempts {
		n := r.nextLocal.Add(1) - 1
		port := firstPort + n/localAddresses
		if port > lastPort {
			return nil, ErrNoPort
		}
		b := r.config.Network.As4()
		ip := binary.BigEndian.AppendUint32(nil, binary.BigEndian.Uint32(b[:])+uint32(n%localAddresses))
		conn, err := r.config.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), uint16(port)))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return conn, err
		}
	}
	return nil, ErrNoPort
}

func (r *runner) drawThinkTime(rng *rand.Rand) time.Duration {
	scale := (paretoShape - 1) / paretoShape
	factor := scale / math.Pow(1-rng.Float64(), 1/paretoShape)
	return time.Duration(min(factor, maxThinkFactor) * float64(r.config.Think))
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool { return wait.For(ctx, d) == nil }
