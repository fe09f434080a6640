package inband

import (
	"slices"
	"time"

	"github.com/fulmarfield/fulmarfield/admission"
	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// copyMargin is how long before and after its due time a retransmission of an opening packet may arrive.
	copyMargin = 30 * time.Millisecond
	// openAttempt is the time after which callers abandon a flow that did not open.
	openAttempt = 1400 * time.Millisecond
)

// openCopiesDue are the times after the first transmission of an opening packet at which callers retransmit it.
var openCopiesDue = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// HeldFlow is a flow whose opening packet was held, with the verdict that ends its wait.
type HeldFlow struct {
	Flow    wire.FlowKey
	Verdict Verdict
}

// heldOpen is an opening packet that waits, or that waited and was dropped.
type heldOpen struct {
	packet platform.Packet
	// service is the one whose limit the packet waits for.
	service string
	// firstAt is when the caller first sent the packet, as far as the daemon can tell.
	firstAt time.Time
	// copies is the number of retransmissions that were received.
	copies uint32
	// isComplete means that all copies up to the last one were received by this daemon, so that no other daemon can
	// have placed the flow.
	isComplete bool
}

// admissionQueue is the admission of one daemon with its waiting packets.
type admissionQueue struct {
	controller *admission.Controller
	held       map[wire.FlowKey]*heldOpen
	// unanswered holds the flows that were placed but did not open, with the time of the opening packet. Their
	// retransmissions do not wait.
	unanswered map[wire.FlowKey]time.Time
}

// newAdmissionQueue returns the admission of a Steerer, or nil if it is off.
func newAdmissionQueue(s *Steerer) *admissionQueue {
	if !s.options.Admission || s.options.FleetSize == nil {
		return nil
	}
	return &admissionQueue{
		held: map[wire.FlowKey]*heldOpen{}, unanswered: map[wire.FlowKey]time.Time{},
		controller: admission.New(admission.Options{
			FleetSize: func() (int, bool) {
				daemons, isKnown := s.options.FleetSize()
				return daemons, isKnown && !s.spread.isSpread()
			},
			InProgress: func(service string, priority int, now time.Time) int {
				classes := s.costs.byService[service]
				return s.work.InService(service, priority, now, func(key uint64) bool {
					return !s.tracker.IsSuspect(key, now) && (classes == nil || !classes.slow[key])
				})
			},
		}),
	}
}

// admit reports whether the caller has to place the flow of an opening packet now. Otherwise it returns the verdict:
// the packet waits, is refused, or its flow was placed on an idle upstream. A flow that was placed before, or is open,
// is always admitted: only the callers of flows that were never placed may be refused.
func (s *Steerer) admit(known state, route *catalog.Route, service string, p platform.Packet, now time.Time) (Verdict, bool) {
	a := s.admission
	if a == nil || route.Objective == 0 {
		return Verdict{}, true
	}
	if f := s.flows[p.Flow]; f != nil && !f.isFinished {
		return Verdict{}, true
	}
	if _, wasPlaced := a.unanswered[p.Flow]; wasPlaced {
		delete(a.unanswered, p.Flow)
		return Verdict{}, true
	}
	h := a.held[p.Flow]
	if h != nil {
		h.isComplete = h.isComplete && p.Acknowledged <= h.copies+1
		h.copies = max(h.copies, p.Acknowledged)
		if a.controller.IsWaiting(p.Flow) {
			return drop(ReasonAdmissionWait), false
		}
	}
	if a.controller.IsLimited(service) {
		if v, isPlaced := s.placeOnIdle(known, route, service, p, now); isPlaced {
			delete(a.held, p.Flow)
			return v, false
		}
	}
	waited := waitedBefore(p.Acknowledged)
	if h == nil {
		h = &heldOpen{packet: p, firstAt: now.Add(-waited), copies: p.Acknowledged, isComplete: p.Acknowledged == 0}
	}
	decision := a.controller.Open(admission.Opening{
		Flow: p.Flow, Service: service, Priority: route.Priority, Objective: route.Objective, Waited: waited,
		Bytes: platform.HeaderBytes + p.PayloadBytes,
	}, s.placeableSlots(known, service, now), now)
	switch decision {
	case admission.Wait:
		h.service = service
		a.held[p.Flow] = h
		return Verdict{Action: ActionHold, Reason: ReasonAdmissionWait}, false
	case admission.Refuse:
		// A retransmission whose earlier copies this daemon has not received may belong to a flow that another
		// daemon has placed. Such a flow may be open, so that it must not be reset.
		if h.isComplete {
			delete(a.held, p.Flow)
			return reset(ReasonOverloaded), false
		}
		return drop(ReasonOverloaded), false
	default:
		delete(a.held, p.Flow)
		return Verdict{}, true
	}
}

