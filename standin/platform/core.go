// Package platform is a stand-in for the cloud platform: an object store and a VM list with faults
// that can be set at run time. It serves HTTP and, for tests in virtual time, implements the
// store.Store interface in memory; both use the same core.
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

// Default rate limits of the platform, in calls per second.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
)

// Errors that the core returns for injected faults. The handler and the in-memory store translate
// them.
var (
	errOutage     = errors.New("outage")
	errCut        = errors.New("source is cut from the platform")
	errAnswerLost = errors.New("answer is lost")
)

// Options are the limits of a stand-in platform.
type Options struct {
	// WriteRate and ReadRate are limits in calls per second; 0 means the default.
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
	// faultsChanged is closed and replaced when the faults change, so that waiting watches apply them.
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

// Calls returns the number of calls by kind (get, put, delete, list, watch, vms), and as
// rate_limited the number of calls that exceeded the rate limit.
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

// beginCall counts a call, waits for the first half of the delay, and applies cuts, the outage and
// the rate limit.
func (p *Platform) beginCall(ctx context.Context, kind string, limiter *rate.Limiter, source netip.Addr) error {
	p.mu.Lock()
	p.calls[kind]++
	p.mu.Unlock()
	if err := p.delayCall(ctx); err != nil {
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

// delayCall waits for half of the configured delay.
func (p *Platform) delayCall(ctx context.Context) error {
	p.mu.Lock()
	delay := p.faults.Delay / 2
	p.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	return wait.For(ctx, delay)
}

// runDetached runs a write that continues after its context is cancelled, like a request that is
// already on the network. It returns errAnswerLost if the context is cancelled before the response.
func runDetached[T any](ctx context.Context, p *Platform, run func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		detached := context.WithoutCancel(ctx)
		value, err := run(detached)
		_ = p.delayCall(detached)
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
	if err := p.beginCall(ctx, "get", p.reads, source); err != nil {
		return store.Object{}, err
	}
	p.mu.Lock()
	o, ok := p.objects[key]
	p.mu.Unlock()
	if err := p.delayCall(ctx); err != nil {
		return store.Object{}, err
	}
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (p *Platform) put(ctx context.Context, source netip.Addr, key string, value []byte, c store.Condition) (store.Version, error) {
	return runDetached(ctx, p, func(ctx context.Context) (store.Version, error) {
		return p.applyPut(ctx, source, key, value, c)
	})
}

func (p *Platform) applyPut(ctx context.Context, source netip.Addr, key string, value []byte, c store.Condition) (store.Version, error) {
	if err := p.beginCall(ctx, "put", p.writes, source); err != nil {
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
	p.notifyWatchersLocked(key)
	if p.faults.loseAnswer() {
		return 0, errAnswerLost
	}
	return p.revision, nil
}

func (p *Platform) remove(ctx context.Context, source netip.Addr, key string, c store.Condition) error {
	_, err := runDetached(ctx, p, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, p.applyRemove(ctx, source, key, c)
	})
	return err
}

func (p *Platform) applyRemove(ctx context.Context, source netip.Addr, key string, c store.Condition) error {
	if err := p.beginCall(ctx, "delete", p.writes, source); err != nil {
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
	p.notifyWatchersLocked(key)
	if p.faults.loseAnswer() {
		return errAnswerLost
	}
	return nil
}

func (p *Platform) list(ctx context.Context, source netip.Addr, prefix string) ([]store.Entry, error) {
	if err := p.beginCall(ctx, "list", p.reads, source); err != nil {
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

// watch waits for at most wait until the object has a version later than after.
func (p *Platform) watch(ctx context.Context, source netip.Addr, key string, after store.Version, wait time.Duration) (store.Object, bool, error) {
	if err := p.beginCall(ctx, "watch", p.reads, source); err != nil {
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
		changed, faults := p.changeSignalLocked(key), p.faultsChanged
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

func (p *Platform) changeSignalLocked(key string) chan struct{} {
	w, ok := p.waiters[key]
	if !ok {
		w = make(chan struct{})
		p.waiters[key] = w
	}
	return w
}

func (p *Platform) notifyWatchersLocked(key string) {
	if w, ok := p.waiters[key]; ok {
		close(w)
		delete(p.waiters, key)
	}
}
