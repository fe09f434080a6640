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
	// loadAttempts bounds the re-reads of a head whose content objects were removed meanwhile.
	loadAttempts = 3
	// loadConcurrency bounds the reads of content objects in flight.
	loadConcurrency = 8
)

// Loader reads configurations and keeps the content objects of the last one, so that a change
// costs one read for each changed service. Its methods may be called concurrently.
type Loader struct {
	store store.Store

	mu    sync.Mutex
	cache map[uint32]cached
}

type cached struct {
	generation uint64
	service    *pb.Service
}

// NewLoader returns a loader without cached objects.
func NewLoader(store store.Store) *Loader {
	return &Loader{store: store, cache: map[uint32]cached{}}
}

// Load reads the configuration in the store; generation 0 when nothing was ever committed. It
// returns ErrUnreachable or ErrCorrupt.
func Load(ctx context.Context, store store.Store) (*pb.Configuration, error) {
	return NewLoader(store).Load(ctx)
}

// History returns the last changes, newest first, at most 256. It returns ErrUnreachable or
// ErrCorrupt.
func History(ctx context.Context, store store.Store) ([]*pb.ChangeRecord, error) {
	h, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	return h.proto.GetHistory(), nil
}

// Load reads the configuration in the store, as the function Load does. The caller must not
// change it.
func (l *Loader) Load(ctx context.Context) (*pb.Configuration, error) {
	_, c, err := l.load(ctx)
	return c, err
}

// LoadIfNewer reads the head and, only when its generation is higher than have, the content
// objects. It returns nil without error when there is nothing newer.
func (l *Loader) LoadIfNewer(ctx context.Context, have uint64) (*pb.Configuration, error) {
	h, err := readHead(ctx, l.store)
	if err != nil || h.proto.GetGeneration() <= have {
		return nil, err
	}
	return l.complete(ctx, h)
}

// FromHead completes the configuration of a head object that a watch returned.
func (l *Loader) FromHead(ctx context.Context, o store.Object) (*pb.Configuration, error) {
	h, err := decodeHead(o)
	if err != nil {
		return nil, err
	}
	return l.complete(ctx, h)
}

func (l *Loader) load(ctx context.Context) (head, *pb.Configuration, error) {
	h, err := readHead(ctx, l.store)
	if err != nil {
		return head{}, nil, err
	}
	for attempt := 1; ; attempt++ {
		c, err := l.fill(ctx, h)
		if !errors.Is(err, store.ErrNotFound) || attempt == loadAttempts {
			return h, c, err
		}
		if h, err = readHead(ctx, l.store); err != nil {
			return head{}, nil, err
		}
	}
}

// complete fills a head, or reads a later one when its content objects are gone.
func (l *Loader) complete(ctx context.Context, h head) (*pb.Configuration, error) {
	c, err := l.fill(ctx, h)
	if errors.Is(err, store.ErrNotFound) {
		return l.Load(ctx)
	}
	return c, err
}

// fill returns the configuration of a head. The error is store.ErrNotFound when a content
// object was removed since the head was read.
func (l *Loader) fill(ctx context.Context, h head) (*pb.Configuration, error) {
	c := proto.CloneOf(h.proto)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadConcurrency)
	for i, stub := range h.proto.GetServices() {
		group.Go(func() error {
			service, err := l.content(ctx, stub.GetNumber(), stub.GetTableGeneration())
			c.Services[i] = service
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	contents := h.contents()
	for number := range l.cache {
		if _, declared := contents[number]; !declared {
			delete(l.cache, number)
		}
	}
	return c, nil
}

func (l *Loader) content(ctx context.Context, number uint32, generation uint64) (*pb.Service, error) {
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
	l.cache[number] = cached{generation, service}
	return service, nil
}
