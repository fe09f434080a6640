package discovery

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
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

// eraDaemon is a Syncer whose record sets are applied one second after another.
type eraDaemon struct {
	*Syncer
	catalog  *catalog.Catalog
	counters *telemetry.Counters
}

func newEraDaemon() *eraDaemon {
	d := &eraDaemon{catalog: catalog.New(time.Now), counters: telemetry.NewCounters()}
	d.Syncer = NewSyncer(Options{
		Store: &refusingStore{}, Catalog: d.catalog, Counters: d.counters, Logger: zerolog.Nop(), Evacuations: true,
		PropagationBound: bound,
	})
	d.recordSuccess()
	return d
}

// list applies a complete list of the store that is read now.
func (d *eraDaemon) list(kind store.Kind, era store.Era, asOf int, records ...store.Record) {
	rs := completeListAt(time.Now(), asOf, records...)
	rs.Era = era
	d.applyRecordSet(kind, rs, true)
}

func (d *eraDaemon) advertisement(kind store.Kind) Advertisement {
	for _, ad := range d.Advertisements() {
		if ad.Kind == kind {
			ad.IsDated = true
			return ad
		}
	}
	return Advertisement{}
}

func entryOf(id string, version, born, seq int, state string) store.Record {
	return store.Record{Name: id, Version: store.Version(version), Body: fmt.Appendf(nil,
		`{"service":"s","address":"127.0.0.1:80","zone":"z","version":"v1","slots":2,"state":%q,"cold_remaining_ms":0,"seq":%d,"born":%d}`, state, seq, born)}
}

func configurationOf(storeVersion, version int) store.Record {
	return store.Record{Name: platform.ConfigurationName, Version: store.Version(storeVersion), Body: fmt.Appendf(nil, `{"version":%d,"routes":[]}`, version)}
}

// Guards against an upstream, and an evacuation, that end because the store lost them: they existed only in the lost
// seconds, and are written again later. Once their writers had the time, they count as removed.
func TestLostRecordsAreKeptForTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newEraDaemon()
		d.list(platform.KindUpstreams, 1, 20, entryOf("i-a1", 10, 1, 1, "ready"), entryOf("i-b2", 19, 1, 1, "ready"))
		d.list(platform.KindEvacuations, 1, 20, store.Record{Name: "west", Version: 18, Body: []byte("{}")})
		for _, kind := range []store.Kind{platform.KindUpstreams, platform.KindEvacuations} {
			for range 2 { // The state that was restored, with a revision that was given out again.
				time.Sleep(time.Second)
				if kind == platform.KindUpstreams {
					d.list(kind, 2, 12, entryOf("i-a1", 10, 1, 1, "ready"))
				} else {
					d.list(kind, 2, 12)
				}
			}
		}
		g.Expect(d.catalog.Current().UpstreamCount()).To(Equal(2))
		g.Expect(d.catalog.Current().IsEvacuated("west")).To(BeTrue())
		g.Expect(d.KeptRecords(platform.KindUpstreams)).To(Equal(1))
		time.Sleep(catalog.ReregistrationGrace)
		g.Expect(d.catalog.Current().UpstreamCount()).To(Equal(2), "time alone proves nothing")
		d.list(platform.KindUpstreams, 2, 13, entryOf("i-a1", 10, 1, 1, "ready"))
		d.list(platform.KindEvacuations, 2, 13)
		g.Expect(d.catalog.Current().UpstreamCount()).To(Equal(1))
		g.Expect(d.catalog.Current().IsEvacuated("west")).To(BeFalse())
		g.Expect(d.KeptRecords(platform.KindUpstreams)).To(BeZero())
	})
}

// Guards against a grace period that ends while the store is unavailable, so that no writer could write again.
func TestGracePeriodOfAnEraBeginsAgainAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newEraDaemon()
		d.list(platform.KindEvacuations, 1, 20, store.Record{Name: "west", Version: 18, Body: []byte("{}")})
		time.Sleep(time.Second)
		d.list(platform.KindEvacuations, 2, 12)
		d.recordFailure(platform.KindEvacuations, store.ErrUnavailable)
		time.Sleep(5 * time.Second)
		d.recordSuccess()
		d.list(platform.KindEvacuations, 2, 12)
		g.Expect(d.catalog.Current().IsEvacuated("west")).To(BeTrue())
		time.Sleep(catalog.ReregistrationGrace)
		d.list(platform.KindEvacuations, 2, 12)
		g.Expect(d.catalog.Current().IsEvacuated("west")).To(BeFalse())
	})
}

