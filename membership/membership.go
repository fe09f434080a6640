package membership

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Membership probes the other daemons and publishes the View. Its methods may be called
// concurrently.
type Membership struct {
	options Options
	view    atomic.Pointer[View]
	settled atomic.Bool
	changed chan struct{}
	// incarnation is the one of self, readable for each datagram without the mutex.
	incarnation atomic.Uint64
	// tickedAt is when the timer of Run last went on, nil before Run.
	tickedAt atomic.Pointer[time.Time]

	subscriberMu sync.Mutex
	subscribers  []func(previous, current *View)

	mu      sync.Mutex
	self    Member
	entries map[DaemonID]*entry
	gossip  gossip
	probes  map[uint32]*probe
	relayed map[uint32]relay
	nonce   uint32
	epoch   uint64
	join    joinState
	// urgent is set when a change must reach others before the next probes.
	urgent     bool
	lastUrgent time.Time
}

// entry is what this daemon knows of another one.
type entry struct {
	Member
	// changedAt is when the state changed here.
	changedAt time.Time
	// dropAt is when a member without refutation is dropped; zero when it is not suspected.
	dropAt time.Time
	// retryAt and retryDelay pace the contacts to a member that is gone.
	retryAt    time.Time
	retryDelay time.Duration
}

// isGone reports whether the member was dropped or has left.
func (e *entry) isGone() bool { return !e.IsReachable() }

// New returns a Membership whose view holds this daemon only. Run makes it work.
func New(options Options) *Membership {
	options.setDefaults()
	m := &Membership{
		options: options,
		changed: make(chan struct{}, 1),
		self:    options.Self,
		entries: map[DaemonID]*entry{},
		probes:  map[uint32]*probe{},
		relayed: map[uint32]relay{},
	}
	m.gossip.add(m.self, 1, time.Time{})
	m.publish()
	return m
}

// View returns the current view, never nil.
func (m *Membership) View() *View { return m.view.Load() }

// Settled reports whether the first view can be relied on: a seed answered, or none did for
// SettleTimeout.
func (m *Membership) Settled() bool { return m.settled.Load() }

// SelfIncarnation returns the current incarnation of this daemon.
func (m *Membership) SelfIncarnation() uint64 {
	return m.incarnation.Load()
}

// Subscribe calls f after changes of the view, in order, from one goroutine of Run. Changes
// that come quickly may be reported as one.
func (m *Membership) Subscribe(f func(previous, current *View)) {
	m.subscriberMu.Lock()
	defer m.subscriberMu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// Leave announces that this daemon takes on nothing new and will stop.
func (m *Membership) Leave() {
	m.mu.Lock()
	if m.self.State == pb.MemberState_MEMBER_STATE_LEAVING {
		m.mu.Unlock()
		return
	}
	m.self.State = pb.MemberState_MEMBER_STATE_LEAVING
	m.gossip.add(m.self, m.size(), time.Time{})
	m.publish()
	peers := m.reachable()
	m.mu.Unlock()
	m.options.Logger.Info().Str("event", "leaving").Send()
	m.announce(peers)
}

// Rejoin ends a leave: the daemon takes a new incarnation and may own resources again. It does
// nothing when Leave was not called.
func (m *Membership) Rejoin() {
	m.mu.Lock()
	if m.self.State != pb.MemberState_MEMBER_STATE_LEAVING {
		m.mu.Unlock()
		return
	}
	m.self.State = pb.MemberState_MEMBER_STATE_ALIVE
	m.renew(time.Now())
	m.publish()
	peers := m.reachable()
	m.mu.Unlock()
	m.options.Logger.Info().Str("event", "rejoining").Send()
	m.announce(peers)
}

// renew takes a new incarnation and passes it on. m.mu is held.
func (m *Membership) renew(now time.Time) {
	m.self.Incarnation = max(m.self.Incarnation+1, uint64(now.UnixNano()))
	m.gossip.add(m.self, m.size(), time.Time{})
}

// announce probes the peers at once, so that changes are known within one round trip.
func (m *Membership) announce(peers []Member) {
	for _, p := range peers {
		m.mu.Lock()
		d := m.probeDatagram(p.ID, m.nextNonce(), true)
		m.mu.Unlock()
		m.send(p, d)
	}
}

// announceUrgent passes an urgent change on to some peers. Without it, a suspicion reaches
// the last daemon several probe intervals after the first, and its drop is as much later.
func (m *Membership) announceUrgent(now time.Time) {
	m.mu.Lock()
	if !m.urgent || now.Sub(m.lastUrgent) < urgentPause {
		m.mu.Unlock()
		return
	}
	m.urgent, m.lastUrgent = false, now
	peers := m.pickOthers(m.self.ID, urgentPeers)
	m.mu.Unlock()
	m.announce(peers)
}

// HandleGetView merges the caller into the view and returns all members, also those that are gone.
func (m *Membership) HandleGetView(request *pb.GetViewRequest) *pb.GetViewResponse {
	if p := request.GetSelf(); p != nil {
		m.merge([]*pb.Member{p})
	}
	response := &pb.GetViewResponse{}
	for _, member := range m.View().Members {
		response.Members = append(response.Members, member.Proto())
	}
	return response
}

// size returns the number of members that are not gone, self included. m.mu is held.
func (m *Membership) size() int {
	n := 1
	for _, e := range m.entries {
		if !e.isGone() {
			n++
		}
	}
	return n
}

// reachable returns the members that are not gone, without self. m.mu is held.
func (m *Membership) reachable() []Member {
	var members []Member
	for _, e := range m.entries {
		if !e.isGone() {
			members = append(members, e.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// publish replaces the view after a change. m.mu is held.
func (m *Membership) publish() {
	m.epoch++
	m.incarnation.Store(m.self.Incarnation)
	v := &View{Epoch: m.epoch, Members: make([]Member, 0, len(m.entries)+1)}
	v.Members = append(v.Members, m.self)
	for _, e := range m.entries {
		v.Members = append(v.Members, e.Member)
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].ID < v.Members[j].ID })
	m.view.Store(v)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// notify reports the current view to the subscribers and returns it.
func (m *Membership) notify(previous *View) *View {
	current := m.View()
	if current == previous {
		return previous
	}
	m.subscriberMu.Lock()
	subscribers := m.subscribers
	m.subscriberMu.Unlock()
	for _, f := range subscribers {
		f(previous, current)
	}
	return current
}
