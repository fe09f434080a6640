package discovery

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/store"
)

// Guards against a copy that takes back what a watch has shown, or that keeps what is gone, when it
// takes over a list or another daemon's records. The copy holds a (version 1) and d (version 2).
func TestMerge(t *testing.T) {
	tests := []struct {
		name    string
		watched []store.Change
		part    Part
		want    map[string]store.Version
	}{
		{"a newer record", nil, list(9, record("a", 1), record("d", 8)), map[string]store.Version{"a": 1, "d": 8}},
		{"a record that is gone", nil, list(9, record("a", 1)), map[string]store.Version{"a": 1}},
		{
			"a change after the list", []store.Change{{Record: record("d", 12)}},
			list(9, record("a", 1), record("d", 8)), map[string]store.Version{"a": 1, "d": 12},
		},
		{
			"a record that is newer than the list", []store.Change{{Record: record("c", 12)}},
			list(9, record("a", 1), record("d", 2)), map[string]store.Version{"a": 1, "d": 2, "c": 12},
		},
		{
			"a record that was removed after the list", []store.Change{{Record: record("d", 12), Deleted: true}},
			list(9, record("a", 1), record("d", 2)), map[string]store.Version{"a": 1},
		},
		{
			"a record that came back", []store.Change{{Record: record("d", 5), Deleted: true}},
			list(9, record("a", 1), record("d", 7)), map[string]store.Version{"a": 1, "d": 7},
		},
		{
			"a part without a's bucket", nil, Part{AsOf: 9, Buckets: []int{bucketOf("d")}}, map[string]store.Version{"a": 1},
		},
		{
			"a list that may lag", nil, Part{Records: []store.Record{record("a", 1), record("c", 3)}},
			map[string]store.Version{"a": 1, "d": 2, "c": 3},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMirror()
			m.merge(list(2, record("a", 1), record("d", 2)), at(0))
			m.apply(store.Changes{Changes: test.watched, AsOf: 12}, at(1))
			m.merge(test.part, at(2))
			got := map[string]store.Version{}
			for name, r := range m.records {
				got[name] = r.Version
			}
			g.Expect(got).To(Equal(test.want))
			other := newMirror()
			other.merge(m.part(nil), at(3))
			g.Expect(other.buckets).To(Equal(m.buckets))
		})
	}
}

// Guards against an entry that is gone and comes back with the late answer of a watch.
func TestLateWatchAfterList(t *testing.T) {
	g := NewWithT(t)
	m := newMirror()
	m.merge(list(9, record("a", 1)), at(0))
	g.Expect(m.apply(store.Changes{Changes: []store.Change{{Record: record("d", 8)}}, AsOf: 8}, at(1))).To(BeEmpty())
	g.Expect(m.records).NotTo(HaveKey("d"))
}

// Guards against a table of removed records that grows without end, and against one that forgets a
// record which copies that were proved earlier still show.
func TestRemovedRecordsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	m := newMirror()
	m.merge(list(2, record("a", 1), record("d", 2)), at(0))
	m.apply(store.Changes{Changes: []store.Change{{Record: record("a", 3), Deleted: true}}, AsOf: 3}, at(100))
	m.forgetRemoved(at(99))
	g.Expect(m.removed).To(HaveKey("a"))
	m.forgetRemoved(at(101))
	g.Expect(m.removed).To(BeEmpty())
}

// Guards against daemons that send whole copies for one change.
func TestOnlyDifferentPartsAreGiven(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newMirror(), newMirror()
	for _, m := range []*mirror{ours, theirs} {
		m.merge(list(2, record("a", 1), record("d", 2)), at(0))
	}
	theirs.apply(store.Changes{Changes: []store.Change{{Record: record("d", 3)}}, AsOf: 3}, at(1))
	p := theirs.part(ours.buckets[:])
	g.Expect(p.Buckets).To(Equal([]int{bucketOf("d")}))
	ours.merge(p, at(2))
	g.Expect(ours.digest()).To(Equal(theirs.digest()))
}