// waitedBefore returns for how long the caller has waited when it sends a retransmission of an opening packet.
func waitedBefore(retransmissions uint32) time.Duration {
	if retransmissions == 0 {
		return 0
	}
	return openCopiesDue[min(int(retransmissions), len(openCopiesDue))-1]
}

// placeableSlots returns the slots of the upstreams of a service that accept flows and are not suspect.
func (s *Steerer) placeableSlots(known state, service string, now time.Time) int {
	slots := 0
	upstreams := known.Placeable(service, known.upstreamsValidatedAt)
	classes := s.costs.classes(service, upstreams, now)
	for _, u := range upstreams {
		if !s.tracker.IsSuspect(u.Key, now) && !classes.slow[u.Key] {
			slots += u.Slots
		}
	}
	return slots
}

// NextHeldAt returns when TakeHeld has to be called again at the latest, the zero time if no packet waits.
func (s *Steerer) NextHeldAt() time.Time {
	if s.admission == nil {
		return time.Time{}
	}
	return s.admission.controller.NextAt()
}

// TakeHeld returns the flows whose opening packets have ceased to wait, with the verdicts on them.
func (s *Steerer) TakeHeld(now time.Time) []HeldFlow {
	a := s.admission
	if a == nil || a.controller.WaitingCount() == 0 {
		return nil
	}
	s.maintain(now)
	known := s.readState()
	flows := s.placeHeldOnIdle(known, now)
	release, refuse := a.controller.Next(now)
	for _, key := range release {
		if h := a.held[key]; h != nil {
			delete(a.held, key)
			flows = append(flows, HeldFlow{key, s.placeHeld(known, h, now)})
			if f := s.flows[key]; f != nil {
				f.releasedAt = now
			}
		}
	}
	for _, key := range refuse {
		if h := a.held[key]; h != nil {
			flows = append(flows, HeldFlow{key, s.refuseHeld(key, h, now)})
		}
	}
	return flows
}

// placeHeld places a released flow on the service whose limit released it, if the route still has it.
func (s *Steerer) placeHeld(known state, h *heldOpen, now time.Time) Verdict {
	route := known.Route(h.packet.Flow.Service())
	if route == nil {
		return s.refuseRoute(now)
	}
	service := h.service
	if !slices.ContainsFunc(route.Targets, func(t catalog.Target) bool { return t.Service == service && t.Weight > 0 }) {
		service = s.chooseService(route)
	}
	return s.placeOn(known, route, service, h.packet, now)
}

// refuseHeld returns the verdict on a flow that has waited too long. If a retransmission is due that this daemon
// has not received, another daemon may have received it and opened the flow. Then the packet is dropped, and a
// retransmission that arrives here later is refused.
func (s *Steerer) refuseHeld(key wire.FlowKey, h *heldOpen, now time.Time) Verdict {
	isCopyDue := int(h.copies) < len(openCopiesDue) && now.Sub(h.firstAt) > openCopiesDue[h.copies]-copyMargin
	if isCopyDue || !h.isComplete {
		return drop(ReasonOverloaded)
	}
	delete(s.admission.held, key)
	return reset(ReasonOverloaded)
}

// cancelHeld removes the waiting packet of a flow whose caller has sent another packet.
func (s *Steerer) cancelHeld(key wire.FlowKey) {
	if s.admission != nil && len(s.admission.held) > 0 {
		s.admission.controller.Cancel(key)
		delete(s.admission.held, key)
	}
}

// recordUnanswered records that a flow was placed and did not open.
func (a *admissionQueue) recordUnanswered(key wire.FlowKey, sentAt time.Time) {
	if a != nil {
		a.unanswered[key] = sentAt
	}
}

// maintain drops flows that their callers have abandoned, and services that have no upstream any more.
func (a *admissionQueue) maintain(known state, now time.Time) {
	if a == nil {
		return
	}
	for key, h := range a.held {
		if !a.controller.IsWaiting(key) && now.Sub(h.firstAt) > openAttempt {
			delete(a.held, key)
		}
	}
	for key, sentAt := range a.unanswered {
		if now.Sub(sentAt) > openAttempt {
			delete(a.unanswered, key)
		}
	}
	a.controller.Maintain(func(service string) bool {
		return len(known.Placeable(service, known.upstreamsValidatedAt)) > 0
	}, now)
}

// TakeAdmissionChanges returns the services that have begun or ceased to be limited since the last call.
func (s *Steerer) TakeAdmissionChanges() []admission.Change {
	if s.admission == nil {
		return nil
	}
	return s.admission.controller.TakeChanges()
}

// AdmissionGauges returns the state of admission by service, nil if it is off.
func (s *Steerer) AdmissionGauges() map[string]admission.Gauge {
	if s.admission == nil {
		return nil
	}
	return s.admission.controller.Gauges()
}

// IsHeld reports whether the opening packet of a flow waits.
func (s *Steerer) IsHeld(key wire.FlowKey) bool {
	return s.admission != nil && s.admission.controller.IsWaiting(key)
}
