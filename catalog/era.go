package catalog

import "time"

// BeginEra discards the proofs that rest on lists of an earlier era of the store, which was restored to an older
// state. The grace period of all upstreams without an entry begins again: their entries may have been written
// only in what the store lost. validatedAt is when the records were last validated; upstreams that were
// deregistered then get no new flows meanwhile.
func (c *Catalog) BeginEra(validatedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for id, d := range c.deregistered {
		d.hadStopped = d.hadStopped || validatedAt.Sub(d.since) >= ReregistrationGrace
		d.since = now
		c.deregistered[id] = d
	}
	c.publish()
}
