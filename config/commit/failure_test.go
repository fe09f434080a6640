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

// Guards against two operators who both believe that they committed, and against a conflict
// that does not say what the other one did.
func TestOneOfTwoOperatorsGetsAConflict(t *testing.T) {
	for _, expected := range []uint64{0, 1} {
		run(t, func(ctx context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
			p.SetDelay(20 * time.Millisecond)
			results := make([]commit.Result, 2)
			var both sync.WaitGroup
			for i, upstream := range []string{"bindery-1", "bindery-2"} {
				both.Go(func() {
					results[i] = commit.Commit(ctx, store, upstream, expected, drain(upstream, "bindery", upstream))
				})
			}
			both.Wait()
			winner, loser := results[0], results[1]
			if winner.Outcome != pb.Outcome_OUTCOME_COMMITTED {
				winner, loser = loser, winner
			}
			g.Expect(winner.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
			g.Expect(loser.Outcome).To(Equal(pb.Outcome_OUTCOME_REFUSED))
			g.Expect(loser.Err).To(MatchError(commit.ErrConflict))
			g.Expect(loser.Changed).To(ConsistOf(ContainSubstring("is draining")))
			c, err := commit.Load(ctx, store)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.GetGeneration()).To(BeEquivalentTo(2))
		})
	}
}

// Guards against a refusal of changes to different services, which do not conflict.
func TestChangesToDifferentServicesAreBothCommitted(t *testing.T) {
	run(t, func(ctx context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
		p.SetDelay(20 * time.Millisecond)
		results := make([]commit.Result, 2)
		var both sync.WaitGroup
		for i, service := range []string{"bindery", "galerij"} {
			both.Go(func() { results[i] = commit.Commit(ctx, store, service, 0, drain(service, service, service+"-1")) })
		}
		both.Wait()
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

// Guards against a guess when an outage begins during a commit: before the head is sent the
// outcome is refused, and afterwards unknown until the store can be asked.
func TestOutageDuringACommit(t *testing.T) {
	run(t, func(_ context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
		attempt := func(id string, sent bool) commit.Result {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return commit.Commit(ctx, outageAtHead{store, p, sent}, id, 0, drain(id, "bindery", "bindery-1"))
		}
		early := attempt("early", false)
		g.Expect(early.Outcome).To(Equal(pb.Outcome_OUTCOME_REFUSED))
		g.Expect(early.Err).To(MatchError(commit.ErrNotReached))
		p.SetOutage(false)
		late := attempt("late", true)
		g.Expect(late.Outcome).To(Equal(pb.Outcome_OUTCOME_UNKNOWN), "%v", late.Err)
		p.SetOutage(false)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		again := commit.Commit(ctx, store, "late", 0, drain("late", "bindery", "bindery-1"))
		g.Expect(again.Outcome).To(Equal(pb.Outcome_OUTCOME_UNCHANGED))
		g.Expect(again.Generation).To(BeEquivalentTo(2))
	})
}

// outageAtHead begins an outage at the first write of the head, before it takes effect or,
// when sent is set, between effect and answer.
type outageAtHead struct {
	*standin.Store
	platform *standin.Platform
	sent     bool
}

func (s outageAtHead) Put(ctx context.Context, key string, value []byte, c store.Condition) (store.Version, error) {
	if key != commit.HeadKey {
		return s.Store.Put(ctx, key, value, c)
	}
	if !s.sent {
		s.platform.SetOutage(true)
		return s.Store.Put(ctx, key, value, c)
	}
	s.platform.LoseAnswers(1)
	defer s.platform.SetOutage(true)
	return s.Store.Put(ctx, key, value, c)
}

// Guards against a double or a lost application when a client gives a write up that takes
// effect later.
func TestWriteThatTakesEffectAfterItsClientGaveUp(t *testing.T) {
	run(t, func(_ context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
		p.SetDelay(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		result := commit.Commit(ctx, impatient{store}, "slow", 0, drain("slow", "bindery", "bindery-1"))
		g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", result.Err)
		time.Sleep(10 * time.Second)
		history, err := commit.History(ctx, store)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history).To(HaveLen(2))
	})
}

// impatient gives every write up after 500 ms.
type impatient struct{ *standin.Store }

func (s impatient) Put(ctx context.Context, key string, value []byte, c store.Condition) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	return s.Store.Put(ctx, key, value, c)
}

// Guards against a content object of a failed commit that blocks or falsifies later ones.
func TestContentOfAFailedCommitIsLeftAside(t *testing.T) {
	run(t, func(ctx context.Context, g Gomega, _ *standin.Platform, objects *standin.Store) {
		_, err := objects.Put(ctx, "config/service/1/2", []byte("other"), store.IfAbsent())
		g.Expect(err).NotTo(HaveOccurred())
		result := commit.Commit(ctx, objects, "drain", 0, drain("drain", "bindery", "bindery-1"))
		g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", result.Err)
		c, err := commit.Load(ctx, objects)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.GetServices()[0].GetUpstreams()[0].GetState()).To(Equal(pb.DeclaredState_DECLARED_STATE_DRAINING))
	})
}

// Guards against any outcome that the store contradicts, over random operators, lost answers
// and outages. The seed gives the faults and operators; jitter of back-off is not part of it.
func TestOutcomesAgreeWithTheStore(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	counters := telemetry.NewCounters()
	outcomes := map[pb.Outcome]int{}
	for range 60 {
		run(t, func(_ context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
			p.LoseAnswerShare(0.4)
			p.SetDelay(time.Duration(random.IntN(80)) * time.Millisecond)
			start := time.Duration(random.IntN(400)) * time.Millisecond
			time.AfterFunc(start, func() { p.SetOutage(true) })
			time.AfterFunc(start+time.Duration(random.IntN(1500))*time.Millisecond, func() { p.SetOutage(false) })
			results := make([]commit.Result, 4)
			var all sync.WaitGroup
			for i := range results {
				upstream := []string{"bindery-1", "bindery-2", "galerij-1"}[random.IntN(3)]
				id := fmt.Sprintf("change-%d", i)
				all.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					service := upstream[:7]
					results[i] = commit.New(store, counters).Commit(ctx, id, 0, drain(id, service, upstream))
				})
			}
			all.Wait()
			time.Sleep(10 * time.Second)
			checkOutcomes(g, p, store, results, outcomes)
		})
	}
	t.Logf("outcomes %v, counters %v", outcomes, counters.Snapshot())
}

