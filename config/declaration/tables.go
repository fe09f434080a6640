package declaration

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// MaxTableVersions is the maximum number of earlier upstream sets in a service.
	MaxTableVersions = 16
	// DefaultIdleLimit is the time without packets after which the record of a flow is deleted, unless
	// the service declares another limit.
	DefaultIdleLimit = 10 * time.Minute
)

// updateTableVersions sets the table generation, its time and the earlier upstream sets of a service.
// before is the service before the change, nil for a new service. A service that does not change keeps
// its versions, so that a commit writes only the content objects of changed services; readers apply the
// idle limit to the times of the versions themselves.
//
// If more than MaxTableVersions versions are still needed, the oldest ones are replaced by one version
// without entries. No bucket has an upstream in that version, so flow owners send queries for flows
// that may be that old instead of assuming an upstream.
func updateTableVersions(before, service *pb.Service, generation uint64, now time.Time) {
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
	if !slices.EqualFunc(entries, tableEntries(service), equalEntries) {
		replaced := &pb.TableVersion{
			Generation: before.GetTableGeneration(), SinceMs: before.GetTableSinceMs(), Entries: entries,
		}
		versions = append([]*pb.TableVersion{replaced}, versions...)
		service.TableGeneration, service.TableSinceMs = generation, now.UnixMilli()
	}
	service.Previous = neededVersions(service, versions, now)
}

// neededVersions returns the versions, newest first, up to the oldest one by which established flows may
// have been assigned to their upstream: it ended within the idle limit, or has an upstream that is
// draining now.
func neededVersions(service *pb.Service, versions []*pb.TableVersion, now time.Time) []*pb.TableVersion {
	needed := 0
	endedMs := service.GetTableSinceMs()
	for i, v := range versions {
		if now.UnixMilli()-endedMs <= idleLimit(service).Milliseconds() || hasDrainingUpstream(service, v) {
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

// idleLimit returns the declared idle limit of a service or the default.
func idleLimit(service *pb.Service) time.Duration {
	if ms := service.GetLimits().GetIdleLimitMs(); ms != 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return DefaultIdleLimit
}

// hasDrainingUpstream reports whether a version has an upstream that is draining now. A version without
// entries may have had any upstream.
func hasDrainingUpstream(service *pb.Service, v *pb.TableVersion) bool {
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

// tableEntries returns the table entries of the active upstreams, in the order of their numbers.
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

func equalEntries(a, b *pb.TableEntry) bool {
	return a.GetUpstream() == b.GetUpstream() && a.GetWeight() == b.GetWeight()
}
