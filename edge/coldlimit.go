package edge

import (
	"github.com/fulmarfield/fulmarfield/coldlimit"
	"github.com/fulmarfield/fulmarfield/fleet"
)

// newColdLimit returns the limit for cold upstreams, or nil if the daemon does not read evacuations: without them the
// daemon does not count the other daemons.
func newColdLimit(s *Settings, f *fleet.Fleet) *coldlimit.Limiter {
	if !s.readsEvacuations() {
		return nil
	}
	return coldlimit.New(coldlimit.Options{
		Overage: s.coldOverage(), Slack: s.coldSlack(), Fleet: f.Roster,
	})
}