func checkOutcomes(g Gomega, p *standin.Platform, store *standin.Store, results []commit.Result, outcomes map[pb.Outcome]int) {
	p.SetFaults(standin.Faults{})
	history, err := commit.History(context.Background(), store)
	g.Expect(err).NotTo(HaveOccurred())
	times := map[string]int{}
	for i, r := range history {
		times[r.GetChangeId()]++
		g.Expect(r.GetGeneration()).To(BeEquivalentTo(len(history) - i))
	}
	for i, r := range results {
		outcomes[r.Outcome]++
		n := times[fmt.Sprintf("change-%d", i)]
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

// Guards against errors of the HTTP client that commits take for something else: the same
// over TCP, with connections closed instead of answers.
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
	first := commit.Commit(ctx, client, "first", 0, declare("first"))
	g.Expect(first.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", first.Err)
	p.LoseAnswerShare(0.4)
	p.SetDelay(10 * time.Millisecond)
	results := make([]commit.Result, 24)
	var all sync.WaitGroup
	for operator := range 4 {
		all.Go(func() {
			for i := operator; i < len(results); i += 4 {
				id := fmt.Sprintf("change-%d", i)
				results[i] = commit.Commit(ctx, client, id, 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
					limits := declaration.Limits{QueueLength: uint32(i + 1)}
					return declaration.SetLimits(previous, []string{"bindery", "galerij"}[i%2], limits, change(id))
				})
			}
		})
	}
	all.Wait()
	outcomes := map[pb.Outcome]int{}
	checkOutcomes(g, p, p.Store(netip.Addr{}), results, outcomes)
	t.Logf("outcomes %v", outcomes)
	g.Expect(outcomes[pb.Outcome_OUTCOME_COMMITTED]).To(BeNumerically(">=", 6), "%v", outcomes)
}

// Guards against a commit that fails, or floods the platform, when it is refused for its rate.
func TestRateLimitIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := standin.New(standin.Options{WriteRate: 1, ReadRate: 2}).Store(netip.Addr{})
		counters := telemetry.NewCounters()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		result := commit.New(store, counters).Commit(ctx, "first", 0, declare("first"))
		g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED), "%v", result.Err)
		g.Expect(counters.Get("retry.config_rate_limited")).To(BeNumerically("~", 6, 5))
		g.Expect(counters.Get("retry.config_head_unavailable")).To(BeZero())
	})
}

// Guards against a paused lease holder that acts after another one took over.
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
		g.Expect(second.Acquire(ctx)).To(MatchError(commit.ErrLeaseHeld), "renewed within its term")
		// The first holder is paused here and wakes believing that it still holds the lease.
		time.Sleep(time.Minute)
		g.Expect(second.Acquire(ctx)).To(Succeed())
		g.Expect(second.Token()).To(BeNumerically(">", token))
		g.Expect(first.Confirm(ctx)).To(MatchError(commit.ErrLeaseLost))
		g.Expect(first.Confirm(ctx)).To(MatchError(commit.ErrLeaseLost))
		g.Expect(second.Confirm(ctx)).To(Succeed())
	})
}

// Guards against a lease that its holder loses when the answer to a renewal is lost.
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

// Guards against a janitor that removes what the head or a commit under way needs, or that
// goes on after it was paused and another one took over.
func TestJanitorRemovesOnlyWhatIsNotNeeded(t *testing.T) {
	run(t, func(ctx context.Context, g Gomega, p *standin.Platform, objects *standin.Store) {
		for i, state := range []pb.DeclaredState{2, 1, 2, 1} {
			id := fmt.Sprintf("change-%d", i)
			result := commit.Commit(ctx, objects, id, 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
				return declaration.SetUpstreamState(previous, "", "bindery-1", state, change(id))
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
		removed, err := paused.Round(pausedCtx)
		g.Expect(err).To(HaveOccurred())
		g.Expect(removed).To(BeNumerically("<", 4))
		long := context.Background()
		_, err = other.Round(long)
		g.Expect(err).To(MatchError(commit.ErrLeaseHeld))
		time.Sleep(time.Minute)
		more, err := other.Round(long)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(removed + more).To(Equal(4))
		_, err = paused.Round(long)
		g.Expect(err).To(MatchError(commit.ErrLeaseLost))
		entries, err := objects.List(long, "config/service/")
		g.Expect(err).NotTo(HaveOccurred())
		var keys []string
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		g.Expect(keys).To(Equal([]string{"config/service/1/5", "config/service/1/6", "config/service/2/1", "config/service/3/1"}))
		p.ResetCalls()
	})
}
