package catalog

import (
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

// departed is an upstream that is not registered any more.
type departed struct {
	upstream *Upstream
	since    time.Time
	// isCertain means that it cannot come back: it left after a drain, or another incarnation
	// has its name.
	isCertain bool
}

// Snapshot is what is known at one moment. It must not be changed.
type Snapshot struct {
	Config *Configuration
	// UpstreamsKnown is false until the first complete list of upstreams.
	UpstreamsKnown bool

	byToken   map[uint32][]*Upstream
	ready     map[string][]*Upstream
	departed  map[uint32][]departed
	permitted map[netip.AddrPort][]string
	count     int
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

// Upstreams returns the number of registered upstreams.
func (s *Snapshot) Upstreams() int { return s.count }

// Fate says what is known of the upstream that a token names.
type Fate uint8

// Fates of an upstream.
const (
	// FateUnknown means that no upstream with the token was ever known here.
	FateUnknown Fate = iota
	FateRegistered
	// FateMissing means that the entry is gone for so short a time that it may come back.
	FateMissing
	// FateGone means that the upstream has ended.
	FateGone
)

// ByToken returns the upstream that a packet to a service address names, if the address ever
// had a route to the upstream's service, and what is known of it.
func (s *Snapshot) ByToken(address netip.AddrPort, token uint32, now time.Time) (*Upstream, Fate) {
	permitted := s.permitted[address]
	for _, u := range s.byToken[token] {
		if slices.Contains(permitted, u.Service) {
			return u, FateRegistered
		}
	}
	for _, d := range s.departed[token] {
		if !slices.Contains(permitted, d.upstream.Service) {
			continue
		}
		if d.isCertain || now.Sub(d.since) >= LapseGrace {
			return d.upstream, FateGone
		}
		return d.upstream, FateMissing
	}
	return nil, FateUnknown
}

// IsRegistered reports whether this incarnation is registered, and whether it takes new flows.
func (s *Snapshot) IsRegistered(u *Upstream) (registered, ready bool) {
	for _, v := range s.byToken[u.Token] {
		if v.ID == u.ID && v.StartedAt == u.StartedAt {
			return true, v.State == StateReady
		}
	}
	return false, false
}

// Catalog collects changes and publishes a Snapshot after each. All methods may be called
// concurrently.
type Catalog struct {
	mu        sync.Mutex
	config    *Configuration
	upstreams map[string]*Upstream
	known     bool
	departed  map[uint32][]departed
	permitted map[netip.AddrPort][]string
	current   atomic.Pointer[Snapshot]
	now       func() time.Time
}

// New returns an empty catalog that reads the time from now.
func New(now func() time.Time) *Catalog {
	c := &Catalog{
		upstreams: map[string]*Upstream{}, departed: map[uint32][]departed{},
		permitted: map[netip.AddrPort][]string{}, now: now,
	}
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
	permitted := make(map[netip.AddrPort][]string, len(next.Routes))
	for address, route := range next.Routes {
		// Open flows stay where they are when a route changes its services, and lose their
		// upstream when the route is removed.
		services := slices.Clone(c.permitted[address])
		for _, t := range route.Targets {
			if !slices.Contains(services, t.Service) {
				services = append(services, t.Service)
			}
		}
		permitted[address] = services
	}
	c.permitted = permitted
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

// Change registers and removes some upstreams. An ID that is removed need not be known.
func (c *Catalog) Change(put []*Upstream, removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range put {
		c.put(u)
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
		if previous.StartedAt != u.StartedAt || previous.Service != u.Service {
			c.depart(previous, true)
		} else if next.warmAt.After(previous.warmAt) && !previous.warmAt.IsZero() {
			// The same registration read again later; its remainder counts from the first time.
			next.warmAt = previous.warmAt
		}
	}
	c.upstreams[u.ID] = &next
	c.departed[u.Token] = slices.DeleteFunc(c.departed[u.Token], func(d departed) bool {
		return d.upstream.ID == u.ID && d.upstream.StartedAt == u.StartedAt
	})
	if len(c.departed[u.Token]) == 0 {
		delete(c.departed, u.Token)
	}
}

func (c *Catalog) remove(id string) {
	if u := c.upstreams[id]; u != nil {
		delete(c.upstreams, id)
		c.depart(u, u.State == StateDraining)
	}
}

func (c *Catalog) depart(u *Upstream, isCertain bool) {
	c.departed[u.Token] = append(c.departed[u.Token], departed{upstream: u, since: c.now(), isCertain: isCertain})
}

// publish makes a new snapshot. The maps of the old one stay as they are.
func (c *Catalog) publish() {
	now := c.now()
	s := &Snapshot{
		Config: c.config, UpstreamsKnown: c.known, permitted: c.permitted, count: len(c.upstreams),
		byToken: make(map[uint32][]*Upstream, len(c.upstreams)), ready: map[string][]*Upstream{},
		departed: make(map[uint32][]departed, len(c.departed)),
	}
	for _, u := range c.upstreams {
		s.byToken[u.Token] = append(s.byToken[u.Token], u)
		if u.State == StateReady {
			s.ready[u.Service] = append(s.ready[u.Service], u)
		}
	}
	for _, list := range s.ready {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	s.dropAmbiguous()
	for token, list := range c.departed {
		list = slices.DeleteFunc(slices.Clone(list), func(d departed) bool { return now.Sub(d.since) > departedKept })
		if len(list) == 0 {
			delete(c.departed, token)
			continue
		}
		s.departed[token] = list
	}
	c.current.Store(s)
}

// dropAmbiguous takes no new flows for an upstream whose token another one of its service has:
// packets of its flows could not be told apart. The older incarnation keeps the token.
func (s *Snapshot) dropAmbiguous() {
	for _, same := range s.byToken {
		if len(same) < 2 {
			continue
		}
		slices.SortFunc(same, func(a, b *Upstream) int {
			if a.StartedAt != b.StartedAt {
				return int(min(max(a.StartedAt-b.StartedAt, -1), 1))
			}
			return strings.Compare(a.ID, b.ID)
		})
		for i, u := range same {
			if slices.ContainsFunc(same[:i], func(v *Upstream) bool { return v.Service == u.Service }) {
				s.ready[u.Service] = slices.DeleteFunc(s.ready[u.Service], func(v *Upstream) bool { return v == u })
			}
		}
	}
}
