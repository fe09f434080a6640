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

// Guards against two daemons that get one guard token: records that went to one claimer must
// reach another only as incomplete ones.
func TestReleasedRecordsGoToOneClaimer(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		g.Expect(b.log()).To(Equal([]string{"fresh"}))
		b.setView(leaving, map[membership.DaemonID]pb.MemberState{"b": alive, "c": alive})
		for range 2 { // The second time, the first answer was lost.
			response, err := b.HandleClaim(claimBy("b"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(transferred))
			g.Expect(response.GetResults()[0].GetRecords().GetAdmission().GetGuardToken()).To(Equal(uint64(99)))
		}
		response, err := b.HandleClaim(claimBy("c"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(redirect))
		g.Expect(response.GetResults()[0].GetRedirect()).To(Equal("b"))
		to, active, ok := b.Route(resource)
		g.Expect([]any{to, active, ok}).To(Equal([]any{membership.DaemonID("b"), false, true}), "packets follow the claimer")
		wait(11 * time.Second)
		response, err = b.HandleClaim(claimBy("c"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(notHeld), "the redirect ends")
	})
}

// Guards against a release to a daemon that this view does not hold to be alive, or to an
// earlier incarnation of it.
func TestClaimByUnknownDaemonIsRefused(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		b.setView(alive, map[membership.DaemonID]pb.MemberState{"b": alive, "c": dropped})
		wait(100 * time.Millisecond)
		older := claimBy("b")
		older.Incarnation = 4
		for _, request := range []*pb.ClaimRequest{claimBy("unknown"), claimBy("c"), claimBy("self"), older} {
			_, err := b.HandleClaim(request)
			g.Expect(err).To(MatchError(ownership.ErrClaimerUnknown))
		}
		g.Expect(b.serves()).To(BeTrue())
	})
}

// Guards against a daemon that restarts before it is dropped and takes its resources for
// fresh, although its earlier records are lost.
func TestQuickRestartIsNotFresh(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.setView(leaving, map[membership.DaemonID]pb.MemberState{"b": alive})
		b.begin()
		response, err := b.HandleClaim(claimBy("b"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(notHeld), "the first claim of this daemon")
		restarted := claimBy("b")
		restarted.Incarnation = 6
		response, err = b.HandleClaim(restarted)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetResults()[0].GetOutcome()).To(Equal(redirect))
		g.Expect(response.GetResults()[0].GetRedirect()).To(Equal("b"))
	})
}

// Guards against the use of a guard token that this daemon received and passed on before.
func TestTransferAfterOwnReleaseIsNotTrusted(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		b.loseTo(g, "c")
		_, err := b.HandleClaim(claimBy("c"))
		g.Expect(err).NotTo(HaveOccurred())
		b.claim = func(to membership.DaemonID) *pb.ClaimResult {
			if to == "d" {
				return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
			}
			return &pb.ClaimResult{Outcome: notHeld}
		}
		b.setView(alive, map[membership.DaemonID]pb.MemberState{"c": leaving, "d": leaving})
		wait(3 * time.Second)
		g.Expect(b.log()).To(Equal([]string{"fresh", "released", "recovered"}))
	})
}

// Guards against records of before a pause that are taken for complete ones.
func TestAnswerOfBeforeAPauseIsNotTrusted(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.claim = func(membership.DaemonID) *pb.ClaimResult {
			time.Sleep(500 * time.Millisecond)
			return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
		}
		b.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		b.begin()
		b.OnPause()
		wait(800 * time.Millisecond)
		g.Expect(b.log()).To(Equal([]string{"recovered"}))
	})
}

// Guards against a pause after which the daemon goes on serving.
func TestPauseReleasesEverything(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		b.settled.Store(false)
		b.OnPause()
		g.Expect(b.serves()).To(BeFalse())
		wait(time.Second)
		g.Expect(b.serves()).To(BeFalse(), "nothing is claimed before the view is settled")
		b.settled.Store(true)
		wait(100 * time.Millisecond)
		g.Expect(b.log()).To(Equal([]string{"fresh", "released", "recovered"}))
	})
}

