package ownership_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// Guards against two daemons with the same guard token: records that were transferred to one
// claimer may be sent to another claimer only with a redirect, as incomplete records.
func TestReleasedRecordsGoToOneClaimer(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		g.Expect(h.calls()).To(Equal([]string{"fresh"}))
		h.setView(leaving, map[membership.DaemonID]pb.MemberState{"b": alive, "c": alive})
		for range 2 { // The second claim is a retry after the loss of the first response.
			response, err := h.HandleClaim(claimRequestFrom("b"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(transferred))
			g.Expect(response.GetResults()[0].GetRecords().GetAdmission().GetGuardToken()).To(Equal(uint64(99)))
		}
		response, err := h.HandleClaim(claimRequestFrom("c"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(redirect))
		g.Expect(response.GetResults()[0].GetRedirect()).To(Equal("b"))
		to, active, ok := h.Route(resource)
		g.Expect([]any{to, active, ok}).To(Equal([]any{membership.DaemonID("b"), false, true}), "packets are forwarded to the claimer")
		wait(11 * time.Second)
		response, err = h.HandleClaim(claimRequestFrom("c"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(notHeld), "the redirect expires")
	})
}

// Guards against a release to a daemon that is not alive in the local view, or to an earlier
// incarnation of a daemon.
func TestClaimByUnknownDaemonIsRefused(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		h.setView(alive, map[membership.DaemonID]pb.MemberState{"b": alive, "c": dropped})
		wait(100 * time.Millisecond)
		older := claimRequestFrom("b")
		older.Incarnation = 4
		for _, request := range []*pb.ClaimRequest{claimRequestFrom("unknown"), claimRequestFrom("c"), claimRequestFrom("self"), older} {
			_, err := h.HandleClaim(request)
			g.Expect(err).To(MatchError(ownership.ErrClaimerUnknown))
		}
		g.Expect(h.serves()).To(BeTrue())
	})
}

// Guards against a daemon that restarts before it is dropped and then activates its resources as
// Fresh although its earlier records are lost.
func TestQuickRestartIsNotFresh(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.setView(leaving, map[membership.DaemonID]pb.MemberState{"b": alive})
		h.settle()
		response, err := h.HandleClaim(claimRequestFrom("b"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(notHeld), "the claimer is still the incarnation that became the desired holder")
		restarted := claimRequestFrom("b")
		restarted.Incarnation = 6
		response, err = h.HandleClaim(restarted)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(redirect))
		g.Expect(response.GetResults()[0].GetRedirect()).To(Equal("b"))
	})
}

// Guards against the reuse of a guard token that this daemon has transferred to another daemon
// before.
func TestTransferAfterOwnReleaseIsNotTrusted(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		h.makeDesiredHolder(g, "c")
		_, err := h.HandleClaim(claimRequestFrom("c"))
		g.Expect(err).NotTo(HaveOccurred())
		h.respondToClaim = func(to membership.DaemonID) *pb.ClaimResult {
			if to == "d" {
				return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
			}
			return &pb.ClaimResult{Outcome: notHeld}
		}
		h.setView(alive, map[membership.DaemonID]pb.MemberState{"c": leaving, "d": leaving})
		wait(3 * time.Second)
		g.Expect(h.calls()).To(Equal([]string{"fresh", "released", "recovered"}))
	})
}

// Guards against records from before a pause that are treated as complete.
func TestClaimResponseFromBeforePauseIsNotTrusted(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.respondToClaim = func(membership.DaemonID) *pb.ClaimResult {
			time.Sleep(500 * time.Millisecond)
			return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
		}
		h.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		h.settle()
		h.OnPause()
		wait(800 * time.Millisecond)
		g.Expect(h.calls()).To(Equal([]string{"recovered"}))
	})
}

// Guards against a daemon that continues to serve its resources after a pause.
func TestPauseReleasesAllResources(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		h.settled.Store(false)
		h.OnPause()
		g.Expect(h.serves()).To(BeFalse())
		wait(time.Second)
		g.Expect(h.serves()).To(BeFalse(), "nothing is claimed before the view is settled")
		h.settled.Store(true)
		wait(100 * time.Millisecond)
		g.Expect(h.calls()).To(Equal([]string{"fresh", "released", "recovered"}))
	})
}

