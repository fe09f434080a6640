package discovery

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

// eraLogInterval is the shortest time between two log lines about refused eras: a replica that lags may give the
// older era in each of its responses.
const eraLogInterval = 10 * time.Second

// errOtherEra means that a response belongs to another era of the store than the request or than the other
// responses, so that its versions are not comparable with theirs.
var errOtherEra = errors.New("response belongs to another era of the store")

// isEraError reports whether a response was refused for its era.
func isEraError(err error) bool {
	return errors.Is(err, errOtherEra)
}

// Era returns the era of the store that is in force on this daemon.
func (s *Syncer) Era() store.Era {
	s.mu.Lock()
	defer s.unlock()
	return s.era
}

// cachedEra returns the era of the cached records of a kind.
func (s *Syncer) cachedEra(kind store.Kind) store.Era { return s.published[kind].Load().era }

// KeptRecords returns how many records of a kind are kept in force from an earlier era of the store.
func (s *Syncer) KeptRecords(kind store.Kind) int { return s.published[kind].Load().kept }

// readPage reads a page of the store. It returns an error if the response belongs to an older era than the one in
// force.
func (s *Syncer) readPage(ctx context.Context, kind store.Kind, after string, c store.Consistency) (store.Page, error) {
	began := time.Now()
	p, err := s.options.Store.ListPage(ctx, kind, after, c)
	r := eraResponse{era: p.Era, invalid: p.InvalidEra}
	if c == store.Latest {
		r.latestSince = began
	}
	p.Era, err = s.checkEra(r, err)
	return p, err
}

// readChanges waits for changes after a version of an era. It returns an error if the response belongs to another
// era.
func (s *Syncer) readChanges(ctx context.Context, kind store.Kind, after store.Version, era store.Era) (store.Changes, error) {
	c, err := s.options.Store.WatchKind(ctx, kind, after, watchWait)
	if c.Era, err = s.checkEra(eraResponse{era: c.Era, invalid: c.InvalidEra}, err); err == nil && c.Era != era {
		err = fmt.Errorf("watch %s: era %d after %d: %w", kind, c.Era, era, errOtherEra)
	}
	return c, err
}

// refuseEraLocked counts and logs what belongs to an older era, and returns the error. The caller holds s.mu.
func (s *Syncer) refuseEraLocked(era store.Era, what string) error {
	s.options.Counters.CountDrop("store_era_older")
	s.logRefusedEraLocked(fmt.Sprintf("%s of era %d while the era is %d", what, era, s.era))
	return fmt.Errorf("era %d after %d: %w", era, s.era, errOtherEra)
}

func (s *Syncer) logRefusedEraLocked(reason string) {
	if now := time.Now(); s.eraRefusedAt.IsZero() || now.Sub(s.eraRefusedAt) >= eraLogInterval {
		s.eraRefusedAt = now
		s.options.Logger.Warn().Str("event", "store_era_refused").Str("reason", reason).Send()
	}
}

// mergeLocked merges a record set of the present era, or enters the era of the record set, and returns the changes
// of the records in force. The caller holds s.mu.
func (s *Syncer) mergeLocked(kind store.Kind, rs RecordSet) []store.Change {
	k, now := s.kinds[kind], time.Now()
	if rs.Era == k.recordCache.era {
		changes := k.recordCache.merge(rs, now)
		if !k.freshness.hasSettled() {
			changes = append(changes, k.recordCache.adopt(rs.Kept, s.isOlder(kind))...)
		}
		if k.freshness.eraSince.IsZero() {
			k.freshness.eraSince = rs.EraSince
		}
		return changes
	}
	if k.isLoaded() && kind == platform.KindUpstreams {
		s.options.Catalog.BeginEra(k.freshness.validatedAt)
	}
	old := k.recordCache.era
	changes := k.recordCache.enter(rs, s.isOlder(kind), s.isStopped(kind))
	if k.isLoaded() {
		s.options.Counters.Count("store.era_changed")
		s.options.Logger.Info().Str("event", "store_era_changed").Uint64("old", uint64(old)).Uint64("new", uint64(rs.Era)).
			Str("kind", string(kind)).Int("records", len(rs.Records)).Int("kept", len(k.recordCache.kept)).Send()
	}
	k.freshness.enterEra(rs.Era, rs.EraSince)
	return changes
}

// endGraceLocked puts the records of the present era in force instead of those that were kept from an earlier one,
// once their writers have had the time to write them again. It is called after each validation. A configuration
// is kept until a newer one is written. The caller holds s.mu.
func (s *Syncer) endGraceLocked(kind store.Kind) {
	k := s.kinds[kind]
	if kind == platform.KindConfiguration || len(k.recordCache.kept) == 0 || !k.freshness.hasSettled() {
		return
	}
	changes := k.recordCache.dropKept()
	s.options.Logger.Info().Str("event", "store_era_grace_ended").Str("kind", string(kind)).
		Uint64("era", uint64(k.recordCache.era)).Int("dropped", len(changes)).Send()
	s.apply(kind, changes, false, true)
}

// restartEraGraceLocked is called when the store becomes unavailable: what the writers had not written again by
// then, they can write only after it is available again. The caller holds s.mu.
func (s *Syncer) restartEraGraceLocked() {
	for _, k := range s.kinds {
		if !k.freshness.hasSettled() {
			k.freshness.eraSince = time.Time{}
		}
	}
}

