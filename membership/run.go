package membership

import (
	"context"
	"sync"
	"time"
)

// Run probes and joins until ctx ends, then returns nil.
func (m *Membership) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { m.runNotifier(ctx) })

	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	m.noteTick(last)
	probed := int64(0)
	m.startJoin(last)
	for {
		now := time.Now()
		if now.Sub(last) > DropTimeout {
			m.resume(now, now.Sub(last))
		}
		last = now
		m.noteTick(now)
		m.dropSuspects(now)
		m.checkProbes(now)
		if interval := now.UnixNano() / int64(ProbeInterval); interval != probed {
			probed = interval
			m.startProbe(now, interval)
		}
		m.announceUrgent(now)
		m.retryGone(now)
		m.checkJoin(ctx, now, &tasks)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (m *Membership) noteTick(now time.Time) { m.tickedAt.Store(&now) }

// Paused reports whether this daemon was paused for longer than DropTimeout and Run has not
// dealt with that yet. Others may have taken its resources over, so that what it believes to
// hold must not be used. It is false before Run.
func (m *Membership) Paused() bool {
	at := m.tickedAt.Load()
	return at != nil && time.Since(*at) > DropTimeout
}

func (m *Membership) runNotifier(ctx context.Context) {
	var previous *View
	previous = m.notify(&View{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
			previous = m.notify(previous)
		}
	}
}

// resume takes a new incarnation after a pause in which the others dropped this daemon.
// Nothing that was suspected before the pause counts, since no ack could be read.
func (m *Membership) resume(now time.Time, gap time.Duration) {
	m.options.Logger.Warn().Str("event", "pause_detected").Dur("gap", gap).Send()
	m.options.Counters.Count("membership.paused")
	m.options.OnPause()
	m.mu.Lock()
	m.renew(now)
	clear(m.probes)
	clear(m.relayed)
	for _, e := range m.entries {
		if !e.dropAt.IsZero() {
			e.dropAt = now.Add(DropTimeout)
		}
	}
	m.publish()
	peers := m.reachable()
	m.mu.Unlock()
	m.startJoin(now)
	m.announce(peers)
}
