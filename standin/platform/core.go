// Package platform is a stand-in for the cloud platform: an object store and a VM list with
// faults that are switched at run time. It serves HTTP and, for tests in virtual time, the
// store.Store interface in memory; both share one core.
package platform

import (
	"context"
	"errors"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
)

// Rates of the platform, in calls per second.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
)

// Outcomes of faults inside the core, translated by the handler and by the in-memory store.
var (
	errOutage     = errors.New("outage")
	errCut        = errors.New("source is cut from the platform")
	errAnswerLost = errors.New("answer is lost")
)

// Options are the limits of a stand-in platform.
type Options struct {
	// WriteRate and ReadRate are calls per second; 0 means the default.
	WriteRate int
	ReadRate  int
}

// Platform is the state of the stand-in. All methods may be called concurrently.
type Platform struct {
	writes, reads *rate.Limiter

	mu       sync.Mutex
	objects  map[string]store.Object
	revision store.Version
	waiters  map[string]chan struct{}
	faults   Faults
	// faultsChanged is closed when the faults are switched, so that waiting watches notice.
	faultsChanged chan struct{}
	calls         map[string]int64
	vms           vmList
}

// New returns an empty platform.
func New(o Options) *Platform {
	if o.WriteRate == 0 {
		o.WriteRate = DefaultWriteRate
	}
	if o.ReadRate == 0 {
		o.ReadRate = DefaultReadRate
	}
	return &Platform{
		writes:        rate.NewLimiter(rate.Limit(o.WriteRate), o.WriteRate),
		reads:         rate.NewLimiter(rate.Limit(o.ReadRate), o.ReadRate),
		objects:       map[string]store.Object{},
		waiters:       map[string]chan struct{}{},
		faultsChanged: make(chan struct{}),
		calls:         map[string]int64{},
	}
}

// Calls returns the number of calls by kind: get, put, delete, list, watch, vms; and of those
// refused by rate as rate_limited.
func (p *Platform) Calls() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]int64, len(p.calls))
	for kind, n := range p.calls {
		calls[kind] = n
	}
	return calls
}

// ResetCalls sets all counts to 0.
func (p *Platform) ResetCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.calls)
}

// begin counts a call and applies the first half of the slowness, cuts, outage and rates.
func (p *Platform) begin(ctx context.Context, kind string, limiter *rate.Limiter, source netip.Addr) error {
	p.mu.Lock()
	p.calls[kind]++
	p.mu.Unlock()
	if err := p.slowDown(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.faults.refusal(source); err != nil {
		return err
	}
	if !limiter.Allow() {
		p.calls["rate_limited"]++
		return store.ErrRateLimited
	}
	return nil
}

// slowDown waits for half of the delay in force.
func (p *Platform) slowDown(ctx context.Context) error {
	p.mu.Lock()
	delay := p.faults.Delay / 2
	p.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	return wait.For(ctx, delay)
}

// write runs a write that goes on when its caller gives up, as a request on the wire does. A
// caller that gives up before the answer learns nothing of the outcome.
func write[T any](ctx context.Context, p *Platform, run func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		detached := context.WithoutCancel(ctx)
		value, err := run(detached)
		_ = p.slowDown(detached)
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, errAnswerLost
	}
}

func (p *Platform) get(ctx context.Context, source netip.Addr, key string) (store.Object, error) {
	if err := p.begin(ctx, "get", p.reads, source); err != nil {
		return store.Object{}, err
	}
	p.mu.Lock()
	o, ok := p.objects[key]
	p.mu.Unlock()
	if err := p.slowDown(ctx); err != nil {
		return store.Object{}, err
	}
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (p *Platform) put(ctx context.Context, source netip.Addr, key string, value []byte, c store.Condition) (store.Version, error) {
	return write(ctx, p, func(ctx context.Context) (store.Version, error) {
		return p.applyPut(ctx, source, key, value, c)
	})
}

func (p *Platform) applyPut(ctx context.Context, source netip.Addr, key string, value []byte, c store.Condition) (store.Version, error) {
	if err := p.begin(ctx, "put", p.writes, source); err != nil {
		return 0, err
	}
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.Holds(p.objects[key].Version) {
		return 0, store.ErrConflict
	}
	p.revision++
	p.objects[key] = store.Object{Key: key, Value: append([]byte(nil), value...), Version: p.revision}
	p.wake(key)
	if p.faults.loseAnswer() {
		return 0, errAnswerLost
	}
	return p.revision, nil
}

func (p *Platform) remove(ctx context.Context, source netip.Addr, key string, c store.Condition) error {
	_, err := write(ctx, p, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, p.applyRemove(ctx, source, key, c)
	})
	return err
}

func (p *Platform) applyRemove(ctx context.Context, source netip.Addr, key string, c store.Condition) error {
	if err := p.begin(ctx, "delete", p.writes, source); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[key]
	if !ok {
		return store.ErrNotFound
	}
	if !c.Holds(o.Version) {
		return store.ErrConflict
	}
	p.revision++
	delete(p.objects, key)
	p.wake(key)
	if p.faults.loseAnswer() {
		return errAnswerLost
	}
	return nil
}

func (p *Platform) list(ctx context.Context, source netip.Addr, prefix string) ([]store.Entry, error) {
	if err := p.begin(ctx, "list", p.reads, source); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := []store.Entry{}
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, store.Entry{Key: key, Version: o.Version})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, nil
}

// watch waits for a version of key later than after, for at most wait.
func (p *Platform) watch(ctx context.Context, source netip.Addr, key string, after store.Version, wait time.Duration) (store.Object, bool, error) {
	if err := p.begin(ctx, "watch", p.reads, source); err != nil {
		return store.Object{}, false, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		if err := p.faults.refusal(source); err != nil {
			p.mu.Unlock()
			return store.Object{}, false, err
		}
		o, ok := p.objects[key]
		changed, faults := p.waiter(key), p.faultsChanged
		p.mu.Unlock()
		if ok && o.Version > after {
			return o, true, nil
		}
		if !ok && after != 0 {
			return store.Object{}, false, store.ErrNotFound
		}
		select {
		case <-ctx.Done():
			return store.Object{}, false, ctx.Err()
		case <-deadline.C:
			return store.Object{}, false, nil
		case <-changed:
		case <-faults:
		}
	}
}

func (p *Platform) waiter(key string) chan struct{} {
	w, ok := p.waiters[key]
	if !ok {
		w = make(chan struct{})
		p.waiters[key] = w
	}
	return w
}

func (p *Platform) wake(key string) {
	if w, ok := p.waiters[key]; ok {
		close(w)
		delete(p.waiters, key)
	}
}
