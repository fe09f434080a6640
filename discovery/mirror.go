package discovery

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarfield/fulmarfield/store"
)

// mirror is a copy of the records of one kind.
type mirror struct {
	records map[string]store.Record
	// asOf is the version up to which changes are included.
	asOf store.Version
	// digest is the same for all daemons that have the same records. It is a sum, so that it
	// follows each change.
	digest uint64
}

func newMirror() *mirror { return &mirror{records: map[string]store.Record{}} }

func hashRecord(r store.Record) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Name) // A hash never returns an error.
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(r.Version))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// replace takes over a complete list and returns what it changed.
func (m *mirror) replace(l store.Listing) []store.Change {
	var changes []store.Change
	present := make(map[string]bool, len(l.Records))
	for _, r := range l.Records {
		present[r.Name] = true
		if old, known := m.records[r.Name]; !known || old.Version != r.Version {
			changes = append(changes, store.Change{Record: r})
			m.put(r)
		}
	}
	for name, r := range m.records {
		if !present[name] {
			changes = append(changes, store.Change{Record: r, Deleted: true})
			m.remove(name)
		}
	}
	m.asOf = l.AsOf
	return changes
}

// apply takes over changes that a watch showed and returns those that are news. A change that is
// older than the record held is one that a list showed before.
func (m *mirror) apply(c store.Changes) []store.Change {
	var news []store.Change
	for _, change := range c.Changes {
		old, known := m.records[change.Record.Name]
		switch {
		case change.Deleted && known && old.Version <= change.Record.Version:
			m.remove(change.Record.Name)
		case !change.Deleted && (!known || old.Version < change.Record.Version):
			m.put(change.Record)
		default:
			continue
		}
		news = append(news, change)
	}
	m.asOf = max(m.asOf, c.AsOf)
	return news
}

func (m *mirror) put(r store.Record) {
	m.remove(r.Name)
	m.records[r.Name] = r
	m.digest += hashRecord(r)
}

func (m *mirror) remove(name string) {
	if old, known := m.records[name]; known {
		m.digest -= hashRecord(old)
		delete(m.records, name)
	}
}
