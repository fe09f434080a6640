package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// metadataStore is a stand-in for the platform's store: linearizable, never down, and with watches that
// return changes at once. Entries of servers expire after three heartbeat intervals of silence.
type metadataStore struct {
	mu        sync.Mutex
	revision  uint64
	objects   map[string]map[string]object
	writtenAt map[string]time.Time
	history   []event
	changed   chan struct{}
}

func newStore() *metadataStore {
	s := &metadataStore{
		revision: 1, objects: map[string]map[string]object{"servers": {}, "config": {}},
		writtenAt: map[string]time.Time{}, changed: make(chan struct{}),
	}
	go s.expire()
	return s
}

func (s *metadataStore) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for name, at := range s.writtenAt {
			if time.Since(at) > 3*heartbeat {
				s.removeLocked("servers", name)
			}
		}
		s.mu.Unlock()
	}
}

// put writes an object. A write of a server's entry that changes only seq makes no change.
func (s *metadataStore) put(kind, name string, spec []byte) object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == "servers" {
		s.writtenAt[name] = time.Now()
	}
	old, known := s.objects[kind][name]
	if known && bytes.Equal(withoutSeq(old.Spec), withoutSeq(spec)) {
		return old
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: []byte("null")}
	if known {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][name] = o
	s.appendLocked(event{kind: kind, Object: o})
	return o
}

func withoutSeq(spec []byte) []byte { return without(spec, "seq") }

// without returns an object without a field.
func without(spec []byte, field string) []byte {
	var fields map[string]any
	if json.Unmarshal(spec, &fields) != nil {
		return spec
	}
	delete(fields, field)
	b, _ := json.Marshal(fields)
	return b
}

func (s *metadataStore) removeLocked(kind, name string) {
	o, known := s.objects[kind][name]
	delete(s.writtenAt, name)
	if !known {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.appendLocked(event{kind: kind, Object: o, Deleted: true})
}

func (s *metadataStore) appendLocked(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns an object, and false if there is none.
func (s *metadataStore) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	return o, known
}

func (s *metadataStore) list(kind, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Meta.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	const pageSize = 500
	return map[string]any{"items": items[:min(len(items), pageSize)], "more": len(items) > pageSize, "as_of": s.revision}
}

func (s *metadataStore) watch(r *http.Request, kind string, after uint64, wait time.Duration) any {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events, asOf, changed := []event{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "as_of": asOf}
		}
		select {
		case <-changed:
		case <-end:
			return map[string]any{"events": events, "as_of": asOf}
		case <-r.Context().Done():
			return map[string]any{"events": events, "as_of": asOf}
		}
	}
}

func (s *metadataStore) handler() http.Handler {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, status int, body any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	mux.HandleFunc("GET /api/objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		kind, query := r.PathValue("kind"), r.URL.Query()
		if !query.Has("watch") {
			reply(w, http.StatusOK, s.list(kind, query.Get("after")))
			return
		}
		after, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		ms, _ := strconv.Atoi(query.Get("wait_ms"))
		reply(w, http.StatusOK, s.watch(r, kind, after, min(time.Duration(ms)*time.Millisecond, 30*time.Second)))
	})
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			reply(w, http.StatusBadRequest, err.Error())
			return
		}
		reply(w, http.StatusOK, s.put(r.PathValue("kind"), r.PathValue("name"), o.Spec))
	})
	mux.HandleFunc("DELETE /api/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.removeLocked(r.PathValue("kind"), r.PathValue("name"))
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	})
	return mux
}
