package relay

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
)

const (
	// maxSteps is how many changes of generation a daemon can give as deltas. At 0.4 changes a
	// second it covers about 2.5 minutes; a daemon further behind gets the whole configuration.
	maxSteps = 64
	// relayedHistory is the number of change records that go along from peer to peer. The whole
	// history is in the store; 256 records are about 25 KB, which is much at 2 KB/s.
	relayedHistory = 4
	// relayedBytes counts the bytes of configurations sent to peers, which is control traffic.
	relayedBytes = "config.relayed_bytes"
)

// step is what changed between two generations that were in force here one after the other.
type step struct {
	from, to uint64
	// changed and removed are numbers of services.
	changed, removed []uint32
	// whole is set when a delta would leave the services in another order.
	whole bool
}

func newStep(previous, current *config.Snapshot) step {
	s := step{from: previous.Generation(), to: current.Generation()}
	var order []uint32
	for _, service := range previous.Services() {
		if _, stays := current.Service(service.GetNumber()); stays {
			order = append(order, service.GetNumber())
		} else {
			s.removed = append(s.removed, service.GetNumber())
		}
	}
	for i, service := range current.Services() {
		before, known := previous.Service(service.GetNumber())
		if !known {
			order = append(order, service.GetNumber())
		}
		if !known || before != service && !proto.Equal(before, service) {
			s.changed = append(s.changed, service.GetNumber())
		}
		s.whole = s.whole || i >= len(order) || order[i] != service.GetNumber()
	}
	return s
}

// previousGeneration returns the generation that was in force before the current one.
func (r *Relay) previousGeneration() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.steps) == 0 {
		return 0
	}
	return r.steps[len(r.steps)-1].from
}

// updateFrom returns what leads a peer from a generation to the one in force: a delta, or the
// whole configuration if that generation is unknown here or too long ago.
func (r *Relay) updateFrom(base uint64) (*pb.Configuration, *pb.ConfigurationDelta) {
	r.mu.Lock()
	current := r.Current()
	first := slices.IndexFunc(r.steps, func(s step) bool { return s.from == base })
	var steps []step
	if first >= 0 {
		steps = r.steps[first:]
	}
	r.mu.Unlock()
	relayed := withoutServices(current.Proto)
	relayed.History = relayed.GetHistory()[:min(relayedHistory, len(relayed.GetHistory()))]
	if base == 0 || len(steps) == 0 || slices.ContainsFunc(steps, func(s step) bool { return s.whole }) {
		relayed.Services = current.Services()
		return relayed, nil
	}
	delta := &pb.ConfigurationDelta{BaseGeneration: base, Changed: relayed}
	touched := map[uint32]bool{}
	for _, s := range steps {
		for _, number := range append(slices.Clone(s.changed), s.removed...) {
			touched[number] = true
		}
	}
	for _, service := range current.Services() {
		if touched[service.GetNumber()] {
			relayed.Services = append(relayed.Services, service)
			delete(touched, service.GetNumber())
		}
	}
	for number := range touched {
		delta.RemovedServices = append(delta.RemovedServices, number)
	}
	slices.Sort(delta.RemovedServices)
	return nil, delta
}

// update is a message that carries a configuration, whole or as a delta.
type update interface {
	GetConfiguration() *pb.Configuration
	GetDelta() *pb.ConfigurationDelta
}

func (r *Relay) countRelayed(u update) {
	r.options.Counters.Add(relayedBytes, int64(proto.Size(u.GetConfiguration())+proto.Size(u.GetDelta())))
	if u.GetDelta() != nil {
		r.options.Counters.Count("config.relayed_deltas")
	}
}

// installUpdate puts what a peer sent in force if it is newer and, as a delta, leads from the
// generation in force here.
func (r *Relay) installUpdate(u update, source string) {
	switch delta := u.GetDelta(); {
	case u.GetConfiguration() != nil:
		r.install(u.GetConfiguration(), source)
	case delta != nil:
		base := r.Current()
		if base.Generation() != delta.GetBaseGeneration() {
			r.options.Counters.Count("refusal.config_delta_base")
			return
		}
		r.install(applyDelta(base.Proto, delta), source)
	}
}

// applyDelta returns the configuration that a delta leads to. Unchanged services are shared
// with the base, since a configuration in force is never changed.
func applyDelta(base *pb.Configuration, delta *pb.ConfigurationDelta) *pb.Configuration {
	next := withoutServices(delta.GetChanged())
	changed := make(map[uint32]*pb.Service, len(delta.GetChanged().GetServices()))
	for _, service := range delta.GetChanged().GetServices() {
		changed[service.GetNumber()] = service
	}
	for _, service := range base.GetServices() {
		number := service.GetNumber()
		if slices.Contains(delta.GetRemovedServices(), number) {
			continue
		}
		if replacement, ok := changed[number]; ok {
			service = replacement
			delete(changed, number)
		}
		next.Services = append(next.Services, service)
	}
	for _, service := range delta.GetChanged().GetServices() {
		if _, isNew := changed[service.GetNumber()]; isNew {
			next.Services = append(next.Services, service)
		}
	}
	return next
}

// withoutServices copies all other fields. The parts are shared.
func withoutServices(c *pb.Configuration) *pb.Configuration {
	return &pb.Configuration{
		Generation: c.GetGeneration(), ChangeId: c.GetChangeId(), Author: c.GetAuthor(),
		CommittedAtMs: c.GetCommittedAtMs(), History: c.GetHistory(),
		Daemons: c.GetDaemons(), Zones: c.GetZones(), LastUpstreamNumber: c.GetLastUpstreamNumber(),
		Deployment: c.GetDeployment(), LastServiceNumber: c.GetLastServiceNumber(),
	}
}
