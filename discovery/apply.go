package discovery

import (
	"errors"
	"slices"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

// apply applies changes of the cached records to the catalog. isFirst marks the first record
// set of a kind: even if it is empty, the catalog counts the kind as listed from then on.
func (s *Syncer) apply(kind store.Kind, changes []store.Change, isFirst, fromStore bool) {
	origin := "store"
	if !fromStore {
		origin = "daemon"
	}
	if kind == platform.KindEvacuations {
		s.applyEvacuations(changes, isFirst, origin)
		return
	}
	if kind == platform.KindConfiguration {
		for _, change := range changes {
			if !change.Deleted && change.Record.Name == platform.ConfigurationName {
				s.applyConfiguration(change.Record, origin)
			}
		}
		return
	}
	var put []*catalog.Upstream
	var removed, unreadable []string
	for _, change := range lastChanges(changes) {
		if change.Deleted {
			removed = append(removed, change.Record.Name)
		} else if u := s.decodeUpstream(change.Record); u != nil {
			s.logIncarnation(u, origin)
			put = append(put, u)
		} else {
			unreadable = append(unreadable, change.Record.Name)
		}
	}
	switch {
	case isFirst:
		s.options.Catalog.ApplyChanges(nil, nil, unreadable)
		s.options.Catalog.SetUpstreams(put)
	case len(changes) > 0:
		s.options.Catalog.ApplyChanges(put, removed, unreadable)
	default:
		return
	}
	s.options.Logger.Info().Str("event", "upstreams_changed").Str("origin", origin).
		Uint64("version", uint64(s.kinds[kind].recordCache.asOf)).
		Int("put", len(put)).Strs("removed", removed).Int("upstreams", s.options.Catalog.Current().UpstreamCount()).Send()
}

// logIncarnation writes a line if an entry shows another incarnation of an upstream than the catalog has: the upstream
// has started again, or the store did a write of an earlier process late.
func (s *Syncer) logIncarnation(u *catalog.Upstream, origin string) {
	previous := s.options.Catalog.Current().Latest(u.ID)
	if previous == nil || previous.Key == u.Key {
		return
	}
	s.options.Counters.Count("upstream.restarted")
	s.options.Logger.Info().Str("event", "upstream_restarted").Str("origin", origin).Str("upstream", u.ID).
		Uint64("version", u.EntryVersion).Int64("started_at", u.StartedAt).Int64("previously", previous.StartedAt).Send()
}

// lastChanges returns the last change of each record. One response may contain both the removal and
// the new entry of an upstream whose entry expired and that registered again.
func lastChanges(changes []store.Change) []store.Change {
	seen := make(map[string]bool, len(changes))
	var kept []store.Change
	for _, change := range slices.Backward(changes) {
		if !seen[change.Record.Name] {
			seen[change.Record.Name] = true
			kept = append(kept, change)
		}
	}
	return kept
}

// decodeUpstream returns the upstream in a record, or nil, with a log line, if the record is invalid.
func (s *Syncer) decodeUpstream(r store.Record) *catalog.Upstream {
	u, err := platform.DecodeUpstream(r)
	if err == nil && u.StartedAt == 0 && s.isStartKnown(u.ID) {
		err = errStartMissing
	}
	if err != nil {
		s.options.Counters.CountDrop("upstream_entry")
		s.options.Logger.Warn().Str("event", "upstream_entry_refused").Str("upstream", r.Name).
			Uint64("version", uint64(r.Version)).Err(err).Send()
		return nil
	}
	return u
}

// errStartMissing means that an entry has no start time, although an earlier one of the same upstream has.
var errStartMissing = errors.New("entry lacks the start time that the upstream's own entries have")

// isStartKnown reports whether an upstream writes its start time into its entries. One without it then comes
// from another writer.
func (s *Syncer) isStartKnown(id string) bool {
	known := s.options.Catalog.Current().Latest(id)
	return known != nil && known.StartedAt != 0
}

// applyConfiguration puts a configuration in force. It refuses an invalid one and ignores an older one,
// each with a log line.
func (s *Syncer) applyConfiguration(r store.Record, origin string) {
	c, skipped, err := s.decoder.Decode(r)
	if err != nil {
		s.options.Counters.CountDrop("configuration")
		s.options.Logger.Error().Str("event", "configuration_refused").Uint64("version", uint64(r.Version)).Err(err).Send()
		return
	}
	isInForce := s.options.Catalog.SetConfiguration(c)
	known := s.kinds[platform.KindConfiguration]
	known.freshness.isOverridden = known.recordCache.era != 0 && c.Version < s.options.Catalog.Current().Config.Version
	if !isInForce {
		s.options.Counters.CountDrop("configuration_older")
		s.options.Logger.Warn().Str("event", "configuration_older").Str("origin", origin).Int64("generation", c.Version).Send()
		return
	}
	s.options.Logger.Info().Str("event", "configuration_changed").Str("origin", origin).Int64("generation", c.Version).
		Uint64("version", uint64(r.Version)).Int("routes", len(c.Routes)).Strs("routes_refused", skipped).Send()
}
