package commit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	standin "github.com/fulmarfield/fulmarfield/standin/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Guards against two concurrent changes to one service that are both reported as committed, and
// against a conflict that does not describe the change that was committed first.
func TestConcurrentChangesToOneServiceConflict(t *testing.T) {
	for _, expected := range []uint64{0, 1} {
		runWithStore(t, func(ctx context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
			p.SetDelay(20 * time.Millisecond)
			results := make([]commit.Result, 2)
			var wg sync.WaitGroup
			for i, upstream := range []string{"bindery-1", "bindery-2"} {
				wg.Go(func() {
					results[i] = commit.Commit(ctx, store, upstream, expected, drainEdit(upstream, "bindery", upstream))
				})
			}
			wg.Wait()
			winner, loser := results[0], results[1]
			if winner.Outcome != pb.Outcome_OUTCOME_COMMITTED {
				winner, loser = loser, winner
			}
			g.Expect(winner.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
			g.Expect(loser.Outcome).To(Equal(pb.Outcome_OUTCOME_REFUSED))
			g.Expect(loser.Err).To(MatchError(commit.ErrConflict))
			g.Expect(loser.OtherChanges).To(ConsistOf(ContainSubstring("is draining")))
			c, err := commit.Load(ctx, store)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.GetGeneration()).To(BeEquivalentTo(2))
		})
	}
}

// Guards against a false conflict between concurrent changes to different services.
func TestChangesToDifferentServicesAreBothCommitted(t *testing.T) {
	runWithStore(t, func(ctx context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
		p.SetDelay(20 * time.Millisecond)
		results := make([]commit.Result, 2)
		var wg sync.WaitGroup
		for i, service := range []string{"bindery", "galerij"} {
			wg.Go(func() { results[i] = commit.Commit(ctx, store, service, 0, drainEdit(service, service, service+"-1")) })
		}
		wg.Wait()
		for _, r := range results {
			g.Expect(r.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", r.Err)
		}
		c, err := commit.Load(ctx, store)
		g.Expect(err).NotTo(HaveOccurred())
		for _, s := range c.GetServices() {
			g.Expect(s.GetUpstreams()[0].GetState()).To(Equal(pb.DeclaredState_DECLARED_STATE_DRAINING))
		}
	})
}

// Guards against a wrong outcome when an outage begins during a commit. If the write of the head was
// not applied, the outcome is refused. If it was applied but the response was lost, the outcome is
// unknown until the platform is reachable again, and a retry then reports that the change is committed.
func TestOutageDuringACommit(t *testing.T) {
	runWithStore(t, func(_ context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
		attempt := func(id string, applied bool) commit.Result {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return commit.Commit(ctx, outageOnHeadWrite{store, p, applied}, id, 0, drainEdit(id, "bindery", "bindery-1"))
		}
		early := attempt("early", false)
		g.Expect(early.Outcome).To(Equal(pb.Outcome_OUTCOME_REFUSED))
		g.Expect(early.Err).To(MatchError(commit.ErrPlatformUnavailable))
		p.SetOutage(false)
		late := attempt("late", true)
		g.Expect(late.Outcome).To(Equal(pb.Outcome_OUTCOME_UNKNOWN), "%v", late.Err)
		p.SetOutage(false)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		again := commit.Commit(ctx, store, "late", 0, drainEdit("late", "bindery", "bindery-1"))
		g.Expect(again.Outcome).To(Equal(pb.Outcome_OUTCOME_UNCHANGED))
		g.Expect(again.Generation).To(BeEquivalentTo(2))
	})
}

// outageOnHeadWrite starts an outage at the first write of the head: before the write is applied or,
// if applied is set, after it and before the response.
type outageOnHeadWrite struct {
	*standin.Store
	platform *standin.Platform
	applied  bool
}

func (s outageOnHeadWrite) Put(ctx context.Context, key string, value []byte, c store.Condition) (store.Version, error) {
	if key != commit.HeadKey {
		return s.Store.Put(ctx, key, value, c)
	}
	if !s.applied {
		s.platform.SetOutage(true)
		return s.Store.Put(ctx, key, value, c)
	}
	s.platform.LoseAnswers(1)
	defer s.platform.SetOutage(true)
	return s.Store.Put(ctx, key, value, c)
}

// Guards against a change that is applied twice or not at all when a write times out at the client
// and is applied later.
func TestWriteAppliedAfterItsClientTimedOut(t *testing.T) {
	runWithStore(t, func(_ context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
		p.SetDelay(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		result := commit.Commit(ctx, shortTimeoutStore{store}, "slow", 0, drainEdit("slow", "bindery", "bindery-1"))
		g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", result.Err)
		time.Sleep(10 * time.Second)
		history, err := commit.History(ctx, store)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history).To(HaveLen(2))
	})
}

// shortTimeoutStore cancels every write after 500 ms.
type shortTimeoutStore struct{ *standin.Store }

func (s shortTimeoutStore) Put(ctx context.Context, key string, value []byte, c store.Condition) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	return s.Store.Put(ctx, key, value, c)
}

