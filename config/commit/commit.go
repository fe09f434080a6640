package commit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Reasons of a refused commit.
var (
	// ErrConflict means that another change came first and touches the same objects, or that
	// the expected generation is not in force.
	ErrConflict = errors.New("another change was committed first")
	// ErrNoChangeID means that the change has no id.
	ErrNoChangeID = errors.New("change has no id")
	// ErrNotReached means that the platform could not be reached and nothing was committed.
	ErrNotReached = errors.New("platform could not be reached, nothing was committed")
	// ErrTooLarge means that a service or the head does not fit an object.
	ErrTooLarge = errors.New("configuration does not fit an object of the platform")
	// ErrOutcomeUnknown means that the change may have been committed or may still be.
	ErrOutcomeUnknown = errors.New("outcome is unknown; ask for the change id later")
)

// Names of retry counters.
const (
	retryRead     = "retry.config_read"
	retryContent  = "retry.config_content"
	retryRefused  = "retry.config_head_unavailable"
	retryRate     = "retry.config_rate_limited"
	retryLost     = "retry.config_answer_lost"
	retryConflict = "retry.config_conflict"
)

// Back-off between tries of one commit. Operators wait for the answer, so it stays short.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Edit returns the configuration that follows previous, whose generation is 0 before the
// first. It may be called again after a conflict and must leave previous as it is.
type Edit func(previous *pb.Configuration) (*pb.Configuration, error)

// Result is the outcome of a commit.
type Result struct {
	// Outcome is committed, refused, unchanged or unknown.
	Outcome pb.Outcome
	// Generation is the one that holds the change, or the one in the store after a refusal;
	// 0 when not known.
	Generation uint64
	// Configuration is set when this call committed it.
	Configuration *pb.Configuration
	// Err is the reason of a refusal or of an unknown outcome: ErrConflict, ErrNotReached,
	// ErrTooLarge, ErrNoChangeID, ErrOutcomeUnknown, or the error of the edit.
	Err error
	// Changed names what other changes did since the expected generation, after ErrConflict.
	Changed []string
}

// Committer commits changes. Its methods may be called concurrently.
type Committer struct {
	store    store.Store
	counters *telemetry.Counters
	loader   *Loader
}

// New returns a committer.
func New(store store.Store, counters *telemetry.Counters) *Committer {
	return &Committer{store: store, counters: counters, loader: NewLoader(store)}
}

// Commit applies one change, as Committer.Commit does, without counters of a process.
func Commit(ctx context.Context, store store.Store, changeID string, expectedGeneration uint64, edit Edit) Result {
	return New(store, telemetry.NewCounters()).Commit(ctx, changeID, expectedGeneration, edit)
}

// Commit applies one change by a conditional update of the head. It tries until the context ends,
// which must have a deadline. The same change id is committed at most once, however often it is tried, as long as it is among
// the last 256 changes. With an expected generation other than 0, any other change since is a
// conflict; with 0 only one that touches the same services, or the deployment's zones or
// daemons, is.
func (c *Committer) Commit(ctx context.Context, changeID string, expectedGeneration uint64, edit Edit) Result {
	if changeID == "" {
		return refused(0, ErrNoChangeID)
	}
	a := &attempt{Committer: c, changeID: changeID, expected: expectedGeneration, edit: edit, backoff: newBackoff()}
	for {
		result, done := a.try(ctx)
		if done {
			return result
		}
		if err := wait.For(ctx, a.backoff.NextBackOff()); err != nil {
			return a.giveUp()
		}
	}
}

// attempt is the state of one commit over its tries.
type attempt struct {
	*Committer
	changeID string
	expected uint64
	edit     Edit
	backoff  *backoff.ExponentialBackOff

	// base is the first configuration that was read.
	base *pb.Configuration
	// plan is the change over the head that was read last, nil before the first edit.
	plan *plan
	// pending is a head write whose outcome is not known, nil when there is none.
	pending *headWrite
	lastErr error
}

// headWrite is a conditional write of the head.
type headWrite struct {
	over  head
	next  *pb.Configuration
	value []byte
}

// try reads the head, settles a pending write and makes one more try.
func (a *attempt) try(ctx context.Context) (Result, bool) {
	h, err := readHead(ctx, a.store)
	if err != nil {
		if errors.Is(err, ErrCorrupt) {
			return refused(0, err), true
		}
		return a.retry(retryRead, err)
	}
	if record, found := h.find(a.changeID); found {
		return a.found(record), true
	}
	if a.pending != nil {
		if h.version == a.pending.over.version {
			// The lost write may still be under way. The same write again cannot be applied
			// twice, since both have the same condition.
			return a.writeHead(ctx, a.pending)
		}
		if forgotten(h, a.pending.over) {
			return unknown(ErrOutcomeUnknown), true
		}
		a.pending = nil
	}
	return a.proceed(ctx, h)
}

