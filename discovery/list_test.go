package discovery

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// pagedStore serves pages of one record and refuses some calls with ErrRateLimited.
type pagedStore struct {
	records int
	calls   int
	refuses func(call int) bool
}

func (s *pagedStore) ListPage(_ context.Context, _ store.Kind, after string, _ store.Consistency) (store.Page, error) {
	s.calls++
	if s.refuses(s.calls) {
		return store.Page{}, store.ErrRateLimited
	}
	n := 0
	if after != "" {
		var err error
		if n, err = strconv.Atoi(after); err != nil {
			return store.Page{}, err
		}
	}
	name := fmt.Sprintf("%04d", n+1)
	p := store.Page{Records: []store.Record{{Name: name, Version: 1}}, AsOf: store.Version(10 + n)}
	if n+1 < s.records {
		p.Next = name
	}
	return p, nil
}

func (s *pagedStore) WatchKind(ctx context.Context, _ store.Kind, _ store.Version, _ time.Duration) (store.Changes, error) {
	<-ctx.Done()
	return store.Changes{}, ctx.Err()
}

// Guards against a fleet that never finishes starting: when all daemons list at once, the store
// refuses most pages, and a list that restarts at each refusal never completes. Guards also against
// repeated requests for a first page while another daemon could serve the records.
func TestListContinuesAfterRateLimitedPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &pagedStore{records: 60, refuses: func(call int) bool { return call%2 == 0 }}
		syncer := NewSyncer(Options{Store: s, Catalog: catalog.New(time.Now), Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
		l, err := syncer.list(t.Context(), "servers", causeStale, false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Records).To(HaveLen(60))
		g.Expect(l.AsOf).To(Equal(store.Version(10)), "the version of the first page")
		g.Expect(s.calls).To(BeNumerically("<=", 120))
		s.refuses = func(int) bool { return true }
		s.calls = 0
		_, err = syncer.list(t.Context(), "servers", causeStale, false)
		g.Expect(err).To(MatchError(store.ErrRateLimited))
		g.Expect(s.calls).To(Equal(1))
	})
}

// Guards against a registered upstream that counts as deregistered: its entry expired and was
// written again while the store was unreachable, and one response contains both changes.
func TestExpiryAndReregistrationInOneResponse(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(time.Now)
	syncer := NewSyncer(Options{Store: &pagedStore{}, Catalog: c, Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
	entry := func(version int) store.Record {
		return store.Record{Name: "i-a1", Version: store.Version(version), Body: []byte(
			`{"service":"s","address":"127.0.0.1:80","zone":"z","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"seq":4,"born":1}`)}
	}
	syncer.applyRecordSet(platform.KindUpstreams, completeList(5, entry(5)), true)
	syncer.applyChanges(platform.KindUpstreams, store.Changes{AsOf: 9, Changes: []store.Change{
		{Record: entry(7), Deleted: true}, {Record: entry(9)},
	}})
	g.Expect(c.Current().UpstreamCount()).To(Equal(1))
	syncer.applyChanges(platform.KindUpstreams, store.Changes{AsOf: 12, Changes: []store.Change{
		{Record: entry(11)}, {Record: entry(12), Deleted: true},
	}})
	g.Expect(c.Current().UpstreamCount()).To(BeZero())
}

// refusingStore lists no records and refuses each watch at once.
type refusingStore struct{ watches atomic.Int64 }

func (s *refusingStore) ListPage(context.Context, store.Kind, string, store.Consistency) (store.Page, error) {
	return store.Page{AsOf: 5}, nil
}

func (s *refusingStore) WatchKind(context.Context, store.Kind, store.Version, time.Duration) (store.Changes, error) {
	s.watches.Add(1)
	return store.Changes{}, store.ErrUnavailable
}

// manyPeers are the other daemons of a large fleet, none of which returns records.
type manyPeers struct{}

func (manyPeers) DaemonCount() int { return 64 }
func (manyPeers) IsSeed() bool     { return false }
func (manyPeers) ListRecords(context.Context, store.Kind, netip.Addr, []uint64) (RecordSet, error) {
	return RecordSet{}, errNoFresherDaemon
}

// Guards against a store that refuses some VMs of a large fleet and receives most of its calls from the
// retries of their watches.
func TestRefusedWatchesAreRetriedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{}
		syncer := NewSyncer(Options{Store: s, Catalog: catalog.New(time.Now), Counters: telemetry.NewCounters(),
			Logger: zerolog.Nop(), PropagationBound: 6 * time.Second})
		syncer.SetPeers(manyPeers{}, func() {})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_ = syncer.Run(ctx)
		// Two kinds are watched. Pauses of 2.56 s are halved at most by the jitter.
		NewWithT(t).Expect(s.watches.Load()).To(BeNumerically("<", 2*20*1000/1280+2*4))
	})
}

