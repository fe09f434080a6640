// Package discovery synchronises the catalog with the records of the store, directly or through
// other daemons, and reports how fresh the cached records are. It owns the cache of the store's
// records and the times at which the records were validated.
package discovery

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	// watchWait is the length of a long poll, below the maximum of 30 s that the store accepts.
	// Watches only deliver changes early; complete lists validate the records.
	watchWait = 25 * time.Second
	// minBatchDelayShare is the shortest delay after a watch has delivered changes, as a share of
	// the time in which a change must be in force. The longest delay is twice as long. During the
	// delay further changes accumulate, so that one call returns them together. The shortest delay
	// is twice as long with batchDelayDaemons other daemons, and at most maxBatchDelayShare.
	minBatchDelayShare = 0.12
	batchDelayDaemons  = 32
	maxBatchDelayShare = 0.3
	// daemonDiscoveryTimeout bounds how long a starting daemon waits for the first datagram of
	// another daemon: several times the latency between zones. initialRecordsTimeout bounds its
	// wait for that daemon's records.
	daemonDiscoveryTimeout = 5 * time.Millisecond
	initialRecordsTimeout  = 40 * time.Millisecond
	// assumedFleetSize is the number of other daemons that a daemon assumes for its jitter while its
	// records are not validated: all daemons may have started at once, and none may be reachable
	// yet. With it, few daemons read the store if no seed responds. It equals the number of daemons
	// that a daemon can track.
	assumedFleetSize = 64
	// minListInterval bounds the rate of the lists that packets can cause. A caller retransmits its
	// packet after 200 ms and 600 ms.
	minListInterval = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the back-off after a failed attempt to refresh a kind.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// breakerPollInterval is how often a watch checks whether the breaker allows calls to the
	// store.
	breakerPollInterval = 100 * time.Millisecond
)

// Peers gives access to the records of other daemons.
type Peers interface {
	// ListRecords returns the record buckets of another daemon whose digests differ from the given
	// ones. The zero address selects any daemon. It returns an error if no daemon returns its
	// records.
	ListRecords(ctx context.Context, kind store.Kind, from netip.Addr, digests []uint64) (RecordSet, error)
	// DaemonCount returns the number of other daemons that are reachable.
	DaemonCount() int
	// IsSeed reports whether this daemon is in the list of seeds, or that list is empty.
	IsSeed() bool
}

// Options are the dependencies and settings of a Syncer.
type Options struct {
	Store    store.Collections
	Catalog  *catalog.Catalog
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// PropagationBound is the time in which a change must be in force on this daemon, until SetPropagationBound
	// sets another one.
	PropagationBound time.Duration
	// Evacuations selects that evacuations of zones are synchronised, too.
	Evacuations bool
	// Suspended returns for how long the VM has been suspended since some time before the Syncer was
	// created. nil means that it is never suspended.
	Suspended func() time.Duration
}

// kindState is the state of one kind.
type kindState struct {
	recordCache *recordCache
	freshness   freshness
	// jitter, in [0, 1), is the part of the random delay by which the next read is postponed. It is
	// drawn again after each validation.
	jitter float64
	// heard is an advertisement of a later era than the one in force, and heardAt the time of its receipt. Its
	// address is the zero value if there is none.
	heard   Advertisement
	heardAt time.Time
}

// isLoaded reports whether a list of the kind is cached, validated or not.
func (k *kindState) isLoaded() bool {
	return !k.freshness.validatedAt.IsZero() || !k.freshness.unvalidatedSince.IsZero()
}

// Syncer synchronises cached records with the store. It implements the interface by which package
// inband queries their freshness. Its methods may be called concurrently.
type Syncer struct {
	options Options
	// propagationBound is the bound in force, in nanoseconds.
	propagationBound atomic.Int64
	peers            Peers
	breaker          breaker
	// wake ends the wait for the next read of a kind early.
	wake map[store.Kind]chan struct{}
	// advanced wakes the watch of a kind when the version of its cached records has increased.
	advanced map[store.Kind]chan struct{}

	// published is the freshness of each kind as of the last unlock. Packets are decided on with it, so that
	// they do not wait while mu is held for the decoding of a large configuration. It is never newer than
	// the catalog.
	published map[store.Kind]*atomic.Pointer[freshness]
	// listRequested marks the kinds that must be listed from the store, however fresh their cached
	// records are.
	listRequested map[store.Kind]*atomic.Bool
	// suspended is how much of Options.Suspended the ages of the cached records include. It is written with
	// mu held.
	suspended atomic.Int64

	// mu is not held during calls of peers, whose lock may be held by a caller of the Syncer. It is released
	// by unlock.
	mu      sync.Mutex
	kinds   map[store.Kind]*kindState
	decoder platform.ConfigurationDecoder
	// era is the era of the store that is in force, and proof what it rests on.
	era   store.Era
	proof eraProof
	// eraRefusedAt is the time of the last log line about a refused era.
	eraRefusedAt time.Time
	// unavailableSince is when the store was first found unavailable after the upstreams were last
	// validated, the zero time if it was not.
	unavailableSince time.Time
	// onValidated is called without the lock after a record set has validated the cached records.
	onValidated func()
}

