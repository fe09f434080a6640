package daemon

import (
	"context"

	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Platform is the part of the platform's interface that a daemon uses.
type Platform interface {
	store.Store
	store.VMLister
}

// MeterPlatform returns a Platform that counts each call to p as control.sent.<call> and charges its
// size, with an allowance for headers, to the budget.
func MeterPlatform(p Platform, counters *telemetry.Counters, budget *peer.Budget) Platform {
	return meteredPlatform{platform: p, counters: counters, budget: budget}
}

type meteredPlatform struct {
	platform Platform
	counters *telemetry.Counters
	budget   *peer.Budget
}

func (m meteredPlatform) countCall(call string, bytes int) {
	peer.CountCall(m.counters, m.budget, call, bytes)
}

func (m meteredPlatform) Get(ctx context.Context, key string) (store.Object, error) {
	m.countCall("store_get", len(key))
	return m.platform.Get(ctx, key)
}

func (m meteredPlatform) Put(ctx context.Context, key string, value []byte, c store.Condition) (store.Version, error) {
	m.countCall("store_put", len(key)+len(value))
	return m.platform.Put(ctx, key, value, c)
}

func (m meteredPlatform) Delete(ctx context.Context, key string, c store.Condition) error {
	m.countCall("store_delete", len(key))
	return m.platform.Delete(ctx, key, c)
}

func (m meteredPlatform) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	m.countCall("store_list", len(prefix))
	return m.platform.List(ctx, prefix)
}

func (m meteredPlatform) Watch(ctx context.Context, key string, after store.Version) (store.Object, bool, error) {
	m.countCall("store_watch", len(key))
	return m.platform.Watch(ctx, key, after)
}

func (m meteredPlatform) ListVMs(ctx context.Context) ([]store.VM, error) {
	m.countCall("list_vms", 0)
	return m.platform.ListVMs(ctx)
}
