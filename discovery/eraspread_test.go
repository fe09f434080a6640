package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	// spreadUpstreams is the number of upstreams in the store of a fleet, and spreadPage the records of a page.
	spreadUpstreams, spreadPage = 60, 20
	spreadLatency               = 4 * time.Millisecond
	// spreadPeers is the number of daemons that a daemon knows, and spreadFanout that to which it sends.
	spreadPeers, spreadFanout = 64, 4
	spreadHop                 = 2 * time.Millisecond
)

// spreadStore is a store that counts latest reads in each tenth of a second, and that ends all watches when it is
// restored, or makes them fail in an outage before.
type spreadStore struct {
	mu      sync.Mutex
	era     store.Era
	isDown  bool
	changed chan struct{}
	latest  map[time.Time]int
}

func (s *spreadStore) respond(ctx context.Context) (store.Era, error) {
	time.Sleep(spreadLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown || ctx.Err() != nil {
		return 0, store.ErrUnavailable
	}
	return s.era, nil
}

func (s *spreadStore) ListPage(ctx context.Context, kind store.Kind, after string, c store.Consistency) (store.Page, error) {
	if c == store.Latest {
		s.mu.Lock()
		s.latest[time.Now().Truncate(100*time.Millisecond)]++
		s.mu.Unlock()
	}
	era, err := s.respond(ctx)
	p := store.Page{AsOf: 1000, Era: era}
	if err != nil || kind != "servers" {
		return p, err
	}
	for n := range spreadUpstreams {
		name := fmt.Sprintf("i-%03d", n)
		if name > after && len(p.Records) < spreadPage {
			p.Records = append(p.Records, entryOf(name, n+1, 1, 1, "ready"))
			p.Next = name
		}
	}
	if p.Next == fmt.Sprintf("i-%03d", spreadUpstreams-1) {
		p.Next = ""
	}
	return p, err
}

func (s *spreadStore) WatchKind(ctx context.Context, _ store.Kind, _ store.Version, wait time.Duration) (store.Changes, error) {
	if _, err := s.respond(ctx); err != nil {
		return store.Changes{}, err
	}
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	}
	era, err := s.respond(ctx)
	return store.Changes{AsOf: 1000, Era: era}, err
}

// set changes the state of the store and ends the watches.
func (s *spreadStore) set(era store.Era, isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.isDown = era, isDown
	close(s.changed)
	s.changed = make(chan struct{})
}

// take returns the number of latest reads since the last call, and that of the tenth of a second with the most.
func (s *spreadStore) take() (total, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.latest {
		total, most = total+n, max(most, n)
	}
	s.latest = map[time.Time]int{}
	return total, most
}

// spreadDaemon is one daemon of the fleet, which knows some others.
type spreadDaemon struct {
	*Syncer
	address netip.Addr
	fleet   map[netip.Addr]*spreadDaemon
	known   []*spreadDaemon
}

func (d *spreadDaemon) DaemonCount() int { return len(d.known) }
func (d *spreadDaemon) IsSeed() bool     { return false }

func (d *spreadDaemon) ListRecords(_ context.Context, kind store.Kind, from netip.Addr, digests []uint64) (RecordSet, error) {
	time.Sleep(2 * spreadHop)
	other := d.fleet[from]
	if other == nil {
		other = d.known[rand.N(len(d.known))]
	}
	rs, err := other.Records(kind, digests)
	rs.From = other.address
	return rs, err
}

// gossip sends advertisements to some other daemons, which pass them on if they are fresher.
func (d *spreadDaemon) gossip() {
	ads := d.Advertisements()
	for range spreadFanout {
		other := d.known[rand.N(len(d.known))]
		time.AfterFunc(spreadHop, func() {
			isFresher := false
			for _, ad := range ads {
				ad.From, ad.IsDated = d.address, true
				isFresher = other.HandleAdvertisement(ad) == EffectFresher || isFresher
			}
			if isFresher {
				other.gossip()
			}
		})
	}
}

// startFleet starts daemons that gossip each second, as package fleet does.
func startFleet(ctx context.Context, s store.Collections, size int) []*spreadDaemon {
	byAddress := map[netip.Addr]*spreadDaemon{}
	var all []*spreadDaemon
	for n := range size {
		d := &spreadDaemon{address: netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), fleet: byAddress}
		d.Syncer = NewSyncer(Options{Store: s, Catalog: catalog.New(time.Now), Counters: telemetry.NewCounters(),
			Logger: zerolog.Nop(), PropagationBound: bound, Evacuations: true})
		d.SetPeers(d, d.gossip)
		byAddress[d.address], all = d, append(all, d)
	}
	for n, d := range all {
		for _, other := range rand.Perm(size) {
			if other != n && len(d.known) < spreadPeers {
				d.known = append(d.known, all[other])
			}
		}
		go func() { _ = d.Run(ctx) }()
		go func() {
			for time.Sleep(rand.N(time.Second)); ctx.Err() == nil; time.Sleep(time.Second) {
				d.gossip()
			}
		}()
	}
	return all
}

// Guards against a new era that makes each daemon of a large fleet list the store at once: its watches show the era to
// all of them in the same moment. Guards also against daemons that never agree on the era and the records.
func TestNewEraCausesFewLists(t *testing.T) {
	const size = 300
	for name, outage := range map[string]time.Duration{"at once": 0, "after an outage": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(time.Minute) // Calls and timers end.
				defer cancel()
				s := &spreadStore{era: 1, changed: make(chan struct{}), latest: map[time.Time]int{}}
				all := startFleet(ctx, s, size)
				time.Sleep(5 * time.Second)
				s.take()
				time.Sleep(5 * time.Second)
				calm, calmMost := s.take()
				if outage > 0 {
					s.set(1, true)
					time.Sleep(outage)
					s.take()
				}
				s.set(2, false)
				time.Sleep(5 * time.Second)
				total, most := s.take()
				t.Logf("latest reads: %d in 5 s before, at most %d in 0.1 s; %d in 5 s after, at most %d in 0.1 s", calm, calmMost, total, most)
				g.Expect(most).To(BeNumerically("<", size/3), "in a tenth of a second")
				g.Expect(total).To(BeNumerically("<", 2*size))
				for _, kind := range all[0].Kinds() {
					for _, d := range all {
						g.Expect(d.cachedEra(kind)).To(Equal(store.Era(2)))
					}
				}
				time.Sleep(catalog.ReregistrationGrace)
				for _, d := range all {
					g.Expect(d.Advertisements()).To(HaveLen(3))
					for n, ad := range d.Advertisements() {
						g.Expect(ad.Digest).To(Equal(all[0].Advertisements()[n].Digest))
					}
				}
			})
		})
	}
}