// Guards against a guard token that is used here although the receiver of an unanswered offer
// may use it too, and against a lost token when the offer was only refused.
func TestOfferThatFails(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want string
	}{"no answer": {errLost, "recovered"}, "refused": {nil, "transferred"}} {
		t.Run(name, func(t *testing.T) {
			onBench(t, func(g *WithT, b *bench) {
				b.begin()
				b.offer = func(_ membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
					if len(r.GetRecords()) == 0 {
						return &pb.OfferResponse{}, nil
					}
					return &pb.OfferResponse{}, test.err
				}
				b.loseTo(g, "b")
				wait(ownership.OfferAfter - time.Millisecond)
				g.Expect(b.log()).To(Equal([]string{"fresh"}), "a claim has time to come")
				wait(10 * time.Millisecond)
				g.Expect(b.log()).To(Equal([]string{"fresh", "released", test.want}))
			})
		})
	}
}

// Guards against an offer that costs the guard token although nobody answers there.
func TestOfferToSilentDaemonReleasesNothing(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		b.loseTo(g, "b")
		wait(20 * time.Second)
		g.Expect(b.log()).To(Equal([]string{"fresh"}))
	})
}

// Guards against a claim that waits for a holder that is dropped meanwhile.
func TestHolderDroppedDuringClaim(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.claim = func(membership.DaemonID) *pb.ClaimResult { return nil }
		b.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		b.begin()
		wait(500 * time.Millisecond)
		to, active, _ := b.Route(resource)
		g.Expect(to).To(Equal(membership.DaemonID("b")), "packets go to the previous holder")
		g.Expect(active).To(BeFalse())
		b.setView(alive, map[membership.DaemonID]pb.MemberState{"b": dropped})
		wait(time.Millisecond)
		g.Expect(b.log()).To(Equal([]string{"recovered"}))
	})
}

// Guards against resources that stay unserved because a live daemon answers no claim.
func TestClaimExpires(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.claim = func(membership.DaemonID) *pb.ClaimResult { return nil }
		b.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		b.begin()
		wait(6 * time.Second)
		g.Expect(b.log()).To(Equal([]string{"recovered"}))
	})
}

// Guards against a holder that is not found because it is only known by a redirect.
func TestRedirectIsFollowed(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		var holder atomic.Value
		b.claim = func(to membership.DaemonID) *pb.ClaimResult {
			if to == holder.Load().(membership.DaemonID) {
				return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
			}
			return &pb.ClaimResult{Outcome: redirect, Redirect: string(holder.Load().(membership.DaemonID))}
		}
		others := map[membership.DaemonID]pb.MemberState{}
		for _, id := range []membership.DaemonID{"a", "b", "c", "d", "e", "f", "g", "h"} {
			others[id] = leaving
		}
		b.setView(alive, others)
		for id := range others {
			if !slices.Contains(b.PreviousHolders(resource), id) {
				holder.Store(id)
			}
		}
		b.begin()
		g.Expect(b.log()).To(Equal([]string{"transferred"}))
		g.Expect(b.asked()).To(ContainElement(holder.Load()))
	})
}

// Guards against two daemons with different views that take a resource from each other again
// and again.
func TestReclaimIsHeldBack(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		others := map[membership.DaemonID]pb.MemberState{}
		for _, id := range []membership.DaemonID{"b", "c", "d", "e"} {
			b.setView(alive, map[membership.DaemonID]pb.MemberState{id: alive})
			if successor, _ := b.Successor(resource); successor == id && b.desiresSelf() {
				others[id] = alive
				break
			}
		}
		g.Expect(others).NotTo(BeEmpty(), "some daemon must rank below this one")
		var id string
		for other := range others {
			id = string(other)
		}
		b.claim = func(membership.DaemonID) *pb.ClaimResult {
			return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
		}
		claims := 0
		for began := time.Now(); time.Since(began) < 20*time.Second; wait(10 * time.Millisecond) {
			if b.serves() {
				_, err := b.HandleClaim(claimBy(id))
				g.Expect(err).NotTo(HaveOccurred())
				claims++
			}
		}
		g.Expect(claims).To(BeNumerically("<=", 8), "each loss must double the time until the next claim")
	})
}

