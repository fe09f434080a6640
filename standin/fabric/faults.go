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

// Delay holds back a share of the datagrams for a time between Min and Max, drawn evenly.
// Unequal delays reorder datagrams.
type Delay struct {
	Share float64       `json:"share"`
	Min   time.Duration `json:"min_ns"`
	Max   time.Duration `json:"max_ns"`
}

type zonePair struct{ low, high uint8 }

func pairOf(a, b uint8) zonePair { return zonePair{low: min(a, b), high: max(a, b)} }

type target struct {
	data   netip.AddrPort
	weight int
}

// rules is the immutable state that each datagram is checked against.
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

// cutSince returns when the path between two addresses was cut.
func (r *rules) cutSince(from, to netip.Addr) (time.Time, bool) {
	if len(r.cutVMs) == 0 && len(r.cutZones) == 0 {
		return time.Time{}, false
	}
	from, to = bindForm(from), bindForm(to)
	if from == to {
		return time.Time{}, false
	}
	if t, ok := r.cutVMs[from]; ok {
		return t, true
	}
	if t, ok := r.cutVMs[to]; ok {
		return t, true
	}
	t, ok := r.cutZones[pairOf(zoneOf(from), zoneOf(to))]
	return t, ok
}

// pick chooses a target by weight. A target cut from the sender for longer than withdraw is
// not chosen, as routes to it are gone by then; one cut more recently may be.
func (r *rules) pick(rng *rand.Rand, from netip.Addr, withdraw time.Duration) (netip.AddrPort, bool) {
	usable := func(t target) bool {
		since, cut := r.cutSince(from, t.data.Addr())
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
			return t.data, true
		}
	}
	return netip.AddrPort{}, false
}

func (f *Fabric) change(edit func(*rules)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.rules.Load().clone()
	edit(r)
	f.rules.Store(r)
}

// AddDaemon adds a balancer's data address (bind or relayed form) to the list that service
// datagrams go to, or changes its weight. Weight 0 keeps it listed without datagrams.
func (f *Fabric) AddDaemon(data netip.AddrPort, weight int) {
	data = netip.AddrPortFrom(bindForm(data.Addr()), data.Port())
	f.change(func(r *rules) {
		for i := range r.targets {
			if r.targets[i].data == data {
				r.targets[i].weight = weight
				return
			}
		}
		r.targets = append(r.targets, target{data: data, weight: weight})
	})
}

// RemoveDaemon takes a balancer off the list.
func (f *Fabric) RemoveDaemon(data netip.AddrPort) {
	data = netip.AddrPortFrom(bindForm(data.Addr()), data.Port())
	f.change(func(r *rules) {
		kept := r.targets[:0]
		for _, t := range r.targets {
			if t.data != data {
				kept = append(kept, t)
			}
		}
		r.targets = kept
	})
}

// CutZones cuts all traffic between two zones in both directions and breaks open TCP relays
// between them. The platform is zone PlatformZone.
func (f *Fabric) CutZones(a, b uint8) {
	f.change(func(r *rules) { r.cutZones[pairOf(a, b)] = time.Now() })
	f.breakCutRelays()
}

// HealZones ends the cut between two zones.
func (f *Fabric) HealZones(a, b uint8) {
	f.change(func(r *rules) { delete(r.cutZones, pairOf(a, b)) })
}

// CutVM cuts one VM from everything and breaks its open TCP relays.
func (f *Fabric) CutVM(vm netip.Addr) {
	f.change(func(r *rules) { r.cutVMs[bindForm(vm)] = time.Now() })
	f.breakCutRelays()
}

// HealVM ends the cut of a VM.
func (f *Fabric) HealVM(vm netip.Addr) {
	f.change(func(r *rules) { delete(r.cutVMs, bindForm(vm)) })
}

// HealAll ends all faults, black holes included.
func (f *Fabric) HealAll() {
	f.change(func(r *rules) {
		r.cutZones, r.cutVMs = map[zonePair]time.Time{}, map[netip.Addr]time.Time{}
		r.loss, r.duplicate, r.delay = 0, 0, Delay{}
	})
	f.flows.heal()
}

// SetLoss drops the given share of datagrams, 0 to 1. It returns ErrBadShare.
func (f *Fabric) SetLoss(share float64) error {
	if !validShare(share) {
		return fmt.Errorf("loss %v: %w", share, ErrBadShare)
	}
	f.change(func(r *rules) { r.loss = share })
	return nil
}

// SetDuplication sends the given share of datagrams twice, on all hops. It returns ErrBadShare.
func (f *Fabric) SetDuplication(share float64) error {
	if !validShare(share) {
		return fmt.Errorf("duplication %v: %w", share, ErrBadShare)
	}
	f.change(func(r *rules) { r.duplicate = share })
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
	f.change(func(r *rules) { r.delay = d })
	return nil
}

func validShare(s float64) bool { return s >= 0 && s <= 1 }
