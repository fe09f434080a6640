package discovery

import (
	"slices"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

// apply puts changes of the copy in force. isFirst marks the first list, which makes the kind
// known even if it is empty.
func (f *Follower) apply(kind store.Kind, changes []store.Change, isFirst, fromStore bool) {
	origin := "store"
	if !fromStore {
		origin = "daemon"
	}
	if kind == platform.KindConfiguration {
		for _, change := range changes {
			if !change.Deleted && change.Record.Name == platform.ConfigurationName {
				f.applyConfiguration(change.Record, origin)
			}
		}
		return
	}
	var put []*catalog.Upstream
	var removed, unreadable []string
	for _, change := range last(changes) {
		if change.Deleted {
			removed = append(removed, change.Record.Name)
		} else if u := f.decodeUpstream(change.Record); u != nil {
			put = append(put, u)
		} else {
			unreadable = append(unreadable, change.Record.Name)
		}
	}
	switch {
	case isFirst:
		f.options.Catalog.SetUpstreams(put)
	case len(changes) > 0:
		f.options.Catalog.ApplyChanges(put, removed, unreadable)
	default:
		return
	}
	f.options.Logger.Info().Str("event", "upstreams_changed").Str("origin", origin).
		Uint64("version", uint64(f.kinds[kind].mirror.asOf)).
		Int("put", len(put)).Strs("removed", removed).Int("upstreams", f.options.Catalog.Current().UpstreamCount()).Send()
}

// last returns the last change of each record: an entry that lapsed and came back may be removed and
// written in one answer.
func last(changes []store.Change) []store.Change {
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

func (f *Follower) decodeUpstream(r store.Record) *catalog.Upstream {
	u, err := platform.DecodeUpstream(r)
	if err != nil {
		f.options.Counters.Drop("upstream_entry")
		f.options.Logger.Warn().Str("event", "upstream_entry_refused").Str("upstream", r.Name).
			Uint64("version", uint64(r.Version)).Err(err).Send()
		return nil
	}
	return u
}

func (f *Follower) applyConfiguration(r store.Record, origin string) {
	c, skipped, err := platform.DecodeConfiguration(r)
	if err != nil {
		f.options.Counters.Drop("configuration")
		f.options.Logger.Error().Str("event", "configuration_refused").Uint64("version", uint64(r.Version)).Err(err).Send()
		return
	}
	if !f.options.Catalog.SetConfiguration(c) {
		f.options.Counters.Drop("configuration_older")
		f.options.Logger.Warn().Str("event", "configuration_older").Str("origin", origin).Int64("generation", c.Version).Send()
		return
	}
	f.options.Logger.Info().Str("event", "configuration_changed").Str("origin", origin).Int64("generation", c.Version).
		Uint64("version", uint64(r.Version)).Int("routes", len(c.Routes)).Strs("routes_refused", skipped).Send()
}
