package membership_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	alive   = pb.MemberState_MEMBER_STATE_ALIVE
	suspect = pb.MemberState_MEMBER_STATE_SUSPECT
	leaving = pb.MemberState_MEMBER_STATE_LEAVING
	dropped = pb.MemberState_MEMBER_STATE_DROPPED
	left    = pb.MemberState_MEMBER_STATE_LEFT
)

var peerAddress = netip.MustParseAddrPort("127.1.0.9:7400")

// recordingSender is a Sender that records the datagrams sent.
type recordingSender struct {
	mu   sync.Mutex
	sent []*pb.PeerDatagram
}

func (r *recordingSender) Send(to membership.DaemonID, m *pb.PeerDatagram) error {
	return r.SendTo(peerAddress, to, m)
}

func (r *recordingSender) SendTo(_ netip.AddrPort, to membership.DaemonID, m *pb.PeerDatagram) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.Receiver = string(to)
	r.sent = append(r.sent, m)
	return nil
}

// takeSent returns the datagrams sent since the last call.
func (r *recordingSender) takeSent() []*pb.PeerDatagram {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.sent
	r.sent = nil
	return sent
}

func newMembership() (*membership.Membership, *recordingSender, *telemetry.Counters) {
	r, counters := &recordingSender{}, telemetry.NewCounters()
	return membership.New(membership.Options{
		Self:       membership.Member{ID: "self", PeerAddress: peerAddress, Incarnation: 100},
		Sender:     r,
		Counters:   counters,
		Generation: func() uint64 { return 42 },
	}), r, counters
}

func member(id string, incarnation uint64, state pb.MemberState) *pb.Member {
	return &pb.Member{Id: id, PeerAddress: "127.1.0.1:7400", Incarnation: incarnation, State: state}
}

func sendProbe(m *membership.Membership, changes ...*pb.Member) {
	m.HandleDatagram("x", &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{Changes: changes}}})
}

// Guards against a change that replaces a newer one, and against a member that is dropped because
// another daemon reports it as dropped, without the time to refute.
func TestMergeOrder(t *testing.T) {
	for _, c := range []struct {
		first, then, want *pb.Member
	}{
		{member("a", 5, alive), member("a", 5, suspect), member("a", 5, suspect)},
		{member("a", 5, suspect), member("a", 5, alive), member("a", 5, suspect)},
		{member("a", 5, suspect), member("a", 6, alive), member("a", 6, alive)},
		{member("a", 6, alive), member("a", 5, left), member("a", 6, alive)},
		{member("a", 5, alive), member("a", 5, leaving), member("a", 5, leaving)},
		{member("a", 5, leaving), member("a", 5, suspect), member("a", 5, leaving)},
		{member("a", 5, alive), member("a", 5, dropped), member("a", 5, suspect)},
		{member("a", 5, alive), member("a", 9, dropped), member("a", 9, suspect)},
		{member("a", 5, leaving), member("a", 5, left), member("a", 5, left)},
		{member("a", 5, left), member("a", 6, alive), member("a", 6, alive)},
	} {
		g := NewWithT(t)
		m, _, _ := newMembership()
		sendProbe(m, c.first, c.then)
		got, _ := m.View().Member("a")
		g.Expect(got.State).To(Equal(c.want.GetState()), "%v then %v", c.first, c.then)
		g.Expect(got.Incarnation).To(Equal(c.want.GetIncarnation()), "%v then %v", c.first, c.then)
	}
}

// Guards against merging invalid member entries, which later code cannot use, and against adding a
// dropped member that this daemon never knew.
func TestMergeRefusesInvalidMembers(t *testing.T) {
	g := NewWithT(t)
	m, _, counters := newMembership()
	sendProbe(m, member("", 1, alive), member("a", 1, pb.MemberState_MEMBER_STATE_UNSPECIFIED),
		&pb.Member{Id: "b", PeerAddress: "nowhere", State: alive}, member("c", 1, dropped))
	g.Expect(m.View().Members).To(HaveLen(1))
	g.Expect(counters.Get("drop.member_malformed")).To(Equal(int64(3)))
	g.Expect(m.HandleDatagram("x", &pb.PeerDatagram{Body: &pb.PeerDatagram_Forward{}})).To(BeFalse())
}

