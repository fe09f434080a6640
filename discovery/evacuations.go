package discovery

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

// applyEvacuations applies changes of the evacuated zones to the catalog. An entry that cannot be decoded neither
// begins nor ends an evacuation.
func (s *Syncer) applyEvacuations(changes []store.Change, isFirst bool, origin string) {
	var put []catalog.Evacuation
	var removed []string
	for _, change := range lastChanges(changes) {
		if change.Deleted {
			removed = append(removed, change.Record.Name)
			continue
		}
		e, err := platform.DecodeEvacuation(change.Record)
		if err != nil {
			s.options.Counters.CountDrop("evacuation")
			s.options.Logger.Warn().Str("event", "evacuation_refused").Str("zone", change.Record.Name).
				Uint64("version", uint64(change.Record.Version)).Err(err).Send()
			continue
		}
		put = append(put, e)
	}
	began, ended := s.options.Catalog.ApplyEvacuations(put, removed, isFirst)
	for _, e := range began {
		s.options.Counters.Count("evacuation.began")
		s.options.Logger.Info().Str("event", "zone_evacuated").Str("zone", e.Zone).Str("origin", origin).
			Uint64("version", e.Version).Send()
	}
	for _, e := range ended {
		s.options.Counters.Count("evacuation.ended")
		s.options.Logger.Info().Str("event", "zone_returned").Str("zone", e.Zone).Str("origin", origin).
			Uint64("version", e.Version).Dur("after_ms", time.Since(e.Since)).Send()
	}
}
