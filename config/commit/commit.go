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

// Reasons of a commit that was refused or whose outcome is unknown.
var (
	// ErrConflict means that another change to the same objects was committed first, or that the
	// expected generation is not the one in the store.
	ErrConflict = errors.New("another change was committed first")
	// ErrNoChangeID means that the change has no id.
	ErrNoChangeID = errors.New("change has no id")
	// ErrPlatformUnavailable means that no attempt succeeded before the deadline and nothing was
	// committed.
	ErrPlatformUnavailable = errors.New("platform could not be reached, nothing was committed")
	// ErrTooLarge means that a service or the head does not fit into one object of the store.
	ErrTooLarge = errors.New("configuration does not fit an object of the platform")
	// ErrOutcomeUnknown means that the change may have been committed, or may still be committed by
	// a write in transit.
	ErrOutcomeUnknown = errors.New("outcome is unknown; ask for the change id later")
)

// Names of retry counters.
const (
	retryRead        = "retry.config_read"
	retryContent     = "retry.config_content"
	retryHeadWrite   = "retry.config_head_unavailable"
	retryRateLimited = "retry.config_rate_limited"
	retryAnswerLost  = "retry.config_answer_lost"
	retryConflict    = "retry.config_conflict"
)

// Back-off between the attempts of one commit. It stays short, because an operator waits for the
// result.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Edit returns the configuration that follows previous, which has generation 0 before the first
// commit. It may be called again after a conflict and must not modify previous.
type Edit func(previous *pb.Configuration) (*pb.Configuration, error)

