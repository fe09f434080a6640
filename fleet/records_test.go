package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

const (
	// pageSize is the number of records in a page of the changing store.
	pageSize    = 50
	callLatency = 4 * time.Millisecond
)

// changingStore holds upstreams that change while watches are delayed, and limits the rate of
// latest reads.
type changingStore struct {
	mu      sync.Mutex
	version store.Version
	records []store.Record
	log     []store.Change
	// pages counts the served pages of latest reads, stalePages those of stale reads.
	pages, stalePages int
	// rate is the number of pages of latest reads that are served per second; 0 means no limit.
	rate            int
	second          int64
	pagesThisSecond int
	refused         int
	maxWatchLag     time.Duration
}

func newChangingStore(upstreams int) *changingStore {
	s := &changingStore{version: 1}
	for i := range upstreams {
		s.records = append(s.records, store.Record{Name: fmt.Sprintf("i-%05d", i), Version: 1})
	}
	return s
}

// write updates one record.
func (s *changingStore) write(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.records[i].Version = s.version
	s.log = append(s.log, store.Change{Record: s.records[i]})
}

func (s *changingStore) ListPage(ctx context.Context, kind store.Kind, after string, c store.Consistency) (store.Page, error) {
	if err := wait.For(ctx, callLatency); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c == store.AllowStale:
		s.stalePages++
	case s.isWithinRate():
		s.pages++
	default:
		s.refused++
		return store.Page{}, store.ErrRateLimited
	}
	p := store.Page{AsOf: s.version}
	if kind != platform.KindUpstreams {
		return p, nil
	}
	for _, r := range s.records {
		if r.Name <= after {
			continue
		}
		if len(p.Records) == pageSize {
			p.Next = p.Records[pageSize-1].Name
			break
		}
		p.Records = append(p.Records, r)
	}
	return p, nil
}

// counts returns how many pages of latest reads were served and refused so far.
func (s *changingStore) counts() (pages, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pages, s.refused
}

// isWithinRate reports whether one more page is within the rate limit. The caller holds s.mu.
func (s *changingStore) isWithinRate() bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.pagesThisSecond = now, 0
	}
	s.pagesThisSecond++
	return s.rate == 0 || s.pagesThisSecond <= s.rate
}

func (s *changingStore) WatchKind(ctx context.Context, kind store.Kind, after store.Version, maxWait time.Duration) (store.Changes, error) {
	end := time.Now().Add(maxWait)
	for ctx.Err() == nil && time.Now().Before(end) {
		if err := wait.For(ctx, rand.N(s.maxWatchLag)+time.Millisecond); err != nil {
			return store.Changes{}, err
		}
		s.mu.Lock()
		c := store.Changes{AsOf: s.version}
		for _, change := range s.log {
			if change.Record.Version > after && kind == platform.KindUpstreams {
				c.Changes = append(c.Changes, change)
			}
		}
		s.mu.Unlock()
		if len(c.Changes) > 0 {
			return c, nil
		}
	}
	return store.Changes{AsOf: after}, ctx.Err()
}

// handlerTransport maps the IP addresses of daemons to their handlers, and calls them without
// sockets.
type handlerTransport map[string]http.Handler

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := wait.For(r.Context(), 2*time.Millisecond); err != nil {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	h[strings.Split(r.URL.Host, ":")[0]].ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// startFleet runs daemons with a store until the test ends.
func startFleet(t *testing.T, daemons int, s *changingStore) ([]*discovery.Syncer, []*catalog.Catalog) {
	return startFleetOn(t, daemons, s, memnet.New(func(_, _ netip.AddrPort, _ []byte) []time.Duration {
		return []time.Duration{time.Millisecond}
	}))
}

// startFleetOn does the same with datagrams on a given network.
func startFleetOn(t *testing.T, daemons int, s *changingStore, network *memnet.Network) ([]*discovery.Syncer, []*catalog.Catalog) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	transport := handlerTransport{}
	var syncers []*discovery.Syncer
	var catalogs []*catalog.Catalog
	for i := range daemons {
		conn, err := network.Listen(netip.AddrPortFrom(address(i), port))
		if err != nil {
			t.Fatal(err)
		}
		upstreams := catalog.New(time.Now)
		catalogs = append(catalogs, upstreams)
		syncer := discovery.NewSyncer(discovery.Options{
			Store: s, Catalog: upstreams, Counters: telemetry.NewCounters(), Logger: zerolog.Nop(), PropagationBound: bound,
		})
		f := New(Options{
			Conn: conn, Zone: "zone", Syncer: syncer, Counters: telemetry.NewCounters(), Logger: zerolog.Nop(),
			Seeds:     func() []netip.Addr { return []netip.Addr{address(0), address(1), address(2)} },
			Transport: transport,
		})
		syncer.SetPeers(f, f.Gossip)
		_, transport[address(i).String()] = NewHandler(syncer)
		syncers = append(syncers, syncer)
		go func() { _ = syncer.Run(ctx) }()
		go func() { _ = f.Run(ctx) }()
		go func() {
			<-ctx.Done()
			_ = conn.Close()
		}()
	}
	return syncers, catalogs
}

// Guards against a fleet in which each daemon lists the store because no two daemons have the same
// records while upstreams change. With 90 daemons, this caused four fifths of all store calls on a
// day with faults.
func TestDaemonsSynchronizeFromOneAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newChangingStore(150)
		s.maxWatchLag = 2 * time.Second
		syncers, _ := startFleet(t, 90, s)
		time.Sleep(10 * time.Second)
		before, _ := s.counts()
		const seconds = 30
		for i := range seconds * 10 {
			s.write(i % 150)
			time.Sleep(100 * time.Millisecond)
			for _, syncer := range syncers {
				g.Expect(time.Since(syncer.UpstreamsValidatedAt())).To(BeNumerically("<", bound))
			}
		}
		// A fleet that reads once in each 0.4 of the bound needs 5 pages each time, for both kinds
		// together. Three daemons may read before they receive the advertisement of the first.
		after, _ := s.counts()
		g.Expect(after - before).To(BeNumerically("<", 3*5*seconds*1000/1200))
	})
}

// Guards against a start of all daemons that overloads the store. 301 daemons with 3,000 upstreams
// took 30 s to start: each of them listed 60 pages, the store served at most 6,000 per second, and
// refused lists started again from the first page.
func TestFleetStartsWithinStoreRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newChangingStore(3000)
		s.rate, s.maxWatchLag = 6000, time.Second
		syncers, catalogs := startFleet(t, 300, s)
		time.Sleep(time.Second)
		for _, c := range catalogs {
			g.Expect(c.Current().UpstreamsListed).To(BeTrue())
		}
		time.Sleep(2 * time.Second)
		for _, syncer := range syncers {
			g.Expect(time.Since(syncer.UpstreamsValidatedAt())).To(BeNumerically("<", bound))
		}
		pages, refused := s.counts()
		g.Expect(refused).To(BeZero())
		g.Expect(pages).To(BeNumerically("<", 6000))
	})
}