// Guards against a content object of a failed commit that blocks a later commit, or that a later
// commit uses as its own.
func TestCommitSkipsContentOfAFailedCommit(t *testing.T) {
	runWithStore(t, func(ctx context.Context, g Gomega, _ *standin.Platform, objects *standin.Store) {
		_, err := objects.Put(ctx, "config/service/1/2", []byte("other"), store.IfAbsent())
		g.Expect(err).NotTo(HaveOccurred())
		result := commit.Commit(ctx, objects, "drain", 0, drainEdit("drain", "bindery", "bindery-1"))
		g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", result.Err)
		c, err := commit.Load(ctx, objects)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.GetServices()[0].GetUpstreams()[0].GetState()).To(Equal(pb.DeclaredState_DECLARED_STATE_DRAINING))
	})
}

// Guards against an outcome that contradicts the store, with random concurrent changes, lost responses
// and outages. The seed determines the faults and the changes, but not the jitter of the back-off.
func TestOutcomesAgreeWithTheStore(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	counters := telemetry.NewCounters()
	outcomes := map[pb.Outcome]int{}
	for range 60 {
		runWithStore(t, func(_ context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
			p.LoseAnswerShare(0.4)
			p.SetDelay(time.Duration(random.IntN(80)) * time.Millisecond)
			start := time.Duration(random.IntN(400)) * time.Millisecond
			time.AfterFunc(start, func() { p.SetOutage(true) })
			time.AfterFunc(start+time.Duration(random.IntN(1500))*time.Millisecond, func() { p.SetOutage(false) })
			results := make([]commit.Result, 4)
			var wg sync.WaitGroup
			for i := range results {
				upstream := []string{"bindery-1", "bindery-2", "galerij-1"}[random.IntN(3)]
				id := fmt.Sprintf("change-%d", i)
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					service := upstream[:7]
					results[i] = commit.New(store, counters).Commit(ctx, id, 0, drainEdit(id, service, upstream))
				})
			}
			wg.Wait()
			time.Sleep(10 * time.Second)
			checkOutcomes(g, p, store, results, outcomes)
		})
	}
	t.Logf("outcomes %v, counters %v", outcomes, counters.Snapshot())
}

// checkOutcomes checks that the history has a change once if it was committed, never if it was refused or
// unchanged, and at most once if the outcome is unknown.
func checkOutcomes(g Gomega, p *standin.Platform, store *standin.Store, results []commit.Result, outcomes map[pb.Outcome]int) {
	p.SetFaults(standin.Faults{})
	history, err := commit.History(context.Background(), store)
	g.Expect(err).NotTo(HaveOccurred())
	timesInHistory := map[string]int{}
	for i, r := range history {
		timesInHistory[r.GetChangeId()]++
		g.Expect(r.GetGeneration()).To(BeEquivalentTo(len(history) - i))
	}
	for i, r := range results {
		outcomes[r.Outcome]++
		n := timesInHistory[fmt.Sprintf("change-%d", i)]
		switch r.Outcome {
		case pb.Outcome_OUTCOME_COMMITTED:
			g.Expect(n).To(Equal(1), "committed")
		case pb.Outcome_OUTCOME_REFUSED, pb.Outcome_OUTCOME_UNCHANGED:
			g.Expect(n).To(BeZero(), "%v %v", r.Outcome, r.Err)
		default:
			g.Expect(n).To(BeNumerically("<=", 1))
		}
	}
	_, err = commit.Load(context.Background(), store)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against errors of the HTTP client that a commit classifies wrongly. The outcomes are
// checked as in TestOutcomesAgreeWithTheStore, but the calls use TCP, where the connection is closed
// instead of a response.
func TestOutcomesAgreeWithTheStoreOverHTTP(t *testing.T) {
	g := NewWithT(t)
	p := standin.New(standin.Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := store.NewClient(store.ClientOptions{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()), CallTimeout: 300 * time.Millisecond,
	})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	first := commit.Commit(ctx, client, "first", 0, declareEdit("first"))
	g.Expect(first.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", first.Err)
	p.LoseAnswerShare(0.4)
	p.SetDelay(10 * time.Millisecond)
	results := make([]commit.Result, 24)
	var wg sync.WaitGroup
	for operator := range 4 {
		wg.Go(func() {
			for i := operator; i < len(results); i += 4 {
				id := fmt.Sprintf("change-%d", i)
				results[i] = commit.Commit(ctx, client, id, 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
					limits := declaration.Limits{QueueLength: uint32(i + 1)}
					return declaration.SetLimits(previous, []string{"bindery", "galerij"}[i%2], limits, newChange(id))
				})
			}
		})
	}
	wg.Wait()
	outcomes := map[pb.Outcome]int{}
	checkOutcomes(g, p, p.Store(netip.Addr{}), results, outcomes)
	t.Logf("outcomes %v", outcomes)
	g.Expect(outcomes[pb.Outcome_OUTCOME_COMMITTED]).To(BeNumerically(">=", 6), "%v", outcomes)
}

// Guards against a commit that fails or retries too often when the platform limits the rate of calls.
func TestCommitBacksOffWhenRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := standin.New(standin.Options{WriteRate: 1, ReadRate: 2}).Store(netip.Addr{})
		counters := telemetry.NewCounters()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		result := commit.New(store, counters).Commit(ctx, "first", 0, declareEdit("first"))
		g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", result.Err)
		g.Expect(counters.Get("retry.config_rate_limited")).To(BeNumerically("~", 6, 5))
		g.Expect(counters.Get("retry.config_head_unavailable")).To(BeZero())
	})
}

