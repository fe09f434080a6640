package daemon

import (
	"context"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// drainCheck is how often a daemon compares its own declared state with what it does. A
// configuration may be in force before other daemons are known that could take over.
const drainCheck = time.Second

// followDeclaredState hands over everything when the configuration says that this daemon is
// draining. The daemon stays up and answers operators, but is not ready. Membership has no way
// back from a leave within one process, so an undrained daemon says that it must be restarted.
func (n *Node) followDeclaredState(ctx context.Context) error {
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	toldBack := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		drains := n.isDeclaredDraining()
		switch {
		case drains && !n.leaving.Load() && n.hasHeir():
			n.drained.Store(true)
			n.handOver(ctx)
		case !drains && n.drained.Load() && !toldBack:
			toldBack = true
			n.logger.Warn().Str("event", eventUndrainNeedsRestart).Msg("")
		}
	}
}

// handOver leaves for a drain.
func (n *Node) handOver(ctx context.Context) {
	n.logger.Info().Str("event", eventDaemonDraining).Msg("")
	if err := n.Leave(ctx); err != nil {
		n.logger.Warn().Str("event", eventDrainIncomplete).Err(err).Msg("")
		return
	}
	n.logger.Info().Str("event", eventDaemonDrained).Msg("")
}

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
	case n.leaving.Load() && n.drained.Load():
		return "undrained by the configuration; restart this daemon to serve again"
	case n.leaving.Load():
		return "leaving"
	default:
		return "no configuration: neither the platform nor a peer has given one"
	}
}
