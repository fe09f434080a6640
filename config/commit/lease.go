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
	// ErrLeaseHeld means that another holder has the lease and its term has not passed.
	ErrLeaseHeld = errors.New("lease is held by another holder")
	// ErrLeaseLost means that this process does not hold the lease, usually because another holder
	// took it over. The caller must stop the work that the lease protects.
	ErrLeaseLost = errors.New("lease was taken over by another holder")
	// ErrLeaseUnconfirmed means that the platform did not confirm a write of the lease, so that the
	// holder is not known.
	ErrLeaseUnconfirmed = errors.New("lease could not be confirmed by the platform")
)

// Lease is a lease on an object of the store. The version of the object is the fencing token. Every
// renewal is a conditional update of that version, so that a holder that was paused for longer than the
// term detects at its next renewal that another process took over. A process that waits for the lease
// measures the term on its own clock, so the clocks of processes need not agree.
type Lease struct {
	store  store.Store
	key    string
	holder string
	term   time.Duration

	mu    sync.Mutex
	token store.Version
	// sequence counts the writes of this holder. It identifies the holder's own write in the
	// stored value when the response to the write was lost.
	sequence uint64
	// observedVersion is the version of the lease at the last read that found another holder, and
	// observedAt the time at which this version was first read.
	observedVersion store.Version
	observedAt      time.Time
}

// leaseValue is the stored object.
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

// Acquire takes the lease if it is free, or if its version has not changed for a whole term since this
// process first read it; a lease that this process holds is renewed. Errors are ErrLeaseHeld,
// ErrLeaseLost and ErrLeaseUnconfirmed.
func (l *Lease) Acquire(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != 0 {
		return l.renew(ctx)
	}
	o, err := l.store.Get(ctx, l.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return l.write(ctx, 0)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrLeaseUnconfirmed, err)
	case o.Version != l.observedVersion:
		l.observedVersion, l.observedAt = o.Version, time.Now()
		return ErrLeaseHeld
	case time.Since(l.observedAt) < l.term:
		return ErrLeaseHeld
	}
	return l.write(ctx, o.Version)
}

// Confirm renews the lease. It must succeed before each action that the lease protects. Errors are
// ErrLeaseLost and ErrLeaseUnconfirmed.
func (l *Lease) Confirm(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == 0 {
		return ErrLeaseLost
	}
	return l.renew(ctx)
}

func (l *Lease) renew(ctx context.Context) error {
	err := l.write(ctx, l.token)
	if errors.Is(err, ErrLeaseHeld) {
		l.token = 0
		return ErrLeaseLost
	}
	return err
}

// write writes the lease if the stored version is the expected one, 0 for no object.
func (l *Lease) write(ctx context.Context, expected store.Version) error {
	l.sequence++
	value, err := json.Marshal(leaseValue{Holder: l.holder, Sequence: l.sequence})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLeaseUnconfirmed, err)
	}
	version, err := l.store.Put(ctx, l.key, value, store.IfVersion(expected))
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

// readBack reads the lease after a conflict or an unknown outcome, to determine whether the latest write
// of this holder was applied.
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
	l.observedVersion, l.observedAt = o.Version, time.Now()
	return ErrLeaseHeld
}
