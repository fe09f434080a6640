package inband

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/coldlimit"
)

// ColdLimit limits the opening packets that cold upstreams receive. It is implemented by *coldlimit.Limiter.
type ColdLimit interface {
	// Allows reports whether an opening packet may be sent now to a cold upstream that accepts rate packets a
	// second, and RecordPlacement records that one is sent.
	Allows(upstream uint64, rate float64, now time.Time) bool
	RecordPlacement(upstream uint64, now time.Time)
}

// coldRate returns the rate in packets a second that limits the opening packets to an upstream, 0 if they are not
// limited.
func (s *Steerer) coldRate(known state, u *catalog.Upstream, now time.Time) float64 {
	if s.options.ColdLimit == nil || !u.IsCold(now) || known.Config == nil {
		return 0
	}
	rate := known.Config.Services[u.Service].ColdRate
	if !coldlimit.IsLimited(rate) {
		return 0
	}
	return rate
}

// isColdLimited reports whether an upstream may receive no opening packet now, because it is cold.
func (s *Steerer) isColdLimited(known state, u *catalog.Upstream, now time.Time) bool {
	rate := s.coldRate(known, u, now)
	return rate > 0 && !s.options.ColdLimit.Allows(u.Key, rate, now)
}

// recordColdPlacement records that an opening packet is sent to an upstream, if it is cold.
func (s *Steerer) recordColdPlacement(known state, u *catalog.Upstream, now time.Time) {
	if s.coldRate(known, u, now) > 0 {
		s.options.ColdLimit.RecordPlacement(u.Key, now)
	}
}