// Guards against a lease holder that was paused and continues after another holder took over.
func TestPausedLeaseHolderLosesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := standin.New(standin.Options{}).Store(netip.Addr{})
		ctx := t.Context()
		first := commit.NewLease(store, "lease/test", "first", time.Minute)
		second := commit.NewLease(store, "lease/test", "second", time.Minute)
		g.Expect(first.Acquire(ctx)).To(Succeed())
		token := first.Token()
		g.Expect(second.Acquire(ctx)).To(MatchError(commit.ErrLeaseHeld))
		time.Sleep(50 * time.Second)
		g.Expect(first.Confirm(ctx)).To(Succeed())
		time.Sleep(50 * time.Second)
		g.Expect(second.Acquire(ctx)).To(MatchError(commit.ErrLeaseHeld), "the lease was renewed within its term")
		// The first holder is paused for the whole term and does not renew the lease.
		time.Sleep(time.Minute)
		g.Expect(second.Acquire(ctx)).To(Succeed())
		g.Expect(second.Token()).To(BeNumerically(">", token))
		g.Expect(first.Confirm(ctx)).To(MatchError(commit.ErrLeaseLost))
		g.Expect(first.Confirm(ctx)).To(MatchError(commit.ErrLeaseLost))
		g.Expect(second.Confirm(ctx)).To(Succeed())
	})
}

// Guards against a holder that loses its lease because the response to a renewal was lost.
func TestLeaseSurvivesALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := standin.New(standin.Options{})
		lease := commit.NewLease(p.Store(netip.Addr{}), "lease/test", "first", time.Minute)
		p.LoseAnswers(1)
		g.Expect(lease.Acquire(t.Context())).To(Succeed())
		p.LoseAnswers(1)
		g.Expect(lease.Confirm(t.Context())).To(Succeed())
		p.SetOutage(true)
		g.Expect(lease.Confirm(t.Context())).To(MatchError(commit.ErrLeaseUnconfirmed))
		p.SetOutage(false)
		g.Expect(lease.Confirm(t.Context())).To(Succeed())
	})
}

// Guards against a janitor that removes content objects that the head refers to or that a commit in
// progress has written, and against a janitor that continues after it was paused and
// another janitor took over the lease.
func TestJanitorRemovesOnlyUnreferencedContent(t *testing.T) {
	runWithStore(t, func(ctx context.Context, g Gomega, p *standin.Platform, objects *standin.Store) {
		for i, state := range []pb.DeclaredState{2, 1, 2, 1} {
			id := fmt.Sprintf("change-%d", i)
			result := commit.Commit(ctx, objects, id, 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
				return declaration.SetUpstreamState(previous, "", "bindery-1", state, newChange(id))
			})
			g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
		}
		_, err := objects.Put(ctx, "config/service/1/6", []byte("under way"), store.IfAbsent())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = objects.Put(ctx, "config/service/3/1", []byte("under way"), store.IfAbsent())
		g.Expect(err).NotTo(HaveOccurred())
		paused := commit.NewJanitor(objects, "paused", telemetry.NewCounters(), zerolog.Nop())
		other := commit.NewJanitor(objects, "other", telemetry.NewCounters(), zerolog.Nop())
		pausedCtx, resume := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer resume()
		removed, err := paused.RunOnce(pausedCtx)
		g.Expect(err).To(HaveOccurred())
		g.Expect(removed).To(BeNumerically("<", 4))
		background := context.Background()
		_, err = other.RunOnce(background)
		g.Expect(err).To(MatchError(commit.ErrLeaseHeld))
		time.Sleep(time.Minute)
		removedByOther, err := other.RunOnce(background)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(removed + removedByOther).To(Equal(4))
		_, err = paused.RunOnce(background)
		g.Expect(err).To(MatchError(commit.ErrLeaseLost))
		entries, err := objects.List(background, "config/service/")
		g.Expect(err).NotTo(HaveOccurred())
		var keys []string
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		g.Expect(keys).To(Equal([]string{"config/service/1/5", "config/service/1/6", "config/service/2/1", "config/service/3/1"}))
		p.ResetCalls()
	})
}
