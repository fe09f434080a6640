package relay

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
)

const (
	// maxTransitions limits the changes of generation that a daemon can send as a delta. At 0.4 changes
	// a second, 64 cover about 2.5 minutes; a peer further behind receives the whole configuration.
	maxTransitions = 64
	// maxRelayedHistory limits the change records that a daemon sends to a peer. The whole history is
	// in the store; its 256 records are about 25 KB, which is much for control traffic of 2 KB/s.
	maxRelayedHistory = 4
	// counterRelayedBytes is the counter of the bytes of configurations sent to peers, which are
	// control traffic.
	counterRelayedBytes = "config.relayed_bytes"
)

// transition is the difference between two generations that were in force on this daemon one directly
// after the other.
type transition struct {
	from, to uint64
	// changed and removed are numbers of services.
	changed, removed []uint32
	// reorders is set if applying the transition as a delta would result in another order of
	// the services. The whole configuration is then sent instead.
	reorders bool
}

// newTransition compares two configurations. A delta keeps the order of the remaining services and appends
// the new ones, see applyDelta; newTransition sets reorders if current has another order.
func newTransition(previous, current *config.Snapshot) transition {
	t := transition{from: previous.Generation(), to: current.Generation()}
	var order []uint32
	for _, service := range previous.Services() {
		if _, remains := current.Service(service.GetNumber()); remains {
			order = append(order, service.GetNumber())
		} else {
			t.removed = append(t.removed, service.GetNumber())
		}
	}
	for i, service := range current.Services() {
		before, existed := previous.Service(service.GetNumber())
		if !existed {
			order = append(order, service.GetNumber())
		}
		if !existed || before != service && !proto.Equal(before, service) {
			t.changed = append(t.changed, service.GetNumber())
		}
		t.reorders = t.reorders || i >= len(order) || order[i] != service.GetNumber()
	}
	return t
}

// previousGeneration returns the generation that was in force before the current one.
func (r *Relay) previousGeneration() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.transitions) == 0 {
		return 0
	}
	return r.transitions[len(r.transitions)-1].from
}

// updateSince returns the update from a base generation to the one in force: a delta, or the whole
// configuration if there is no base, the base is not among the recorded transitions, or a transition
// reorders the services.
func (r *Relay) updateSince(base uint64) (*pb.Configuration, *pb.ConfigurationDelta) {
	r.mu.Lock()
	current := r.Current()
	first := slices.IndexFunc(r.transitions, func(t transition) bool { return t.from == base })
	var transitions []transition
	if first >= 0 {
		transitions = r.transitions[first:]
	}
	r.mu.Unlock()
	relayed := withoutServices(current.Proto)
	relayed.History = relayed.GetHistory()[:min(maxRelayedHistory, len(relayed.GetHistory()))]
	if base == 0 || len(transitions) == 0 || slices.ContainsFunc(transitions, func(t transition) bool { return t.reorders }) {
		relayed.Services = current.Services()
		return relayed, nil
	}
	delta := &pb.ConfigurationDelta{BaseGeneration: base, Changed: relayed}
	affected := map[uint32]bool{}
	for _, t := range transitions {
		for _, number := range append(slices.Clone(t.changed), t.removed...) {
			affected[number] = true
		}
	}
	for _, service := range current.Services() {
		if affected[service.GetNumber()] {
			relayed.Services = append(relayed.Services, service)
			delete(affected, service.GetNumber())
		}
	}
	for number := range affected {
		delta.RemovedServices = append(delta.RemovedServices, number)
	}
	slices.Sort(delta.RemovedServices)
	return nil, delta
}

// update is a message with a configuration, either whole or as a delta.
type update interface {
	GetConfiguration() *pb.Configuration
	GetDelta() *pb.ConfigurationDelta
}

// countRelayed counts the bytes of an update sent to a peer.
func (r *Relay) countRelayed(u update) {
	r.options.Counters.Add(counterRelayedBytes, int64(proto.Size(u.GetConfiguration())+proto.Size(u.GetDelta())))
	if u.GetDelta() != nil {
		r.options.Counters.Count("config.relayed_deltas")
	}
}

// installUpdate puts the configuration that a peer sent in force if it is newer. A delta whose base is
// not the generation in force is refused.
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

// applyDelta returns the configuration that results from applying a delta to its base. Unchanged
// services are shared with the base, since a configuration in force is never modified.
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

// withoutServices returns a shallow copy of the configuration without its services.
func withoutServices(c *pb.Configuration) *pb.Configuration {
	return &pb.Configuration{
		Generation: c.GetGeneration(), ChangeId: c.GetChangeId(), Author: c.GetAuthor(),
		CommittedAtMs: c.GetCommittedAtMs(), History: c.GetHistory(),
		Daemons: c.GetDaemons(), Zones: c.GetZones(), LastUpstreamNumber: c.GetLastUpstreamNumber(),
		Deployment: c.GetDeployment(), LastServiceNumber: c.GetLastServiceNumber(),
	}
}
