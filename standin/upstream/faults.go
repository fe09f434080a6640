package upstream

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// ErrBadShare reports a share that is not between 0 and 1.
var ErrBadShare = errors.New("share is not between 0 and 1")

// coldSlowdown is how much slower the first request after a cold start is; the factor falls
// evenly to 1 over the cold time.
const coldSlowdown = 5.0

type faults struct {
	draining    bool
	shedShare   float64
	lying       bool
	frozen      *pb.LoadReport
	silent      bool
	pausedUntil time.Time
	coldFrom    time.Time
	coldFor     time.Duration
}

func (f *faults) isCold(now time.Time) bool { return now.Before(f.coldFrom.Add(f.coldFor)) }

func (f *faults) coldFactor(now time.Time) float64 {
	if !f.isCold(now) {
		return 1
	}
	left := 1 - float64(now.Sub(f.coldFrom))/float64(f.coldFor)
	return 1 + (coldSlowdown-1)*left
}

// loadReport returns what the upstream says of itself, true or not.
func (u *Upstream) loadReport() *pb.LoadReport {
	if u.faults.frozen != nil {
		return proto.CloneOf(u.faults.frozen)
	}
	report := &pb.LoadReport{Slots: uint32(u.config.Slots), Connections: uint32(len(u.flows))}
	if u.faults.lying {
		return report
	}
	report.InProgress, report.Queued = uint32(len(u.running)), uint32(len(u.queue))
	report.Draining, report.Cold, report.Shedding = u.faults.draining, u.faults.isCold(time.Now()), u.faults.shedShare > 0
	return report
}

func (u *Upstream) edit(change func(*faults)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.faults)
}

// Drain makes the upstream report that it drains and refuse new flows, or ends that.
func (u *Upstream) Drain(on bool) { u.edit(func(f *faults) { f.draining = on }) }

// Lie makes the load report say that nothing is in progress.
func (u *Upstream) Lie(on bool) { u.edit(func(f *faults) { f.lying = on }) }

// Silence makes the upstream run requests but send nothing.
func (u *Upstream) Silence(on bool) { u.edit(func(f *faults) { f.silent = on }) }

// ColdStart makes service times longer for d, less so with time.
func (u *Upstream) ColdStart(d time.Duration) {
	u.edit(func(f *faults) { f.coldFrom, f.coldFor = time.Now(), d })
}

// Freeze keeps sending the present load report.
func (u *Upstream) Freeze(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.frozen = nil
	if on {
		u.faults.frozen = u.loadReport()
	}
}

// Pause stops reading and finishing for d, as a stopped process does.
func (u *Upstream) Pause(d time.Duration) {
	u.edit(func(f *faults) { f.pausedUntil = time.Now().Add(d) })
}

// Shed refuses a share of requests. It returns ErrBadShare.
func (u *Upstream) Shed(share float64) error {
	if share < 0 || share > 1 {
		return fmt.Errorf("shed %v: %w", share, ErrBadShare)
	}
	u.edit(func(f *faults) { f.shedShare = share })
	return nil
}

// Forget loses track of a share of the open flows: packets of these get RESET. It returns
// their number, or ErrBadShare.
func (u *Upstream) Forget(share float64) (int, error) {
	return u.each(share, func(key wire.FlowKey, _ *flow) { delete(u.flows, key) })
}

// Mute makes a share of the open flows silent for good, while new flows work. It returns
// their number, or ErrBadShare.
func (u *Upstream) Mute(share float64) (int, error) {
	return u.each(share, func(_ wire.FlowKey, f *flow) { f.muted = true })
}

func (u *Upstream) each(share float64, act func(wire.FlowKey, *flow)) (int, error) {
	if share < 0 || share > 1 {
		return 0, fmt.Errorf("share of flows %v: %w", share, ErrBadShare)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	taken := 0
	for key, f := range u.flows {
		if u.rng.Float64() < share {
			act(key, f)
			taken++
		}
	}
	return taken, nil
}

func (u *Upstream) waitWhilePaused() {
	for {
		u.mu.Lock()
		wait := time.Until(u.faults.pausedUntil)
		if u.closed {
			wait = 0
		}
		u.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}
