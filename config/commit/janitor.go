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
	// JanitorLeaseKey is the key of the lease under which old content objects are removed.
	JanitorLeaseKey = "lease/janitor"
	janitorTerm     = 30 * time.Second
	// removalPause keeps the janitor to a few of the several hundred writes a second.
	removalPause   = 100 * time.Millisecond
	janitorTimeout = 10 * time.Second
)

// Janitor removes content objects that no head refers to any more. A failed commit and every
// replaced content object leave one behind.
type Janitor struct {
	store    store.Store
	lease    *Lease
	counters *telemetry.Counters
	log      zerolog.Logger
}

// NewJanitor returns a janitor. holder must be unique to this incarnation of the process.
func NewJanitor(store store.Store, holder string, counters *telemetry.Counters, log zerolog.Logger) *Janitor {
	return &Janitor{
		store: store, lease: NewLease(store, JanitorLeaseKey, holder, janitorTerm), counters: counters, log: log,
	}
}

// Run makes a round every interval while eligible says so, until the context ends, whose
// error it returns. Few daemons should be eligible, since each round reads the store.
func (j *Janitor) Run(ctx context.Context, interval time.Duration, eligible func() bool) error {
	for {
		if err := wait.For(ctx, interval); err != nil {
			return err
		}
		if !eligible() {
			continue
		}
		removed, err := j.Round(ctx)
		if err != nil && !errors.Is(err, ErrLeaseHeld) {
			j.counters.Count("janitor.round_failed")
			j.log.Warn().Str("event", "janitor_round_failed").Err(err).Send()
		}
		if removed > 0 {
			j.log.Info().Str("event", "contents_removed").Int("objects", removed).Send()
		}
	}
}

// Round takes the lease and removes what is not needed. It returns the number of removed
// objects and ErrLeaseHeld, ErrLeaseLost, ErrLeaseUnconfirmed or ErrUnreachable.
func (j *Janitor) Round(ctx context.Context) (int, error) {
	if err := j.lease.Acquire(ctx); err != nil {
		return 0, err
	}
	entries, err := j.unneeded(ctx)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, e := range entries {
		if err := j.remove(ctx, e); err != nil {
			return removed, err
		}
		removed++
		if err := wait.For(ctx, removalPause); err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// unneeded lists the content objects that no head will refer to. Content generations of a
// service only rise, so an object below the one in the head is never used again, while one
// above it may belong to a commit under way.
func (j *Janitor) unneeded(ctx context.Context) ([]store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, janitorTimeout)
	defer cancel()
	entries, err := j.store.List(ctx, contentPrefix)
	if err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	h, err := readHead(ctx, j.store)
	if err != nil {
		return nil, err
	}
	contents := h.contents()
	var unneeded []store.Entry
	for _, e := range entries {
		service, generation, ok := parseContentKey(e.Key)
		if !ok {
			continue
		}
		inForce, declared := contents[service]
		removedService := !declared && service <= h.proto.GetLastServiceNumber()
		if removedService || declared && generation < inForce {
			unneeded = append(unneeded, e)
		}
	}
	return unneeded, nil
}

// remove confirms the lease and removes the version of one object that was listed.
func (j *Janitor) remove(ctx context.Context, e store.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, janitorTimeout)
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
