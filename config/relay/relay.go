// Package relay keeps the configuration in force on a daemon. Two daemons of each zone watch
// the platform's store and push what is new; every other daemon learns of a newer generation
// from pushes and probes, and pulls it from a peer. The package owns the current snapshot and
// calls the platform and the peers.
package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Options are the parts that a relay works with.
type Options struct {
	Self     membership.DaemonID
	Zone     string
	Store    store.Store
	Viewer   membership.Viewer
	Clients  peer.Clients
	Counters *telemetry.Counters
	Logger   zerolog.Logger
}

// Relay holds the configuration in force. It implements config.Provider. All methods may be
// called concurrently.
type Relay struct {
	options Options
	loader  *commit.Loader
	current atomic.Pointer[config.Snapshot]

	mu          sync.Mutex
	since       time.Time
	subscribers []func(previous, current *config.Snapshot)
	changes     []change
	// steps are the latest changes of generation here, oldest first. Each begins at the
	// generation that the one before it ends at.
	steps []step
	// newer holds the generations above the one in force that peers have told of and that
	// were not pulled yet; newest is the highest that any peer ever told of.
	newer    map[membership.DaemonID]uint64
	newest   uint64
	watching bool
	contact  contact

	changed *signal
	pull    *signal
	push    *signal
}

var _ config.Provider = (*Relay)(nil)

type change struct{ previous, current *config.Snapshot }

// contact is the last call to the store.
type contact struct {
	at        time.Time
	reachable bool
}

// New returns a relay at generation 0. It does nothing before Run.
func New(o Options) *Relay {
	r := &Relay{
		options: o, loader: commit.NewLoader(o.Store), since: time.Now(),
		newer:   map[membership.DaemonID]uint64{},
		changed: newSignal(), pull: newSignal(), push: newSignal(),
	}
	r.current.Store(config.NewSnapshot(&pb.Configuration{}))
	return r
}

// Current implements config.Provider.
func (r *Relay) Current() *config.Snapshot { return r.current.Load() }

// Subscribe implements config.Provider. f is called from a goroutine of Run.
func (r *Relay) Subscribe(f func(previous, current *config.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Age returns the time since the generation in force came into force here.
func (r *Relay) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.since)
}

// PlatformReachable reports whether the last call to the store was served. Daemons that do not
// watch the store call it seldom; PlatformContact tells when.
func (r *Relay) PlatformReachable() bool {
	_, reachable := r.PlatformContact()
	return reachable
}

// PlatformContact returns the time of the last call to the store, zero before the first, and
// whether it was served.
func (r *Relay) PlatformContact() (at time.Time, reachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contact.at, r.contact.reachable
}

// IsWatcher reports whether this daemon watches the store for its zone.
func (r *Relay) IsWatcher() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching
}

// Run keeps the configuration up to date until the context ends, whose error it returns.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.dispatch(ctx) })
	group.Go(func() error { return r.keepRole(ctx) })
	group.Go(func() error { return r.keepPulling(ctx) })
	group.Go(func() error { return r.keepPushing(ctx) })
	group.Go(func() error { return r.keepPolling(ctx) })
	return group.Wait()
}

// install puts a configuration in force if it is newer. This is the only place that changes
// the generation, so it never reverts.
func (r *Relay) install(c *pb.Configuration, source string) bool {
	if c.GetGeneration() <= r.Current().Generation() {
		return false
	}
	// Indexing a large configuration takes long, and probes must not wait for it.
	current := config.NewSnapshot(c)
	previous := r.Current()
	taken := newStep(previous, current)
	r.mu.Lock()
	for previous != r.current.Load() {
		// Another source was faster with a generation in between.
		previous = r.current.Load()
		taken = newStep(previous, current)
	}
	if c.GetGeneration() <= previous.Generation() {
		r.mu.Unlock()
		return false
	}
	r.current.Store(current)
	r.steps = append(r.steps, taken)
	r.steps = r.steps[max(0, len(r.steps)-maxSteps):]
	r.since = time.Now()
	r.changes = append(r.changes, change{previous, current})
	for id, generation := range r.newer {
		if generation <= c.GetGeneration() {
			delete(r.newer, id)
		}
	}
	r.mu.Unlock()
	r.changed.notify()
	r.options.Counters.Count("config.installed_from_" + source)
	r.options.Logger.Info().Str("event", "configuration_in_force").Uint64("generation", c.GetGeneration()).
		Str("change", c.GetChangeId()).Str("source", source).Send()
	return true
}

// dispatch tells the subscribers of each change, in order.
func (r *Relay) dispatch(ctx context.Context) error {
	for {
		if err := r.changed.wait(ctx); err != nil {
			return err
		}
		for {
			r.mu.Lock()
			if len(r.changes) == 0 {
				r.mu.Unlock()
				break
			}
			next := r.changes[0]
			r.changes = r.changes[1:]
			subscribers := r.subscribers
			r.mu.Unlock()
			for _, f := range subscribers {
				f(next.previous, next.current)
			}
		}
	}
}

// called notes the result of a call to the store.
func (r *Relay) called(err error) {
	served := err == nil || errors.Is(err, commit.ErrCorrupt) || errors.Is(err, store.ErrNotFound) ||
		errors.Is(err, store.ErrRateLimited)
	r.mu.Lock()
	before := r.contact
	r.contact = contact{at: time.Now(), reachable: served}
	r.mu.Unlock()
	switch {
	case served && !before.reachable:
		r.options.Logger.Info().Str("event", "platform_reachable").Send()
	case !served && (before.reachable || before.at.IsZero()):
		r.options.Logger.Warn().Str("event", "platform_unreachable").Err(err).Send()
	}
}

// signal wakes one waiting goroutine; notifications while none waits are kept as one.
type signal struct{ c chan struct{} }

func newSignal() *signal { return &signal{c: make(chan struct{}, 1)} }

func (s *signal) notify() {
	select {
	case s.c <- struct{}{}:
	default:
	}
}

func (s *signal) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.c:
		return nil
	}
}
