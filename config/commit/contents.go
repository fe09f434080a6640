package commit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/store"
)

// maxContentTries bounds the search for a free content generation. Each failed commit may
// leave one object behind until the janitor removes it.
const maxContentTries = 64

var errNoFreeContent = errors.New("no free content generation")

// plan is an edited configuration and what of it must be written over a head.
type plan struct {
	over head
	next *pb.Configuration
	// changed are the services whose content objects are not written yet.
	changed []*pb.Service
	// contents are the content generations of the services that are written.
	contents map[uint32]uint64
}

func newPlan(over head, previous, next *pb.Configuration) *plan {
	p := &plan{over: over, next: next, contents: over.contents()}
	before := servicesByNumber(previous)
	for _, service := range next.GetServices() {
		old, ok := before[service.GetNumber()]
		if !ok || !proto.Equal(old, service) {
			p.changed = append(p.changed, service)
		}
	}
	return p
}

// writeContents writes the content objects that the plan still lacks.
func (c *Committer) writeContents(ctx context.Context, p *plan) error {
	for len(p.changed) > 0 {
		service := p.changed[0]
		generation, err := c.writeContent(ctx, service, p.contents[service.GetNumber()]+1)
		if err != nil {
			return err
		}
		p.contents[service.GetNumber()] = generation
		p.changed = p.changed[1:]
	}
	return nil
}

// writeContent writes a content object at the first generation from the given one that is
// free, and returns that generation. Objects of other operators or of earlier tries are never
// overwritten; one with the same bytes serves as well.
func (c *Committer) writeContent(ctx context.Context, service *pb.Service, generation uint64) (uint64, error) {
	value, err := encode(service)
	if err != nil {
		return 0, err
	}
	for range maxContentTries {
		key := contentKey(service.GetNumber(), generation)
		_, err := c.store.Put(ctx, key, value, store.IfAbsent())
		if err == nil {
			return generation, nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return 0, err
		}
		o, readErr := c.store.Get(ctx, key)
		switch {
		case readErr == nil && bytes.Equal(o.Value, value):
			return generation, nil
		case readErr == nil:
			generation++
		case errors.Is(readErr, store.ErrNotFound):
			// A lost write that is not applied, or an object removed since: the same again.
			c.counters.Count(retryContent)
		default:
			return 0, readErr
		}
	}
	return 0, fmt.Errorf("service %d: %w: %w", service.GetNumber(), store.ErrUnavailable, errNoFreeContent)
}

// overlapping reports whether the changes between base and previous touch what the change
// from previous to next touches.
func overlapping(base, previous, next *pb.Configuration) bool {
	if base.GetGeneration() == previous.GetGeneration() {
		return false
	}
	theirs, ours := touched(base, previous), touched(previous, next)
	for name := range ours {
		if theirs[name] {
			return true
		}
	}
	return false
}

// touched names the parts that differ: services by number, zones and daemons.
func touched(from, to *pb.Configuration) map[string]bool {
	parts := map[string]bool{}
	if !slices.Equal(from.GetZones(), to.GetZones()) || from.GetDeployment() != to.GetDeployment() {
		parts["zones"] = true
	}
	states := map[string]pb.DeclaredState{}
	for _, d := range from.GetDaemons() {
		states[d.GetName()] = d.GetState()
	}
	for _, d := range to.GetDaemons() {
		if state, ok := states[d.GetName()]; !ok || state != d.GetState() {
			parts["daemon "+d.GetName()] = true
		}
		delete(states, d.GetName())
	}
	for name := range states {
		parts["daemon "+name] = true
	}
	before := servicesByNumber(from)
	for _, s := range to.GetServices() {
		if old, ok := before[s.GetNumber()]; !ok || !proto.Equal(old, s) {
			parts["service "+s.GetName()] = true
		}
		delete(before, s.GetNumber())
	}
	for _, s := range before {
		parts["service "+s.GetName()] = true
	}
	return parts
}

func servicesByNumber(c *pb.Configuration) map[uint32]*pb.Service {
	services := make(map[uint32]*pb.Service, len(c.GetServices()))
	for _, s := range c.GetServices() {
		services[s.GetNumber()] = s
	}
	return services
}
