package load

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// bandInterval bounds notices that only say how busy an upstream is to a few bytes a second.
const bandInterval = 5 * time.Second

// Announcer decides when a notice is due: at each change of state or token, and when the
// queue grows or empties, at most once in 5 s. It has no lock.
type Announcer struct {
	last *pb.UpstreamNotice
	at   time.Time
}

// Due reports whether n tells something new, and if so remembers it as sent.
func (a *Announcer) Due(now time.Time, n *pb.UpstreamNotice) bool {
	if !a.isNews(now, n) {
		return false
	}
	a.last, a.at = n, now
	return true
}

func (a *Announcer) isNews(now time.Time, n *pb.UpstreamNotice) bool {
	if n.GetTokenChanged() || a.last == nil {
		return true
	}
	if n.GetState() != a.last.GetState() || n.GetGuardToken() != a.last.GetGuardToken() {
		return true
	}
	return band(n) != band(a.last) && now.Sub(a.at) >= bandInterval
}

// band is 0 without a queue, 1 with a short one and 2 with a long one.
func band(n *pb.UpstreamNotice) int {
	const long = 8
	switch queued := n.GetQueued(); {
	case queued == 0:
		return 0
	case queued < long:
		return 1
	}
	return 2
}