// Guards against a daemon that does not refute a report that it was dropped, in particular when its
// clock is behind the reported incarnation.
func TestRefutation(t *testing.T) {
	g := NewWithT(t)
	m, _, _ := newMembership()
	ahead := uint64(time.Now().Add(24 * time.Hour).UnixNano())
	sendProbe(m, member("self", ahead, dropped))
	self, _ := m.View().Member("self")
	g.Expect(self.State).To(Equal(alive))
	g.Expect(self.Incarnation).To(Equal(ahead + 1))
	g.Expect(m.SelfIncarnation()).To(Equal(ahead + 1))
}

// Guards against an ack without the configuration generation, with too many changes, or without the
// state of a probing member that is suspected, which the member needs in order to refute.
func TestAck(t *testing.T) {
	g := NewWithT(t)
	m, r, _ := newMembership()
	for i := range 10 {
		sendProbe(m, member(fmt.Sprintf("m%d", i), 1, alive))
	}
	sendProbe(m, member("x", 5, suspect))
	r.takeSent()
	m.HandleDatagram("x", &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{Nonce: 7}}})
	sent := r.takeSent()
	g.Expect(sent).To(HaveLen(1))
	ack := sent[0].GetProbeAck()
	g.Expect(ack.GetNonce()).To(Equal(uint32(7)))
	g.Expect(ack.GetConfigGeneration()).To(Equal(uint64(42)))
	g.Expect(ack.GetChanges()).To(HaveLen(4))
	g.Expect(ack.GetChanges()[0].GetId()).To(Equal("x"))
	g.Expect(ack.GetChanges()[0].GetState()).To(Equal(suspect))
}

// Guards against a change that stays in the gossip queue forever, so that every probe and ack carries it.
func TestChangesAreSentABoundedNumberOfTimes(t *testing.T) {
	g := NewWithT(t)
	m, r, _ := newMembership()
	sendProbe(m, member("x", 5, alive), member("a", 5, alive))
	r.takeSent()
	sends := 0
	for range 100 {
		m.HandleDatagram("x", &pb.PeerDatagram{Body: &pb.PeerDatagram_Probe{Probe: &pb.Probe{}}})
		for _, c := range r.takeSent()[0].GetProbeAck().GetChanges() {
			if c.GetId() == "a" {
				sends++
			}
		}
	}
	g.Expect(sends).To(BeNumerically(">=", 3))
	g.Expect(sends).To(BeNumerically("<=", 9))
}

// Guards against subscribers that are not notified of the latest view, and against a view that is
// marked as settled before SettleTimeout although no seed responded.
func TestSettledAndSubscribe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, _, _ := newMembership()
		var epochs []uint64
		m.Subscribe(func(previous, current *membership.View) {
			g.Expect(current.Epoch).To(BeNumerically(">", previous.Epoch))
			epochs = append(epochs, current.Epoch)
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		sendProbe(m, member("a", 5, alive))
		time.Sleep(membership.SettleTimeout - time.Millisecond)
		g.Expect(m.Settled()).To(BeFalse())
		time.Sleep(100 * time.Millisecond)
		g.Expect(m.Settled()).To(BeTrue())
		synctest.Wait()
		g.Expect(epochs[len(epochs)-1]).To(Equal(m.View().Epoch))
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}

// Guards against a member that no daemon probes for several intervals, which would delay the detection
// of its failure: in each interval, the daemons of a group probe different members, and each daemon
// probes all others in a round.
func TestEachMemberIsProbedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const size = 7
		ids := []string{"a", "b", "c", "d", "e", "f", "g"}
		recorders := make([]*recordingSender, size)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i, id := range ids {
			recorders[i] = &recordingSender{}
			m := membership.New(membership.Options{
				Self:   membership.Member{ID: membership.DaemonID(id), PeerAddress: peerAddress, Incarnation: 1},
				Sender: recorders[i], Counters: telemetry.NewCounters(),
			})
			for _, other := range ids {
				if other != id {
					sendProbe(m, member(other, 1, alive))
				}
			}
			go func() { _ = m.Run(ctx) }()
		}
		probed := make([]map[string]bool, size)
		for i := range probed {
			probed[i] = map[string]bool{}
		}
		time.Sleep(membership.ProbeInterval / 2)
		for range size - 1 {
			targets := map[string]bool{}
			for i, r := range recorders {
				for _, d := range r.takeSent() {
					if d.GetProbe() != nil {
						targets[d.GetReceiver()], probed[i][d.GetReceiver()] = true, true
					}
				}
			}
			g.Expect(targets).To(HaveLen(size))
			time.Sleep(membership.ProbeInterval)
		}
		for i := range probed {
			g.Expect(probed[i]).To(HaveLen(size-1), ids[i])
		}
	})
}

