package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Evacuation is an operator's request that no new flow be placed on the upstreams of a zone.
type Evacuation struct {
	Zone string
	// Version is the version of the store at the request.
	Version uint64
	// Since is when this daemon learned of the request.
	Since time.Time
}

// RequireEvacuations makes snapshots complete only after a list of evacuations was applied. It must be called
// before the catalog is used.
func (c *Catalog) RequireEvacuations() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requiresEvacuations = true
	c.publish()
}

// ApplyEvacuations adds evacuations and removes those of the given zones. isFirst marks the first complete list,
// which may be empty. It returns the zones whose evacuation began or ended with this call.
func (c *Catalog) ApplyEvacuations(put []Evacuation, removed []string, isFirst bool) (began, ended []Evacuation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range put {
		e.Since = c.now()
		if previous, found := c.evacuations[e.Zone]; found {
			e.Since = previous.Since
		} else {
			began = append(began, e)
		}
		c.evacuations[e.Zone] = e
	}
	for _, zone := range removed {
		if e, found := c.evacuations[zone]; found {
			ended = append(ended, e)
			delete(c.evacuations, zone)
		}
	}
	c.evacuationsListed = c.evacuationsListed || isFirst
	c.publish()
	return began, ended
}

// IsEvacuated reports whether an evacuation of a zone is in force.
func (s *Snapshot) IsEvacuated(zone string) bool {
	_, found := s.evacuations[zone]
	return found
}

// Evacuations returns the evacuations in force in the order of their zones.
func (s *Snapshot) Evacuations() []Evacuation {
	return slices.SortedFunc(maps.Values(s.evacuations), func(a, b Evacuation) int { return strings.Compare(a.Zone, b.Zone) })
}

// HasEvacuated reports whether upstreams of a service accept no flows only because their zones are evacuated.
func (s *Snapshot) HasEvacuated(service string) bool { return s.evacuated[service] }