// isOlder returns the function that reports whether a record was written before the cached one, although the store
// lists it after it was restored. The entries of an upstream are ordered by its start and its heartbeats. Its clock
// may have been set back before its last start: then its entry counts as older until the grace period ends.
func (s *Syncer) isOlder(kind store.Kind) func(listed, cached store.Record) bool {
	return func(listed, cached store.Record) bool {
		switch kind {
		case platform.KindUpstreams:
			l, err := platform.DecodeUpstream(listed)
			c, cachedErr := platform.DecodeUpstream(cached)
			if err != nil || cachedErr != nil || l.StartedAt == 0 || c.StartedAt == 0 {
				return false
			}
			return cmp.Or(cmp.Compare(l.StartedAt, c.StartedAt), cmp.Compare(platform.HeartbeatsOf(listed), platform.HeartbeatsOf(cached))) < 0
		case platform.KindConfiguration:
			c, _, cachedErr := s.decoder.Decode(cached)
			l, _, err := s.decoder.Decode(listed)
			return cachedErr == nil && (err != nil || l.Version < c.Version)
		default:
			return false
		}
	}
}

// isStopped returns the function that reports whether a record is the entry of an upstream whose removal this daemon
// has seen, and of no later incarnation.
func (s *Syncer) isStopped(kind store.Kind) func(listed store.Record) bool {
	return func(listed store.Record) bool {
		if kind != platform.KindUpstreams {
			return false
		}
		known := s.options.Catalog.Current().Latest(listed.Name)
		l, err := platform.DecodeUpstream(listed)
		return err == nil && known != nil && s.options.Catalog.Current().Upstream(known.Key) == nil && known.StartedAt != 0 &&
			l.StartedAt <= known.StartedAt
	}
}

// enter replaces the records by a complete record set of another era, and returns the changes of the records in
// force. What was in force is kept if the record set lacks it, has an older record, or has a record that is
// known to have been removed.
func (rc *recordCache) enter(rs RecordSet, isOlder func(listed, cached store.Record) bool, isStopped func(listed store.Record) bool) []store.Change {
	previous := maps.Clone(rc.records)
	for name, change := range rc.kept {
		delete(previous, name)
		if !change.Deleted {
			previous[name] = change.Record
		}
	}
	*rc = *newRecordCache()
	rc.era, rc.asOf, rc.validatedVersion = rs.Era, rs.AsOf, rs.AsOf
	var changes []store.Change
	for _, r := range rs.Records {
		rc.put(r)
		old, found := previous[r.Name]
		switch {
		case found && isOlder(r, old):
			rc.kept[r.Name] = store.Change{Record: old}
		case !found && isStopped(r):
			rc.kept[r.Name] = store.Change{Record: r, Deleted: true}
		case !found || !bytes.Equal(old.Body, r.Body):
			changes = append(changes, store.Change{Record: r})
		}
	}
	for name, r := range previous {
		if _, found := rc.records[name]; !found {
			rc.kept[name] = store.Change{Record: r}
		}
	}
	return append(changes, rc.adopt(rs.Kept, isOlder)...)
}

// adopt keeps records that another daemon has kept from an earlier era, and returns the changes of the records in
// force.
func (rc *recordCache) adopt(kept []store.Record, isOlder func(listed, cached store.Record) bool) []store.Change {
	var changes []store.Change
	for _, r := range kept {
		inForce, found := rc.records[r.Name]
		change, isKept := rc.kept[r.Name]
		if isKept {
			inForce, found = change.Record, !change.Deleted
		}
		_, wasRemoved := rc.tombstones[r.Name]
		if wasRemoved || isKept && change.Deleted || found && !isOlder(inForce, r) {
			continue
		}
		rc.kept[r.Name] = store.Change{Record: r}
		changes = append(changes, store.Change{Record: r})
	}
	return changes
}

// adoptKept keeps the records that another daemon keeps from an earlier era, if this process began with a list of the
// store, which lacks them. It reports whether it did.
func (s *Syncer) adoptKept(kind store.Kind, rs RecordSet) bool {
	s.mu.Lock()
	defer s.unlock()
	k := s.kinds[kind]
	if !k.freshness.lacksKept || rs.Era != k.recordCache.era {
		return false
	}
	k.freshness.lacksKept, k.freshness.fresherAdvertisement = false, Advertisement{}
	if k.freshness.hasSettled() {
		return true
	}
	if since := k.freshness.eraSince; !rs.EraSince.IsZero() && (since.IsZero() || rs.EraSince.Before(since)) {
		k.freshness.eraSince = rs.EraSince
	}
	s.apply(kind, k.recordCache.adopt(rs.Kept, s.isOlder(kind)), false, false)
	return true
}

// dropKept drops what was kept from an earlier era, and returns the changes of the records in force.
func (rc *recordCache) dropKept() []store.Change {
	var changes []store.Change
	for name, change := range rc.kept {
		if r, found := rc.records[name]; found {
			changes = append(changes, store.Change{Record: r})
		} else if !change.Deleted {
			changes = append(changes, store.Change{Record: change.Record, Deleted: true})
		}
	}
	clear(rc.kept)
	return changes
}

// enterEra records that the cached records belong to a new era. It has to be followed by recordList. since is the
// time of the first validated records of that era, the zero time if none is known.
func (f *freshness) enterEra(era store.Era, since time.Time) {
	f.era, f.eraSince, f.isEraOver, f.eraOverAt = era, since, false, time.Time{}
	f.validatedAt, f.listedAt, f.askedAt, f.isOverridden = time.Time{}, time.Time{}, time.Time{}, false
}

// recordEra records a validation at a time, which is the first one in the present era unless there was another.
func (f *freshness) recordEra(at time.Time) {
	if f.era != 0 && f.eraSince.IsZero() {
		f.eraSince = at
	}
}

// hasSettled reports whether the records were validated late enough in the present era of the store for all
// writers to have written again what the store had lost.
func (f *freshness) hasSettled() bool {
	return !f.isEraOver && (f.era == 0 || !f.eraSince.IsZero() && f.validatedAt.Sub(f.eraSince) >= catalog.ReregistrationGrace)
}
