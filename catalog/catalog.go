package catalog

import (
	"iter"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// LapseGrace is how long a missing upstream may still be alive: entries that lapsed while
	// the store was away come back within 2 s of its return, and a watch is half a second late.
	LapseGrace = 2500 * time.Millisecond
	// departedKept is the longest life of a flow; after it no packet names a departed upstream.
	departedKept = time.Minute
)

// Fate says what is known of an upstream.
type Fate uint8

// Fates of an upstream.
const (
	// FateUnknown means that no such upstream was ever known here.
	FateUnknown Fate = iota
	FateRegistered
	// FateMissing means that the entry is gone for so short a time that it may come back.
	FateMissing
	// FateGone means that the upstream has ended.
	FateGone
)

// departed is an upstream that is not registered any more.
type departed struct {
	upstream *Upstream
	since    time.Time
	// isReplaced means that it cannot come back: another incarnation has its name.
	isReplaced bool
}

// Snapshot is what is known at one moment. It must not be changed.
type Snapshot struct {
	Config *Configuration
	// UpstreamsKnown is false until the first complete list of upstreams.
	UpstreamsKnown bool

	registered map[uint64]*Upstream
	departed   map[uint64]departed
	// ready has the upstreams of a service that take new flows, known all of it that are
	// registered or departed.
	ready, known map[string][]*Upstream
}

// IsComplete reports whether routes and upstreams are both known.
func (s *Snapshot) IsComplete() bool { return s.Config != nil && s.UpstreamsKnown }

// Route returns the route of a service address, or nil.
func (s *Snapshot) Route(address netip.AddrPort) *Route {
	if s.Config == nil {
		return nil
	}
	return s.Config.Routes[address]
}

// Ready returns the upstreams of a service that take new flows, in the order of their IDs.
func (s *Snapshot) Ready(service string) []*Upstream { return s.ready[service] }

// Known returns the upstreams of a service that are registered or departed.
func (s *Snapshot) Known(service string) []*Upstream { return s.known[service] }

// Upstreams returns the number of registered upstreams.
func (s *Snapshot) Upstreams() int { return len(s.registered) }

// All returns the upstreams that are registered or departed.
func (s *Snapshot) All() iter.Seq[*Upstream] {
	return func(yield func(*Upstream) bool) {
		for _, list := range s.known {
			for _, u := range list {
				if !yield(u) {
					return
				}
			}
		}
	}
}

// Upstream returns the registered upstream with a key, or nil.
func (s *Snapshot) Upstream(key uint64) *Upstream { return s.registered[key] }

// Fate returns what is known of an upstream. confirmedAt is when this snapshot was last known to be
// the newest: a missing entry counts only for as long as it was known to be missing, since a copy
// that lags may lack one that is back.
func (s *Snapshot) Fate(key uint64, confirmedAt time.Time) Fate {
	if s.registered[key] != nil {
		return FateRegistered
	}
	d, known := s.departed[key]
	switch {
	case !known:
		return FateUnknown
	case d.isReplaced || confirmedAt.Sub(d.since) >= LapseGrace:
		return FateGone
	default:
		return FateMissing
	}
}

// TakesFlows reports whether an upstream is registered and not draining.
func (s *Snapshot) TakesFlows(key uint64) bool {
	u := s.registered[key]
	return u != nil && u.State == StateReady
}

// Catalog collects changes and publishes a Snapshot after each. All methods may be called
// concurrently.
type Catalog struct {
	mu        sync.Mutex
	config    *Configuration
	upstreams map[string]*Upstream
	known     bool
	departed  map[uint64]departed
	current   atomic.Pointer[Snapshot]
	now       func() time.Time
}

// New returns an empty catalog that reads the time from now.
func New(now func() time.Time) *Catalog {
	c := &Catalog{upstreams: map[string]*Upstream{}, departed: map[uint64]departed{}, now: now}
	c.current.Store(&Snapshot{})
	return c
}

// Current returns the latest snapshot, never nil.
func (c *Catalog) Current() *Snapshot { return c.current.Load() }

// SetConfiguration puts a configuration in force. It returns false and changes nothing if the
// one in force is as new.
func (c *Catalog) SetConfiguration(next *Configuration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil && next.Version <= c.config.Version {
		return false
	}
	c.config = next
	c.publish()
	return true
}

// SetUpstreams replaces all upstreams by a complete list.
func (c *Catalog) SetUpstreams(list []*Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, u := range list {
		present[u.ID] = true
		c.put(u)
	}
	for id := range c.upstreams {
		if !present[id] {
			c.remove(id)
		}
	}
	c.known = true
	c.publish()
}

// Change registers and removes some upstreams, and notes those whose entries cannot be read. The
// IDs of the latter two need not be known.
func (c *Catalog) Change(put []*Upstream, removed, unreadable []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range put {
		c.put(u)
	}
	for _, id := range unreadable {
		if u := c.upstreams[id]; u != nil {
			next := *u
			next.State = StateUnreadable
			c.upstreams[id] = &next
		}
	}
	for _, id := range removed {
		c.remove(id)
	}
	c.publish()
}

func (c *Catalog) put(u *Upstream) {
	next := *u
	next.warmAt = c.now().Add(u.ColdFor)
	if previous := c.upstreams[u.ID]; previous != nil {
		if previous.Key != u.Key {
			c.depart(previous, true)
		} else if next.warmAt.After(previous.warmAt) {
			// The same registration read again later; its remainder counts from the first time.
			next.warmAt = previous.warmAt
		}
	}
	c.upstreams[u.ID] = &next
	delete(c.departed, u.Key)
}

func (c *Catalog) remove(id string) {
	if u := c.upstreams[id]; u != nil {
		delete(c.upstreams, id)
		c.depart(u, false)
	}
}

func (c *Catalog) depart(u *Upstream, isReplaced bool) {
	c.departed[u.Key] = departed{upstream: u, since: c.now(), isReplaced: isReplaced}
}

// publish makes a new snapshot. The maps of the old one stay as they are.
func (c *Catalog) publish() {
	now := c.now()
	s := &Snapshot{
		Config: c.config, UpstreamsKnown: c.known,
		registered: make(map[uint64]*Upstream, len(c.upstreams)), departed: make(map[uint64]departed, len(c.departed)),
		ready: map[string][]*Upstream{}, known: map[string][]*Upstream{},
	}
	for _, u := range c.upstreams {
		s.registered[u.Key] = u
		s.known[u.Service] = append(s.known[u.Service], u)
		if u.State == StateReady {
			s.ready[u.Service] = append(s.ready[u.Service], u)
		}
	}
	for _, list := range s.ready {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	for key, d := range c.departed {
		if now.Sub(d.since) > departedKept {
			delete(c.departed, key)
			continue
		}
		s.departed[key] = d
		s.known[d.upstream.Service] = append(s.known[d.upstream.Service], d.upstream)
	}
	c.current.Store(s)
}
