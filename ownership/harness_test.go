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
	resource        = ownership.Admission(1, 7)
	errResponseLost = errors.New("response lost")
)

// harness is an Ownership whose view, resource handler and clients the test controls.
type harness struct {
	*ownership.Ownership
	view           atomic.Pointer[membership.View]
	respondToClaim func(to membership.DaemonID) *pb.ClaimResult
	respondToOffer func(to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error)
	mu             sync.Mutex
	handlerCalls   []string
	isServing      bool
	settled        atomic.Bool
	// claimTargets are the daemons to which claims were sent.
	claimTargets []membership.DaemonID
	// configured are the resources of the configuration.
	configured []ownership.Resource
}

func (h *harness) View() *membership.View { return h.view.Load() }

// setView replaces the view by one with "self" and the other daemons in the given states.
func (h *harness) setView(self pb.MemberState, others map[membership.DaemonID]pb.MemberState) {
	v := &membership.View{}
	for id, state := range others {
		v.Members = append(v.Members, membership.Member{ID: id, Incarnation: 5, State: state})
	}
	v.Members = append(v.Members, membership.Member{ID: "self", Incarnation: 5, State: self})
	slices.SortFunc(v.Members, func(x, y membership.Member) int { return strings.Compare(string(x.ID), string(y.ID)) })
	h.view.Store(v)
	if h.Ownership != nil {
		h.OnViewChange(nil, v)
	}
}

func (h *harness) Claim(ctx context.Context, to membership.DaemonID, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	h.mu.Lock()
	h.claimTargets = append(h.claimTargets, to)
	h.mu.Unlock()
	result := h.respondToClaim(to)
	if result == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	result.Resource = r.GetResources()[0]
	return &pb.ClaimResponse{Results: []*pb.ClaimResult{result}}, nil
}

func (h *harness) Offer(_ context.Context, to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
	return h.respondToOffer(to, r)
}

func (h *harness) Activate(_ ownership.Resource, _ *pb.ResourceRecords, p ownership.Provenance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlerCalls = append(h.handlerCalls, p.String())
	h.isServing = true
}

func (h *harness) Release(ownership.Resource) *pb.ResourceRecords {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlerCalls = append(h.handlerCalls, "released")
	h.isServing = false
	return &pb.ResourceRecords{Admission: &pb.AdmissionRecords{GuardToken: 99}}
}

func (h *harness) Merge(ownership.Resource, *pb.ResourceRecords) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlerCalls = append(h.handlerCalls, "merged")
}

// calls returns the calls to the resource handler so far.
func (h *harness) calls() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.handlerCalls...)
}

func (h *harness) serves() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isServing
}

// copyClaimTargets returns the daemons to which claims were sent so far.
func (h *harness) copyClaimTargets() []membership.DaemonID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]membership.DaemonID(nil), h.claimTargets...)
}

// runWithHarness runs f with an Ownership that is alone in its view. It claims nothing until settle.
func runWithHarness(t *testing.T, f func(g *WithT, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{
			respondToClaim: func(membership.DaemonID) *pb.ClaimResult { return &pb.ClaimResult{Outcome: notHeld} },
			respondToOffer: func(membership.DaemonID, *pb.OfferRequest) (*pb.OfferResponse, error) { return nil, errResponseLost },
		}
		h.configured = []ownership.Resource{resource}
		h.setView(alive, nil)
		h.Ownership = ownership.New(ownership.Options{
			Self: "self", Viewer: h, Clients: h, Counters: telemetry.NewCounters(),
			Handlers:  map[pb.ResourceKind]ownership.ResourceHandler{pb.ResourceKind_RESOURCE_KIND_ADMISSION: h},
			Resources: func() []ownership.Resource { return h.configured },
			Settled:   h.settled.Load,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- h.Run(ctx) }()
		f(NewWithT(t), h)
		cancel()
		<-done
	})
}

// makeDesiredHolder makes another daemon the desired holder by marking this one as leaving.
func (h *harness) makeDesiredHolder(g *WithT, id membership.DaemonID) {
	h.setView(leaving, map[membership.DaemonID]pb.MemberState{id: alive})
	successor, _ := h.Successor(resource)
	g.Expect(successor).To(Equal(id))
}

// settle marks the view as settled and waits for the first claims to end.
func (h *harness) settle() {
	h.settled.Store(true)
	wait(100 * time.Millisecond)
}

// wait advances virtual time by d and then waits until all goroutines are blocked.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func claimRequestFrom(id string) *pb.ClaimRequest {
	return &pb.ClaimRequest{Claimer: id, Incarnation: 5, Resources: []*pb.Resource{resource.Proto()}}
}
