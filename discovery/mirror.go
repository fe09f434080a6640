package discovery

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarfield/fulmarfield/store"
)

// bucketCount is into how many parts a copy is divided by the names of its records, so that daemons
// exchange only the parts that differ: 256 digests are 2 KB, and of 3,000 upstreams one change
// costs the records of 12, about 3 KB.
const bucketCount = 256

// mirror is a copy of the records of one kind.
type mirror struct {
	records map[string]store.Record
	// removed are records that were removed after the copy was last proved, which an older copy
	// may still show.
	removed map[string]removal
	// asOf is the version up to which changes are included, as far as watches told of them.
	asOf store.Version
	// provenAsOf is the version up to which a complete list proves the copy.
	provenAsOf store.Version
	// buckets are the digests of the copy's parts. They are sums, so that they follow each change.
	buckets [bucketCount]uint64
}

// removal is what is kept of a record that was removed.
type removal struct {
	version store.Version
	at      time.Time
}

func newMirror() *mirror {
	return &mirror{records: map[string]store.Record{}, removed: map[string]removal{}}
}

// digest is the same for all daemons that have the same records.
func (m *mirror) digest() uint64 {
	var sum uint64
	for _, b := range m.buckets {
		sum += b
	}
	return sum
}

func hashRecord(r store.Record) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Name) // A hash never returns an error.
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(r.Version))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// part returns the records of those buckets whose digests differ from the given ones, or all if the
// other copy is divided in another way.
func (m *mirror) part(digests []uint64) Part {
	p := Part{AsOf: m.provenAsOf}
	for i, digest := range m.buckets {
		if len(digests) != bucketCount || digests[i] != digest {
			p.Buckets = append(p.Buckets, i)
		}
	}
	isIncluded := bucketSet(p.Buckets)
	for name, r := range m.records {
		if isIncluded[bucketOf(name)] {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// bucketSet marks the given buckets; numbers that are none are of a daemon that divides its copy in
// another way, which gives all its records.
func bucketSet(buckets []int) [bucketCount]bool {
	var set [bucketCount]bool
	for _, b := range buckets {
		if b >= 0 && b < bucketCount {
			set[b] = true
		}
	}
	return set
}

// allBuckets returns the buckets of a complete list.
func allBuckets() []int {
	all := make([]int, bucketCount)
	for i := range all {
		all[i] = i
	}
	return all
}

// merge takes over a part of a copy that was complete at its version, and returns what it changed.
// What watches have shown since then stays.
func (m *mirror) merge(p Part, now time.Time) []store.Change {
	var changes []store.Change
	present := make(map[string]bool, len(p.Records))
	for _, r := range p.Records {
		present[r.Name] = true
		old, known := m.records[r.Name]
		gone, wasRemoved := m.removed[r.Name]
		if (known && old.Version >= r.Version) || (wasRemoved && gone.version >= r.Version) {
			continue
		}
		changes = append(changes, store.Change{Record: r})
		m.put(r)
	}
	isIncluded := bucketSet(p.Buckets)
	for name, r := range m.records {
		if !present[name] && r.Version <= p.AsOf && isIncluded[bucketOf(name)] {
			changes = append(changes, store.Change{Record: r, Deleted: true})
			m.remove(name, r.Version, now)
		}
	}
	m.asOf, m.provenAsOf = max(m.asOf, p.AsOf), max(m.provenAsOf, p.AsOf)
	return changes
}

// apply takes over changes that a watch showed and returns those that are news. A change that is
// older than the record held, or than the list that proved the copy, is one that was seen before.
func (m *mirror) apply(c store.Changes, now time.Time) []store.Change {
	var news []store.Change
	for _, change := range c.Changes {
		name, version := change.Record.Name, change.Record.Version
		old, known := m.records[name]
		switch {
		case change.Deleted && known && old.Version <= version:
			m.remove(name, version, now)
		case !change.Deleted && known && old.Version < version,
			!change.Deleted && !known && version > max(m.provenAsOf, m.removed[name].version):
			m.put(change.Record)
		default:
			continue
		}
		news = append(news, change)
	}
	m.asOf = max(m.asOf, c.AsOf)
	return news
}

// forgetRemoved drops what is known of records that were removed before the copy was proved: no
// copy that was proved later shows them.
func (m *mirror) forgetRemoved(provedAt time.Time) {
	for name, gone := range m.removed {
		if gone.at.Before(provedAt) {
			delete(m.removed, name)
		}
	}
}

func (m *mirror) put(r store.Record) {
	b := bucketOf(r.Name)
	if old, known := m.records[r.Name]; known {
		m.buckets[b] -= hashRecord(old)
	}
	delete(m.removed, r.Name)
	m.records[r.Name] = r
	m.buckets[b] += hashRecord(r)
}

func (m *mirror) remove(name string, version store.Version, now time.Time) {
	old, known := m.records[name]
	if !known {
		return
	}
	m.buckets[bucketOf(name)] -= hashRecord(old)
	delete(m.records, name)
	m.removed[name] = removal{version: version, at: now}
}