// Guards against entries of the restored state that undo what the daemon knows: an earlier incarnation, an upstream
// that drains, one that has stopped. The first entry that is written in the new era ends this.
func TestOlderEntriesUndoNothingDuringTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newEraDaemon()
		d.list(platform.KindUpstreams, 1, 20, entryOf("i-a1", 10, 5, 1, "ready"), entryOf("i-b2", 11, 5, 7, "draining"),
			entryOf("i-c3", 12, 5, 1, "ready"), entryOf("i-d4", 13, 5, 1, "ready"))
		d.applyChanges(platform.KindUpstreams, store.Changes{Era: 1, AsOf: 21, Changes: []store.Change{{Record: entryOf("i-c3", 21, 5, 1, "ready"), Deleted: true}}})
		time.Sleep(time.Second)
		restored := []store.Record{entryOf("i-a1", 2, 3, 9, "ready"), entryOf("i-b2", 3, 5, 4, "ready"), entryOf("i-c3", 4, 5, 1, "ready"), entryOf("i-d4", 5, 6, 1, "draining")}
		d.list(platform.KindUpstreams, 2, 9, restored...)
		known := d.catalog.Current()
		g.Expect(known.Latest("i-a1").StartedAt).To(Equal(int64(5)))
		g.Expect(known.Latest("i-b2").State).To(Equal(catalog.StateDraining))
		g.Expect(known.Upstream(catalog.IncarnationKey("i-c3", 5))).To(BeNil())
		g.Expect(known.Latest("i-d4").State).To(Equal(catalog.StateDraining), "a later entry wins whatever its revision")
		d.applyChanges(platform.KindUpstreams, store.Changes{Era: 2, AsOf: 10, Changes: []store.Change{{Record: entryOf("i-b2", 10, 5, 8, "draining")}}})
		g.Expect(d.KeptRecords(platform.KindUpstreams)).To(Equal(2))
		time.Sleep(catalog.ReregistrationGrace)
		d.list(platform.KindUpstreams, 2, 10, restored[0], entryOf("i-b2", 10, 5, 8, "draining"), restored[2], restored[3])
		known = d.catalog.Current()
		g.Expect(known.Latest("i-a1").StartedAt).To(Equal(int64(3)))
		g.Expect(known.Upstream(catalog.IncarnationKey("i-c3", 5))).NotTo(BeNil())
	})
}

// Guards against a configuration that is rolled back, and against a route that counts as removed because of it: the
// list of the new era has an older configuration than the one in force.
func TestConfigurationIsNotRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newEraDaemon()
		d.list(platform.KindConfiguration, 0, 20, configurationOf(19, 8))
		before := time.Now()
		for range 4 {
			time.Sleep(time.Second)
			d.list(platform.KindConfiguration, 1, 12, configurationOf(10, 7))
		}
		g.Expect(d.catalog.Current().Config.Version).To(Equal(int64(8)))
		g.Expect(d.ConfigValidatedSince(before)).To(BeFalse(), "no list shows what the configuration in force lacks")
		d.list(platform.KindConfiguration, 1, 14, configurationOf(13, 9))
		g.Expect(d.catalog.Current().Config.Version).To(Equal(int64(9)))
		g.Expect(d.ConfigValidatedSince(before)).To(BeTrue())
	})
}

// Guards against proofs that rest on the lost seconds or on the time before all writers have written again.
func TestProofsBeginAgainWithEachEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newEraDaemon()
		flowSince := time.Now()
		for range 10 { // An upstream that was deregistered.
			time.Sleep(time.Second)
			d.list(platform.KindUpstreams, 1, 20, entryOf("i-a1", 10, 1, 1, "ready"))
			d.list(platform.KindConfiguration, 1, 20, configurationOf(19, 8))
		}
		d.list(platform.KindUpstreams, 1, 21)
		time.Sleep(catalog.ReregistrationGrace)
		d.list(platform.KindUpstreams, 1, 21)
		status := func() catalog.RegistrationStatus {
			return d.catalog.Current().RegistrationStatus(catalog.IncarnationKey("i-a1", 1), d.UpstreamsValidatedAt())
		}
		g.Expect(status()).To(Equal(catalog.StatusDeregistered))
		g.Expect(d.UpstreamsListedSince(flowSince)).To(BeTrue())
		g.Expect(d.ConfigValidatedSince(flowSince)).To(BeTrue())
		_, err := d.checkEra(eraResponse{era: 2}, store.ErrExpired)
		g.Expect(err).To(MatchError(store.ErrExpired))
		for step := range 3 { // The era is known; lists of it follow.
			g.Expect(status()).To(Equal(catalog.StatusMissing))
			g.Expect(d.UpstreamsListedSince(flowSince)).To(BeFalse())
			g.Expect(d.ConfigValidatedSince(flowSince)).To(BeFalse())
			g.Expect(d.Advertisements()).To(HaveLen(min(step, 1) * 2))
			time.Sleep(time.Second)
			d.list(platform.KindUpstreams, 2, 5)
			d.list(platform.KindConfiguration, 2, 5, configurationOf(19, 8))
		}
		time.Sleep(time.Second)
		d.list(platform.KindUpstreams, 2, 5)
		d.list(platform.KindConfiguration, 2, 5, configurationOf(19, 8))
		g.Expect(status()).To(Equal(catalog.StatusDeregistered))
		g.Expect(d.UpstreamsListedSince(flowSince)).To(BeTrue())
		g.Expect(d.ConfigValidatedSince(flowSince)).To(BeTrue())
	})
}

