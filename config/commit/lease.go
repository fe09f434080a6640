package commit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

// Errors of a lease.
var (
	// ErrLeaseHeld means that another holder has renewed the lease within its term.
	ErrLeaseHeld = errors.New("lease is held by another")
	// ErrLeaseLost means that another holder took the lease; nothing may be done under it.
	ErrLeaseLost = errors.New("lease was taken by another")
	// ErrLeaseUnconfirmed means that the platform did not confirm the lease in time.
	ErrLeaseUnconfirmed = errors.New("lease cannot be confirmed")
)

// Lease is a lease on an object of the store. The version of the object is the fencing token:
// every renewal is a conditional update of that version, so a holder that was paused past its
// term learns at its next renewal that another one took over. Terms are measured on the
// clock of the one who waits, so clocks need not agree.
type Lease struct {
	store  store.Store
	key    string
	holder string
	term   time.Duration

	mu    sync.Mutex
	token store.Version
	// sequence counts the writes of this holder, to find its own after a lost answer.
	sequence uint64
	// seen is the version of another holder, and seenSince when it was first seen.
	seen      store.Version
	seenSince time.Time
}

type leaseValue struct {
	Holder   string `json:"holder"`
	Sequence uint64 `json:"sequence"`
}

// NewLease returns a lease that is not held. holder must be unique to this incarnation of the
// process.
func NewLease(store store.Store, key, holder string, term time.Duration) *Lease {
	return &Lease{store: store, key: key, holder: holder, term: term}
}

// Token returns the fencing token, 0 when the lease is not held.
func (l *Lease) Token() store.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token
}

// Acquire takes the lease if it is free, or if its version has not changed for a whole term
// since this process first saw it. It returns ErrLeaseHeld or ErrLeaseUnconfirmed.
func (l *Lease) Acquire(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != 0 {
		return l.renew(ctx)
	}
	o, err := l.store.Get(ctx, l.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return l.take(ctx, 0)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrLeaseUnconfirmed, err)
	case o.Version != l.seen:
		l.seen, l.seenSince = o.Version, time.Now()
		return ErrLeaseHeld
	case time.Since(l.seenSince) < l.term:
		return ErrLeaseHeld
	}
	return l.take(ctx, o.Version)
}

// Confirm renews the lease and must succeed before each act under it. It returns ErrLeaseLost
// or ErrLeaseUnconfirmed.
func (l *Lease) Confirm(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == 0 {
		return ErrLeaseLost
	}
	return l.renew(ctx)
}

func (l *Lease) renew(ctx context.Context) error {
	err := l.take(ctx, l.token)
	if errors.Is(err, ErrLeaseHeld) {
		l.token = 0
		return ErrLeaseLost
	}
	return err
}

// take writes the lease over the given version.
func (l *Lease) take(ctx context.Context, over store.Version) error {
	l.sequence++
	value, err := json.Marshal(leaseValue{Holder: l.holder, Sequence: l.sequence})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLeaseUnconfirmed, err)
	}
	version, err := l.store.Put(ctx, l.key, value, store.IfVersion(over))
	switch {
	case err == nil:
		l.token = version
		return nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
		return l.readBack(ctx)
	default:
		return fmt.Errorf("%w: %w", ErrLeaseUnconfirmed, err)
	}
}

// readBack finds out whether an earlier write of this holder was applied.
func (l *Lease) readBack(ctx context.Context) error {
	o, err := l.store.Get(ctx, l.key)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLeaseUnconfirmed, err)
	}
	var v leaseValue
	if json.Unmarshal(o.Value, &v) == nil && v.Holder == l.holder && v.Sequence <= l.sequence {
		l.token = o.Version
		if v.Sequence == l.sequence {
			return nil
		}
		return fmt.Errorf("%w: renewal was not applied", ErrLeaseUnconfirmed)
	}
	l.seen, l.seenSince = o.Version, time.Now()
	return ErrLeaseHeld
}
