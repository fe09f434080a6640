package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// Ownership manages the state of each resource on this daemon. It implements Router. Its methods
// are safe for concurrent use.
type Ownership struct {
	options Options
	// resources is replaced when the configuration changes. Each resourceState publishes its own
	// route.
	resources atomic.Pointer[map[Resource]*resourceState]
	wakeup    chan struct{}
	leaving   atomic.Bool
	// pauses counts the pauses of this daemon. The response to a call that was started before a
	// pause is not trusted, since other daemons may have recovered the resources in the meantime.
	pauses atomic.Uint64

	// mu guards changes of resources and callsInProgress. It is locked before the mutex of a
	// resourceState.
	mu              sync.Mutex
	callsInProgress map[membership.DaemonID]bool
}

// New returns an Ownership that holds no resources. Run claims them.
func New(options Options) *Ownership {
	options.setDefaults()
	o := &Ownership{options: options, wakeup: make(chan struct{}, 1), callsInProgress: map[membership.DaemonID]bool{}}
	o.resources.Store(&map[Resource]*resourceState{})
	o.OnConfigurationChange()
	return o
}

// Route returns the daemon to which packets for r are sent now. It does not allocate.
func (o *Ownership) Route(r Resource) (to membership.DaemonID, active, ok bool) {
	s := (*o.resources.Load())[r]
	if s == nil {
		return "", false, false
	}
	current := s.route.Load()
	return current.to, current.active, current.to != ""
}

// Successor returns the daemon that would hold r if this daemon failed.
func (o *Ownership) Successor(r Resource) (membership.DaemonID, bool) {
	s := (*o.resources.Load())[r]
	if s == nil {
		return "", false
	}
	current := s.route.Load()
	return current.successor, current.successor != ""
}

// PreviousHolders returns other daemons that may have records of r, the likeliest first. The
// caller must not modify the slice.
func (o *Ownership) PreviousHolders(r Resource) []membership.DaemonID {
	s := (*o.resources.Load())[r]
	if s == nil {
		return nil
	}
	return s.route.Load().previousHolders
}

// NumHeld returns the number of resources that this daemon serves.
func (o *Ownership) NumHeld() int { return o.countInState(stateActive) }

// NumClaiming returns the number of resources that this daemon is claiming.
func (o *Ownership) NumClaiming() int { return o.countInState(stateClaiming) }

func (o *Ownership) countInState(state state) int {
	n := 0
	for _, s := range *o.resources.Load() {
		s.mu.Lock()
		if s.state == state {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// OnViewChange recomputes the desired holders from the Viewer's current view.
func (o *Ownership) OnViewChange(_, _ *membership.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyCurrentView()
}

// OnConfigurationChange applies the resources and zones of the configuration in force. A resource
// that is no longer configured is released and its records are discarded.
func (o *Ownership) OnConfigurationChange() {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := *o.resources.Load()
	resources := make(map[Resource]*resourceState, len(old))
	for _, r := range o.options.Resources() {
		if s := old[r]; s != nil {
			resources[r] = s
		} else if handler := o.options.Handlers[r.Kind]; handler != nil {
			resources[r] = newResourceState(r, handler)
		}
	}
	for r, s := range resources {
		s.mu.Lock()
		s.zone = o.options.Zone(r)
		s.mu.Unlock()
	}
	o.resources.Store(&resources)
	for r, s := range old {
		if resources[r] == nil {
			s.remove()
		}
	}
	o.applyCurrentView()
}

// applyCurrentView applies the current view to each resource. The caller holds o.mu.
func (o *Ownership) applyCurrentView() {
	view := o.options.Viewer.View()
	list := newCandidates(view)
	now := time.Now()
	for _, s := range *o.resources.Load() {
		s.mu.Lock()
		s.applyView(o, view, list, now)
		s.mu.Unlock()
	}
	o.wake()
}

// OnPause releases all resources and discards their records: other daemons have recovered the
// resources while this daemon was paused, so its records are stale.
func (o *Ownership) OnPause() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pauses.Add(1)
	for _, s := range *o.resources.Load() {
		s.mu.Lock()
		s.discard(o)
		s.mu.Unlock()
	}
	o.wake()
}

// Run claims and offers resources until ctx ends, then returns nil.
func (o *Ownership) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wakeup:
		case <-timer.C:
		}
		timer.Reset(o.startDueCalls(ctx, &tasks))
	}
}

