// Package metastore is a small stand-in for the users' metadata store: objects by kind, lists in
// pages, watches, and a history that can be dropped. It owns the objects of a test.
package metastore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// pageItems is the number of objects in a page.
	pageItems = 50
	// maxWait bounds a watch.
	maxWait = 30 * time.Second
)

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the stand-in. Its methods may be called concurrently.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	// firstKept is the first revision whose event is still in the history.
	firstKept uint64
	// hidden makes watches show nothing. lagging is what reads that may lag show meanwhile.
	hidden  bool
	lagging map[string]map[string]object
	// changed is closed and replaced at each change.
	changed chan struct{}
	lists   int
	watches int
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Put writes an object whose content is the JSON form of spec, or spec itself if it is bytes.
func (s *Store) Put(kind, name string, spec any) {
	raw, isRaw := spec.([]byte)
	if !isRaw {
		var err error
		if raw, err = json.Marshal(spec); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{meta{name, s.revision}, raw}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.note(event{kind: kind, Object: o})
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.note(event{kind: kind, Object: o, Deleted: true})
}

func (s *Store) note(e event) {
	s.history = append(s.history, e)
	if !s.hidden {
		s.wakeLocked()
	}
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Hide makes watches, and lists that may lag, show nothing of what changes from now on.
func (s *Store) Hide() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hidden {
		return
	}
	s.hidden, s.lagging = true, map[string]map[string]object{}
	for kind, objects := range s.objects {
		s.lagging[kind] = maps.Clone(objects)
	}
}

// Compact drops the history and ends what Hide began.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidden, s.lagging, s.history, s.firstKept = false, nil, nil, s.revision+1
	s.wakeLocked()
}

// Calls returns the numbers of lists and watches so far.
func (s *Store) Calls() (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.watches
}

// Handler serves GET /api/objects/KIND as list and as watch.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		kind, query := r.PathValue("kind"), r.URL.Query()
		if !query.Has("watch") {
			reply(w, s.list(kind, query.Get("after"), query.Get("stale_ok") == "1"))
			return
		}
		after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
		milliseconds, waitErr := strconv.Atoi(query.Get("wait_ms"))
		if err != nil || waitErr != nil {
			http.Error(w, "bad watch", http.StatusBadRequest)
			return
		}
		wait := min(time.Duration(milliseconds)*time.Millisecond, maxWait)
		answer, isKept := s.watch(r, kind, after, wait)
		if !isKept {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		reply(w, answer)
	})
	return mux
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that went away needs no error.
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) list(kind, after string, mayLag bool) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	objects := s.objects[kind]
	if mayLag && s.hidden {
		objects = s.lagging[kind]
	}
	items := []object{}
	for _, o := range objects {
		if o.Meta.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > pageItems
	return map[string]any{"items": items[:min(len(items), pageItems)], "more": more, "as_of": s.revision}
}

// watch waits for events after a revision. It reports false if the history does not reach back.
func (s *Store) watch(r *http.Request, kind string, after uint64, wait time.Duration) (any, bool) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []event{}
		if after+1 < s.firstKept {
			s.mu.Unlock()
			return nil, false
		}
		if !s.hidden {
			events = slices.DeleteFunc(slices.Clone(s.history), func(e event) bool {
				return e.kind != kind || e.Object.Meta.Revision <= after
			})
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "as_of": asOf}
		if len(events) > 0 {
			return answer, true
		}
		select {
		case <-changed:
		case <-deadline.C:
			return answer, true
		case <-r.Context().Done():
			return answer, true
		}
	}
}
