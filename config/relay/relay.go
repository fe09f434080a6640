// Package relay distributes the configuration to the daemons and holds the configuration in force on each
// daemon. Two daemons of each zone, the watchers, watch the platform's store and push new generations to
// the daemons of their zone. Every other daemon receives a new generation by a push, or sees its number
// in a probe and pulls it from that peer; a daemon that is still behind polls the store. The package
// owns the current snapshot and calls the platform and the peers.
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

// Options are the identity and the dependencies of a relay.
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

	mu             sync.Mutex
	inForceSince   time.Time
	subscribers    []func(previous, current *config.Snapshot)
	pendingChanges []change
	// transitions are the latest changes of the generation in force on this daemon, oldest first. Each
	// starts at the generation at which the one before it ended.
	transitions []transition
	// advertised has, by peer, the generations above the one in force that peers have advertised and
	// that have not been pulled yet. newestAdvertised is the highest that any peer has advertised.
	advertised       map[membership.DaemonID]uint64
	newestAdvertised uint64
	watching         bool
	lastStoreCall    lastStoreCall

	changeSignal *signal
	pullSignal   *signal
	pushSignal   *signal
}

var _ config.Provider = (*Relay)(nil)

// change is a change of the configuration in force that subscribers have not been notified of.
type change struct{ previous, current *config.Snapshot }

// lastStoreCall is the time and the result of the last call to the store.
type lastStoreCall struct {
	at        time.Time
	reachable bool
}

// New returns a relay at generation 0. It makes no calls before Run.
func New(o Options) *Relay {
	r := &Relay{
		options: o, loader: commit.NewLoader(o.Store), inForceSince: time.Now(),
		advertised:   map[membership.DaemonID]uint64{},
		changeSignal: newSignal(), pullSignal: newSignal(), pushSignal: newSignal(),
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

// GenerationAge returns how long the current generation has been in force on this daemon.
func (r *Relay) GenerationAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.inForceSince)
}

// PlatformReachable reports whether the last call to the store was served. Daemons that are not
// watchers call the store rarely; LastPlatformCall returns the time of that call.
func (r *Relay) PlatformReachable() bool {
	_, reachable := r.LastPlatformCall()
	return reachable
}

// LastPlatformCall returns the time of the last call to the store, the zero time before the first
// call, and whether the call was served.
func (r *Relay) LastPlatformCall() (at time.Time, reachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastStoreCall.at, r.lastStoreCall.reachable
}

// IsWatcher reports whether this daemon watches the store for its zone.
func (r *Relay) IsWatcher() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching
}

// Run keeps the configuration up to date until the context ends, and returns the context's error.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.notifySubscribers(ctx) })
	group.Go(func() error { return r.runWatcherRole(ctx) })
	group.Go(func() error { return r.pullLoop(ctx) })
	group.Go(func() error { return r.pushLoop(ctx) })
	group.Go(func() error { return r.pollLoop(ctx) })
	return group.Wait()
}

// install puts a configuration in force if it is newer, and reports whether it did. Only install changes
// the generation, so the generation never decreases.
func (r *Relay) install(c *pb.Configuration, source string) bool {
	if c.GetGeneration() <= r.Current().Generation() {
		return false
	}
	// Indexing a large configuration takes long, so it is done without the lock, which probes need.
	current := config.NewSnapshot(c)
	previous := r.Current()
	latest := newTransition(previous, current)
	r.mu.Lock()
	for previous != r.current.Load() {
		// Another goroutine has put a generation in force in the meantime.
		previous = r.current.Load()
		latest = newTransition(previous, current)
	}
	if c.GetGeneration() <= previous.Generation() {
		r.mu.Unlock()
		return false
	}
	r.current.Store(current)
	r.transitions = append(r.transitions, latest)
	r.transitions = r.transitions[max(0, len(r.transitions)-maxTransitions):]
	r.inForceSince = time.Now()
	r.pendingChanges = append(r.pendingChanges, change{previous, current})
	for id, generation := range r.advertised {
		if generation <= c.GetGeneration() {
			delete(r.advertised, id)
		}
	}
	r.mu.Unlock()
	r.changeSignal.notify()
	r.options.Counters.Count("config.installed_from_" + source)
	r.options.Logger.Info().Str("event", "configuration_in_force").Uint64("generation", c.GetGeneration()).
		Str("change", c.GetChangeId()).Str("source", source).Send()
	return true
}

// notifySubscribers calls the subscribers for each change, in order, until the context ends.
func (r *Relay) notifySubscribers(ctx context.Context) error {
	for {
		if err := r.changeSignal.wait(ctx); err != nil {
			return err
		}
		for {
			r.mu.Lock()
			if len(r.pendingChanges) == 0 {
				r.mu.Unlock()
				break
			}
			next := r.pendingChanges[0]
			r.pendingChanges = r.pendingChanges[1:]
			subscribers := r.subscribers
			r.mu.Unlock()
			for _, f := range subscribers {
				f(next.previous, next.current)
			}
		}
	}
}

// recordStoreCall records whether a call to the store was served and logs when that changes. A response
// that the object is corrupt or missing, or that the rate is limited, counts as served.
func (r *Relay) recordStoreCall(err error) {
	served := err == nil || errors.Is(err, commit.ErrCorrupt) || errors.Is(err, store.ErrNotFound) ||
		errors.Is(err, store.ErrRateLimited)
	r.mu.Lock()
	before := r.lastStoreCall
	r.lastStoreCall = lastStoreCall{at: time.Now(), reachable: served}
	r.mu.Unlock()
	switch {
	case served && !before.reachable:
		r.options.Logger.Info().Str("event", "platform_reachable").Send()
	case !served && (before.reachable || before.at.IsZero()):
		r.options.Logger.Warn().Str("event", "platform_unreachable").Err(err).Send()
	}
}

// signal wakes one waiting goroutine. Notifications while no goroutine waits are merged into one.
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