// lockCheckingPeers fails a test if they are called while the Syncer holds its lock.
type lockCheckingPeers struct {
	manyPeers
	syncer *Syncer
	g      *WithT
}

func (p lockCheckingPeers) DaemonCount() int {
	p.g.Expect(p.syncer.mu.TryLock()).To(BeTrue())
	p.syncer.mu.Unlock()
	return p.manyPeers.DaemonCount()
}

// Guards against a daemon that stops for good: the syncer calls the fleet with its lock held while the fleet
// calls the syncer with its own.
func TestPeersAreCalledWithoutLock(t *testing.T) {
	g := NewWithT(t)
	syncer := NewSyncer(Options{Store: &refusingStore{}, Catalog: catalog.New(time.Now), Counters: telemetry.NewCounters(),
		Logger: zerolog.Nop(), PropagationBound: 6 * time.Second})
	syncer.SetPeers(lockCheckingPeers{syncer: syncer, g: g}, nil)
	kind := Kinds()[0]
	g.Expect(syncer.refresh(t.Context(), kind, causeRequested)).To(Succeed())
	validatedAt := syncer.ValidatedAt(kind)
	ad := syncer.Advertisements()[0]
	ad.ValidatedAt, ad.IsDated = validatedAt.Add(time.Second), true
	g.Expect(syncer.HandleAdvertisement(ad)).To(Equal(EffectFresher))
}

// Guards against resets of flows whose upstreams still run: their entries expired in an outage of the store, and
// a second outage soon afterwards kept them from registering again (found by the independent review).
func TestGraceRestartsAfterEachOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		// lose makes the second outage known to the Syncer.
		lose func(*Syncer)
		// validate validates the records without the entry at the present time.
		validate func(*Syncer)
	}{
		{"own list", func(s *Syncer) { s.recordFailure(platform.KindUpstreams, store.ErrUnavailable) }, func(s *Syncer) {
			s.recordSuccess()
			s.applyRecordSet(platform.KindUpstreams, completeListAt(time.Now(), 9), true)
		}},
		{"advertisement", func(s *Syncer) { s.recordFailure(platform.KindUpstreams, store.ErrUnavailable) }, func(s *Syncer) {
			ad := s.Advertisements()[0]
			ad.ValidatedAt, ad.IsDated = time.Now(), true
			s.HandleAdvertisement(ad)
		}},
		{"watch", func(s *Syncer) { s.recordUnavailable() }, func(s *Syncer) {
			s.applyRecordSet(platform.KindUpstreams, completeListAt(time.Now(), 9), false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				known := catalog.New(time.Now)
				syncer := NewSyncer(Options{Store: &pagedStore{}, Catalog: known, Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
				entry := store.Record{Name: "i-a1", Version: 5, Body: []byte(
					`{"service":"s","address":"127.0.0.1:80","zone":"z","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"seq":4,"born":1}`)}
				syncer.applyRecordSet(platform.KindUpstreams, completeListAt(time.Now(), 5, entry), true)
				status := func() catalog.RegistrationStatus {
					return known.Current().RegistrationStatus(catalog.IncarnationKey("i-a1", 1), syncer.UpstreamsValidatedAt())
				}
				syncer.applyRecordSet(platform.KindUpstreams, completeListAt(time.Now(), 9), true)
				time.Sleep(800 * time.Millisecond)
				c.lose(syncer)
				time.Sleep(2 * time.Second)
				c.validate(syncer)
				g.Expect(status()).To(Equal(catalog.StatusMissing))
				time.Sleep(catalog.ReregistrationGrace)
				c.validate(syncer)
				g.Expect(status()).To(Equal(catalog.StatusDeregistered))
				c.lose(syncer)
				time.Sleep(time.Second)
				c.validate(syncer)
				g.Expect(status()).To(Equal(catalog.StatusDeregistered), "it was before the outage")
			})
		})
	}
}

// completeListAt returns a complete list that is the latest at a time.
func completeListAt(at time.Time, asOf int, records ...store.Record) RecordSet {
	rs := completeList(asOf, records...)
	rs.ValidatedAt = at
	return rs
}

// slowPages serves 60 pages of one record each, and counts them.
type slowPages struct{ *pagedStore }

func (s slowPages) ListPage(ctx context.Context, kind store.Kind, after string, c store.Consistency) (store.Page, error) {
	time.Sleep(4 * time.Millisecond)
	return s.pagedStore.ListPage(ctx, kind, after, c)
}