// found is the outcome when the head already has the change id.
func (a *attempt) found(record *pb.ChangeRecord) Result {
	if a.pending != nil {
		return Result{Outcome: pb.Outcome_OUTCOME_COMMITTED, Generation: record.GetGeneration(), Configuration: a.pending.next}
	}
	return Result{Outcome: pb.Outcome_OUTCOME_UNCHANGED, Generation: record.GetGeneration()}
}

// forgotten reports whether so many changes came since that the history says nothing more.
func forgotten(h, over head) bool {
	return h.proto.GetGeneration() > over.proto.GetGeneration()+declaration.MaxHistory
}

// proceed writes the content objects and the head of the change over a head. Tries over the
// same head share one edit, so that a content object that is written already serves again.
func (a *attempt) proceed(ctx context.Context, h head) (Result, bool) {
	if a.plan == nil || a.plan.over.version != h.version {
		if result, done := a.makePlan(ctx, h); a.plan == nil {
			return result, done
		}
	}
	if err := a.writeContents(ctx, a.plan); err != nil {
		return a.writeFailed(retryContent, err)
	}
	value, err := encodeHead(newHead(a.plan.next, a.plan.contents))
	if err != nil {
		return refused(h.proto.GetGeneration(), err), true
	}
	return a.writeHead(ctx, &headWrite{over: h, next: a.plan.next, value: value})
}

// makePlan edits the configuration of a head. It sets a.plan when there is something to write.
func (a *attempt) makePlan(ctx context.Context, h head) (Result, bool) {
	a.plan = nil
	previous, err := a.loader.fill(ctx, h)
	if err != nil {
		return a.retry(retryRead, err)
	}
	if a.base == nil {
		a.base = previous
	}
	if a.expected != 0 && previous.GetGeneration() != a.expected {
		return a.conflict(previous, a.expected), true
	}
	next, err := a.edit(previous)
	if err != nil {
		return refused(previous.GetGeneration(), err), true
	}
	if declaration.SameContent(previous, next) {
		return Result{Outcome: pb.Outcome_OUTCOME_UNCHANGED, Generation: previous.GetGeneration()}, true
	}
	next.ChangeId = a.changeID
	if overlapping(a.base, previous, next) {
		return a.conflict(previous, a.base.GetGeneration()), true
	}
	a.plan = newPlan(h, previous, next)
	return Result{}, false
}

// writeHead makes the conditional update that commits the change.
func (a *attempt) writeHead(ctx context.Context, w *headWrite) (Result, bool) {
	_, err := a.store.Put(ctx, HeadKey, w.value, store.IfVersion(w.over.version))
	switch {
	case err == nil:
		return Result{Outcome: pb.Outcome_OUTCOME_COMMITTED, Generation: w.next.GetGeneration(), Configuration: w.next}, true
	case errors.Is(err, store.ErrOutcomeUnknown):
		a.pending = w
		return a.retry(retryLost, err)
	case errors.Is(err, store.ErrConflict):
		// Either another change came first, or an earlier try of this write was applied;
		// the next read of the head tells.
		return a.retry(retryConflict, err)
	default:
		return a.writeFailed(retryRefused, err)
	}
}

// writeFailed handles a write that was not applied.
func (a *attempt) writeFailed(counter string, err error) (Result, bool) {
	if errors.Is(err, store.ErrTooLarge) {
		return refused(0, fmt.Errorf("%w: %w", ErrTooLarge, err)), true
	}
	return a.retry(counter, err)
}

// retry counts the reason of another try.
func (a *attempt) retry(counter string, err error) (Result, bool) {
	if errors.Is(err, store.ErrRateLimited) {
		counter = retryRate
	}
	a.counters.Count(counter)
	a.lastErr = err
	return Result{}, false
}

// giveUp is the outcome when the context ended.
func (a *attempt) giveUp() Result {
	if a.pending != nil {
		return unknown(fmt.Errorf("%w: %w", ErrOutcomeUnknown, a.lastErr))
	}
	return refused(0, fmt.Errorf("%w: %w", ErrNotReached, a.lastErr))
}

func (a *attempt) conflict(now *pb.Configuration, since uint64) Result {
	result := refused(now.GetGeneration(), fmt.Errorf("%w: generation %d is in force", ErrConflict, now.GetGeneration()))
	for _, r := range now.GetHistory() {
		if r.GetGeneration() > since {
			result.Changed = append(result.Changed, fmt.Sprintf("generation %d by %s: %s", r.GetGeneration(), r.GetAuthor(), r.GetSummary()))
		}
	}
	return result
}

func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: firstBackoff, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxBackoff,
	}
}

func refused(generation uint64, err error) Result {
	return Result{Outcome: pb.Outcome_OUTCOME_REFUSED, Generation: generation, Err: err}
}

func unknown(err error) Result {
	return Result{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Err: err}
}
