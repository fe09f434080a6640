package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ReregistrationGrace is how long after the removal of its entry an upstream may still be running
	// and register again. Entries that expire while the store is unreachable are registered again
	// within 2 s after it becomes reachable, and a watch delivers changes up to half a second late.
	ReregistrationGrace = 2500 * time.Millisecond
	// deregisteredRetention is how long deregistered upstreams and earlier addresses are kept. It equals the
	// longest lifetime of a flow, so that no packet names an upstream that has been dropped.
	deregisteredRetention = time.Minute
)

// RegistrationStatus is the state of an upstream's entry in the store, as far as this daemon has
// seen it.
type RegistrationStatus uint8

// Registration statuses of an upstream.
const (
	// StatusUnknown means that this daemon has no record of the upstream.
	StatusUnknown RegistrationStatus = iota
	StatusRegistered
	// StatusMissing means that the entry was removed less than ReregistrationGrace ago, so that
	// the upstream may still be running and register again.
	StatusMissing
	// StatusDeregistered means that the entry was removed at least ReregistrationGrace ago, so that the
	// upstream counts as stopped.
	StatusDeregistered
)

// deregistered is an upstream whose entry was removed. Until ReregistrationGrace after the removal, its
// status is still StatusMissing.
type deregistered struct {
	upstream *Upstream
	since    time.Time
	// hadStopped means that the upstream counted as stopped before the present era of the store.
	hadStopped bool
}

// addressOfID is an ID of an upstream with an address that one of its entries has named.
type addressOfID struct {
	id      string
	address netip.AddrPort
}

// earlierAddress is an upstream whose entry was replaced by one with another address. That entry may be of another
// writer or of an ended process, so that the upstream may still run.
type earlierAddress struct {
	upstream *Upstream
	since    time.Time
}

// Snapshot is the state of routes and upstreams at one moment. It must not be changed.
type Snapshot struct {
	Config *Configuration
	// UpstreamsListed is false until the first complete list of upstreams has been applied.
	UpstreamsListed bool
	// awaitsEvacuations is set until the first list of evacuations has been applied, if there is such a list.
	awaitsEvacuations bool
	evacuations       map[string]Evacuation
	// evacuated holds the services with upstreams that accept no flows only because of evacuations.
	evacuated map[string]bool

	registered   map[uint64]*Upstream
	deregistered map[uint64]deregistered
	// ready holds the upstreams of each service that accept new flows.
	ready map[string][]*Upstream
	// byToken holds all upstreams, including the deregistered ones and those at earlier addresses.
	byToken tokenIndex
	// latest holds the incarnation of each upstream whose entry was read last, by ID, registered or not.
	latest map[string]*Upstream
	// lapsed holds the upstreams of each service that accepted new flows when their entries vanished.
	lapsed map[string][]*Upstream
	// unreadable holds the IDs without a registered upstream whose entries cannot be decoded.
	unreadable map[string]bool
	// entryPrefixes holds the prefixes of the tokens of all IDs with an entry, readable or not.
	entryPrefixes map[uint16]bool
}

// IsComplete reports whether a configuration, a list of upstreams and, if the deployment has them, a list of
// evacuations have been applied.
func (s *Snapshot) IsComplete() bool {
	return s.Config != nil && s.UpstreamsListed && !s.awaitsEvacuations
}

// Route returns the route of a service address, or nil.
func (s *Snapshot) Route(address netip.AddrPort) *Route {
	if s.Config == nil {
		return nil
	}
	return s.Config.Routes[address]
}

// Ready returns the upstreams of a service that accept new flows, in the order of their IDs.
func (s *Snapshot) Ready(service string) []*Upstream { return s.ready[service] }

// Placeable returns the upstreams of a service on which new flows may be placed, none of them in an evacuated
// zone. These are the ready ones,
// and also the missing ones while they outnumber the ready ones: the entries of most upstreams vanish
// together only if they expired while the store was unreachable, and then the upstreams still run.
// validatedAt is when this snapshot was last validated against the store.
func (s *Snapshot) Placeable(service string, validatedAt time.Time) []*Upstream {
	ready := s.ready[service]
	var missing []*Upstream
	for _, u := range s.lapsed[service] {
		if s.RegistrationStatus(u.Key, validatedAt) == StatusMissing {
			missing = append(missing, u)
		}
	}
	if len(missing) <= len(ready) {
		return ready
	}
	return slices.Concat(ready, missing)
}