// Guards against the lists of many daemons that become due while the first of them lists, and that are all read to the
// end: 300 daemons with 60 pages each exceeded the rate limit of the store. Guards also against a list that never ends,
// because another daemon whose records cannot be read has fresher ones again and again.
func TestListEndsWhenAnotherDaemonHasListed(t *testing.T) {
	for name, advertisement := range map[string]Advertisement{
		"equal records": {IsDated: true}, "other records": {Digest: 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := slowPages{&pagedStore{records: 60, refuses: func(int) bool { return false }}}
				syncer := NewSyncer(Options{Store: s, Catalog: catalog.New(time.Now), Counters: telemetry.NewCounters(),
					Logger: zerolog.Nop(), PropagationBound: 3 * time.Second})
				syncer.SetPeers(manyPeers{}, func() {})
				syncer.applyRecordSet(platform.KindUpstreams, completeListAt(time.Now(), 5), true)
				time.Sleep(2 * time.Second)
				advertisement.Kind, advertisement.From = platform.KindUpstreams, netip.MustParseAddr("10.0.0.7")
				if advertisement.Digest == 0 {
					advertisement.Digest = syncer.kinds[platform.KindUpstreams].recordCache.digest()
				}
				hear := func() {
					time.Sleep(50 * time.Millisecond)
					advertisement.ValidatedAt = time.Now()
					syncer.HandleAdvertisement(advertisement)
				}
				go hear()
				g.Expect(syncer.refresh(t.Context(), platform.KindUpstreams, causeStale)).To(Succeed())
				g.Expect(s.calls).To(BeNumerically("<=", 13))
				if advertisement.IsDated {
					g.Expect(time.Since(syncer.UpstreamsValidatedAt())).To(BeNumerically("<", 10*time.Millisecond))
					return
				}
				go hear()
				g.Expect(syncer.refresh(t.Context(), platform.KindUpstreams, causeFresherDaemon)).To(Succeed())
				g.Expect(s.calls).To(BeNumerically(">=", 60), "the records of the other daemon cannot be read")
			})
		})
	}
}

// Guards against flows that are ended or placed by an entry of another writer that lacks the start time
// (review/4), and against upstreams that never write one and are not used.
func TestEntryWithoutStartTime(t *testing.T) {
	g := NewWithT(t)
	known := catalog.New(time.Now)
	syncer := NewSyncer(Options{Store: &pagedStore{}, Catalog: known, Counters: telemetry.NewCounters(), Logger: zerolog.Nop()})
	entry := func(name string, version int, born string) store.Record {
		return store.Record{Name: name, Version: store.Version(version), Body: []byte(
			`{"service":"s","address":"127.0.0.1:80","zone":"z","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"seq":4` + born + `}`)}
	}
	syncer.applyRecordSet(platform.KindUpstreams, completeListAt(time.Now(), 5, entry("i-a1", 4, `,"born":7`), entry("i-b2", 5, "")), true)
	own := known.Current().Latest("i-a1")
	g.Expect(known.Current().Ready("s")).To(HaveLen(2))
	for i, born := range []string{"", `,"born":null`} {
		syncer.applyChanges(platform.KindUpstreams, store.Changes{AsOf: 9, Changes: []store.Change{{Record: entry("i-a1", 8+i, born)}}})
		g.Expect(known.Current().Latest("i-a1").Key).To(Equal(own.Key))
		g.Expect(known.Current().AcceptsFlows(own.Key)).To(BeFalse())
	}
	g.Expect(syncer.options.Counters.Get("drop.upstream_entry")).To(Equal(int64(2)))
	syncer.applyChanges(platform.KindUpstreams, store.Changes{AsOf: 12, Changes: []store.Change{{Record: entry("i-a1", 12, `,"born":7`)}}})
	g.Expect(known.Current().AcceptsFlows(own.Key)).To(BeTrue())
}

// Guards against packets that wait while records are applied: a configuration of 1 MB takes tens of milliseconds to
// decode, and several times as long on a small VM (review/5).
func TestPacketsDoNotWaitForRecords(t *testing.T) {
	g := NewWithT(t)
	syncer := NewSyncer(Options{Store: &pagedStore{}, Catalog: catalog.New(time.Now), Counters: telemetry.NewCounters(),
		Logger: zerolog.Nop(), Suspended: func() time.Duration { return time.Minute }})
	syncer.recordSuccess()
	openAt := time.Now()
	for _, kind := range Kinds() {
		syncer.applyRecordSet(kind, completeListAt(time.Now(), 5), true)
	}
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		syncer.AccountSuspension()
		g.Expect(syncer.UpstreamsValidatedAt()).To(BeTemporally(">", openAt))
		g.Expect(syncer.ConfigValidatedAt()).To(BeTemporally(">", openAt))
		g.Expect(syncer.ConfigValidatedSince(openAt)).To(BeTrue())
		g.Expect(syncer.UpstreamsListedSince(openAt)).To(BeFalse(), "the store has just become available")
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
}
