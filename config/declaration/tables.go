package declaration

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// MaxTableVersions is the number of earlier upstream sets that a service keeps.
	MaxTableVersions = 16
	// DefaultIdleLimit is the time after which a flow without packets is forgotten.
	DefaultIdleLimit = 10 * time.Minute
)

// trackTable fills in the table generation and the earlier upstream sets of a service from
// its state before the change, which is nil for a new service. A service that does not change
// keeps its versions, so that a commit writes only what it changes; readers apply the idle
// limit to the times of the versions.
//
// When more than MaxTableVersions are still needed, the oldest ones are replaced by one
// without entries. No bucket has an upstream there, so owners ask for flows that may be as
// old instead of guessing.
func trackTable(before, service *pb.Service, generation uint64, now time.Time) {
	if before == nil {
		service.TableGeneration, service.TableSinceMs = generation, now.UnixMilli()
		return
	}
	service.TableGeneration, service.TableSinceMs = before.GetTableGeneration(), before.GetTableSinceMs()
	if proto.Equal(serviceContent(before), serviceContent(service)) {
		service.Previous = before.GetPrevious()
		return
	}
	versions := before.GetPrevious()
	entries := tableEntries(before)
	if !slices.EqualFunc(entries, tableEntries(service), sameEntry) {
		replaced := &pb.TableVersion{
			Generation: before.GetTableGeneration(), SinceMs: before.GetTableSinceMs(), Entries: entries,
		}
		versions = append([]*pb.TableVersion{replaced}, versions...)
		service.TableGeneration, service.TableSinceMs = generation, now.UnixMilli()
	}
	service.Previous = neededVersions(service, versions, now)
}

// neededVersions returns the versions, newest first, up to the last one that flows may still
// rest on.
func neededVersions(service *pb.Service, versions []*pb.TableVersion, now time.Time) []*pb.TableVersion {
	needed := 0
	endedMs := service.GetTableSinceMs()
	for i, v := range versions {
		if now.UnixMilli()-endedMs <= idleLimit(service).Milliseconds() || holdsDraining(service, v) {
			needed = i + 1
		}
		endedMs = v.GetSinceMs()
	}
	kept := slices.Clone(versions[:needed])
	if len(kept) > MaxTableVersions {
		oldest := kept[len(kept)-1]
		kept = kept[:MaxTableVersions]
		kept[MaxTableVersions-1] = &pb.TableVersion{Generation: oldest.GetGeneration(), SinceMs: oldest.GetSinceMs()}
	}
	return kept
}

func idleLimit(service *pb.Service) time.Duration {
	if ms := service.GetLimits().GetIdleLimitMs(); ms != 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return DefaultIdleLimit
}

// holdsDraining reports whether a version has an upstream that is draining now. A version
// without entries stands for any.
func holdsDraining(service *pb.Service, v *pb.TableVersion) bool {
	for _, u := range service.GetUpstreams() {
		if u.GetState() != pb.DeclaredState_DECLARED_STATE_DRAINING {
			continue
		}
		if len(v.GetEntries()) == 0 {
			return true
		}
		if slices.ContainsFunc(v.GetEntries(), func(e *pb.TableEntry) bool { return e.GetUpstream() == u.GetNumber() }) {
			return true
		}
	}
	return false
}

// tableEntries returns the active upstreams in the order of their numbers.
func tableEntries(service *pb.Service) []*pb.TableEntry {
	var entries []*pb.TableEntry
	for _, u := range service.GetUpstreams() {
		if u.GetState() != pb.DeclaredState_DECLARED_STATE_DRAINING {
			entries = append(entries, &pb.TableEntry{Upstream: u.GetNumber(), Weight: u.GetWeight()})
		}
	}
	slices.SortFunc(entries, func(a, b *pb.TableEntry) int { return int(a.GetUpstream()) - int(b.GetUpstream()) })
	return entries
}

func sameEntry(a, b *pb.TableEntry) bool {
	return a.GetUpstream() == b.GetUpstream() && a.GetWeight() == b.GetWeight()
}