// ByToken returns the upstream that a token identifies at a service address, with the address to which the
// flow was opened, or nil. The upstream may
// belong to a service that the route does not contain any more, and there may be no route at the address
// in this snapshot: open flows stay on their upstreams when the services of a route change, the route may
// have been added just now, and the token is evidence that a daemon placed the flow for this address.
// Upstreams that were deregistered within deregisteredRetention are included.
func (s *Snapshot) ByToken(address netip.AddrPort, token uint32) *Upstream {
	return s.byToken.find(address, token)
}

// MayHaveEntry reports whether a token may belong to an ID that has an entry, which cannot be decoded or has another
// address than the flow. Then that the token names no upstream does not show that the upstream has gone.
func (s *Snapshot) MayHaveEntry(token uint32) bool { return s.entryPrefixes[prefixOf(token)] }

// IsAmbiguous reports whether the token of u at an address belongs to another upstream, so that packets of
// new flows to u would be steered to that upstream.
func (s *Snapshot) IsAmbiguous(address netip.AddrPort, u *Upstream) bool {
	return s.byToken.isAmbiguous(address, u)
}

// UpstreamCount returns the number of registered upstreams.
func (s *Snapshot) UpstreamCount() int { return len(s.registered) }

// Latest returns the incarnation whose entry was read last of the upstream with an ID, registered or not, or nil.
func (s *Snapshot) Latest(id string) *Upstream { return s.latest[id] }

// Upstream returns the registered upstream with a key, or nil.
func (s *Snapshot) Upstream(key uint64) *Upstream { return s.registered[key] }

// RegistrationStatus returns the registration status of an upstream. validatedAt is when this
// snapshot was last validated against the store: a missing entry counts as deregistered only when
// the snapshot was validated at least ReregistrationGrace after the removal, since a stale snapshot
// may lack an entry that was registered again.
func (s *Snapshot) RegistrationStatus(key uint64, validatedAt time.Time) RegistrationStatus {
	if s.registered[key] != nil {
		return StatusRegistered
	}
	d, found := s.deregistered[key]
	switch {
	case !found:
		return StatusUnknown
	case s.unreadable[d.upstream.ID]: // An entry came back, though it says nothing.
		return StatusMissing
	case validatedAt.Sub(d.since) >= ReregistrationGrace:
		return StatusDeregistered
	default:
		return StatusMissing
	}
}

// AcceptsFlows reports whether an upstream is registered, not draining and not in an evacuated zone.
func (s *Snapshot) AcceptsFlows(key uint64) bool {
	u := s.registered[key]
	return u != nil && u.State == StateReady && !s.IsEvacuated(u.Zone)
}

// Catalog holds the configuration and the upstreams, and publishes a Snapshot after each change. Its
// methods may be called concurrently.
type Catalog struct {
	mu              sync.Mutex
	config          *Configuration
	upstreams       map[string]*Upstream
	upstreamsListed bool
	// deregistered holds the upstreams by ID whose entries were removed and have not been written again.
	deregistered map[string]deregistered
	// earlier holds the upstreams whose entries were replaced by ones with another address.
	earlier map[addressOfID]earlierAddress
	// unreadable holds the IDs without a registered upstream whose entries cannot be decoded.
	unreadable map[string]bool
	// evacuations holds the evacuations in force by zone.
	evacuations                            map[string]Evacuation
	requiresEvacuations, evacuationsListed bool
	current                                atomic.Pointer[Snapshot]
	now                                    func() time.Time
}

// New returns an empty catalog that reads the time from now.
func New(now func() time.Time) *Catalog {
	c := &Catalog{upstreams: map[string]*Upstream{}, deregistered: map[string]deregistered{}, earlier: map[addressOfID]earlierAddress{}, unreadable: map[string]bool{}, evacuations: map[string]Evacuation{}, now: now}
	c.current.Store(&Snapshot{})
	return c
}

// Current returns the latest snapshot, never nil.
func (c *Catalog) Current() *Snapshot { return c.current.Load() }

// SetConfiguration puts a configuration in force. It returns false and changes nothing if the
// version in force is the same or newer.
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

// SetUpstreams replaces all upstreams by a complete list. IDs that were marked as unreadable and are not in the list remain
// so.
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
	c.upstreamsListed = true
	c.publish()
}

// ApplyChanges registers the upstreams in put, deregisters those in removed and marks those in
// unreadable, whose entries cannot be decoded.
func (c *Catalog) ApplyChanges(put []*Upstream, removed, unreadable []string) {
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
		} else {
			c.unreadable[id] = true
		}
	}
	for _, id := range removed {
		c.remove(id)
	}
	c.publish()
}

