package commit

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/store"
)

const (
	// loadAttempts limits how often a load starts again because content objects were removed after the
	// head was read.
	loadAttempts = 3
	// loadConcurrency limits the concurrent reads of content objects.
	loadConcurrency = 8
)

// Loader reads configurations and caches the content objects of the last one, so that loading a
// change reads only the content of the changed services. Its methods may be called concurrently.
type Loader struct {
	store store.Store

	mu sync.Mutex
	// cache has the content objects by the number of the service.
	cache map[uint32]cachedContent
}

// cachedContent is the content object of a service at a content generation.
type cachedContent struct {
	generation uint64
	service    *pb.Service
}

// NewLoader returns a loader without cached objects.
func NewLoader(store store.Store) *Loader {
	return &Loader{store: store, cache: map[uint32]cachedContent{}}
}

// Load reads the configuration in the store. Before the first commit the result has generation 0.
// Errors are ErrUnreachable and ErrCorrupt.
func Load(ctx context.Context, store store.Store) (*pb.Configuration, error) {
	return NewLoader(store).Load(ctx)
}

// History returns the last changes, newest first, at most 256. Errors are ErrUnreachable and
// ErrCorrupt.
func History(ctx context.Context, store store.Store) ([]*pb.ChangeRecord, error) {
	h, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	return h.proto.GetHistory(), nil
}

// Load reads the configuration in the store, like the function Load. The caller must not modify the
// result, whose services are shared with the cache.
func (l *Loader) Load(ctx context.Context) (*pb.Configuration, error) {
	_, c, err := l.load(ctx)
	return c, err
}

// LoadIfNewer reads the head and, only if its generation is higher than have, the content objects. It
// returns nil without an error when the store has no newer generation.
func (l *Loader) LoadIfNewer(ctx context.Context, have uint64) (*pb.Configuration, error) {
	h, err := readHead(ctx, l.store)
	if err != nil || h.proto.GetGeneration() <= have {
		return nil, err
	}
	return l.assembleOrReload(ctx, h)
}

// LoadFromHead loads the configuration of a head object that the caller already has, for example from
// a watch.
func (l *Loader) LoadFromHead(ctx context.Context, o store.Object) (*pb.Configuration, error) {
	h, err := decodeHead(o)
	if err != nil {
		return nil, err
	}
	return l.assembleOrReload(ctx, h)
}

// load reads the head and its configuration. If a content object was removed in between, it starts
// again, up to loadAttempts times in all.
func (l *Loader) load(ctx context.Context) (head, *pb.Configuration, error) {
	h, err := readHead(ctx, l.store)
	if err != nil {
		return head{}, nil, err
	}
	for attempt := 1; ; attempt++ {
		c, err := l.assemble(ctx, h)
		if !errors.Is(err, store.ErrNotFound) || attempt == loadAttempts {
			return h, c, err
		}
		if h, err = readHead(ctx, l.store); err != nil {
			return head{}, nil, err
		}
	}
}

// assembleOrReload returns the configuration of a head, or loads a later head when content objects of
// the given one have been removed.
func (l *Loader) assembleOrReload(ctx context.Context, h head) (*pb.Configuration, error) {
	c, err := l.assemble(ctx, h)
	if errors.Is(err, store.ErrNotFound) {
		return l.Load(ctx)
	}
	return c, err
}

// assemble reads the content objects of a head, returns the complete configuration and removes the
// services that the head does not declare from the cache. The error is store.ErrNotFound when a content
// object was removed after the head was read.
func (l *Loader) assemble(ctx context.Context, h head) (*pb.Configuration, error) {
	c := proto.CloneOf(h.proto)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadConcurrency)
	for i, stub := range h.proto.GetServices() {
		group.Go(func() error {
			service, err := l.loadContent(ctx, stub.GetNumber(), stub.GetTableGeneration())
			c.Services[i] = service
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	contentGenerations := h.contentGenerations()
	for number := range l.cache {
		if _, declared := contentGenerations[number]; !declared {
			delete(l.cache, number)
		}
	}
	return c, nil
}

// loadContent returns the content of a service at a content generation, from the cache if it is there.
func (l *Loader) loadContent(ctx context.Context, number uint32, generation uint64) (*pb.Service, error) {
	l.mu.Lock()
	known, ok := l.cache[number]
	l.mu.Unlock()
	if ok && known.generation == generation {
		return known.service, nil
	}
	key := contentKey(number, generation)
	o, err := l.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	service := &pb.Service{}
	if err := proto.Unmarshal(o.Value, service); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, key, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cache[number] = cachedContent{generation, service}
	return service, nil
}
