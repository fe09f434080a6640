package discovery

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarfield/fulmarfield/store"
)

// bucketCount is the number of buckets into which cached records are divided by a hash of their
// names, so that daemons exchange only the buckets that differ. 256 digests take 2 KB. With 3,000
// upstreams, one change costs the transfer of 12 records, about 3 KB.
const bucketCount = 256

// recordCache holds the cached records of one kind.
type recordCache struct {
	records map[string]store.Record
	// tombstones are the records that were removed after the last validation. A record set that was
	// validated earlier may still contain them.
	tombstones map[string]tombstone
	// era is the era of the store to which all versions here belong, except those of kept records.
	era store.Era
	// kept holds what was cached in an earlier era and stays in force instead of the records of this era, by
	// name: records that were written or, if Deleted is set, removed in what the store may have lost.
	kept map[string]store.Change
	// asOf is the version up to which watches or lists have delivered changes.
	asOf store.Version
	// validatedVersion is the version of the latest complete list that validated the records.
	validatedVersion store.Version
	// buckets are the digests of the record buckets. A digest is the sum of the hashes of its
	// records, so that each change updates it incrementally.
	buckets [bucketCount]uint64
}

// tombstone marks a removed record.
type tombstone struct {
	version   store.Version
	removedAt time.Time
}

func newRecordCache() *recordCache {
	return &recordCache{records: map[string]store.Record{}, tombstones: map[string]tombstone{}, kept: map[string]store.Change{}}
}

// digest returns the digest of all records. Daemons with the same records of the same era have the same digest,
// whatever they keep of an earlier era.
func (rc *recordCache) digest() uint64 {
	var sum uint64
	for _, b := range rc.buckets {
		sum += b
	}
	return sum
}

// hashRecord returns a hash of a record's name and of the position of its version. Era 0 adds nothing, so that
// daemons which know no eras compute the same hash.
func hashRecord(r store.Record) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Name) // A hash never returns an error.
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(r.Version))
	_, _ = h.Write(b[:])
	if r.Era != 0 {
		binary.BigEndian.PutUint64(b[:], uint64(r.Era))
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// bucketOf returns the number of the bucket of the record with a name.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// delta returns the records of those buckets whose digests differ from the given ones. It returns
// all records if the number of digests shows that the other daemon divides its records in another
// way.
func (rc *recordCache) delta(digests []uint64) RecordSet {
	rs := RecordSet{AsOf: rc.validatedVersion, Era: rc.era}
	for i, digest := range rc.buckets {
		if len(digests) != bucketCount || digests[i] != digest {
			rs.Buckets = append(rs.Buckets, i)
		}
	}
	isIncluded := bucketSet(rs.Buckets)
	for name, r := range rc.records {
		if isIncluded[bucketOf(name)] {
			rs.Records = append(rs.Records, r)
		}
	}
	for _, change := range rc.kept {
		if !change.Deleted {
			rs.Kept = append(rs.Kept, change.Record)
		}
	}
	return rs
}

// bucketSet marks the given buckets. It ignores numbers out of range: they come from a daemon that
// divides its records into more buckets, which sends all its records.
func bucketSet(buckets []int) [bucketCount]bool {
	var set [bucketCount]bool
	for _, b := range buckets {
		if b >= 0 && b < bucketCount {
			set[b] = true
		}
	}
	return set
}

// allBuckets returns the numbers of all buckets, for a complete list.
func allBuckets() []int {
	all := make([]int, bucketCount)
	for i := range all {
		all[i] = i
	}
	return all
}

// merge merges a record set of the same era that was complete at its version, and returns the resulting changes. It
// keeps the changes that watches have delivered since that version.
func (rc *recordCache) merge(rs RecordSet, now time.Time) []store.Change {
	var changes []store.Change
	present := make(map[string]bool, len(rs.Records))
	for _, r := range rs.Records {
		present[r.Name] = true
		old, known := rc.records[r.Name]
		tombstone, wasRemoved := rc.tombstones[r.Name]
		if (known && old.Version >= r.Version) || (wasRemoved && tombstone.version >= r.Version) {
			continue
		}
		changes = append(changes, store.Change{Record: r})
		rc.put(r)
		delete(rc.kept, r.Name)
	}
	isIncluded := bucketSet(rs.Buckets)
	for name, r := range rc.records {
		if !present[name] && r.Version <= rs.AsOf && isIncluded[bucketOf(name)] {
			changes = append(changes, store.Change{Record: r, Deleted: true})
			rc.remove(name, r.Version, now)
			delete(rc.kept, name)
		}
	}
	rc.asOf, rc.validatedVersion = max(rc.asOf, rs.AsOf), max(rc.validatedVersion, rs.AsOf)
	return changes
}

// apply applies the changes that a watch of the same era delivered, and returns those that were not cached yet. A
// change that is older than the cached record, or no newer than the list that validated the
// records, is ignored.
func (rc *recordCache) apply(c store.Changes, now time.Time) []store.Change {
	var applied []store.Change
	for _, change := range c.Changes {
		name, version := change.Record.Name, change.Record.Version
		old, known := rc.records[name]
		switch {
		case change.Deleted && known && old.Version <= version:
			rc.remove(name, version, now)
		case !change.Deleted && known && old.Version < version,
			!change.Deleted && !known && version > max(rc.validatedVersion, rc.tombstones[name].version):
			rc.put(change.Record)
		default:
			continue
		}
		delete(rc.kept, name)
		applied = append(applied, change)
	}
	rc.asOf = max(rc.asOf, c.AsOf)
	return applied
}

// purgeTombstones drops the tombstones of records that were removed before the records were
// validated: no record set with a later validation contains these records.
func (rc *recordCache) purgeTombstones(validatedAt time.Time) {
	for name, tombstone := range rc.tombstones {
		if tombstone.removedAt.Before(validatedAt) {
			delete(rc.tombstones, name)
		}
	}
}

// put stores a record, drops its tombstone and updates the digest of its bucket.
func (rc *recordCache) put(r store.Record) {
	b := bucketOf(r.Name)
	if old, known := rc.records[r.Name]; known {
		rc.buckets[b] -= hashRecord(old)
	}
	delete(rc.tombstones, r.Name)
	r.Era = rc.era
	rc.records[r.Name] = r
	rc.buckets[b] += hashRecord(r)
}

// remove replaces a record by a tombstone and updates the digest of its bucket.
func (rc *recordCache) remove(name string, version store.Version, now time.Time) {
	old, known := rc.records[name]
	if !known {
		return
	}
	rc.buckets[bucketOf(name)] -= hashRecord(old)
	delete(rc.records, name)
	rc.tombstones[name] = tombstone{version: version, removedAt: now}
}
