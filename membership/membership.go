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
	options     Options
	view        atomic.Pointer[View]
	settled     atomic.Bool
	viewChanged chan struct{}
	// incarnation is a copy of self.Incarnation that is read for each datagram without the mutex.
	incarnation atomic.Uint64
	// lastTick is the last iteration of Run, nil before Run.
	lastTick atomic.Pointer[tick]
	// suspended is for how long the VM had been suspended when AccountSuspension was last called, in
	// nanoseconds.
	suspended atomic.Int64

	subscriberMu sync.Mutex
	subscribers  []func(previous, current *View)

	mu            sync.Mutex
	self          Member
	entries       map[DaemonID]*entry
	gossipQueue   gossipQueue
	pendingProbes map[uint32]*pendingProbe // by nonce
	relayed       map[uint32]relayedProbe  // by nonce
	lastNonce     uint32
	epoch         uint64
	join          joinState
	// hasUrgentChange is set when a change must reach other daemons before the next probes.
	hasUrgentChange        bool
	lastUrgentAnnouncement time.Time
}

// entry is the state of another daemon in the view of this daemon.
type entry struct {
	Member
	// stateChangedAt is when this daemon changed the state.
	stateChangedAt time.Time
	// dropAt is when a suspected member is dropped unless it refutes; zero when it is not suspected.
	dropAt time.Time
	// nextRetry and retryDelay schedule the probes to a dropped member.
	nextRetry  time.Time
	retryDelay time.Duration
}

// isUnreachable reports whether the member was dropped or has left.
func (e *entry) isUnreachable() bool { return !e.IsReachable() }

// New returns a Membership whose view contains only this daemon. Run starts the protocol.
func New(options Options) *Membership {
	options.setDefaults()
	m := &Membership{
		options:       options,
		viewChanged:   make(chan struct{}, 1),
		self:          options.Self,
		entries:       map[DaemonID]*entry{},
		pendingProbes: map[uint32]*pendingProbe{},
		relayed:       map[uint32]relayedProbe{},
	}
	m.gossipQueue.add(m.self, 1, time.Time{})
	m.publishView()
	return m
}

// View returns the current view, never nil.
func (m *Membership) View() *View { return m.view.Load() }

// Settled reports whether the view can be relied on: all queried seeds responded, or SettleTimeout
// passed, since the start or, if this daemon was paused, since the end of the pause.
func (m *Membership) Settled() bool { return m.settled.Load() }

// SelfIncarnation returns the current incarnation of this daemon.
func (m *Membership) SelfIncarnation() uint64 {
	return m.incarnation.Load()
}

// Subscribe registers f, which one goroutine of Run calls after changes of the view, in order. Several
// changes in quick succession may be reported by one call.
func (m *Membership) Subscribe(f func(previous, current *View)) {
	m.subscriberMu.Lock()
	defer m.subscriberMu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// Leave announces that this daemon accepts no new resources and is about to stop.
func (m *Membership) Leave() {
	m.mu.Lock()
	if m.self.State == pb.MemberState_MEMBER_STATE_LEAVING {
		m.mu.Unlock()
		return
	}
	m.self.State = pb.MemberState_MEMBER_STATE_LEAVING
	m.gossipQueue.add(m.self, m.groupSize(), time.Time{})
	m.publishView()
	peers := m.reachableMembers()
	m.mu.Unlock()
	m.options.Logger.Info().Str("event", "leaving").Send()
	m.announce(peers)
}

// Rejoin cancels a leave: the daemon starts a new incarnation and may own resources again. Rejoin does
// nothing unless Leave was called.
func (m *Membership) Rejoin() {
	m.mu.Lock()
	if m.self.State != pb.MemberState_MEMBER_STATE_LEAVING {
		m.mu.Unlock()
		return
	}
	m.self.State = pb.MemberState_MEMBER_STATE_ALIVE
	m.renewIncarnation(time.Now())
	m.publishView()
	peers := m.reachableMembers()
	m.mu.Unlock()
	m.options.Logger.Info().Str("event", "rejoining").Send()
	m.announce(peers)
}

// renewIncarnation gives this daemon a higher incarnation and queues it for gossip. The caller holds
// m.mu.
func (m *Membership) renewIncarnation(now time.Time) {
	m.self.Incarnation = max(m.self.Incarnation+1, uint64(now.UnixNano()))
	m.gossipQueue.add(m.self, m.groupSize(), time.Time{})
}

// announce probes the peers immediately, so that they receive changes without waiting for the regular
// probes.
func (m *Membership) announce(peers []Member) {
	for _, p := range peers {
		m.mu.Lock()
		d := m.probeDatagram(p.ID, m.nextNonce(), true)
		m.mu.Unlock()
		m.send(p, d)
	}
}

// announceUrgentChange sends an urgent change to some peers immediately. If a suspicion were sent only
// with the regular probes, it would reach the last daemon several probe intervals after the first, and
// that daemon would drop the member later by the same time.
func (m *Membership) announceUrgentChange(now time.Time) {
	m.mu.Lock()
	if !m.hasUrgentChange || now.Sub(m.lastUrgentAnnouncement) < minUrgentInterval {
		m.mu.Unlock()
		return
	}
	m.hasUrgentChange, m.lastUrgentAnnouncement = false, now
	peers := m.pickRandomReachable(m.self.ID, urgentFanout)
	m.mu.Unlock()
	m.announce(peers)
}

// HandleGetView merges the requesting daemon into the view and returns all members, including those
// that were dropped or have left.
func (m *Membership) HandleGetView(request *pb.GetViewRequest) *pb.GetViewResponse {
	if p := request.GetSelf(); p != nil {
		m.mergeChanges([]*pb.Member{p})
	}
	response := &pb.GetViewResponse{}
	for _, member := range m.View().Members {
		response.Members = append(response.Members, member.Proto())
	}
	return response
}

// groupSize returns the number of reachable members, including this daemon. The caller holds m.mu.
func (m *Membership) groupSize() int {
	n := 1
	for _, e := range m.entries {
		if !e.isUnreachable() {
			n++
		}
	}
	return n
}

// reachableMembers returns the reachable members without this daemon, sorted by ID. The caller holds
// m.mu.
func (m *Membership) reachableMembers() []Member {
	var members []Member
	for _, e := range m.entries {
		if !e.isUnreachable() {
			members = append(members, e.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// publishView replaces the view after a change and wakes the notifier. The caller holds m.mu.
func (m *Membership) publishView() {
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
	case m.viewChanged <- struct{}{}:
	default:
	}
}

// notifySubscribers calls the subscribers if the view differs from previous, and returns the current
// view.
func (m *Membership) notifySubscribers(previous *View) *View {
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
