package steering

import (
	"google.golang.org/protobuf/proto"

	"github.com/fulmarfield/fulmarfield/config"
)

// handleConfiguration applies a configuration that has come into force to all services.
func (s *Steerer) handleConfiguration(_, current *config.Snapshot) {
	for _, svc := range *s.services.Load() {
		s.updateService(svc, current)
	}
	s.wake()
}

// updateService replaces the view of a service by that of a snapshot, unless the service already
// has a later generation or its declaration has not changed.
func (s *Steerer) updateService(svc *service, current *config.Snapshot) {
	svc.updateMu.Lock()
	defer svc.updateMu.Unlock()
	declared, _ := current.Service(svc.number)
	old := svc.view.Load()
	if current.Generation() < old.generation || proto.Equal(old.declared, declared) {
		return
	}
	v := newServiceView(current.Proto, declared, old)
	v.pastTables = old.nextPastTables(s.now().unixMS)
	for number, u := range v.upstreams {
		if old.upstreams[number] == nil {
			s.notices.apply(svc.number, u)
		}
	}
	svc.view.Store(v)
	exceptions := 0
	for i := range svc.partitions {
		if p := svc.partitions[i].Load(); p != nil {
			exceptions += s.applyView(p, v)
		}
	}
	s.Logger.Info().Str("event", "table_changed").Uint32("service", svc.number).
		Uint64("generation", v.generation).Int("upstreams", len(v.active)).Int("new_exceptions", exceptions).Send()
}

// applyView moves a partition to a new view. Flows whose upstream does not follow from the new
// table become exceptions, and flows of removed upstreams are queued for a reset. It returns the
// number of new exceptions.
func (s *Steerer) applyView(p *partition, v *serviceView) (newExceptions int) {
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
			u.flows.Add(1) // Not counted yet: the record came before the declaration of its upstream.
		}
		switch {
		case u == nil:
			s.pacedPackets.addReset(p, flow)
		case !r.has(flagException) && p.needsReplica(v, flow, r.upstream, now.unixMS):
			r.flags |= flagException
			p.flows[flow] = r
			p.exceptions[flow] = exception{}
			s.queueBulk(p, flow)
			newExceptions++
		}
	}
	return newExceptions
}
