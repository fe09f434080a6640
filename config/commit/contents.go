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

// maxContentAttempts limits the writes in the search for a free content generation. Each failed
// commit may leave one content object behind, which occupies its generation until the janitor
// removes it.
const maxContentAttempts = 64

var errNoFreeContent = errors.New("no free content generation")

// plan is an edited configuration and the writes that commit it on top of a head.
type plan struct {
	baseHead head
	next     *pb.Configuration
	// unwritten are the changed services whose content objects have not been written yet.
	unwritten []*pb.Service
	// contentGenerations has the content generation of each service: that of the base head until
	// a new content object is written.
	contentGenerations map[uint32]uint64
}

// newPlan compares the services of the two configurations and plans a write for each changed one.
func newPlan(baseHead head, previous, next *pb.Configuration) *plan {
	p := &plan{baseHead: baseHead, next: next, contentGenerations: baseHead.contentGenerations()}
	before := servicesByNumber(previous)
	for _, service := range next.GetServices() {
		old, ok := before[service.GetNumber()]
		if !ok || !proto.Equal(old, service) {
			p.unwritten = append(p.unwritten, service)
		}
	}
	return p
}

// writeContents writes the content objects of the services in unwritten.
func (c *Committer) writeContents(ctx context.Context, p *plan) error {
	for len(p.unwritten) > 0 {
		service := p.unwritten[0]
		generation, err := c.writeContent(ctx, service, p.contentGenerations[service.GetNumber()]+1)
		if err != nil {
			return err
		}
		p.contentGenerations[service.GetNumber()] = generation
		p.unwritten = p.unwritten[1:]
	}
	return nil
}

// writeContent writes a content object under the first free content generation, beginning with the
// given one, and returns that generation. It never overwrites objects of other operators or of earlier
// attempts; an existing object with the same bytes is used instead.
func (c *Committer) writeContent(ctx context.Context, service *pb.Service, generation uint64) (uint64, error) {
	value, err := marshalDeterministic(service)
	if err != nil {
		return 0, err
	}
	for range maxContentAttempts {
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
			// The write whose outcome was unknown has not been applied, or the conflicting object
			// has been removed since: write the same object again.
			c.counters.Count(retryContent)
		default:
			return 0, readErr
		}
	}
	return 0, fmt.Errorf("service %d: %w: %w", service.GetNumber(), store.ErrUnavailable, errNoFreeContent)
}

// changesOverlap reports whether the changes from base to previous and the change from previous to
// next affect a common part of the configuration, as named by changedParts.
func changesOverlap(base, previous, next *pb.Configuration) bool {
	if base.GetGeneration() == previous.GetGeneration() {
		return false
	}
	theirs, ours := changedParts(base, previous), changedParts(previous, next)
	for name := range ours {
		if theirs[name] {
			return true
		}
	}
	return false
}

// changedParts returns the names of the parts that differ: the zones (with the deployment), each
// daemon and each service. Services are compared by their numbers.
func changedParts(from, to *pb.Configuration) map[string]bool {
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
