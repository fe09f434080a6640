package discovery

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

// statedStore answers each call with the era that it is set to, or does not respond.
type statedStore struct {
	era     store.Era
	invalid string
	isDown  bool
	calls   int
	records []store.Record
}

func (s *statedStore) ListPage(context.Context, store.Kind, string, store.Consistency) (store.Page, error) {
	s.calls++
	if s.isDown {
		return store.Page{}, store.ErrUnavailable
	}
	return store.Page{AsOf: 30, Era: s.era, InvalidEra: s.invalid, Records: s.records}, nil
}

func (s *statedStore) WatchKind(context.Context, store.Kind, store.Version, time.Duration) (store.Changes, error) {
	return store.Changes{AsOf: 31, Era: s.era, InvalidEra: s.invalid}, nil
}

// eraPeers are other daemons by address, each with a record set.
type eraPeers map[netip.Addr]RecordSet

func (p eraPeers) DaemonCount() int { return len(p) }
func (p eraPeers) IsSeed() bool     { return false }
func (p eraPeers) ListRecords(_ context.Context, _ store.Kind, from netip.Addr, _ []uint64) (RecordSet, error) {
	rs, found := p[from]
	if !found {
		return RecordSet{}, errNoFresherDaemon
	}
	rs.ValidatedAt = time.Now()
	return rs, nil
}

var forger, second, third = netip.MustParseAddr("10.0.0.66"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("10.0.0.3")

// newStatedDaemon returns a daemon with an upstream of era 2, and its store and peers.
func newStatedDaemon() (*eraDaemon, *statedStore, eraPeers) {
	d, s, peers := newEraDaemon(), &statedStore{era: 2, records: []store.Record{entryOf("i-a1", 10, 1, 1, "ready")}}, eraPeers{}
	d.options.Store = s
	d.SetPeers(peers, nil)
	for _, kind := range d.Kinds() {
		d.list(kind, 2, 20)
	}
	d.list(platform.KindUpstreams, 2, 20, s.records...)
	return d, s, peers
}

// forge makes the peer at an address serve records of an era, and advertise them.
func (d *eraDaemon) forge(peers eraPeers, from netip.Addr, era store.Era) {
	rs := completeListAt(time.Now(), 99, entryOf("i-e5", 90, 1, 1, "ready"))
	rs.Era = era
	peers[from] = rs
	d.HandleAdvertisement(Advertisement{Kind: platform.KindUpstreams, Era: era, Digest: 7, ValidatedAt: time.Now(), From: from, IsDated: true})
}

// next waits until a kind is due, and reads it.
func (d *eraDaemon) next(t *testing.T) (readCause, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cause, err := d.waitUntilDue(ctx, platform.KindUpstreams)
	if err != nil {
		return cause, err
	}
	return cause, d.refresh(ctx, platform.KindUpstreams, cause)
}

// Guards against responses that are of no use because they name no valid era: they count as those of the era in
// force, also on a daemon that starts.
func TestInvalidEraCountsAsTheOneInForce(t *testing.T) {
	g := NewWithT(t)
	d, s, _ := newStatedDaemon()
	s.invalid, s.era, s.records = "three", 0, []store.Record{entryOf("i-a1", 10, 1, 1, "ready"), entryOf("i-b2", 25, 1, 1, "ready")}
	g.Expect(d.refresh(t.Context(), platform.KindUpstreams, causeStale)).To(Succeed())
	g.Expect(d.catalog.Current().UpstreamCount()).To(Equal(2))
	_, err := d.readChanges(t.Context(), platform.KindUpstreams, 30, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Era()).To(Equal(store.Era(2)))
	g.Expect(d.counters.Get("drop.store_era_invalid")).To(Equal(int64(2)))
	started := newEraDaemon()
	started.options.Store = s
	for _, kind := range started.Kinds() {
		g.Expect(started.refresh(t.Context(), kind, causeInitial)).To(Succeed())
	}
	g.Expect(started.catalog.Current().UpstreamCount()).To(Equal(2))
	g.Expect(started.Advertisements()).To(HaveLen(3))
}

// Guards against a forged advertisement of a later era that makes a daemon refuse the store until it restarts. It
// causes one read.
func TestForgedEraEndsWithTheNextRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, s, peers := newStatedDaemon()
		time.Sleep(10 * time.Millisecond)
		for range 50 {
			d.forge(peers, forger, 9)
		}
		cause, err := d.next(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(cause).To(Equal(causeHeardEra))
		g.Expect(s.calls).To(Equal(1))
		g.Expect(d.counters.Get("drop.daemon_era_refuted")).To(Equal(int64(1)))
		d.forge(peers, forger, 10)
		g.Expect(d.kinds[platform.KindUpstreams].heard.From.IsValid()).To(BeFalse(), "the next one causes no read")
		g.Expect(d.refresh(t.Context(), platform.KindUpstreams, causeStale)).To(Succeed())
		g.Expect(d.Era()).To(Equal(store.Era(2)))
		g.Expect(d.catalog.Current().Latest("i-e5")).To(BeNil())
		g.Expect(d.Advertisements()).To(HaveLen(3), "the records of the store are not those of an era that is over")
		_, err = d.readChanges(t.Context(), platform.KindUpstreams, 30, 2)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against the same while the store is away: one daemon proves nothing, and what several agree on ends when the
// store shows another era.
func TestForgedErasWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, s, peers := newStatedDaemon()
		s.isDown = true
		d.recordFailure(platform.KindUpstreams, store.ErrUnavailable)
		time.Sleep(10 * time.Millisecond)
		d.forge(peers, forger, 9)
		for range 3 {
			_, err := d.next(t)
			g.Expect(err).To(HaveOccurred())
			d.forge(peers, forger, 9)
		}
		g.Expect(d.Era()).To(Equal(store.Era(2)))
		d.forge(peers, second, 8)
		_, err := d.next(t)
		g.Expect(err).To(HaveOccurred())
		g.Expect(d.Era()).To(Equal(store.Era(2)), "they do not agree")
		d.forge(peers, third, 8)
		_, err = d.next(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Era()).To(Equal(store.Era(8)))
		g.Expect(d.catalog.Current().Latest("i-e5")).NotTo(BeNil())
		s.isDown = false
		time.Sleep(maxPauseFloor * 2)
		_, err = d.readChanges(t.Context(), platform.KindUpstreams, 99, 8)
		g.Expect(err).To(MatchError(errOtherEra), "a watch may be stale")
		cause, err := d.next(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(cause).To(Equal(causeHeardEra), "the store is asked at once")
		g.Expect(d.Era()).To(Equal(store.Era(2)))
		g.Expect(d.refresh(t.Context(), platform.KindUpstreams, causeNewEra)).To(Succeed())
		g.Expect(d.catalog.Current().Latest("i-a1")).NotTo(BeNil())
		time.Sleep(catalog.ReregistrationGrace)
		g.Expect(d.refresh(t.Context(), platform.KindUpstreams, causeStale)).To(Succeed())
		g.Expect(d.catalog.Current().UpstreamCount()).To(Equal(1))
		g.Expect(d.Advertisements()).NotTo(BeEmpty())
	})
}

