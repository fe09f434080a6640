package relay

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarfield/fulmarfield/membership"
)

// watchersPerZone is 2, so that the failure of one daemon does not delay changes in its zone.
const watchersPerZone = 2

// zoneRanking returns the alive and suspect members of a zone, self included, by descending rendezvous
// hash. The first watchersPerZone of them are the watchers.
func zoneRanking(view *membership.View, zone string, self membership.DaemonID) []membership.DaemonID {
	ids := []membership.DaemonID{self}
	for _, m := range view.Members {
		if m.Zone == zone && m.CanOwn() && m.ID != self {
			ids = append(ids, m.ID)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := rendezvousHash(zone, ids[i]), rendezvousHash(zone, ids[j])
		return a > b || a == b && ids[i] < ids[j]
	})
	return ids
}

// rendezvousHash returns the rendezvous hash of a daemon for the watcher role of a zone.
func rendezvousHash(zone string, id membership.DaemonID) uint64 {
	return xxhash.Sum64String("config/watch/" + zone + "/" + string(id))
}

// isWatcher reports whether self is one of the watchers of its zone.
func isWatcher(view *membership.View, zone string, self membership.DaemonID) bool {
	for i, id := range zoneRanking(view, zone, self) {
		if id == self {
			return i < watchersPerZone
		}
	}
	return false
}

// pushTargets returns the daemons of the zone that self pushes to as a watcher: every
// watchersPerZone-th of the daemons that are not watchers, at most maxPushes.
func pushTargets(view *membership.View, zone string, self membership.DaemonID) []membership.DaemonID {
	ranking := zoneRanking(view, zone, self)
	position := -1
	for i := range min(watchersPerZone, len(ranking)) {
		if ranking[i] == self {
			position = i
		}
	}
	if position < 0 {
		return nil
	}
	var targets []membership.DaemonID
	for i := watchersPerZone; i < len(ranking) && len(targets) < maxPushes; i++ {
		if i%watchersPerZone == position {
			targets = append(targets, ranking[i])
		}
	}
	return targets
}
