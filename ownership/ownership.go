package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
)

// Ownership holds the state of each resource on this daemon. It implements Router. Its
// methods may be called concurrently.
type Ownership struct {
	options Options
	// table is replaced when the configuration changes; slots publish their routes alone.
	table   atomic.Pointer[map[Resource]*slot]
	wakeup  chan struct{}
	leaving atomic.Bool
	// pauses counts the pauses of this daemon. An answer to a call from before a pause is not trusted.
	pauses atomic.Uint64

	// mu guards changes of table and calling; it is taken before the mutex of a slot.
	mu      sync.Mutex
	calling map[membership.DaemonID]bool
}

// New returns an Ownership that holds nothing. Run makes it claim.
func New(options Options) *Ownership {
	options.setDefaults()
	o := &Ownership{options: options, wakeup: make(chan struct{}, 1), calling: map[membership.DaemonID]bool{}}
	o.table.Store(&map[Resource]*slot{})
	o.OnConfigurationChange()
	return o
}

// Route returns the daemon that packets for r go to now. It does not allocate.
func (o *Ownership) Route(r Resource) (to membership.DaemonID, active, ok bool) {
	s := (*o.table.Load())[r]
	if s == nil {
		return "", false, false
	}
	t := s.route.Load()
	return t.to, t.active, t.to != ""
}

// Successor returns the daemon that would hold r if this one were lost.
func (o *Ownership) Successor(r Resource) (membership.DaemonID, bool) {
	s := (*o.table.Load())[r]
	if s == nil {
		return "", false
	}
	t := s.route.Load()
	return t.successor, t.successor != ""
}

// PreviousHolders returns other daemons that may know records of r, the likeliest first. The
// caller must not change the slice.
func (o *Ownership) PreviousHolders(r Resource) []membership.DaemonID {
	s := (*o.table.Load())[r]
	if s == nil {
		return nil
	}
	return s.route.Load().previous
}

// Held returns the number of resources that this daemon serves.
func (o *Ownership) Held() int { return o.count(stateActive) }

// Claiming returns the number of resources that this daemon is about to serve.
func (o *Ownership) Claiming() int { return o.count(stateClaiming) }

func (o *Ownership) count(state state) int {
	n := 0
	for _, s := range *o.table.Load() {
		s.mu.Lock()
		if s.state == state {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// OnViewChange computes the desired holders for the current view of the Viewer.
func (o *Ownership) OnViewChange(_, _ *membership.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reassess()
}

// OnConfigurationChange takes over the resources and zones of the configuration in force. A
// resource that is gone is released and its records are discarded.
func (o *Ownership) OnConfigurationChange() {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := *o.table.Load()
	table := make(map[Resource]*slot, len(old))
	for _, r := range o.options.Resources() {
		if s := old[r]; s != nil {
			table[r] = s
		} else if keeper := o.options.Keepers[r.Kind]; keeper != nil {
			table[r] = newSlot(r, keeper)
		}
	}
	for r, s := range table {
		s.mu.Lock()
		s.zone = o.options.Zone(r)
		s.mu.Unlock()
	}
	o.table.Store(&table)
	for r, s := range old {
		if table[r] == nil {
			s.remove()
		}
	}
	o.reassess()
}

// reassess applies the current view to each slot. o.mu is held.
func (o *Ownership) reassess() {
	view := o.options.Viewer.View()
	list := candidates(view)
	now := time.Now()
	for _, s := range *o.table.Load() {
		s.mu.Lock()
		s.applyView(o, view, list, now)
		s.mu.Unlock()
	}
	o.wake()
}

// OnPause gives up everything: others took the resources over while this daemon was paused,
// so its records are out of date.
func (o *Ownership) OnPause() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pauses.Add(1)
	for _, s := range *o.table.Load() {
		s.mu.Lock()
		s.forget(o)
		s.mu.Unlock()
	}
	o.wake()
}

// Run claims and offers until ctx ends, then returns nil.
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
		timer.Reset(o.step(ctx, &tasks))
	}
}

const (
	idleWait    = 5 * time.Second
	settleCheck = 50 * time.Millisecond
)

// step starts the calls that are due and returns the time until the next one.
func (o *Ownership) step(ctx context.Context, tasks *sync.WaitGroup) time.Duration {
	if !o.options.Settled() {
		return settleCheck
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	p := &plan{now: now, next: now.Add(idleWait), claims: map[membership.DaemonID][]*slot{}, offers: map[membership.DaemonID][]*slot{}}
	view := o.options.Viewer.View()
	for _, s := range *o.table.Load() {
		s.mu.Lock()
		s.schedule(o, view, p)
		s.mu.Unlock()
	}
	for to, slots := range p.claims {
		o.startCall(to, tasks, func() { o.claimFrom(ctx, to, slots) })
	}
	for to, slots := range p.offers {
		o.startCall(to, tasks, func() { o.offerTo(ctx, to, slots) })
	}
	return max(time.Until(p.next), time.Millisecond)
}

// plan gathers what is due, by daemon, and when the next thing is due.
type plan struct {
	now, next      time.Time
	claims, offers map[membership.DaemonID][]*slot
}

func (p *plan) wakeAt(t time.Time) {
	if t.Before(p.next) {
		p.next = t
	}
}

// startCall runs f as a task unless a call to the daemon is in progress; its end wakes the
// loop. o.mu is held.
func (o *Ownership) startCall(to membership.DaemonID, tasks *sync.WaitGroup, f func()) {
	if o.calling[to] {
		return
	}
	o.calling[to] = true
	tasks.Go(func() {
		f()
		o.mu.Lock()
		delete(o.calling, to)
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

// Leave waits until other daemons have claimed everything, for at most LeaveTimeout. The
// daemon must have announced its leave to the members before. It returns ErrNotClaimed when
// resources remain or when no other daemon can own them.
func (o *Ownership) Leave(ctx context.Context) error {
	o.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, LeaveTimeout)
	defer cancel()
	o.OnViewChange(nil, nil)
	ticker := time.NewTicker(settleCheck)
	defer ticker.Stop()
	for {
		if o.Held() == 0 && !o.isCalling() {
			return nil
		}
		if !o.hasOtherOwner() {
			return ErrNotClaimed
		}
		select {
		case <-ctx.Done():
			return ErrNotClaimed
		case <-ticker.C:
		}
	}
}

// Rejoin ends a leave: this daemon claims what it should hold again. It must have announced
// itself to the members before, and no Leave may be in progress.
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

// isCalling reports whether a claim or an offer is in progress, whose answer may bring back
// records.
func (o *Ownership) isCalling() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.calling) > 0
}

func (o *Ownership) logActivation(r Resource, p Provenance) {
	o.options.Counters.Count("ownership.activated_" + p.String())
	o.options.Logger.Debug().Str("event", "resource_activated").Str("kind", r.Kind.String()).
		Uint32("service", r.Service).Uint32("index", r.Index).Stringer("provenance", p).Send()
}

var _ Router = (*Ownership)(nil)

// recordsFor names the resource in its records, which may be nil.
func recordsFor(r Resource, records *pb.ResourceRecords) *pb.ResourceRecords {
	if records == nil {
		records = &pb.ResourceRecords{}
	}
	records.Resource = r.Proto()
	return records
}
