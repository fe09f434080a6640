package daemon

import (
	"context"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// drainCheckInterval is the time between two comparisons of the daemon's declared state with its
// actual one. A change of the configuration is not enough as a trigger: the configuration may be in
// force before this daemon's view contains another daemon that can take over.
const drainCheckInterval = time.Second

// applyDeclaredState hands over all resources when the configuration declares this daemon draining,
// and joins again when the configuration declares it active. A drained daemon keeps running and
// serves operators, but is not ready.
func (n *Node) applyDeclaredState(ctx context.Context) error {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	var handedOverAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		isDraining := n.isDeclaredDraining()
		switch {
		case isDraining && !n.leaving.Load() && n.hasSuccessor():
			n.drain(ctx)
			handedOverAt = time.Now()
		case !isDraining && n.drained.Load() && time.Since(handedOverAt) >= rejoinDelay:
			n.rejoin(ctx)
		}
	}
}

// rejoinDelay is the time between a hand-over and joining again, in which the responses to the last
// claims arrive. If the daemon joined earlier, no daemon would have the records, and the new guard
// token would end requests in progress with an unknown outcome.
const rejoinDelay = time.Second

// drain announces the leave and hands over all resources. It returns when this is done and no request
// is in progress, or when the hand-over takes too long. An undrain cancels the wait for requests, but
// not the transfer of resources, which is short.
func (n *Node) drain(ctx context.Context) {
	n.leaveMu.Lock()
	if n.stopping {
		n.leaveMu.Unlock()
		return
	}
	n.drained.Store(true)
	n.announceLeave()
	n.leaveMu.Unlock()
	n.logger.Info().Str("event", eventDaemonDraining).Msg("")
	err := n.ownership.Leave(ctx)
	if err == nil {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go n.cancelWhenUndrained(ctx, cancel)
		err = n.waitForRequests(ctx)
	}
	if err != nil {
		n.logger.Warn().Str("event", eventDaemonDrainIncomplete).Err(err).Msg("")
		return
	}
	n.logger.Info().Str("event", eventDaemonDrained).Msg("")
}

// cancelWhenUndrained cancels the wait of a drain once the configuration no longer drains this daemon.
func (n *Node) cancelWhenUndrained(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for n.isDeclaredDraining() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	cancel()
}

// rejoinCheckInterval is the time between two checks whether a daemon that joins again has claimed its
// share.
const rejoinCheckInterval = 100 * time.Millisecond

// rejoin joins with a new incarnation, claims the daemon's share of the resources and then makes the
// daemon ready. A daemon that obtains no resource becomes ready after the longest time of a hand-over:
// in a large fleet its share may be empty, and it can forward packets without one.
func (n *Node) rejoin(ctx context.Context) {
	n.leaveMu.Lock()
	if n.stopping {
		n.leaveMu.Unlock()
		return
	}
	n.drained.Store(false)
	n.rejoining.Store(true)
	n.membership.Rejoin()
	n.ownership.Rejoin()
	n.leaving.Store(false)
	n.leaveMu.Unlock()
	n.logger.Info().Str("event", eventDaemonUndrained).Msg("")
	ctx, cancel := context.WithTimeout(ctx, ownership.LeaveTimeout)
	defer cancel()
	ticker := time.NewTicker(rejoinCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !n.hasShare() && !n.isDeclaredDraining() {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	n.rejoining.Store(false)
	n.logger.Info().Str("event", eventDaemonRejoined).Int("resources", n.ownership.NumHeld()).Msg("")
}

// hasShare reports whether this daemon holds resources and has no claim pending.
func (n *Node) hasShare() bool { return n.ownership.NumHeld() > 0 && n.ownership.NumClaiming() == 0 }

// isDeclaredDraining reports whether the configuration in force declares this daemon draining.
func (n *Node) isDeclaredDraining() bool {
	for _, d := range n.relay.Current().Proto.GetDaemons() {
		if d.GetName() == string(n.self.ID) {
			return d.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING
		}
	}
	return false
}

// hasSuccessor reports whether another daemon can take over the resources. The last daemon does not
// drain.
func (n *Node) hasSuccessor() bool {
	for _, m := range n.membership.View().Members {
		if m.ID != n.self.ID && m.CanOwn() {
			return true
		}
	}
	return false
}

// notReadyReason returns the reason why the daemon is not ready, for the health check.
func (n *Node) notReadyReason() string {
	switch {
	case n.leaving.Load() && n.isDeclaredDraining():
		return "drained by the configuration"
	case n.rejoining.Load():
		return "undrained by the configuration; claiming its share"
	case n.leaving.Load():
		return "leaving"
	default:
		return "no configuration: neither the platform nor a peer has given one"
	}
}