// Kinds returns the kinds that a Syncer always synchronises.
func Kinds() []store.Kind {
	return []store.Kind{platform.KindConfiguration, platform.KindUpstreams}
}

// Kinds returns the kinds that the Syncer synchronises.
func (s *Syncer) Kinds() []store.Kind {
	if s.options.Evacuations {
		return append(Kinds(), platform.KindEvacuations)
	}
	return Kinds()
}

// NewSyncer returns a Syncer without cached records.
func NewSyncer(o Options) *Syncer {
	s := &Syncer{
		options: o, wake: map[store.Kind]chan struct{}{}, advanced: map[store.Kind]chan struct{}{},
		kinds: map[store.Kind]*kindState{}, listRequested: map[store.Kind]*atomic.Bool{},
		published: map[store.Kind]*atomic.Pointer[freshness]{},
	}
	s.propagationBound.Store(int64(o.PropagationBound))
	if o.Suspended != nil {
		s.suspended.Store(int64(o.Suspended()))
	}
	if o.Evacuations {
		o.Catalog.RequireEvacuations()
	}
	for _, kind := range s.Kinds() {
		s.wake[kind] = make(chan struct{}, 1)
		s.advanced[kind] = make(chan struct{}, 1)
		s.kinds[kind] = &kindState{recordCache: newRecordCache()}
		s.listRequested[kind] = &atomic.Bool{}
		s.published[kind] = &atomic.Pointer[freshness]{}
		s.published[kind].Store(&freshness{})
	}
	return s
}

// SetPropagationBound changes the time in which a change must be in force on this daemon. Records that are too old
// for it are read at once.
func (s *Syncer) SetPropagationBound(bound time.Duration) {
	s.propagationBound.Store(int64(bound))
	for _, kind := range s.Kinds() {
		notify(s.wake[kind])
	}
}

// bound returns the time in which a change must be in force on this daemon.
func (s *Syncer) bound() time.Duration { return time.Duration(s.propagationBound.Load()) }

// SetPeers sets the daemons from which records are read besides the store, and the function that is
// called after a record set has validated the cached records. It must be called before Run.
func (s *Syncer) SetPeers(peers Peers, onValidated func()) {
	s.peers, s.onValidated = peers, onValidated
}

// Run synchronises the records until the context is cancelled.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range s.Kinds() {
		group.Go(func() error {
			s.fetchInitialRecords(ctx, kind)
			return s.revalidateLoop(ctx, kind)
		})
		group.Go(func() error { return s.watch(ctx, kind) })
	}
	return group.Wait()
}

// recordSuccess records that the store responded.
func (s *Syncer) recordSuccess() {
	if s.breaker.recordSuccess(time.Now()) {
		s.options.Logger.Info().Str("event", "store_regained").Send()
	}
}

// recordFailure records that the store did not respond.
func (s *Syncer) recordFailure(kind store.Kind, err error) {
	s.options.Counters.Count("retry.store_" + string(kind))
	if !s.breaker.isOpen() {
		s.recordUnavailable()
	}
	if s.breaker.trip(time.Now(), s.daemonCount()) {
		s.options.Logger.Warn().Str("event", "store_lost").Str("kind", string(kind)).
			Dur("confirmed_ago_ms", time.Since(s.ValidatedAt(kind))).Err(err).Send()
	}
}

// recordUnavailable records that the store became unavailable.
func (s *Syncer) recordUnavailable() {
	s.mu.Lock()
	defer s.unlock()
	if s.unavailableSince.IsZero() {
		s.unavailableSince = time.Now()
	}
	s.restartEraGraceLocked()
}

// endOutageLocked is called before a validation of the upstreams takes effect. If it is the first one after
// the store was unavailable, the grace period of missing upstreams begins again. The caller holds s.mu.
func (s *Syncer) endOutageLocked(kind store.Kind, validatedAt time.Time) {
	if kind != platform.KindUpstreams || s.unavailableSince.IsZero() || !validatedAt.After(s.unavailableSince) {
		return
	}
	s.unavailableSince = time.Time{}
	s.options.Catalog.RestartGrace(s.kinds[kind].freshness.validatedAt)
}

// requestList requests an immediate list of a kind.
func (s *Syncer) requestList(kind store.Kind) {
	s.listRequested[kind].Store(true)
	notify(s.wake[kind])
}

// unlock publishes the freshness of the records and releases s.mu.
func (s *Syncer) unlock() {
	for kind, k := range s.kinds {
		k.freshness.kept = len(k.recordCache.kept)
		if *s.published[kind].Load() != k.freshness {
			current := k.freshness
			s.published[kind].Store(&current)
		}
	}
	s.mu.Unlock()
}

// notify wakes the receiver of the channel, either at once or at its next receive.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // A notification is pending already.
	}
}