// Guards against daemons that validate each other's records across eras, in which equal revisions name different
// records, and against daemons with the same records that read each other's records again and again because one of
// them keeps a lost record.
func TestDigestsAndAdvertisementsOfTwoEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		first, second, third := newEraDaemon(), newEraDaemon(), newEraDaemon()
		a, lost := entryOf("i-a1", 10, 1, 1, "ready"), entryOf("i-b2", 19, 1, 1, "ready")
		first.list(platform.KindUpstreams, 1, 20, a, lost)
		second.list(platform.KindUpstreams, 1, 20, a, lost)
		time.Sleep(time.Second)
		old := first.advertisement(platform.KindUpstreams)
		first.list(platform.KindUpstreams, 2, 12, a)
		third.list(platform.KindUpstreams, 2, 12, a)
		ad := first.advertisement(platform.KindUpstreams)
		g.Expect(ad.Digest).NotTo(Equal(old.Digest))
		g.Expect(ad.Digest).To(Equal(third.advertisement(platform.KindUpstreams).Digest))
		old.ValidatedAt = time.Now().Add(time.Minute)
		g.Expect(first.HandleAdvertisement(old)).To(Equal(EffectNone))
		g.Expect(first.counters.Get("drop.advertisement_older_era")).To(Equal(int64(1)))
		ad.From, ad.ValidatedAt = netip.MustParseAddr("10.0.0.1"), ad.ValidatedAt.Add(-time.Minute)
		second.HandleAdvertisement(ad)
		g.Expect(second.fresherDaemon(platform.KindUpstreams).IsValid()).To(BeFalse(), "the store has not shown the era")
		_, err := second.checkEra(eraResponse{era: 2}, store.ErrRateLimited)
		g.Expect(err).To(MatchError(store.ErrRateLimited))
		g.Expect(second.fresherDaemon(platform.KindUpstreams)).To(Equal(ad.From), "a newer era is fresher whatever the time of the list")
		second.kinds[platform.KindUpstreams].freshness.recordList(time.Now(), netip.Addr{})
		g.Expect(second.fresherDaemon(platform.KindUpstreams)).To(Equal(ad.From))
		rs, err := first.Records(platform.KindUpstreams, second.kinds[platform.KindUpstreams].recordCache.buckets[:])
		g.Expect(err).NotTo(HaveOccurred())
		second.applyRecordSet(platform.KindUpstreams, rs, false)
		g.Expect(second.advertisement(platform.KindUpstreams).Digest).To(Equal(first.advertisement(platform.KindUpstreams).Digest))
		g.Expect(second.catalog.Current().UpstreamCount()).To(Equal(2))
		started := newEraDaemon()
		started.applyRecordSet(platform.KindUpstreams, rs, false)
		g.Expect(started.catalog.Current().UpstreamCount()).To(Equal(2), "a daemon that starts in the grace period adopts the lost record")
		g.Expect(started.KeptRecords(platform.KindUpstreams)).To(Equal(1))
	})
}

// eraStore answers lists with the pages and watches with the responses of a test.
type eraStore struct {
	mu       sync.Mutex
	page     store.Page
	changes  store.Changes
	err      error
	afters   []store.Version
	released chan struct{}
}

func (s *eraStore) ListPage(context.Context, store.Kind, string, store.Consistency) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.page, nil
}

func (s *eraStore) WatchKind(ctx context.Context, kind store.Kind, after store.Version, _ time.Duration) (store.Changes, error) {
	s.mu.Lock()
	released := s.released
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	case <-released:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == platform.KindUpstreams {
		s.afters = append(s.afters, after)
	}
	return s.changes, s.err
}

// respond makes the store answer with a list and, if changes are given, all waiting watches with them.
func (s *eraStore) respond(p store.Page, c store.Changes, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.page, s.changes, s.err = p, c, err
	close(s.released)
	s.released = make(chan struct{})
}

