package commit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	standin "github.com/fulmarfield/fulmarfield/standin/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

const declarationText = `
deployment: hopkrans-hoeve
zones: [schuur, winkel]
daemons:
  - {name: schuur-1, zone: schuur}
services:
  - {name: bindery, address: "127.2.1.1:8001", aim: connections}
  - {name: galerij, address: "127.2.2.1:8002", aim: balance}
upstreams:
  - {name: bindery-1, service: bindery, zone: schuur, address: "127.1.1.51:9000", slots: 2}
  - {name: bindery-2, service: bindery, zone: winkel, address: "127.1.2.51:9000", slots: 2}
  - {name: galerij-1, service: galerij, zone: winkel, address: "127.1.2.52:9000", slots: 2}
`

// newChange returns a change with the given id, by an operator whose name contains the id.
func newChange(id string) declaration.Change {
	return declaration.Change{ID: id, Author: "operator " + id, At: time.Now()}
}

// declareEdit returns an edit that declares declarationText.
func declareEdit(id string) commit.Edit {
	return func(previous *pb.Configuration) (*pb.Configuration, error) {
		d, errs := declaration.Parse("test.yaml", []byte(declarationText))
		if len(errs) > 0 {
			return nil, errs
		}
		next, _ := declaration.Build(previous, d, id, "operator", time.Now())
		return next, nil
	}
}

// drainEdit returns an edit that drains an upstream.
func drainEdit(id, service, upstream string) commit.Edit {
	return func(previous *pb.Configuration) (*pb.Configuration, error) {
		return declaration.SetUpstreamState(previous, service, upstream, pb.DeclaredState_DECLARED_STATE_DRAINING, newChange(id))
	}
}

// runWithStore runs a test in virtual time with a store that has declarationText committed.
func runWithStore(t *testing.T, test func(ctx context.Context, g Gomega, p *standin.Platform, store *standin.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := standin.New(standin.Options{})
		store := p.Store(netip.MustParseAddr("127.0.1.1"))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		g.Expect(commit.Commit(ctx, store, "first", 0, declareEdit("first")).Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
		test(ctx, g, p, store)
	})
}

// Guards against a committed configuration that cannot be loaded again, and against a repeated commit
// that is applied twice.
func TestCommitAndLoad(t *testing.T) {
	runWithStore(t, func(ctx context.Context, g Gomega, _ *standin.Platform, store *standin.Store) {
		c, err := commit.Load(ctx, store)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.GetGeneration()).To(BeEquivalentTo(1))
		g.Expect(c.GetServices()).To(HaveLen(2))
		g.Expect(commit.Commit(ctx, store, "first", 0, declareEdit("first")).Outcome).To(Equal(pb.Outcome_OUTCOME_UNCHANGED))
		g.Expect(commit.Commit(ctx, store, "again", 0, declareEdit("again")).Outcome).To(Equal(pb.Outcome_OUTCOME_UNCHANGED))
	})
}

// Guards against an outcome "unknown" or a second application when the responses to the writes of a
// content object and of the head are lost after the writes were applied.
func TestLostAnswerIsReadBack(t *testing.T) {
	runWithStore(t, func(ctx context.Context, g Gomega, p *standin.Platform, store *standin.Store) {
		p.LoseAnswers(2)
		result := commit.Commit(ctx, store, "drain", 0, drainEdit("drain", "bindery", "bindery-1"))
		g.Expect(result.Err).NotTo(HaveOccurred())
		g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
		g.Expect(result.Generation).To(BeEquivalentTo(2))
		history, err := commit.History(ctx, store)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history).To(HaveLen(2))
	})
}

// Guards against a head that grows too large for the control traffic of a watcher as the history
// fills, a history without a bound, and a corrupt head that is treated as an empty one.
func TestHeadStaysSmallAndCorruptionIsDetected(t *testing.T) {
	runWithStore(t, func(_ context.Context, g Gomega, _ *standin.Platform, objects *standin.Store) {
		ctx := context.Background()
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 300 {
			id := fmt.Sprintf("%016x", random.Uint64())
			result := commit.Commit(ctx, objects, id, 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
				state := pb.DeclaredState(2 - i%2)
				return declaration.SetUpstreamState(previous, "", fmt.Sprintf("bindery-%d", i/2%2+1), state, newChange(id))
			})
			g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
			time.Sleep(time.Second)
		}
		history, err := commit.History(ctx, objects)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history).To(HaveLen(declaration.MaxHistory))
		o, err := objects.Get(ctx, commit.HeadKey)
		g.Expect(err).NotTo(HaveOccurred())
		t.Logf("head with %d changes: %d bytes", len(history), len(o.Value))
		g.Expect(len(o.Value)).To(BeNumerically("<", 10_000))
		_, err = objects.Put(ctx, commit.HeadKey, o.Value[:len(o.Value)/2], store.Always())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = commit.Load(ctx, objects)
		g.Expect(err).To(MatchError(commit.ErrCorrupt))
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		result := commit.Commit(limited, objects, "after", 0, declareEdit("after"))
		g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_REFUSED))
		g.Expect(result.Err).To(MatchError(commit.ErrCorrupt))
	})
}
