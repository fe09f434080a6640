package commit

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	// JanitorLeaseKey is the key of the lease that a janitor holds while it removes content objects.
	JanitorLeaseKey = "lease/janitor"
	// janitorLeaseTerm is the time without a renewal after which another janitor takes over.
	janitorLeaseTerm = 30 * time.Second
	// removalInterval limits the janitor to 10 removals a second, a small part of the several hundred
	// writes a second that the platform serves.
	removalInterval = 100 * time.Millisecond
	// janitorStoreTimeout limits the store calls of a listing and of one removal.
	janitorStoreTimeout = 10 * time.Second
)

// Janitor removes content objects that no head refers to any more. They are left behind by failed
// commits and by changes, which replace the content object of a service by a new one.
type Janitor struct {
	store    store.Store
	lease    *Lease
	counters *telemetry.Counters
	log      zerolog.Logger
}

// NewJanitor returns a janitor. holder must be unique to this incarnation of the process.
func NewJanitor(store store.Store, holder string, counters *telemetry.Counters, log zerolog.Logger) *Janitor {
	return &Janitor{
		store: store, lease: NewLease(store, JanitorLeaseKey, holder, janitorLeaseTerm), counters: counters, log: log,
	}
}

// Run calls RunOnce at the given interval, except when eligible returns false. Run ends with the context
// and returns the context's error. Only few daemons should be eligible, since each call reads the store.
func (j *Janitor) Run(ctx context.Context, interval time.Duration, eligible func() bool) error {
	for {
		if err := wait.For(ctx, interval); err != nil {
			return err
		}
		if !eligible() {
			continue
		}
		removed, err := j.RunOnce(ctx)
		if err != nil && !errors.Is(err, ErrLeaseHeld) {
			j.counters.Count("janitor.round_failed")
			j.log.Warn().Str("event", "janitor_round_failed").Err(err).Send()
		}
		if removed > 0 {
			j.log.Info().Str("event", "contents_removed").Int("objects", removed).Send()
		}
	}
}

// RunOnce acquires the lease and removes the unreferenced content objects. It returns the number of
// removed objects. Errors are ErrLeaseHeld, ErrLeaseLost, ErrLeaseUnconfirmed, ErrUnreachable,
// ErrCorrupt and the error of the context.
func (j *Janitor) RunOnce(ctx context.Context) (int, error) {
	if err := j.lease.Acquire(ctx); err != nil {
		return 0, err
	}
	entries, err := j.unreferencedContents(ctx)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, e := range entries {
		if err := j.remove(ctx, e); err != nil {
			return removed, err
		}
		removed++
		if err := wait.For(ctx, removalInterval); err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// unreferencedContents lists the content objects that no later head will refer to. The content
// generations of a service only increase, so an object below the generation in the head is never used
// again, while an object above it may belong to a commit in progress. Likewise, a service that is not in
// the head was removed if its number is at most the last assigned one; a service with a higher number may
// belong to a commit in progress.
func (j *Janitor) unreferencedContents(ctx context.Context) ([]store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, janitorStoreTimeout)
	defer cancel()
	entries, err := j.store.List(ctx, contentPrefix)
	if err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	h, err := readHead(ctx, j.store)
	if err != nil {
		return nil, err
	}
	contentGenerations := h.contentGenerations()
	var unreferencedContents []store.Entry
	for _, e := range entries {
		service, generation, ok := parseContentKey(e.Key)
		if !ok {
			continue
		}
		inForce, declared := contentGenerations[service]
		removedService := !declared && service <= h.proto.GetLastServiceNumber()
		if removedService || declared && generation < inForce {
			unreferencedContents = append(unreferencedContents, e)
		}
	}
	return unreferencedContents, nil
}

// remove confirms the lease and deletes an object, provided that it still has the listed version.
func (j *Janitor) remove(ctx context.Context, e store.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, janitorStoreTimeout)
	defer cancel()
	if err := j.lease.Confirm(ctx); err != nil {
		return err
	}
	err := j.store.Delete(ctx, e.Key, store.IfVersion(e.Version))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return errors.Join(ErrUnreachable, err)
	}
	return nil
}