// Guards against a daemon that never becomes ready, or refuses the store for ever, because the first daemon that it
// reads from states a false era.
func TestStartFromADaemonOfAFalseEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, s, peers := newStatedDaemon()
		d := newEraDaemon()
		d.options.Store = s
		d.SetPeers(peers, nil)
		rs := completeListAt(time.Now(), 99, entryOf("i-e5", 90, 1, 1, "ready"))
		rs.Era = 9
		peers[netip.Addr{}] = rs
		d.fetchInitialRecords(t.Context(), platform.KindUpstreams)
		g.Expect(d.Era()).To(Equal(store.Era(9)), "the store has shown nothing yet")
		time.Sleep(time.Millisecond)
		_, err := d.readPage(t.Context(), platform.KindEvacuations, "", store.AllowStale)
		g.Expect(err).To(MatchError(errOtherEra), "the first list may be stale")
		_, err = d.next(t)
		g.Expect(err).NotTo(HaveOccurred())
		for _, kind := range d.Kinds() {
			g.Expect(d.refresh(t.Context(), kind, causeStale)).To(Succeed())
		}
		g.Expect(d.Era()).To(Equal(store.Era(2)))
		g.Expect(d.catalog.Current().Latest("i-a1")).NotTo(BeNil())
		g.Expect(d.Advertisements()).To(HaveLen(3))
	})
}

// Guards against a daemon that asks the store for its era again and again because the responses name no valid one.
func TestHeardEraEndsWithAnInvalidOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, s, peers := newStatedDaemon()
		s.invalid = "three"
		d.forge(peers, forger, 9)
		_, err := d.next(t)
		g.Expect(err).NotTo(HaveOccurred())
		cause, err := d.next(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(cause).To(Equal(causeStale))
		g.Expect(s.calls).To(Equal(2))
		g.Expect(d.Era()).To(Equal(store.Era(2)))
	})
}

// Guards against a later era of the store that other daemons know of and this one does not read: it is confirmed by
// one page, and the records come from the daemon.
func TestHeardEraIsConfirmedByOnePage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, s, peers := newStatedDaemon()
		time.Sleep(10 * time.Millisecond)
		s.era = 3
		d.forge(peers, second, 3)
		for _, want := range []readCause{causeHeardEra, causeFresherDaemon} {
			cause, err := d.next(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(cause).To(Equal(want))
		}
		g.Expect(d.catalog.Current().Latest("i-e5")).NotTo(BeNil())
		g.Expect(d.cachedEra(platform.KindUpstreams)).To(Equal(store.Era(3)))
		g.Expect(s.calls).To(Equal(1))
	})
}

// Guards against an evacuation of the lost seconds that is not in force on a daemon which starts in the grace period
// and reads the store first: its records have the same digest as those of the daemons that keep the evacuation.
func TestStartFromTheStoreInTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		known := newEraDaemon()
		known.list(platform.KindEvacuations, 1, 20, store.Record{Name: "west", Version: 18, Body: []byte("{}")})
		time.Sleep(time.Second)
		known.list(platform.KindEvacuations, 2, 12)
		started, peers := newEraDaemon(), eraPeers{}
		started.SetPeers(peers, nil)
		time.Sleep(100 * time.Millisecond)
		started.list(platform.KindEvacuations, 2, 12)
		rs, err := known.Records(platform.KindEvacuations, nil)
		g.Expect(err).NotTo(HaveOccurred())
		peers[second] = rs
		ad := known.advertisement(platform.KindEvacuations)
		ad.From = second
		started.HandleAdvertisement(ad)
		g.Expect(started.fresherDaemon(platform.KindEvacuations)).To(Equal(second))
		g.Expect(started.refresh(t.Context(), platform.KindEvacuations, causeFresherDaemon)).To(Succeed())
		g.Expect(started.catalog.Current().IsEvacuated("west")).To(BeTrue())
		started.HandleAdvertisement(ad)
		g.Expect(started.fresherDaemon(platform.KindEvacuations).IsValid()).To(BeFalse(), "it is read once")
		time.Sleep(catalog.ReregistrationGrace - 100*time.Millisecond)
		started.list(platform.KindEvacuations, 2, 12)
		g.Expect(started.catalog.Current().IsEvacuated("west")).To(BeFalse(), "not longer than elsewhere")
	})
}
