package load

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// queueNoticeInterval is the shortest time between notices about the queue length alone. It limits
// their traffic to a few bytes per second for each upstream.
const queueNoticeInterval = 5 * time.Second

// Announcer decides when a notice on an upstream has to be sent: at each change of its state or guard
// token, and when its queue grows or shrinks, the latter at most once in 5 s. It has no lock.
type Announcer struct {
	lastNotice *pb.UpstreamNotice
	lastSentAt time.Time
}

// RecordIfDue reports whether n has to be sent now, and if so records n as the last notice sent.
func (a *Announcer) RecordIfDue(now time.Time, n *pb.UpstreamNotice) bool {
	if !a.hasChanged(now, n) {
		return false
	}
	a.lastNotice, a.lastSentAt = n, now
	return true
}

// hasChanged reports whether n differs from the last notice by so much that it has to be sent.
func (a *Announcer) hasChanged(now time.Time, n *pb.UpstreamNotice) bool {
	if n.GetTokenChanged() || a.lastNotice == nil {
		return true
	}
	if n.GetState() != a.lastNotice.GetState() || n.GetGuardToken() != a.lastNotice.GetGuardToken() {
		return true
	}
	return queueBand(n) != queueBand(a.lastNotice) && now.Sub(a.lastSentAt) >= queueNoticeInterval
}

// queueBand classifies the queue length of a notice: 0 for an empty queue, 1 for a short one and 2 for
// a long one.
func queueBand(n *pb.UpstreamNotice) int {
	const long = 8
	switch queued := n.GetQueued(); {
	case queued == 0:
		return 0
	case queued < long:
		return 1
	}
	return 2
}
