package discovery

import (
	"context"
	"sync"
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

// slowStore lists no records, after a delay, and its watches end with the context.
type slowStore struct {
	lists atomic.Int64
	// during, if it is set, is called while a list is under way.
	during atomic.Pointer[func()]
}

func (s *slowStore) ListPage(context.Context, store.Kind, string, store.Consistency) (store.Page, error) {
	s.lists.Add(1)
	if during := s.during.Load(); during != nil {
		(*during)()
	}
	return store.Page{AsOf: 5}, nil
}

func (s *slowStore) WatchKind(ctx context.Context, _ store.Kind, _ store.Version, _ time.Duration) (store.Changes, error) {
	<-ctx.Done()
	return store.Changes{}, ctx.Err()
}

// startSuspendable runs a Syncer whose VM has been suspended for as many nanoseconds as suspended holds.
func startSuspendable(t *testing.T, s *slowStore, suspended *atomic.Int64) *Syncer {
	syncer := NewSyncer(Options{Store: s, Catalog: catalog.New(time.Now), Counters: telemetry.NewCounters(),
		Logger: zerolog.Nop(), PropagationBound: 3 * time.Second, Suspended: func() time.Duration { return time.Duration(suspended.Load()) }})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = syncer.Run(ctx) }()
	synctest.Wait()
	return syncer
}

// Guards against a configuration that counts as proof on a flow that was opened after it was read.
func TestConfigurationProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		syncer := startSuspendable(t, &slowStore{}, &atomic.Int64{})
		g.Expect(syncer.ConfigValidatedSince(time.Now().Add(-time.Second))).To(BeTrue())
		time.Sleep(10 * time.Millisecond)
		openAt := time.Now()
		g.Expect(syncer.ConfigValidatedSince(openAt)).To(BeFalse())
		time.Sleep(2 * time.Second)
		g.Expect(syncer.ConfigValidatedSince(openAt)).To(BeTrue(), "read again within the bound")
	})
}

// Guards against a daemon that acts on expired records, and passes them on as fresh ones, after its VM was
// suspended: the clock by which their age is measured stands still meanwhile.
func TestSuspensionAgesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var suspended atomic.Int64
		s := &slowStore{}
		syncer := startSuspendable(t, s, &suspended)
		g.Expect(time.Since(syncer.ConfigValidatedAt())).To(BeNumerically("<", time.Second))
		listed := s.lists.Load()
		release := make(chan struct{})
		wait := func() { <-release }
		s.during.Store(&wait)
		suspended.Store(int64(10 * time.Second))
		syncer.AccountSuspension()
		g.Expect(time.Since(syncer.ConfigValidatedAt())).To(BeNumerically(">=", 10*time.Second))
		for _, ad := range syncer.Advertisements() {
			g.Expect(time.Since(ad.ValidatedAt)).To(BeNumerically(">=", 10*time.Second))
		}
		g.Expect(syncer.UpstreamsListedSince(time.Now().Add(-5 * time.Second))).To(BeFalse())
		close(release)
		synctest.Wait()
		g.Expect(s.lists.Load()).To(BeNumerically(">", listed), "the records are read again at once")
		g.Expect(time.Since(syncer.ConfigValidatedAt())).To(BeNumerically("<", time.Second))
	})
}

// Guards against a list that validates records at a time after its response was sent: the VM was suspended
// while the response waited in the socket.
func TestSuspensionDuringList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var suspended atomic.Int64
		s := &slowStore{}
		syncer := startSuspendable(t, s, &suspended)
		var once sync.Once
		suspend := func() { once.Do(func() { suspended.Add(int64(10 * time.Second)) }) }
		s.during.Store(&suspend)
		syncer.mu.Lock()
		syncer.requestList(platform.KindUpstreams)
		syncer.mu.Unlock()
		synctest.Wait()
		g.Expect(suspended.Load()).NotTo(BeZero())
		g.Expect(time.Since(syncer.kinds[platform.KindUpstreams].freshness.listedAt)).To(BeNumerically("<", time.Second),
			"it is listed again")
		g.Expect(s.lists.Load()).To(BeNumerically(">=", 4))
	})
}

// Guards against inaccuracies of the clocks that count as suspensions.
func TestShortSuspensionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var suspended atomic.Int64
		s := &slowStore{}
		syncer := startSuspendable(t, s, &suspended)
		listed, validatedAt := s.lists.Load(), syncer.ConfigValidatedAt()
		suspended.Store(int64(5 * time.Millisecond))
		g.Expect(syncer.AccountSuspension()).To(BeZero())
		g.Expect(syncer.ConfigValidatedAt()).To(Equal(validatedAt))
		g.Expect(s.lists.Load()).To(Equal(listed))
	})
}
