package membership_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Guards against a joining daemon that queries each member of a large fleet for its view (among 24
// daemons it sent 2,071 bytes a second in its first minute; the limit is 2,000), and against a daemon
// that stops after the first seeds although other seeds are alive.
func TestSeedsAreQueriedUntilViewIsComplete(t *testing.T) {
	const fleet = 24
	tests := []struct {
		name              string
		alive, maxQueries int
		isSettled         bool
	}{
		{"all seeds respond", fleet, 8, true},
		{"one seed responds", 1, fleet, false},
		{"no seed responds", 0, fleet, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var queried, responded atomic.Int32
				address := func(i int) netip.AddrPort {
					return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 1, byte(i)}), 7300)
				}
				m := membership.New(membership.Options{
					Self:   membership.Member{ID: "self", PeerAddress: peerAddress, Incarnation: 100},
					Sender: &recordingSender{}, Counters: telemetry.NewCounters(),
					Seeds: func(context.Context) ([]membership.Member, error) {
						var seeds []membership.Member
						for i := range fleet {
							seeds = append(seeds, membership.Member{
								ID: membership.DaemonID(fmt.Sprint("d", i)), PeerAddress: peerAddress, ControlAddress: address(i),
							})
						}
						return seeds, nil
					},
					FetchView: func(_ context.Context, from membership.Member, _ *pb.GetViewRequest) (*pb.GetViewResponse, error) {
						queried.Add(1)
						if int(from.ControlAddress.Addr().As4()[3]) >= test.alive {
							return nil, errors.New("no response")
						}
						responded.Add(1)
						view := &pb.GetViewResponse{}
						for i := range fleet {
							view.Members = append(view.Members, member(fmt.Sprint("d", i), 1, alive))
						}
						return view, nil
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- m.Run(ctx) }()
				time.Sleep(100 * time.Millisecond)
				g.Expect(int(queried.Load())).To(BeNumerically("<=", test.maxQueries))
				g.Expect(responded.Load() > 0).To(Equal(test.alive > 0))
				g.Expect(m.Settled()).To(Equal(test.isSettled))
				cancel()
				g.Expect(<-done).To(Succeed())
			})
		})
	}
}

// Guards against a joining daemon that forwards the members in the views of its seeds, which all others know:
// with 24 daemons, they took up a tenth of the control traffic that it may send in its first minute.
func TestJoiningDaemonForwardsNoView(t *testing.T) {
	const fleet = 24
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sender := &recordingSender{}
		view := &pb.GetViewResponse{}
		for i := range fleet {
			view.Members = append(view.Members, member(fmt.Sprint("d", i), 1, alive))
		}
		seed := membership.Member{ID: "d0", PeerAddress: peerAddress, ControlAddress: peerAddress}
		m := membership.New(membership.Options{
			Self:   membership.Member{ID: "self", PeerAddress: peerAddress, Incarnation: 100},
			Sender: sender, Counters: telemetry.NewCounters(),
			Seeds: func(context.Context) ([]membership.Member, error) { return []membership.Member{seed}, nil },
			FetchView: func(context.Context, membership.Member, *pb.GetViewRequest) (*pb.GetViewResponse, error) {
				return view, nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = m.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		g.Expect(m.View().Members).To(HaveLen(fleet + 1))
		probe := &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{}}}
		forwarded := map[string]bool{}
		for range 20 {
			m.HandleDatagram("d2", probe)
			for _, d := range sender.takeSent() {
				for _, change := range append(d.GetProbe().GetChanges(), d.GetProbeAck().GetChanges()...) {
					forwarded[change.GetId()] = true
				}
			}
		}
		delete(forwarded, "self")
		g.Expect(forwarded).To(BeEmpty())
		m.HandleDatagram("d1", &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{Changes: []*pb.Member{member("d1", 2, alive)}}}})
		m.HandleDatagram("d2", probe)
		g.Expect(sender.takeSent()).To(ContainElement(HaveField("GetProbeAck().GetChanges()", ContainElement(HaveField("Id", "d1")))),
			"changes that arrive by gossip are forwarded")
	})
}
