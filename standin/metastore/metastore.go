// Package metastore is a small stand-in for the users' metadata store. It serves objects by kind,
// lists in pages and watches, and its history of changes can be dropped. It owns the objects of a
// test.
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
	// pageSize is the largest number of objects in a page of a list.
	pageSize = 50
	// maxWatchWait limits the duration of a watch.
	maxWatchWait = 30 * time.Second
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
	// updatesSuspended makes watches return no events. staleObjects are the objects that stale reads
	// return meanwhile.
	updatesSuspended bool
	staleObjects     map[string]map[string]object
	// era rises by one each time the store is restored. isDown makes it answer with status 503.
	era    uint64
	isDown bool
	// undo holds what the changes of the last undoKept replaced, the oldest first.
	undo []undoEntry
	// changed is closed and replaced at each change.
	changed chan struct{}
	lists   int
	watches int
}

// undoEntry is what a change replaced. previous is nil if there was no such object.
type undoEntry struct {
	at         time.Time
	kind, name string
	previous   *object
	revision   uint64
}

// undoKept is for how long the state of the past can be restored.
const undoKept = time.Minute

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Put writes an object. Its content is spec encoded as JSON, or spec itself if it is a []byte.
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
	s.recordUndoLocked(kind, name)
	s.revision++
	o := object{meta{name, s.revision}, raw}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.appendEventLocked(event{kind: kind, Object: o})
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	s.recordUndoLocked(kind, name)
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.appendEventLocked(event{kind: kind, Object: o, Deleted: true})
}

func (s *Store) appendEventLocked(e event) {
	s.history = append(s.history, e)
	if !s.updatesSuspended {
		s.notifyWatchersLocked()
	}
}

func (s *Store) notifyWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SuspendUpdates hides all later changes from watches and stale reads, until Compact.
func (s *Store) SuspendUpdates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.updatesSuspended {
		return
	}
	s.updatesSuspended, s.staleObjects = true, map[string]map[string]object{}
	for kind, objects := range s.objects {
		s.staleObjects[kind] = maps.Clone(objects)
	}
}

// Compact drops the history and ends the effect of SuspendUpdates.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updatesSuspended, s.staleObjects, s.history, s.firstKept = false, nil, nil, s.revision+1
	s.notifyWatchersLocked()
}

func (s *Store) recordUndoLocked(kind, name string) {
	e := undoEntry{at: time.Now(), kind: kind, name: name, revision: s.revision}
	if o, found := s.objects[kind][name]; found {
		e.previous = &o
	}
	s.undo = slices.DeleteFunc(append(s.undo, e), func(e undoEntry) bool { return time.Since(e.at) > undoKept })
}

// SetDown makes the store unavailable, or available again. All waiting watches end.
func (s *Store) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.notifyWatchersLocked()
}

// Restore brings back the state that the store had some time ago, at most a minute, and begins the next era. Later
// revisions are given out again. The effect of SuspendUpdates ends, since what stale reads return may be lost.
func (s *Store) Restore(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	since := time.Now().Add(-ago)
	for len(s.undo) > 0 && !s.undo[len(s.undo)-1].at.Before(since) {
		e := s.undo[len(s.undo)-1]
		s.undo, s.revision = s.undo[:len(s.undo)-1], e.revision
		if e.previous == nil {
			delete(s.objects[e.kind], e.name)
		} else {
			s.objects[e.kind][e.name] = *e.previous
		}
	}
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return e.Object.Meta.Revision > s.revision })
	s.firstKept = min(s.firstKept, s.revision+1)
	s.updatesSuspended, s.staleObjects = false, nil
	s.notifyWatchersLocked()
}

// Era returns the present era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls returns the numbers of lists and watches so far.
func (s *Store) Calls() (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.watches
}

// Handler serves lists and watches as GET /api/objects/KIND.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		kind, query := r.PathValue("kind"), r.URL.Query()
		if !query.Has("watch") {
			respond(w, s.list(kind, query.Get("after"), query.Get("stale_ok") == "1"))
			return
		}
		after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
		milliseconds, waitErr := strconv.Atoi(query.Get("wait_ms"))
		if err != nil || waitErr != nil {
			http.Error(w, "bad watch", http.StatusBadRequest)
			return
		}
		wait := min(time.Duration(milliseconds)*time.Millisecond, maxWatchWait)
		respond(w, s.watch(r, kind, after, wait))
	})
	return mux
}

// response is the response to a call. body is nil if status is an error.
type response struct {
	status int
	era    uint64
	body   any
}

// responseLocked returns a response of the present era.
func (s *Store) responseLocked(status int, body any) response {
	return response{status: status, era: s.era, body: body}
}

func respond(w http.ResponseWriter, r response) {
	if r.era != 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(r.era, 10))
	}
	if r.status != http.StatusOK {
		http.Error(w, http.StatusText(r.status), r.status)
		return
	}
	writeJSON(w, r.body)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) list(kind, after string, allowStale bool) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.isDown {
		return s.responseLocked(http.StatusServiceUnavailable, nil)
	}
	objects := s.objects[kind]
	if allowStale && s.updatesSuspended {
		objects = s.staleObjects[kind]
	}
	items := []object{}
	for _, o := range objects {
		if o.Meta.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > pageSize
	return s.responseLocked(http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "more": more, "as_of": s.revision})
}

// watch waits for events after a revision. Its status is 410 if the history does not reach back to that revision,
// or if the store has given out no such revision since it was restored.
func (s *Store) watch(r *http.Request, kind string, after uint64, wait time.Duration) response {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []event{}
		if status := s.watchStatusLocked(after); status != http.StatusOK {
			defer s.mu.Unlock()
			return s.responseLocked(status, nil)
		}
		if !s.updatesSuspended {
			events = slices.DeleteFunc(slices.Clone(s.history), func(e event) bool {
				return e.kind != kind || e.Object.Meta.Revision <= after
			})
		}
		answer := s.responseLocked(http.StatusOK, map[string]any{"events": events, "as_of": asOf})
		s.mu.Unlock()
		if len(events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-deadline.C:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}

// watchStatusLocked returns the status of a watch after a revision.
func (s *Store) watchStatusLocked(after uint64) int {
	switch {
	case s.isDown:
		return http.StatusServiceUnavailable
	case after+1 < s.firstKept, after > s.revision:
		return http.StatusGone
	default:
		return http.StatusOK
	}
}
