package discovery

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/store"
)

// Guards against a merge of a list or of another daemon's records that reverts changes which a
// watch has delivered, or that keeps deleted records. The cache holds a (version 1) and d (version
// 2).
func TestMerge(t *testing.T) {
	tests := []struct {
		name    string
		watched []store.Change
		delta   RecordSet
		want    map[string]store.Version
	}{
		{"a newer record", nil, completeList(9, record("a", 1), record("d", 8)), map[string]store.Version{"a": 1, "d": 8}},
		{"a deleted record", nil, completeList(9, record("a", 1)), map[string]store.Version{"a": 1}},
		{
			"a change after the list", []store.Change{{Record: record("d", 12)}},
			completeList(9, record("a", 1), record("d", 8)), map[string]store.Version{"a": 1, "d": 12},
		},
		{
			"a record that is newer than the list", []store.Change{{Record: record("c", 12)}},
			completeList(9, record("a", 1), record("d", 2)), map[string]store.Version{"a": 1, "d": 2, "c": 12},
		},
		{
			"a record that was removed after the list", []store.Change{{Record: record("d", 12), Deleted: true}},
			completeList(9, record("a", 1), record("d", 2)), map[string]store.Version{"a": 1},
		},
		{
			"a record that was created again", []store.Change{{Record: record("d", 5), Deleted: true}},
			completeList(9, record("a", 1), record("d", 7)), map[string]store.Version{"a": 1, "d": 7},
		},
		{
			"a delta without a's bucket", nil, RecordSet{AsOf: 9, Buckets: []int{bucketOf("d")}}, map[string]store.Version{"a": 1},
		},
		{
			"a stale list", nil, RecordSet{Records: []store.Record{record("a", 1), record("c", 3)}},
			map[string]store.Version{"a": 1, "d": 2, "c": 3},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			rc := newRecordCache()
			rc.merge(completeList(2, record("a", 1), record("d", 2)), at(0))
			rc.apply(store.Changes{Changes: test.watched, AsOf: 12}, at(1))
			rc.merge(test.delta, at(2))
			got := map[string]store.Version{}
			for name, r := range rc.records {
				got[name] = r.Version
			}
			g.Expect(got).To(Equal(test.want))
			other := newRecordCache()
			other.merge(rc.delta(nil), at(3))
			g.Expect(other.buckets).To(Equal(rc.buckets))
		})
	}
}

// Guards against a deleted record that a delayed watch response adds again.
func TestLateWatchAfterList(t *testing.T) {
	g := NewWithT(t)
	rc := newRecordCache()
	rc.merge(completeList(9, record("a", 1)), at(0))
	g.Expect(rc.apply(store.Changes{Changes: []store.Change{{Record: record("d", 8)}}, AsOf: 8}, at(1))).To(BeEmpty())
	g.Expect(rc.records).NotTo(HaveKey("d"))
}

// Guards against tombstones that accumulate without limit, and against one that is purged while
// record sets validated earlier may still contain the record.
func TestTombstonesArePurged(t *testing.T) {
	g := NewWithT(t)
	rc := newRecordCache()
	rc.merge(completeList(2, record("a", 1), record("d", 2)), at(0))
	rc.apply(store.Changes{Changes: []store.Change{{Record: record("a", 3), Deleted: true}}, AsOf: 3}, at(100))
	rc.purgeTombstones(at(99))
	g.Expect(rc.tombstones).To(HaveKey("a"))
	rc.purgeTombstones(at(101))
	g.Expect(rc.tombstones).To(BeEmpty())
}

// Guards against daemons that send all their records because of one change.
func TestDeltaHoldsOnlyDifferentBuckets(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newRecordCache(), newRecordCache()
	for _, rc := range []*recordCache{ours, theirs} {
		rc.merge(completeList(2, record("a", 1), record("d", 2)), at(0))
	}
	theirs.apply(store.Changes{Changes: []store.Change{{Record: record("d", 3)}}, AsOf: 3}, at(1))
	rs := theirs.delta(ours.buckets[:])
	g.Expect(rs.Buckets).To(Equal([]int{bucketOf("d")}))
	ours.merge(rs, at(2))
	g.Expect(ours.digest()).To(Equal(theirs.digest()))
}