const (
	// maxWait limits how long Run waits when no call is scheduled.
	maxWait = 5 * time.Second
	// settlePollInterval is the interval of the checks for a settled view and for the progress
	// of a leave.
	settlePollInterval = 50 * time.Millisecond
)

// startDueCalls starts the calls that are due and returns the time until the next check.
func (o *Ownership) startDueCalls(ctx context.Context, tasks *sync.WaitGroup) time.Duration {
	if !o.options.Settled() {
		return settlePollInterval
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	p := &callPlan{now: now, nextAt: now.Add(maxWait), claims: map[membership.DaemonID][]*resourceState{}, offers: map[membership.DaemonID][]*resourceState{}}
	view := o.options.Viewer.View()
	for _, s := range *o.resources.Load() {
		s.mu.Lock()
		s.schedule(o, view, p)
		s.mu.Unlock()
	}
	for to, states := range p.claims {
		o.startCall(to, tasks, func() { o.claimFrom(ctx, to, states) })
	}
	for to, states := range p.offers {
		o.startCall(to, tasks, func() { o.offerTo(ctx, to, states) })
	}
	return max(time.Until(p.nextAt), time.Millisecond)
}

// callPlan collects the resources of the calls that are due, by daemon, and the time at which
// the next check is due.
type callPlan struct {
	now, nextAt    time.Time
	claims, offers map[membership.DaemonID][]*resourceState
}

// wakeAt schedules the next check for t at the latest.
func (p *callPlan) wakeAt(t time.Time) {
	if t.Before(p.nextAt) {
		p.nextAt = t
	}
}

// startCall runs f in a goroutine unless a call to the daemon is in progress. The end of f wakes
// Run. The caller holds o.mu.
func (o *Ownership) startCall(to membership.DaemonID, tasks *sync.WaitGroup, f func()) {
	if o.callsInProgress[to] {
		return
	}
	o.callsInProgress[to] = true
	tasks.Go(func() {
		f()
		o.mu.Lock()
		delete(o.callsInProgress, to)
		o.mu.Unlock()
		o.wake()
	})
}

func (o *Ownership) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

func (o *Ownership) selfMember() (membership.Member, bool) {
	return o.options.Viewer.View().Member(o.options.Self)
}

// Leave waits until other daemons have claimed all resources, for at most LeaveTimeout. The
// daemon must have announced its leave to the members before. Leave returns ErrResourcesHeld if
// resources remain or if no other daemon can own them.
func (o *Ownership) Leave(ctx context.Context) error {
	o.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, LeaveTimeout)
	defer cancel()
	o.OnViewChange(nil, nil)
	ticker := time.NewTicker(settlePollInterval)
	defer ticker.Stop()
	for {
		if o.NumHeld() == 0 && !o.hasCallInProgress() {
			return nil
		}
		if !o.hasOtherOwner() {
			return ErrResourcesHeld
		}
		select {
		case <-ctx.Done():
			return ErrResourcesHeld
		case <-ticker.C:
		}
	}
}

// Rejoin ends a leave: this daemon claims the resources again of which it is the desired holder.
// The daemon must have announced itself to the members before, and no Leave may be in progress.
func (o *Ownership) Rejoin() {
	o.leaving.Store(false)
	o.OnViewChange(nil, nil)
}

// hasOtherOwner reports whether another daemon can own resources.
func (o *Ownership) hasOtherOwner() bool {
	for _, m := range o.options.Viewer.View().Members {
		if m.ID != o.options.Self && m.CanOwn() {
			return true
		}
	}
	return false
}

// hasCallInProgress reports whether a claim or an offer is in progress. The response to a claim
// and the failure of an offer can activate a resource.
func (o *Ownership) hasCallInProgress() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.callsInProgress) > 0
}

func (o *Ownership) logActivation(r Resource, p Provenance) {
	o.options.Counters.Count("ownership.activated_" + p.String())
	o.options.Logger.Debug().Str("event", "resource_activated").Str("kind", r.Kind.String()).
		Uint32("service", r.Service).Uint32("index", r.Index).Stringer("provenance", p).Send()
}

var _ Router = (*Ownership)(nil)

// setResource writes the resource into records and returns records, or new records if records is nil.
func setResource(r Resource, records *pb.ResourceRecords) *pb.ResourceRecords {
	if records == nil {
		records = &pb.ResourceRecords{}
	}
	records.Resource = r.Proto()
	return records
}
