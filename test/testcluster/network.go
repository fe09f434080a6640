package testcluster

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

// zoneNumber returns the zone number of an address, 0 for callers and service addresses.
func zoneNumber(a netip.Addr) int {
	b := a.As4()
	if b[1] == 1 {
		return int(b[2])
	}
	return 0
}

func (c *Cluster) deliveryPolicy(from, to netip.AddrPort, data []byte) []time.Duration {
	a, b := zoneNumber(from.Addr()), zoneNumber(to.Addr())
	delay := latencyBetweenZones
	switch {
	case a == 0 && b == 0:
		delay = latencyCaller
	case a == 0 || b == 0:
		// One of the two hops between a caller and a VM; the fabric is in the middle.
		delay = latencyCaller / 2
	case a == b:
		delay = latencyInZone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a != 0 && b != 0 && c.cuts[cutKey(a, b)] {
		return nil
	}
	if c.tamper != nil {
		return c.tamper(from, to, data, delay)
	}
	return []time.Duration{delay}
}

func cutKey(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// Tamper sets a function that may drop, delay or duplicate datagrams: it returns the delay of each
// datagram that is delivered. nil removes it.
func (c *Cluster) Tamper(f func(from, to netip.AddrPort, data []byte, delay time.Duration) []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tamper = f
}

// Cut drops all traffic between two zones, given by number; PlatformZone is the platform.
func (c *Cluster) Cut(a, b int) { c.setCut(a, b, true) }

// Heal ends a cut between two zones.
func (c *Cluster) Heal(a, b int) { c.setCut(a, b, false) }

func (c *Cluster) setCut(a, b int, on bool) {
	c.mu.Lock()
	c.cuts[cutKey(a, b)] = on
	var prefixes []netip.Prefix
	for k, cut := range c.cuts {
		if cut && k[1] == PlatformZone {
			prefixes = append(prefixes, netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 1, byte(k[0]), 0}), 24))
		}
	}
	c.mu.Unlock()
	c.Platform.SetCut(prefixes...)
}

func (c *Cluster) isCut(a, b netip.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[cutKey(zoneNumber(a), zoneNumber(b))]
}

// startFabric forwards each datagram sent to a service address to a random daemon that has a route
// and is reachable from the sender's zone. Datagrams of one flow may reach different daemons.
func (c *Cluster) startFabric(address netip.AddrPort) {
	conn := c.listen(address)
	c.closeOnShutdown(conn)
	c.wg.Go(func() {
		batch := make([]wire.Datagram, 64)
		for {
			n, err := conn.ReadBatch(batch)
			if err != nil {
				return
			}
			for _, d := range batch[:n] {
				if to, ok := c.pickDaemon(d.Addr.Addr()); ok {
					_ = conn.Send(to, d.Data)
				}
			}
		}
	})
}

func (c *Cluster) pickDaemon(from netip.Addr) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []netip.Addr
	for _, dd := range c.Declaration.Daemons {
		usable = c.appendReachable(usable, from, c.daemons[dd.Name])
	}
	for _, name := range c.added {
		usable = c.appendReachable(usable, from, c.daemons[name])
	}
	if len(usable) == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(usable[c.rng.IntN(len(usable))], dataPort), true
}

func (c *Cluster) appendReachable(list []netip.Addr, from netip.Addr, d *Daemon) []netip.Addr {
	if d == nil || !d.isRouted {
		return list
	}
	to := d.Member.PeerAddress.Addr()
	if a := zoneNumber(from); a != 0 && c.cuts[cutKey(a, zoneNumber(to))] {
		return list
	}
	return append(list, to)
}

// addedNames returns the names of daemons 3 to 8 of each zone that were started. Start runs daemons
// of the declaration only, so these were added later.
func (c *Cluster) addedNames() []string {
	var names []string
	for _, z := range c.Declaration.Zones {
		for i := 3; i < 9; i++ {
			if name := fmt.Sprintf("%s-%d", z, i); c.daemons[name] != nil {
				names = append(names, name)
			}
		}
	}
	return names
}

// Inject sends a datagram from an address that has no listener, as a sender with a spoofed address
// does.
func (c *Cluster) Inject(from, to netip.AddrPort, data []byte) {
	conn := c.listen(from)
	if err := conn.Send(to, data); err != nil {
		c.t.Error(err)
	}
	_ = conn.Close()
}