// RestartGrace begins the grace period of the missing upstreams again. It is called after the store was
// unavailable: upstreams that still run could not register again meanwhile. validatedAt is when the records
// were last validated before; upstreams that were deregistered then remain so.
func (c *Catalog) RestartGrace(validatedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for id, d := range c.deregistered {
		if validatedAt.Sub(d.since) < ReregistrationGrace {
			d.since = now
			c.deregistered[id] = d
		}
	}
	c.publish()
}

// put registers an upstream in place of another incarnation with the same ID. Which of the two started later is not
// known: the store may do a write of an ended process seconds later, and clocks of upstreams may be set. The caller
// holds c.mu.
func (c *Catalog) put(u *Upstream) {
	next := *u
	next.warmAt, next.prefix = c.now().Add(u.ColdRemaining), u.tokenPrefix()
	// If the same entry was read again, its slow start ends as computed at the first read. Another entry of the
	// incarnation may show another slow start, for example after the evacuation of its zone.
	previous := c.upstreams[u.ID]
	if previous != nil && previous.Key == u.Key && previous.EntryVersion == u.EntryVersion && next.warmAt.After(previous.warmAt) {
		next.warmAt = previous.warmAt
	}
	if previous == nil {
		previous = c.deregistered[u.ID].upstream
	}
	if previous != nil && previous.Address != u.Address {
		c.earlier[addressOfID{u.ID, previous.Address}] = earlierAddress{previous, c.now()}
	}
	delete(c.earlier, addressOfID{u.ID, u.Address})
	delete(c.deregistered, u.ID)
	delete(c.unreadable, u.ID)
	c.upstreams[u.ID] = &next
}

// upstreamsAtEarlierAddresses returns the upstreams at earlier addresses, and drops those at which no flow can be open
// any more. The caller holds c.mu.
func (c *Catalog) upstreamsAtEarlierAddresses(now time.Time) []*Upstream {
	var list []*Upstream
	for at, e := range c.earlier {
		if now.Sub(e.since) > deregisteredRetention {
			delete(c.earlier, at)
			continue
		}
		list = append(list, e.upstream)
	}
	return list
}

// remove deregisters an upstream whose entry was removed. The caller holds c.mu.
func (c *Catalog) remove(id string) {
	if d, found := c.deregistered[id]; found && c.unreadable[id] {
		d.since = c.now()
		c.deregistered[id] = d
	}
	delete(c.unreadable, id)
	if u := c.upstreams[id]; u != nil {
		delete(c.upstreams, id)
		c.deregistered[id] = deregistered{upstream: u, since: c.now()}
	}
}

// publish stores a new snapshot. It leaves the maps of the previous snapshot unchanged.
func (c *Catalog) publish() {
	now := c.now()
	s := &Snapshot{
		Config: c.config, UpstreamsListed: c.upstreamsListed,
		registered:   make(map[uint64]*Upstream, len(c.upstreams)),
		deregistered: make(map[uint64]deregistered, len(c.deregistered)),
		ready:        map[string][]*Upstream{}, lapsed: map[string][]*Upstream{},
		latest:            make(map[string]*Upstream, len(c.upstreams)),
		awaitsEvacuations: c.requiresEvacuations && !c.evacuationsListed,
		evacuations:       maps.Clone(c.evacuations), evacuated: map[string]bool{},
	}
	for _, u := range c.upstreams {
		s.registered[u.Key], s.latest[u.ID] = u, u
		switch {
		case u.State != StateReady:
		case s.IsEvacuated(u.Zone):
			s.evacuated[u.Service] = true
		default:
			s.ready[u.Service] = append(s.ready[u.Service], u)
		}
	}
	for _, list := range s.ready {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	for id, d := range c.deregistered {
		if now.Sub(d.since) > deregisteredRetention {
			delete(c.deregistered, id)
			continue
		}
		s.deregistered[d.upstream.Key], s.latest[id] = d, d.upstream
		if d.upstream.State == StateReady && !d.hadStopped && !c.unreadable[id] && !s.IsEvacuated(d.upstream.Zone) {
			s.lapsed[d.upstream.Service] = append(s.lapsed[d.upstream.Service], d.upstream)
		}
	}
	s.unreadable = maps.Clone(c.unreadable)
	s.indexTokens(c.upstreamsAtEarlierAddresses(now))
	c.current.Store(s)
}