// Guards against reuse of the guard token after an offer without a response, since the receiver
// may use it too, and against loss of the token when the offer was refused.
func TestFailedOffer(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want string
	}{"no response": {errResponseLost, "recovered"}, "refused": {nil, "transferred"}} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(g *WithT, h *harness) {
				h.settle()
				wait(ownership.OfferAfter)
				h.respondToOffer = func(_ membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
					if len(r.GetRecords()) == 0 {
						return &pb.OfferResponse{}, nil
					}
					return &pb.OfferResponse{}, test.err
				}
				h.makeDesiredHolder(g, "b")
				wait(ownership.OfferAfter - time.Millisecond)
				g.Expect(h.calls()).To(Equal([]string{"fresh"}), "the desired holder has time to claim")
				wait(10 * time.Millisecond)
				g.Expect(h.calls()).To(Equal([]string{"fresh", "released", test.want}))
			})
		})
	}
}

// Guards against two holders of a resource for seconds after a start of all daemons: this one activated it
// before it knew the desired holder, which then claimed it from others only and activated it as well.
func TestResourceOfAStartIsOfferedSoon(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		h.respondToOffer = func(_ membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
			response := &pb.OfferResponse{}
			for _, records := range r.GetRecords() {
				response.Accepted = append(response.Accepted, records.GetResource())
			}
			return response, nil
		}
		h.makeDesiredHolder(g, "b")
		wait(time.Second)
		g.Expect(h.calls()).To(Equal([]string{"fresh", "released"}))
	})
}

// Guards against an offer to an unreachable daemon that invalidates the guard token: the call
// without records that comes first must fail.
func TestOfferToUnreachableDaemonReleasesNothing(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		h.makeDesiredHolder(g, "b")
		wait(20 * time.Second)
		g.Expect(h.calls()).To(Equal([]string{"fresh"}))
	})
}

// Guards against a claim that waits for a holder that was dropped during the claim.
func TestHolderDroppedDuringClaim(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.respondToClaim = func(membership.DaemonID) *pb.ClaimResult { return nil }
		h.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		h.settle()
		wait(500 * time.Millisecond)
		to, active, _ := h.Route(resource)
		g.Expect(to).To(Equal(membership.DaemonID("b")), "packets are forwarded to the previous holder")
		g.Expect(active).To(BeFalse())
		h.setView(alive, map[membership.DaemonID]pb.MemberState{"b": dropped})
		wait(time.Millisecond)
		g.Expect(h.calls()).To(Equal([]string{"recovered"}))
	})
}

// Guards against resources that are never activated because a live daemon does not respond to
// claims.
func TestClaimExpires(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.respondToClaim = func(membership.DaemonID) *pb.ClaimResult { return nil }
		h.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		h.settle()
		wait(6 * time.Second)
		g.Expect(h.calls()).To(Equal([]string{"recovered"}))
	})
}

// Guards against a claim that does not reach the holder because only a redirect names it.
func TestRedirectIsFollowed(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		var holder atomic.Value
		h.respondToClaim = func(to membership.DaemonID) *pb.ClaimResult {
			if to == holder.Load().(membership.DaemonID) {
				return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
			}
			return &pb.ClaimResult{Outcome: redirect, Redirect: string(holder.Load().(membership.DaemonID))}
		}
		others := map[membership.DaemonID]pb.MemberState{}
		for _, id := range []membership.DaemonID{"a", "b", "c", "d", "e", "f", "g", "h"} {
			others[id] = leaving
		}
		h.setView(alive, others)
		for id := range others {
			if !slices.Contains(h.PreviousHolders(resource), id) {
				holder.Store(id)
			}
		}
		h.settle()
		g.Expect(h.calls()).To(Equal([]string{"transferred"}))
		g.Expect(h.copyClaimTargets()).To(ContainElement(holder.Load()))
	})
}

