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

// coldSlowdown is the factor by which a cold start extends the first service time. The factor falls
// linearly to 1 over the duration of the cold start.
const coldSlowdown = 5.0

type faults struct {
	draining      bool
	shedShare     float64
	reportsIdle   bool
	frozenReport  *pb.LoadReport
	silent        bool
	pausedUntil   time.Time
	coldStartedAt time.Time
	coldDuration  time.Duration
}

func (f *faults) isCold(now time.Time) bool { return now.Before(f.coldStartedAt.Add(f.coldDuration)) }

func (f *faults) coldFactor(now time.Time) float64 {
	if !f.isCold(now) {
		return 1
	}
	left := 1 - float64(now.Sub(f.coldStartedAt))/float64(f.coldDuration)
	return 1 + (coldSlowdown-1)*left
}

// loadReport returns the load report for the next packet, falsified by the injected faults.
func (u *Upstream) loadReport() *pb.LoadReport {
	if u.faults.frozenReport != nil {
		return proto.CloneOf(u.faults.frozenReport)
	}
	report := &pb.LoadReport{Slots: uint32(u.config.Slots), Connections: uint32(len(u.flows))}
	if u.faults.reportsIdle {
		return report
	}
	report.InProgress, report.Queued = uint32(len(u.running)), uint32(len(u.queue))
	report.Draining, report.Cold, report.Shedding = u.faults.draining, u.faults.isCold(time.Now()), u.faults.shedShare > 0
	return report
}

func (u *Upstream) updateFaults(change func(*faults)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.faults)
}

// Drain makes the upstream report that it is draining and refuse new flows, or ends this.
func (u *Upstream) Drain(on bool) { u.updateFaults(func(f *faults) { f.draining = on }) }

// ReportIdle makes the upstream report that no request is in progress or queued, or ends this.
func (u *Upstream) ReportIdle(on bool) { u.updateFaults(func(f *faults) { f.reportsIdle = on }) }

// SuppressReplies makes the upstream run requests without sending any packet, or ends this.
func (u *Upstream) SuppressReplies(on bool) { u.updateFaults(func(f *faults) { f.silent = on }) }

// ColdStart extends service times for d, by a factor that falls from coldSlowdown to 1.
func (u *Upstream) ColdStart(d time.Duration) {
	u.updateFaults(func(f *faults) { f.coldStartedAt, f.coldDuration = time.Now(), d })
}

// FreezeLoadReport makes the upstream send its present load report on all later packets, or ends
// this.
func (u *Upstream) FreezeLoadReport(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.frozenReport = nil
	if on {
		u.faults.frozenReport = u.loadReport()
	}
}

// Pause stops the reading of packets and the completion of requests for d, as in a stopped process.
func (u *Upstream) Pause(d time.Duration) {
	u.updateFaults(func(f *faults) { f.pausedUntil = time.Now().Add(d) })
}

// Shed makes the upstream refuse a share of the requests. It returns ErrBadShare.
func (u *Upstream) Shed(share float64) error {
	if share < 0 || share > 1 {
		return fmt.Errorf("shed %v: %w", share, ErrBadShare)
	}
	u.updateFaults(func(f *faults) { f.shedShare = share })
	return nil
}

// ForgetFlows discards the state of a share of the open flows. The upstream answers later packets of
// these flows with RESET. It returns their number, or ErrBadShare.
func (u *Upstream) ForgetFlows(share float64) (int, error) {
	return u.forShareOfFlows(share, func(key wire.FlowKey, _ *flow) { delete(u.flows, key) })
}

// MuteFlows makes the upstream permanently ignore a share of the open flows, while new flows work.
// It returns their number, or ErrBadShare.
func (u *Upstream) MuteFlows(share float64) (int, error) {
	return u.forShareOfFlows(share, func(_ wire.FlowKey, f *flow) { f.muted = true })
}

func (u *Upstream) forShareOfFlows(share float64, act func(wire.FlowKey, *flow)) (int, error) {
	if share < 0 || share > 1 {
		return 0, fmt.Errorf("share of flows %v: %w", share, ErrBadShare)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	affected := 0
	for key, f := range u.flows {
		if u.rng.Float64() < share {
			act(key, f)
			affected++
		}
	}
	return affected, nil
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