// Guards against a daemon that receives a suspicion late, restarts the full time to refute and so drops
// a dead daemon later than the others, and against a daemon that leaves the suspect no time to refute.
func TestForwardedSuspicionKeepsDeadline(t *testing.T) {
	for _, c := range []struct {
		dropAfterMS uint32
		dropWithin  time.Duration
	}{
		{0, membership.DropTimeout},
		{900, 900 * time.Millisecond},
		{1, 500 * time.Millisecond},
		{60_000, membership.DropTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			m, r, _ := newMembership()
			suspicion := member("a", 5, suspect)
			suspicion.DropAfterMs = c.dropAfterMS
			sendProbe(m, member("a", 5, alive), member("x", 5, alive), suspicion)
			r.takeSent()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = m.Run(ctx) }()
			time.Sleep(c.dropWithin - 10*time.Millisecond)
			got, _ := m.View().Member("a")
			g.Expect(got.State).To(Equal(suspect), "%d ms", c.dropAfterMS)
			for _, d := range r.takeSent() {
				for _, change := range d.GetProbe().GetChanges() {
					if change.GetId() == "a" && d.GetReceiver() != "a" {
						g.Expect(change.GetDropAfterMs()).To(BeNumerically("<=", c.dropWithin.Milliseconds()))
						g.Expect(change.GetDropAfterMs()).To(BeNumerically(">", 0))
					}
				}
			}
			time.Sleep(70 * time.Millisecond)
			got, _ = m.View().Member("a")
			g.Expect(got.State).To(Equal(dropped), "%d ms", c.dropAfterMS)
		})
	}
}

// Guards against a daemon that serves resources which other daemons took over while its VM was suspended:
// the clock by which it measures a pause stands still meanwhile.
func TestSuspensionIsAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var suspended, pauses atomic.Int64
		suspended.Store(int64(time.Hour)) // The VM had been suspended before the daemon started.
		m := membership.New(membership.Options{
			Self:   membership.Member{ID: "self", PeerAddress: peerAddress, Incarnation: 100},
			Sender: &recordingSender{}, Counters: telemetry.NewCounters(),
			Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
			OnPause:   func() { pauses.Add(1) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = m.Run(ctx) }()
		time.Sleep(3 * time.Second)
		g.Expect(m.Paused()).To(BeFalse())

		suspended.Add(int64(membership.DropTimeout / 2))
		m.AccountSuspension()
		g.Expect(m.Paused()).To(BeFalse(), "shorter than the drop timeout")
		time.Sleep(time.Second)
		g.Expect(pauses.Load()).To(BeZero())

		suspended.Add(int64(membership.DropTimeout + time.Millisecond))
		m.AccountSuspension()
		g.Expect(m.Paused()).To(BeTrue(), "before any packet that waited is handled")
		time.Sleep(time.Second)
		g.Expect(pauses.Load()).To(BeEquivalentTo(1))
		g.Expect(m.SelfIncarnation()).To(BeNumerically(">", 100))
		g.Expect(m.Paused()).To(BeFalse())
	})
}
