package discovery

import "time"

// minSuspension is the length from which on a suspension matters. Shorter ones are within the inaccuracy
// of advertised ages.
const minSuspension = 20 * time.Millisecond

// AccountSuspension makes the cached records as old as they are after a suspension of this VM, and returns
// for how long the VM has been suspended in all. It must be called before packets that waited in a
// socket during the suspension are handled: their verdicts depend on the age of the records.
func (s *Syncer) AccountSuspension() time.Duration {
	if s.options.Suspended == nil {
		return 0
	}
	if known := time.Duration(s.suspended.Load()); s.options.Suspended()-known < minSuspension {
		return known
	}
	s.mu.Lock()
	defer s.unlock()
	return s.accountSuspensionLocked()
}

// accountSuspensionLocked implements AccountSuspension. The caller holds s.mu.
func (s *Syncer) accountSuspensionLocked() time.Duration {
	if s.options.Suspended == nil {
		return 0
	}
	total := s.options.Suspended()
	length := total - time.Duration(s.suspended.Load())
	if length < minSuspension {
		return total - length
	}
	s.suspended.Store(int64(total))
	for _, kind := range s.Kinds() {
		s.kinds[kind].freshness.age(length)
		notify(s.wake[kind])
	}
	// The store may have been unavailable meanwhile.
	s.breaker.restartAvailability(time.Now())
	s.options.Counters.Count("suspended")
	s.options.Logger.Warn().Str("event", "vm_suspended").Dur("for_ms", length).Send()
	return total
}

// age makes the cached records older by a duration.
func (f *freshness) age(d time.Duration) {
	for _, t := range []*time.Time{&f.validatedAt, &f.listedAt, &f.unvalidatedSince, &f.eraSince, &f.askedAt, &f.fresherAdvertisement.ValidatedAt} {
		if !t.IsZero() {
			*t = t.Add(-d)
		}
	}
}
