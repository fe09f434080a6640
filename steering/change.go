package steering

import (
	"google.golang.org/protobuf/proto"

	"github.com/fulmarfield/fulmarfield/config"
)

// changed takes a configuration that came into force.
func (s *Steerer) changed(_, current *config.Snapshot) {
	for _, owner := range *s.services.Load() {
		s.update(owner, current)
	}
	s.wake()
}

// update brings a service to the generation of a snapshot, unless it has a later one.
func (s *Steerer) update(owner *service, current *config.Snapshot) {
	owner.changes.Lock()
	defer owner.changes.Unlock()
	declared, _ := current.Service(owner.number)
	old := owner.view.Load()
	if current.Generation() < old.generation || proto.Equal(old.declared, declared) {
		return
	}
	v := newServiceView(current.Proto, declared, old)
	v.past = old.replaced(s.now().unixMS)
	for number, u := range v.upstreams {
		if old.upstreams[number] == nil {
			s.notices.apply(owner.number, u)
		}
	}
	owner.view.Store(v)
	exceptions := 0
	for i := range owner.partitions {
		if p := owner.partitions[i].Load(); p != nil {
			exceptions += s.tableChanged(p, v)
		}
	}
	s.Logger.Info().Str("event", "table_changed").Uint32("service", owner.number).
		Uint64("generation", v.generation).Int("upstreams", len(v.active)).Int("new_exceptions", exceptions).Send()
}

// tableChanged makes exceptions of the flows whose upstream the new table does not tell, and
// queues the flows of removed upstreams for a reset. It returns the number of new exceptions.
func (s *Steerer) tableChanged(p *partition, v *serviceView) (found int) {
	now := s.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view
	if p.released || old == v {
		return 0
	}
	p.view = v
	for flow, r := range p.flows {
		if r.has(flagClosed) {
			continue
		}
		u := v.upstreams[r.upstream]
		if u != nil && old.upstreams[r.upstream] == nil {
			u.flows.Add(1) // Not known when the record came from another daemon.
		}
		switch {
		case u == nil:
			s.paced.addReset(p, flow)
		case !r.has(flagException) && p.needsReplica(v, flow, r.upstream, now.unixMS):
			r.flags |= flagException
			p.flows[flow] = r
			p.exceptions[flow] = exception{}
			s.queueBulk(p, flow)
			found++
		}
	}
	return found
}