// desiresSelf reports whether this daemon keeps the resource without an offer for a while.
func (b *bench) desiresSelf() bool {
	offered := false
	b.offer = func(membership.DaemonID, *pb.OfferRequest) (*pb.OfferResponse, error) {
		offered = true
		return nil, errLost
	}
	wait(ownership.OfferAfter + 100*time.Millisecond)
	return !offered
}

// Guards against an allocation for each packet.
func TestRouteDoesNotAllocate(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		g.Expect(testing.AllocsPerRun(100, func() {
			_, _, _ = b.Route(resource)
			_, _ = b.Successor(resource)
			_ = b.PreviousHolders(resource)
		})).To(BeZero())
	})
}

// Guards against a leave that ends while the answer to a claim brings records.
func TestLeaveWaitsForCalls(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.claim = func(membership.DaemonID) *pb.ClaimResult {
			time.Sleep(500 * time.Millisecond)
			return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
		}
		b.offer = acceptAll
		b.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		b.begin()
		b.setView(leaving, map[membership.DaemonID]pb.MemberState{"b": alive})
		g.Expect(b.Leave(context.Background())).To(Succeed())
		g.Expect(b.log()).To(Equal([]string{"transferred", "released"}))
	})
}

func acceptAll(_ membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
	response := &pb.OfferResponse{}
	for _, records := range r.GetRecords() {
		response.Accepted = append(response.Accepted, records.GetResource())
	}
	return response, nil
}

// Guards against a leave that claims success while resources remain.
func TestLeave(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		g.Expect(b.Leave(context.Background())).To(MatchError(ownership.ErrNotClaimed), "no other daemon")
		b.loseTo(g, "b")
		began := time.Now()
		g.Expect(b.Leave(context.Background())).To(MatchError(ownership.ErrNotClaimed))
		g.Expect(time.Since(began)).To(Equal(ownership.LeaveTimeout))
		b.offer = acceptAll
		g.Expect(b.Leave(context.Background())).To(Succeed())
		g.Expect(b.serves()).To(BeFalse())
	})
}

// Guards against a resource that is served after its removal, or not after it was declared.
func TestConfigurationChange(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.begin()
		b.configured = nil
		b.OnConfigurationChange()
		g.Expect(b.log()).To(Equal([]string{"fresh", "released"}))
		_, _, ok := b.Route(resource)
		g.Expect(ok).To(BeFalse())
		wait(10 * time.Second)
		g.Expect(b.serves()).To(BeFalse())

		b.configured = []ownership.Resource{resource}
		b.OnConfigurationChange()
		wait(10 * time.Millisecond)
		_, active, _ := b.Route(resource)
		g.Expect(active).To(BeTrue())
		b.OnConfigurationChange()
		g.Expect(b.log()).To(Equal([]string{"fresh", "released", "fresh"}), "an unchanged resource stays as it is")
	})
}

// Guards against an answer to a claim that activates a resource removed meanwhile.
func TestRemovedDuringClaim(t *testing.T) {
	onBench(t, func(g *WithT, b *bench) {
		b.claim = func(membership.DaemonID) *pb.ClaimResult {
			time.Sleep(500 * time.Millisecond)
			return &pb.ClaimResult{Outcome: transferred, Records: &pb.ResourceRecords{}}
		}
		b.setView(alive, map[membership.DaemonID]pb.MemberState{"b": leaving})
		b.begin()
		b.configured = nil
		b.OnConfigurationChange()
		wait(2 * time.Second)
		g.Expect(b.log()).To(BeEmpty())
	})
}
