package fabric

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Errors of the fault settings.
var (
	ErrBadShare = errors.New("share is not between 0 and 1")
	ErrBadDelay = errors.New("delay is negative or its minimum is above its maximum")
)

// Delay delays a share of the datagrams by a time between Min and Max, drawn from a uniform
// distribution. Unequal delays reorder datagrams.
type Delay struct {
	Share float64       `json:"share"`
	Min   time.Duration `json:"min_ns"`
	Max   time.Duration `json:"max_ns"`
}

type zonePair struct{ low, high uint8 }

func newZonePair(a, b uint8) zonePair { return zonePair{low: min(a, b), high: max(a, b)} }

type target struct {
	dataAddress netip.AddrPort
	weight      int
}

// rules is the immutable list of balancers and injected faults that applies to each datagram.
type rules struct {
	targets   []target
	cutZones  map[zonePair]time.Time
	cutVMs    map[netip.Addr]time.Time
	loss      float64
	duplicate float64
	delay     Delay
}

func (r *rules) clone() *rules {
	c := *r
	c.targets = append([]target(nil), r.targets...)
	c.cutZones = make(map[zonePair]time.Time, len(r.cutZones))
	for k, v := range r.cutZones {
		c.cutZones[k] = v
	}
	c.cutVMs = make(map[netip.Addr]time.Time, len(r.cutVMs))
	for k, v := range r.cutVMs {
		c.cutVMs[k] = v
	}
	return &c
}

// cutSince returns the time at which the path between two addresses was cut, and false if it is not
// cut.
func (r *rules) cutSince(from, to netip.Addr) (time.Time, bool) {
	if len(r.cutVMs) == 0 && len(r.cutZones) == 0 {
		return time.Time{}, false
	}
	from, to = bindAddress(from), bindAddress(to)
	if from == to {
		return time.Time{}, false
	}
	if t, ok := r.cutVMs[from]; ok {
		return t, true
	}
	if t, ok := r.cutVMs[to]; ok {
		return t, true
	}
	t, ok := r.cutZones[newZonePair(zoneNumber(from), zoneNumber(to))]
	return t, ok
}

// pickTarget selects a balancer at random by weight. Routes to a balancer are withdrawn once it has
// been cut off from the sender for longer than withdraw; until then it may be selected.
func (r *rules) pickTarget(rng *rand.Rand, from netip.Addr, withdraw time.Duration) (netip.AddrPort, bool) {
	usable := func(t target) bool {
		since, cut := r.cutSince(from, t.dataAddress.Addr())
		return t.weight > 0 && (!cut || time.Since(since) < withdraw)
	}
	total := 0
	for _, t := range r.targets {
		if usable(t) {
			total += t.weight
		}
	}
	if total == 0 {
		return netip.AddrPort{}, false
	}
	n := rng.IntN(total)
	for _, t := range r.targets {
		if !usable(t) {
			continue
		}
		if n -= t.weight; n < 0 {
			return t.dataAddress, true
		}
	}
	return netip.AddrPort{}, false
}

func (f *Fabric) updateRules(edit func(*rules)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.rules.Load().clone()
	edit(r)
	f.rules.Store(r)
}

// AddDaemon adds a balancer's data address (bind or relay address) to the list of balancers that
// receive datagrams for service addresses, or changes its weight. With weight 0 the balancer stays
// in the list and receives none.
func (f *Fabric) AddDaemon(dataAddress netip.AddrPort, weight int) {
	dataAddress = netip.AddrPortFrom(bindAddress(dataAddress.Addr()), dataAddress.Port())
	f.updateRules(func(r *rules) {
		for i := range r.targets {
			if r.targets[i].dataAddress == dataAddress {
				r.targets[i].weight = weight
				return
			}
		}
		r.targets = append(r.targets, target{dataAddress: dataAddress, weight: weight})
	})
}

// RemoveDaemon removes a balancer from the list.
func (f *Fabric) RemoveDaemon(dataAddress netip.AddrPort) {
	dataAddress = netip.AddrPortFrom(bindAddress(dataAddress.Addr()), dataAddress.Port())
	f.updateRules(func(r *rules) {
		kept := r.targets[:0]
		for _, t := range r.targets {
			if t.dataAddress != dataAddress {
				kept = append(kept, t)
			}
		}
		r.targets = kept
	})
}

// CutZones cuts all traffic between two zones in both directions and breaks open TCP relays
// between them. The platform is zone PlatformZone.
func (f *Fabric) CutZones(a, b uint8) {
	f.updateRules(func(r *rules) { r.cutZones[newZonePair(a, b)] = time.Now() })
	f.breakCutRelays()
}

// HealZones ends the cut between two zones.
func (f *Fabric) HealZones(a, b uint8) {
	f.updateRules(func(r *rules) { delete(r.cutZones, newZonePair(a, b)) })
}

// CutVM cuts all traffic of one VM and breaks its open TCP relays.
func (f *Fabric) CutVM(vm netip.Addr) {
	f.updateRules(func(r *rules) { r.cutVMs[bindAddress(vm)] = time.Now() })
	f.breakCutRelays()
}

// HealVM ends the cut of a VM.
func (f *Fabric) HealVM(vm netip.Addr) {
	f.updateRules(func(r *rules) { delete(r.cutVMs, bindAddress(vm)) })
}

// HealAll ends all faults, black holes included.
func (f *Fabric) HealAll() {
	f.updateRules(func(r *rules) {
		r.cutZones, r.cutVMs = map[zonePair]time.Time{}, map[netip.Addr]time.Time{}
		r.loss, r.duplicate, r.delay = 0, 0, Delay{}
	})
	f.flows.clearBlackholes()
}

// SetLoss drops the given share of datagrams, 0 to 1. It returns ErrBadShare.
func (f *Fabric) SetLoss(share float64) error {
	if !validShare(share) {
		return fmt.Errorf("loss %v: %w", share, ErrBadShare)
	}
	f.updateRules(func(r *rules) { r.loss = share })
	return nil
}

// SetDuplication sends the given share of datagrams twice, on all hops. It returns ErrBadShare.
func (f *Fabric) SetDuplication(share float64) error {
	if !validShare(share) {
		return fmt.Errorf("duplication %v: %w", share, ErrBadShare)
	}
	f.updateRules(func(r *rules) { r.duplicate = share })
	return nil
}

// SetDelay delays a share of datagrams. It returns ErrBadShare or ErrBadDelay.
func (f *Fabric) SetDelay(d Delay) error {
	if !validShare(d.Share) {
		return fmt.Errorf("delay %v: %w", d.Share, ErrBadShare)
	}
	if d.Min < 0 || d.Min > d.Max {
		return fmt.Errorf("delay %s to %s: %w", d.Min, d.Max, ErrBadDelay)
	}
	f.updateRules(func(r *rules) { r.delay = d })
	return nil
}

func validShare(s float64) bool { return s >= 0 && s <= 1 }
