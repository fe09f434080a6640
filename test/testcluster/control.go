package testcluster

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarfield/fulmarfield/platform"
	standinplatform "github.com/fulmarfield/fulmarfield/standin/platform"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// callOverhead is an allowance in bytes for the HTTP, TCP and IP headers of one direction of a
// call between daemons or to the platform.
const callOverhead = 400

// countSent counts one direction of a call as control traffic of its sender.
func countSent(counters *telemetry.Counters, call string, bytes int) {
	counters.Add("control.sent."+call, int64(bytes+callOverhead))
}

func countMessage(d *Daemon, call string, message any) {
	if m, ok := message.(proto.Message); ok && d != nil {
		countSent(d.Node.Counters(), call, proto.Size(m))
	}
}

// countedStore counts what a daemon sends to the platform as control traffic.
type countedStore struct {
	*standinplatform.Store
	counters *telemetry.Counters
}

var (
	_ platform.Store    = countedStore{}
	_ platform.VMLister = countedStore{}
)

func (s countedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	countSent(s.counters, "store_get", len(key))
	return s.Store.Get(ctx, key)
}

func (s countedStore) Put(ctx context.Context, key string, value []byte, c platform.Condition) (platform.Version, error) {
	countSent(s.counters, "store_put", len(key)+len(value))
	return s.Store.Put(ctx, key, value, c)
}

func (s countedStore) Delete(ctx context.Context, key string, c platform.Condition) error {
	countSent(s.counters, "store_delete", len(key))
	return s.Store.Delete(ctx, key, c)
}

func (s countedStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	countSent(s.counters, "store_list", len(prefix))
	return s.Store.List(ctx, prefix)
}

func (s countedStore) Watch(ctx context.Context, key string, after platform.Version) (platform.Object, bool, error) {
	countSent(s.counters, "store_watch", len(key))
	return s.Store.Watch(ctx, key, after)
}

func (s countedStore) ListVMs(ctx context.Context) ([]platform.VM, error) {
	countSent(s.counters, "list_vms", 0)
	return s.Store.ListVMs(ctx)
}