// Result is the outcome of a commit.
type Result struct {
	// Outcome is committed, refused, unchanged or unknown.
	Outcome pb.Outcome
	// Generation is the generation that contains the change or, after a refusal, the one in the
	// store; 0 when it is not known.
	Generation uint64
	// Configuration is the new configuration, set only if this call committed it.
	Configuration *pb.Configuration
	// Err is the reason of a refusal or of an unknown outcome: ErrConflict, ErrPlatformUnavailable,
	// ErrTooLarge, ErrNoChangeID, ErrCorrupt, ErrOutcomeUnknown, or the error of the edit.
	Err error
	// OtherChanges describes, after ErrConflict, the changes since the expected generation or, if
	// none was expected, since the generation that this commit read first.
	OtherChanges []string
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

// Commit applies one change like Committer.Commit, without counting retries.
func Commit(ctx context.Context, store store.Store, changeID string, expectedGeneration uint64, edit Edit) Result {
	return New(store, telemetry.NewCounters()).Commit(ctx, changeID, expectedGeneration, edit)
}

// Commit applies one change by a conditional update of the head. It retries until the context ends;
// the context must have a deadline. A change id is committed at most once, however often it is retried, as
// long as it is among the last 256 changes. With an expected generation other than 0, any later change
// is a conflict. With 0, a concurrent change is a conflict only if it affects the same service or
// daemon, or if both affect the zones or the deployment.
func (c *Committer) Commit(ctx context.Context, changeID string, expectedGeneration uint64, edit Edit) Result {
	if changeID == "" {
		return refusedResult(0, ErrNoChangeID)
	}
	o := &operation{Committer: c, changeID: changeID, expected: expectedGeneration, edit: edit, backoff: newBackoff()}
	for {
		result, done := o.tryOnce(ctx)
		if done {
			return result
		}
		if err := wait.For(ctx, o.backoff.NextBackOff()); err != nil {
			return o.resultAtDeadline()
		}
	}
}

// operation is the state of one commit across its attempts.
type operation struct {
	*Committer
	changeID string
	expected uint64
	edit     Edit
	backoff  *backoff.ExponentialBackOff

	// initial is the first configuration that this commit read.
	initial *pb.Configuration
	// plan is the change on top of the head read last; nil before the first edit.
	plan *plan
	// pendingWrite is the head write whose outcome is not known; nil if there is none.
	pendingWrite *headWrite
	lastErr      error
}

// headWrite is a conditional write of the head.
type headWrite struct {
	baseHead head
	next     *pb.Configuration
	value    []byte
}

// tryOnce makes one attempt: it reads the head, determines the outcome of a pending write and, if that
// was not applied, writes the change. It returns false if another attempt is needed.
func (o *operation) tryOnce(ctx context.Context) (Result, bool) {
	h, err := readHead(ctx, o.store)
	if err != nil {
		if errors.Is(err, ErrCorrupt) {
			return refusedResult(0, err), true
		}
		return o.recordRetry(retryRead, err)
	}
	if record, found := h.findChange(o.changeID); found {
		return o.resultFromRecord(record), true
	}
	if o.pendingWrite != nil {
		if h.version == o.pendingWrite.baseHead.version {
			// The pending write may still be in transit. Repeating it is safe: both writes
			// have the same condition, so at most one of them is applied.
			return o.writeHead(ctx, o.pendingWrite)
		}
		if historyExceeded(h, o.pendingWrite.baseHead) {
			return unknownResult(ErrOutcomeUnknown), true
		}
		o.pendingWrite = nil
	}
	return o.writeChange(ctx, h)
}

// resultFromRecord returns the result for a head whose history already has the change id: committed
// if a pending write of this commit was applied, otherwise unchanged.
func (o *operation) resultFromRecord(record *pb.ChangeRecord) Result {
	if o.pendingWrite != nil {
		return Result{Outcome: pb.Outcome_OUTCOME_COMMITTED, Generation: record.GetGeneration(), Configuration: o.pendingWrite.next}
	}
	return Result{Outcome: pb.Outcome_OUTCOME_UNCHANGED, Generation: record.GetGeneration()}
}

// historyExceeded reports whether so many changes were committed after the earlier head that the
// history of h may no longer contain the change that followed it.
func historyExceeded(h, earlier head) bool {
	return h.proto.GetGeneration() > earlier.proto.GetGeneration()+declaration.MaxHistory
}

// writeChange writes the content objects of the change and then the head, on top of the head h.
// Attempts on the same head share one plan, so that content objects are not written again.
func (o *operation) writeChange(ctx context.Context, h head) (Result, bool) {
	if o.plan == nil || o.plan.baseHead.version != h.version {
		if result, done := o.preparePlan(ctx, h); o.plan == nil {
			return result, done
		}
	}
	if err := o.writeContents(ctx, o.plan); err != nil {
		return o.handleWriteError(retryContent, err)
	}
	value, err := encodeHead(newHead(o.plan.next, o.plan.contentGenerations))
	if err != nil {
		return refusedResult(h.proto.GetGeneration(), err), true
	}
	return o.writeHead(ctx, &headWrite{baseHead: h, next: o.plan.next, value: value})
}

// preparePlan applies the edit to the configuration of a head. It sets o.plan if there is something to
// write; otherwise it returns what tryOnce returns.
func (o *operation) preparePlan(ctx context.Context, h head) (Result, bool) {
	o.plan = nil
	previous, err := o.loader.assemble(ctx, h)
	if err != nil {
		return o.recordRetry(retryRead, err)
	}
	if o.initial == nil {
		o.initial = previous
	}
	if o.expected != 0 && previous.GetGeneration() != o.expected {
		return o.conflictResult(previous, o.expected), true
	}
	next, err := o.edit(previous)
	if err != nil {
		return refusedResult(previous.GetGeneration(), err), true
	}
	if declaration.SameContent(previous, next) {
		return Result{Outcome: pb.Outcome_OUTCOME_UNCHANGED, Generation: previous.GetGeneration()}, true
	}
	next.ChangeId = o.changeID
	if changesOverlap(o.initial, previous, next) {
		return o.conflictResult(previous, o.initial.GetGeneration()), true
	}
	o.plan = newPlan(h, previous, next)
	return Result{}, false
}

// writeHead makes the conditional update that commits the change.
func (o *operation) writeHead(ctx context.Context, w *headWrite) (Result, bool) {
	_, err := o.store.Put(ctx, HeadKey, w.value, store.IfVersion(w.baseHead.version))
	switch {
	case err == nil:
		return Result{Outcome: pb.Outcome_OUTCOME_COMMITTED, Generation: w.next.GetGeneration(), Configuration: w.next}, true
	case errors.Is(err, store.ErrOutcomeUnknown):
		o.pendingWrite = w
		return o.recordRetry(retryAnswerLost, err)
	case errors.Is(err, store.ErrConflict):
		// Either another change was committed first, or an earlier attempt of this write was
		// applied. The next read of the head shows which.
		return o.recordRetry(retryConflict, err)
	default:
		return o.handleWriteError(retryHeadWrite, err)
	}
}

// handleWriteError refuses the commit if an object is too large, and otherwise requests another
// attempt. The write must not have been applied.
func (o *operation) handleWriteError(counter string, err error) (Result, bool) {
	if errors.Is(err, store.ErrTooLarge) {
		return refusedResult(0, fmt.Errorf("%w: %w", ErrTooLarge, err)), true
	}
	return o.recordRetry(counter, err)
}

// recordRetry counts the reason of another attempt and returns that the commit is not done.
func (o *operation) recordRetry(counter string, err error) (Result, bool) {
	if errors.Is(err, store.ErrRateLimited) {
		counter = retryRateLimited
	}
	o.counters.Count(counter)
	o.lastErr = err
	return Result{}, false
}

// resultAtDeadline returns the result of a commit whose context ended between two attempts.
func (o *operation) resultAtDeadline() Result {
	if o.pendingWrite != nil {
		return unknownResult(fmt.Errorf("%w: %w", ErrOutcomeUnknown, o.lastErr))
	}
	return refusedResult(0, fmt.Errorf("%w: %w", ErrPlatformUnavailable, o.lastErr))
}

// conflictResult returns a refusal that lists the changes after the generation since.
func (o *operation) conflictResult(current *pb.Configuration, since uint64) Result {
	result := refusedResult(current.GetGeneration(), fmt.Errorf("%w: generation %d is in force", ErrConflict, current.GetGeneration()))
	for _, r := range current.GetHistory() {
		if r.GetGeneration() > since {
			result.OtherChanges = append(result.OtherChanges, fmt.Sprintf("generation %d by %s: %s", r.GetGeneration(), r.GetAuthor(), r.GetSummary()))
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

func refusedResult(generation uint64, err error) Result {
	return Result{Outcome: pb.Outcome_OUTCOME_REFUSED, Generation: generation, Err: err}
}

func unknownResult(err error) Result {
	return Result{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Err: err}
}
