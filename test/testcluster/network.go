package testcluster

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/wire"
)

// zoneOf returns the zone number of an address, 0 for callers and service addresses.
func zoneOf(a netip.Addr) int {
	b := a.As4()
	if b[1] == 1 {
		return int(b[2])
	}
	return 0
}

func (c *Cluster) policy(from, to netip.AddrPort, data []byte) []time.Duration {
	a, b := zoneOf(from.Addr()), zoneOf(to.Addr())
	delay := latencyZones
	switch {
	case a == 0 && b == 0:
		delay = latencyCaller
	case a == 0 || b == 0:
		// Half of the way between a caller and a VM; the fabric is the other half.
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

// Tamper sets a function that may drop, delay or duplicate datagrams; nil removes it.
func (c *Cluster) Tamper(f func(from, to netip.AddrPort, data []byte, delay time.Duration) []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tamper = f
}

// Cut separates two zones by number; zone 99 is the platform.
func (c *Cluster) Cut(a, b int) { c.setCut(a, b, true) }

// Heal ends a cut.
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
	return c.cuts[cutKey(zoneOf(a), zoneOf(b))]
}

// startFabric hands each datagram at a service address to any daemon in use that the sender's
// zone reaches, each independently.
func (c *Cluster) startFabric(address netip.AddrPort) {
	conn := c.listen(address)
	c.onClose(conn)
	c.wg.Go(func() {
		batch := make([]wire.Datagram, 64)
		for {
			n, err := conn.ReadBatch(batch)
			if err != nil {
				return
			}
			for _, d := range batch[:n] {
				if to, ok := c.pick(d.Addr.Addr()); ok {
					_ = conn.Send(to, d.Data)
				}
			}
		}
	})
}

func (c *Cluster) pick(from netip.Addr) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []netip.Addr
	for _, dd := range c.Declaration.Daemons {
		usable = c.appendUsable(usable, from, c.daemons[dd.Name])
	}
	for _, name := range c.added {
		usable = c.appendUsable(usable, from, c.daemons[name])
	}
	if len(usable) == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(usable[c.rng.IntN(len(usable))], dataPort), true
}

func (c *Cluster) appendUsable(list []netip.Addr, from netip.Addr, d *Daemon) []netip.Addr {
	if d == nil || !d.inUse {
		return list
	}
	to := d.Member.PeerAddress.Addr()
	if a := zoneOf(from); a != 0 && c.cuts[cutKey(a, zoneOf(to))] {
		return list
	}
	return append(list, to)
}

// extra lists daemons that were added after the start, in order of their names.
func (c *Cluster) extra() []string {
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

// Inject sends a datagram from an address that nobody listens at, as a caller does that claims
// to be somebody else.
func (c *Cluster) Inject(from, to netip.AddrPort, data []byte) {
	conn := c.listen(from)
	if err := conn.Send(to, data); err != nil {
		c.t.Error(err)
	}
	_ = conn.Close()
}
