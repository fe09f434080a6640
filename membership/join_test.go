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

// Guards against a daemon that joins a large fleet and asks each member for its view (it sent 2,071
// bytes a second in its first minute among 24, the limit is 2,000), and against one that gives up
// after the first seeds although others live.
func TestSeedsAreAskedUntilTheViewIsWhole(t *testing.T) {
	const fleet = 24
	tests := []struct {
		name        string
		alive, most int
		isSettled   bool
	}{
		{"all answer", fleet, 8, true},
		{"one answers", 1, fleet, false},
		{"none answers", 0, fleet, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var asked, answered atomic.Int32
				address := func(i int) netip.AddrPort {
					return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 1, byte(i)}), 7300)
				}
				m := membership.New(membership.Options{
					Self:   membership.Member{ID: "self", PeerAddress: peerAddress, Incarnation: 100},
					Sender: &recorder{}, Counters: telemetry.NewCounters(),
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
						asked.Add(1)
						if int(from.ControlAddress.Addr().As4()[3]) >= test.alive {
							return nil, errors.New("no answer")
						}
						answered.Add(1)
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
				g.Expect(int(asked.Load())).To(BeNumerically("<=", test.most))
				g.Expect(answered.Load() > 0).To(Equal(test.alive > 0))
				g.Expect(m.Settled()).To(Equal(test.isSettled))
				cancel()
				g.Expect(<-done).To(Succeed())
			})
		})
	}
}
