package daemon

import (
	"context"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// drainCheck is how often a daemon compares its own declared state with what it does. A
// configuration may be in force before other daemons are known that could take over.
const drainCheck = time.Second

// followDeclaredState hands over everything when the configuration says that this daemon is
// draining, and joins again when it is undrained. A drained daemon stays up and answers
// operators, but is not ready.
func (n *Node) followDeclaredState(ctx context.Context) error {
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	var handedOver time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		drains := n.isDeclaredDraining()
		switch {
		case drains && !n.leaving.Load() && n.hasHeir():
			n.drain(ctx)
			handedOver = time.Now()
		case !drains && n.drained.Load() && time.Since(handedOver) >= rejoinDelay:
			n.rejoin(ctx)
		}
	}
}

// rejoinDelay lets the answers to the last claims of a hand-over arrive. A daemon that joins
// again before would find the records nowhere, and the new guard token would end requests in
// progress as outcome unknown.
const rejoinDelay = time.Second

// drain leaves for a drain. It returns when everything is handed over or that takes too long.
// An undrain ends the wait for requests, but not the transfer of resources, which is short.
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
		err = n.finishRequests(ctx)
	}
	if err != nil {
		n.logger.Warn().Str("event", eventDrainIncomplete).Err(err).Msg("")
		return
	}
	n.logger.Info().Str("event", eventDaemonDrained).Msg("")
}

// cancelWhenUndrained ends the wait of a drain that the configuration no longer asks for.
func (n *Node) cancelWhenUndrained(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(drainCheck)
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

// rejoinCheck is how often a daemon that joins again looks whether it has its share.
const rejoinCheck = 100 * time.Millisecond

// rejoin takes a new incarnation, claims the daemon's share and makes it ready. A daemon that
// gets no resource is ready after the time that a hand-over may take: in a large fleet there
// may be none for it, and it forwards packets all the same.
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
	ticker := time.NewTicker(rejoinCheck)
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

// hasShare reports whether this daemon has claimed what it should hold.
func (n *Node) hasShare() bool { return n.ownership.NumHeld() > 0 && n.ownership.NumClaiming() == 0 }

// isDeclaredDraining reports whether the configuration in force drains this daemon.
func (n *Node) isDeclaredDraining() bool {
	for _, d := range n.relay.Current().Proto.GetDaemons() {
		if d.GetName() == string(n.self.ID) {
			return d.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING
		}
	}
	return false
}

// hasHeir reports whether another daemon can take over. The last one keeps serving.
func (n *Node) hasHeir() bool {
	for _, m := range n.membership.View().Members {
		if m.ID != n.self.ID && m.CanOwn() {
			return true
		}
	}
	return false
}

// notReadyReason says why the daemon is not ready, for the health check.
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
