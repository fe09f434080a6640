package platform

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

// DefaultWatchWait is the duration of a long poll of the in-memory store.
const DefaultWatchWait = 25 * time.Second

// Store is an in-memory client of the platform with a source address. It implements store.Store
// and store.VMLister without HTTP, for tests in virtual time.
type Store struct {
	platform  *Platform
	source    netip.Addr
	watchWait time.Duration
}

var (
	_ store.Store    = (*Store)(nil)
	_ store.VMLister = (*Store)(nil)
)

// Store returns the in-memory client for callers at a source address.
func (p *Platform) Store(source netip.Addr) *Store {
	return &Store{platform: p, source: source, watchWait: DefaultWatchWait}
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	o, err := s.platform.get(ctx, s.source, key)
	return o, readError("get", key, err)
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, c store.Condition) (store.Version, error) {
	v, err := s.platform.put(ctx, s.source, key, value, c)
	return v, writeError("put", key, err)
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, c store.Condition) error {
	return writeError("delete", key, s.platform.remove(ctx, s.source, key, c))
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, err := s.platform.list(ctx, s.source, prefix)
	return entries, readError("list", prefix, err)
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, after store.Version) (store.Object, bool, error) {
	o, changed, err := s.platform.watch(ctx, s.source, key, after, s.watchWait)
	return o, changed, readError("watch", key, err)
}

// ListVMs implements store.VMLister.
func (s *Store) ListVMs(ctx context.Context) ([]store.VM, error) {
	vms, err := s.platform.listVMs(ctx, s.source)
	return vms, readError("list", "VMs", err)
}

func readError(call, key string, err error) error {
	if err == nil {
		return nil
	}
	if isFault(err) {
		return fmt.Errorf("%s %s: %w: %w", call, key, store.ErrUnavailable, err)
	}
	return fmt.Errorf("%s %s: %w", call, key, err)
}

func writeError(call, key string, err error) error {
	if errors.Is(err, errAnswerLost) {
		return fmt.Errorf("%s %s: %w: %w", call, key, store.ErrOutcomeUnknown, err)
	}
	return readError(call, key, err)
}

// isFault reports whether a call failed before it took effect. This includes cancelled calls, since
// the core observes a cancellation only while it waits before the effect.
func isFault(err error) bool {
	return errors.Is(err, errOutage) || errors.Is(err, errCut) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
