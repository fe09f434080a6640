package discovery

import (
	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

func (f *Follower) applyList(kind store.Kind, l store.Listing) {
	if kind == platform.KindConfiguration {
		for _, r := range l.Records {
			f.applyConfiguration(r)
		}
		return
	}
	upstreams := make([]*catalog.Upstream, 0, len(l.Records))
	for _, r := range l.Records {
		if u := f.decodeUpstream(r); u != nil {
			upstreams = append(upstreams, u)
		}
	}
	f.options.Catalog.SetUpstreams(upstreams)
	f.options.Logger.Info().Str("event", "upstreams_listed").Uint64("version", uint64(l.AsOf)).
		Int("upstreams", len(upstreams)).Int("entries", len(l.Records)).Send()
}

func (f *Follower) applyChanges(kind store.Kind, c store.Changes) {
	if len(c.Changes) == 0 {
		return
	}
	if kind == platform.KindConfiguration {
		for _, change := range c.Changes {
			if !change.Deleted {
				f.applyConfiguration(change.Record)
			}
		}
		return
	}
	var put []*catalog.Upstream
	var removed []string
	for _, change := range c.Changes {
		u := (*catalog.Upstream)(nil)
		if !change.Deleted {
			u = f.decodeUpstream(change.Record)
		}
		if u == nil {
			removed = append(removed, change.Record.Name)
			put = without(put, change.Record.Name)
		} else {
			put = append(without(put, u.ID), u)
			removed = withoutName(removed, u.ID)
		}
	}
	f.options.Catalog.Change(put, removed)
	f.options.Logger.Info().Str("event", "upstreams_changed").Uint64("version", uint64(c.AsOf)).
		Int("put", len(put)).Strs("removed", removed).Send()
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

func (f *Follower) applyConfiguration(r store.Record) {
	if r.Name != platform.ConfigurationName {
		return
	}
	c, skipped, err := platform.DecodeConfiguration(r)
	if err != nil {
		f.options.Counters.Drop("configuration")
		f.options.Logger.Error().Str("event", "configuration_refused").Uint64("version", uint64(r.Version)).Err(err).Send()
		return
	}
	if !f.options.Catalog.SetConfiguration(c) {
		return
	}
	f.options.Logger.Info().Str("event", "configuration_changed").Int64("generation", c.Version).
		Uint64("version", uint64(r.Version)).Int("routes", len(c.Routes)).Strs("routes_refused", skipped).Send()
}

func without(list []*catalog.Upstream, id string) []*catalog.Upstream {
	kept := list[:0]
	for _, u := range list {
		if u.ID != id {
			kept = append(kept, u)
		}
	}
	return kept
}

func withoutName(list []string, id string) []string {
	kept := list[:0]
	for _, name := range list {
		if name != id {
			kept = append(kept, name)
		}
	}
	return kept
}
