package membership

import (
	"context"
	"sync"
	"time"
)

// Run runs the protocol until ctx ends, then returns nil.
func (m *Membership) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { m.runNotifier(ctx) })

	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := m.newTick()
	m.lastTick.Store(&last)
	lastInterval := int64(0)
	m.startJoin(last.at)
	for {
		current := m.newTick()
		now := current.at
		if gap := current.since(last); gap > DropTimeout {
			m.resumeAfterPause(now, gap)
		}
		last = current
		m.lastTick.Store(&current)
		m.dropSuspects(now)
		m.checkPendingProbes(now)
		if interval := now.UnixNano() / int64(ProbeInterval); interval != lastInterval {
			lastInterval = interval
			m.startProbe(now, interval)
		}
		m.announceUrgentChange(now)
		m.retryDropped(now)
		m.startDueJoinTasks(ctx, now, &tasks)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tick is the time of an iteration of Run.
type tick struct {
	at time.Time
	// suspended is for how long the VM had been suspended by then.
	suspended time.Duration
}

func (m *Membership) newTick() tick {
	m.AccountSuspension()
	return m.currentTick()
}

// currentTick returns a tick with the suspension that was accounted last.
func (m *Membership) currentTick() tick {
	return tick{time.Now(), time.Duration(m.suspended.Load())}
}

// AccountSuspension makes the following calls of Paused include the time for which the VM has been suspended
// so far. It must be called after each read of packets and before they are handled, since they may have
// waited in the socket during the suspension. Paused does not read the clocks itself: that takes about as
// long as handling a packet.
func (m *Membership) AccountSuspension() { m.suspended.Store(int64(m.options.Suspended())) }

// since returns the time since an earlier tick, including the time for which the VM was suspended.
func (t tick) since(earlier tick) time.Duration {
	return t.at.Sub(earlier.at) + t.suspended - earlier.suspended
}

// Paused reports whether this daemon was paused, or its VM suspended, for longer than DropTimeout and Run
// has not handled that yet. Other daemons may hold its resources by then, so this daemon must not act as
// their holder. Paused returns false before Run.
func (m *Membership) Paused() bool {
	last := m.lastTick.Load()
	return last != nil && m.currentTick().since(*last) > DropTimeout
}

// runNotifier notifies the subscribers of changes of the view until ctx ends.
func (m *Membership) runNotifier(ctx context.Context) {
	var previous *View
	previous = m.notifySubscribers(&View{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.viewChanged:
			previous = m.notifySubscribers(previous)
		}
	}
}

// resumeAfterPause gives this daemon a new incarnation after a pause in which the other daemons dropped
// it. It discards pending probes and restarts the drop timers of suspects, since this daemon could
// not read acks and refutations during the pause.
func (m *Membership) resumeAfterPause(now time.Time, gap time.Duration) {
	m.options.Logger.Warn().Str("event", "pause_detected").Dur("gap", gap).Send()
	m.options.Counters.Count("membership.paused")
	m.options.OnPause()
	m.mu.Lock()
	m.renewIncarnation(now)
	clear(m.pendingProbes)
	clear(m.relayed)
	for _, e := range m.entries {
		if !e.dropAt.IsZero() {
			e.dropAt = now.Add(DropTimeout)
		}
	}
	m.publishView()
	peers := m.reachableMembers()
	m.mu.Unlock()
	m.startJoin(now)
	m.announce(peers)
}