// Guards against a watch that applies the changes of another era, that goes on from a revision of the old era, or
// that calls the store without a pause while a replica lags.
func TestWatchBeginsAgainInANewEra(t *testing.T) {
	for name, err := range map[string]error{"changes": nil, "gone": store.ErrExpired, "unavailable": store.ErrUnavailable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &eraStore{page: store.Page{AsOf: 100, Records: []store.Record{entryOf("i-a1", 90, 1, 1, "ready")}}, released: make(chan struct{})}
				c, counters := catalog.New(time.Now), telemetry.NewCounters()
				syncer := NewSyncer(Options{Store: s, Catalog: c, Counters: counters, Logger: zerolog.Nop(), PropagationBound: bound})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = syncer.Run(ctx) }()
				time.Sleep(time.Second)
				g.Expect(syncer.Era()).To(BeZero())
				s.respond(store.Page{AsOf: 95, Era: 1, Records: []store.Record{entryOf("i-a1", 90, 1, 1, "ready")}},
					store.Changes{AsOf: 110, Era: 1, Changes: []store.Change{{Record: entryOf("i-e5", 101, 1, 1, "ready")}}}, err)
				time.Sleep(10 * time.Minute)
				g.Expect(syncer.Era()).To(Equal(store.Era(1)))
				g.Expect(syncer.cachedEra(platform.KindUpstreams)).To(Equal(store.Era(1)))
				g.Expect(c.Current().UpstreamCount()).To(Equal(1), "the changes are not those after the list")
				s.respond(s.page, store.Changes{AsOf: 96, Era: 1, Changes: []store.Change{{Record: entryOf("i-f6", 96, 1, 1, "ready")}}}, nil)
				time.Sleep(time.Minute)
				g.Expect(c.Current().UpstreamCount()).To(Equal(2))
				s.mu.Lock()
				g.Expect(s.afters[len(s.afters)-1]).To(Equal(store.Version(95)))
				// A replica lags: it answers each watch at once.
				s.changes, s.afters = store.Changes{AsOf: 120, Changes: []store.Change{{Record: entryOf("i-a7", 120, 1, 1, "ready")}}}, nil
				close(s.released)
				s.mu.Unlock()
				time.Sleep(time.Minute)
				s.mu.Lock()
				g.Expect(len(s.afters)).To(BeNumerically("<", 200))
				s.mu.Unlock()
				g.Expect(c.Current().UpstreamCount()).To(Equal(2))
				g.Expect(counters.Get("drop.store_era_older")).To(BeNumerically(">", 0))
				g.Expect(syncer.breaker.isOpen()).To(BeFalse(), "an older era is no outage")
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a list whose pages belong to two eras.
func TestListOfTwoErasIsRefused(t *testing.T) {
	g := NewWithT(t)
	d := newEraDaemon()
	d.options.Store = &erasOfPages{eras: []store.Era{1, 2}}
	_, err := d.Syncer.list(t.Context(), platform.KindUpstreams, causeStale, false)
	g.Expect(err).To(MatchError(errOtherEra))
	d.options.Store = &erasOfPages{eras: []store.Era{1, 1}}
	_, err = d.Syncer.list(t.Context(), platform.KindUpstreams, causeStale, false)
	g.Expect(err).To(MatchError(errOtherEra), "the era goes back")
	d.options.Store = &erasOfPages{eras: []store.Era{1}}
	g.Expect(d.refresh(t.Context(), platform.KindUpstreams, causeStale)).NotTo(Succeed())
	g.Expect(d.breaker.isOpen()).To(BeFalse(), "an older era is no outage")
	g.Expect(d.Era()).To(Equal(store.Era(2)))
}

// Guards against the changes of a watch that began in one era and ended in the next, and against those that are
// applied after the kind has entered the next era: their revisions do not follow the cached ones.
func TestChangesOfAnotherEraAreNotApplied(t *testing.T) {
	g := NewWithT(t)
	d := newEraDaemon()
	d.list(platform.KindUpstreams, 2, 9, entryOf("i-a1", 3, 1, 1, "ready"))
	d.options.Store = &erasOfPages{}
	_, err := d.readChanges(t.Context(), platform.KindUpstreams, 20, 1)
	g.Expect(err).To(MatchError(errOtherEra))
	late := store.Changes{Era: 1, AsOf: 30, Changes: []store.Change{{Record: entryOf("i-a1", 30, 1, 1, "draining")}}}
	g.Expect(d.applyChanges(platform.KindUpstreams, late)).To(BeZero())
}

// erasOfPages serves pages of one record, each of another era.
type erasOfPages struct{ eras []store.Era }

func (s *erasOfPages) ListPage(context.Context, store.Kind, string, store.Consistency) (store.Page, error) {
	p := store.Page{Era: s.eras[0], AsOf: 9, Records: []store.Record{record("a", 1)}, Next: "a"}
	if s.eras = s.eras[1:]; len(s.eras) == 0 {
		p.Next = ""
	}
	return p, nil
}

func (s *erasOfPages) WatchKind(context.Context, store.Kind, store.Version, time.Duration) (store.Changes, error) {
	return store.Changes{Era: 2, AsOf: 30}, nil
}
