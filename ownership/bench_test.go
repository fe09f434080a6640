package ownership_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	alive   = pb.MemberState_MEMBER_STATE_ALIVE
	leaving = pb.MemberState_MEMBER_STATE_LEAVING
	dropped = pb.MemberState_MEMBER_STATE_DROPPED

	transferred = pb.ClaimOutcome_CLAIM_OUTCOME_TRANSFERRED
	notHeld     = pb.ClaimOutcome_CLAIM_OUTCOME_NOT_HELD
	redirect    = pb.ClaimOutcome_CLAIM_OUTCOME_REDIRECT
)

var (
	resource = ownership.Admission(1, 7)
	errLost  = errors.New("answer lost")
)

// bench is one Ownership with a view, a keeper and clients that the test scripts.
type bench struct {
	*ownership.Ownership
	view     atomic.Pointer[membership.View]
	claim    func(to membership.DaemonID) *pb.ClaimResult
	offer    func(to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error)
	mu       sync.Mutex
	events   []string
	serving  bool
	settled  atomic.Bool
	claimers []membership.DaemonID
	// configured are the resources of the configuration.
	configured []ownership.Resource
}

func (b *bench) View() *membership.View { return b.view.Load() }

// setView has the other daemons in the states given and "self" in its state.
func (b *bench) setView(self pb.MemberState, others map[membership.DaemonID]pb.MemberState) {
	v := &membership.View{}
	for id, state := range others {
		v.Members = append(v.Members, membership.Member{ID: id, Incarnation: 5, State: state})
	}
	v.Members = append(v.Members, membership.Member{ID: "self", Incarnation: 5, State: self})
	slices.SortFunc(v.Members, func(x, y membership.Member) int { return strings.Compare(string(x.ID), string(y.ID)) })
	b.view.Store(v)
	if b.Ownership != nil {
		b.OnViewChange(nil, v)
	}
}

func (b *bench) Claim(ctx context.Context, to membership.DaemonID, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	b.mu.Lock()
	b.claimers = append(b.claimers, to)
	b.mu.Unlock()
	result := b.claim(to)
	if result == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	result.Resource = r.GetResources()[0]
	return &pb.ClaimResponse{Results: []*pb.ClaimResult{result}}, nil
}

func (b *bench) Offer(_ context.Context, to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
	return b.offer(to, r)
}

func (b *bench) Activate(_ ownership.Resource, _ *pb.ResourceRecords, p ownership.Provenance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, p.String())
	b.serving = true
}

func (b *bench) Release(ownership.Resource) *pb.ResourceRecords {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, "released")
	b.serving = false
	return &pb.ResourceRecords{Admission: &pb.AdmissionRecords{GuardToken: 99}}
}

func (b *bench) Merge(ownership.Resource, *pb.ResourceRecords) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, "merged")
}

// log returns the calls of the keeper so far.
func (b *bench) log() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.events...)
}

func (b *bench) serves() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serving
}

// asked returns the daemons that got claims so far.
func (b *bench) asked() []membership.DaemonID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]membership.DaemonID(nil), b.claimers...)
}

// onBench runs f with an Ownership whose view holds only itself. It claims nothing until begin.
func onBench(t *testing.T, f func(g *WithT, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{
			claim: func(membership.DaemonID) *pb.ClaimResult { return &pb.ClaimResult{Outcome: notHeld} },
			offer: func(membership.DaemonID, *pb.OfferRequest) (*pb.OfferResponse, error) { return nil, errLost },
		}
		b.configured = []ownership.Resource{resource}
		b.setView(alive, nil)
		b.Ownership = ownership.New(ownership.Options{
			Self: "self", Viewer: b, Clients: b, Counters: telemetry.NewCounters(),
			Keepers:   map[pb.ResourceKind]ownership.Keeper{pb.ResourceKind_RESOURCE_KIND_ADMISSION: b},
			Resources: func() []ownership.Resource { return b.configured },
			Settled:   b.settled.Load,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- b.Run(ctx) }()
		f(NewWithT(t), b)
		cancel()
		<-done
	})
}

// loseTo makes another daemon the desired holder, since this one leaves.
func (b *bench) loseTo(g *WithT, id membership.DaemonID) {
	b.setView(leaving, map[membership.DaemonID]pb.MemberState{id: alive})
	successor, _ := b.Successor(resource)
	g.Expect(successor).To(Equal(id))
}

// begin settles the view and lets the first claims end.
func (b *bench) begin() {
	b.settled.Store(true)
	wait(100 * time.Millisecond)
}

// wait lets virtual time pass until nothing runs at its end.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func claimBy(id string) *pb.ClaimRequest {
	return &pb.ClaimRequest{Claimer: id, Incarnation: 5, Resources: []*pb.Resource{resource.Proto()}}
}