// Guards against two daemons with different views that claim a resource from each other
// continuously.
func TestRepeatedClaimsAreDelayed(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		others := map[membership.DaemonID]pb.MemberState{}
		for _, id := range []membership.DaemonID{"b", "c", "d", "e"} {
			h.setView(alive, map[membership.DaemonID]pb.MemberState{id: alive})
			if successor, _ := h.Successor(resource); successor == id && h.isDesiredHolder() {
				others[id] = alive
				break
			}
		}
		g.Expect(others).NotTo(BeEmpty(), "at least one daemon must rank below this one")
		var id string
		for other := range others {
			id = string(other)
		}
		h.respondToClaim = func(membership.DaemonID) *pb.ClaimResult {
			return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
		}
		claims := 0
		for began := time.Now(); time.Since(began) < 20*time.Second; wait(10 * time.Millisecond) {
			if h.serves() {
				_, err := h.HandleClaim(claimRequestFrom(id))
				g.Expect(err).NotTo(HaveOccurred())
				claims++
			}
		}
		g.Expect(claims).To(BeNumerically("<=", 8), "each loss must double the delay of the next claim")
	})
}

// isDesiredHolder reports whether this daemon is the desired holder: it then sends no offer
// within OfferAfter.
func (h *harness) isDesiredHolder() bool {
	offered := false
	h.respondToOffer = func(membership.DaemonID, *pb.OfferRequest) (*pb.OfferResponse, error) {
		offered = true
		return nil, errResponseLost
	}
	wait(ownership.OfferAfter + 100*time.Millisecond)
	return !offered
}

// Guards against memory allocations for each packet.
func TestRouteDoesNotAllocate(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		g.Expect(testing.AllocsPerRun(100, func() {
			_, _, _ = h.Route(resource)
			_, _ = h.Successor(resource)
			_ = h.PreviousHolders(resource)
		})).To(BeZero())
	})
}

// Guards against a leave that ends before the response to a claim, which transfers records to
// this daemon.
func TestLeaveWaitsForCallsInProgress(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.respondToClaim = func(membership.DaemonID) *pb.ClaimResult {
			time.Sleep(500 * time.Millisecond)
			return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
		}
		h.respondToOffer = acceptAll
		h.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		h.settle()
		h.setView(leaving, map[membership.DaemonID]pb.MemberState{"b": alive})
		g.Expect(h.Leave(context.Background())).To(Succeed())
		g.Expect(h.calls()).To(Equal([]string{"transferred", "released"}))
	})
}

func acceptAll(_ membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
	response := &pb.OfferResponse{}
	for _, records := range r.GetRecords() {
		response.Accepted = append(response.Accepted, records.GetResource())
	}
	return response, nil
}

// Guards against a leave that reports success while this daemon still holds resources.
func TestLeave(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		g.Expect(h.Leave(context.Background())).To(MatchError(ownership.ErrResourcesHeld), "no other daemon can own the resource")
		h.makeDesiredHolder(g, "b")
		began := time.Now()
		g.Expect(h.Leave(context.Background())).To(MatchError(ownership.ErrResourcesHeld))
		g.Expect(time.Since(began)).To(Equal(ownership.LeaveTimeout))
		h.respondToOffer = acceptAll
		g.Expect(h.Leave(context.Background())).To(Succeed())
		g.Expect(h.serves()).To(BeFalse())
	})
}

// Guards against a resource that is served after its removal, or not served after it is declared
// again.
func TestConfigurationChange(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.settle()
		h.configured = nil
		h.OnConfigurationChange()
		g.Expect(h.calls()).To(Equal([]string{"fresh", "released"}))
		_, _, ok := h.Route(resource)
		g.Expect(ok).To(BeFalse())
		wait(10 * time.Second)
		g.Expect(h.serves()).To(BeFalse())

		h.configured = []ownership.Resource{resource}
		h.OnConfigurationChange()
		wait(10 * time.Millisecond)
		_, active, _ := h.Route(resource)
		g.Expect(active).To(BeTrue())
		h.OnConfigurationChange()
		g.Expect(h.calls()).To(Equal([]string{"fresh", "released", "fresh"}), "an unchanged resource stays active")
	})
}

// Guards against the response to a claim activating a resource that was removed during the claim.
func TestRemovedDuringClaim(t *testing.T) {
	runWithHarness(t, func(g *WithT, h *harness) {
		h.respondToClaim = func(membership.DaemonID) *pb.ClaimResult {
			time.Sleep(500 * time.Millisecond)
			return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
		}
		h.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		h.settle()
		h.configured = nil
		h.OnConfigurationChange()
		wait(2 * time.Second)
		g.Expect(h.calls()).To(BeEmpty())
	})
}
