package edge

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fulmarfield/fulmarfield/admission"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// admissionOn is the value of the setting admission that turns it on.
	admissionOn = "on"
	// gaugeInterval is how often the state of admission is published for the metrics.
	gaugeInterval = time.Second
)

// holding keeps the bytes of opening packets that wait for admission. Admission bounds their number and size.
type holding struct {
	packets map[wire.FlowKey][]byte
	// hasDeadline is set while the connection has a read deadline.
	hasDeadline bool
	gauges      atomic.Pointer[admissionGauges]
	gaugesAt    time.Time
}

// admissionGauges is the state of admission for the metrics.
type admissionGauges struct {
	held     int
	services map[string]admission.Gauge
}

// add keeps a copy of a packet.
func (h *holding) add(flow wire.FlowKey, raw []byte) {
	if h.packets == nil {
		h.packets = map[wire.FlowKey][]byte{}
	}
	h.packets[flow] = slices.Clone(raw)
}

// take removes and returns the packet of a flow, nil if there is none.
func (h *holding) take(flow wire.FlowKey) []byte {
	raw := h.packets[flow]
	delete(h.packets, flow)
	return raw
}

// addGauges adds the gauges of admission to the metrics. Factors are in thousandths.
func (h *holding) addGauges(values map[string]int64) {
	g := h.gauges.Load()
	if g == nil {
		return
	}
	values["admission.held"] = int64(g.held)
	for name, s := range g.services {
		values["admission."+name+".limit"] = int64(s.Limit)
		values["admission."+name+".factor_milli"] = int64(1000 * s.Factor)
		values["admission."+name+".waiting"] = int64(s.Waiting)
	}
}

// setWakeup makes the next read end when a waiting packet has to be examined again. It does nothing while no
// packet waits.
func (l *packetLoop) setWakeup() {
	at := l.steerer.NextHeldAt()
	if at.IsZero() && !l.holding.hasDeadline {
		return
	}
	reader, ok := l.conn.(wire.DeadlineReader)
	if !ok {
		return
	}
	if err := reader.SetReadDeadline(at); err != nil {
		if !errors.Is(err, wire.ErrClosed) && l.allowLine(time.Now()) {
			l.logger.Warn().Str("event", eventReadDeadlineError).Err(err).Send()
		}
		return
	}
	l.holding.hasDeadline = !at.IsZero()
}

// handleHeld carries out the verdicts on the packets that have ceased to wait, and publishes the state of admission.
func (l *packetLoop) handleHeld(now time.Time) {
	for _, f := range l.steerer.TakeHeld(now) {
		raw := l.holding.take(f.Flow)
		p, err := platform.ParsePacket(raw)
		if err != nil {
			l.counters.CountDrop("held_packet_missing")
			continue
		}
		l.carryOut(raw, p, f.Verdict, now)
	}
	l.publishAdmission(now)
}

// publishAdmission logs the services that begin or cease to be limited, and publishes the gauges once per
// gaugeInterval. Packets that were cancelled are dropped then.
func (l *packetLoop) publishAdmission(now time.Time) {
	for _, c := range l.steerer.TakeAdmissionChanges() {
		event := eventUnlimited
		if c.IsLimited {
			event = eventLimited
		}
		l.counters.Count(event)
		if l.allowLine(now) {
			l.logger.Info().Str("event", event).Str("service", c.Service).Float64("limit", c.Limit).
				Int("in_progress", c.InProgress).Float64("factor", c.Factor).Send()
		}
	}
	if now.Sub(l.holding.gaugesAt) < gaugeInterval {
		return
	}
	l.holding.gaugesAt = now
	for flow := range l.holding.packets {
		if !l.steerer.IsHeld(flow) {
			delete(l.holding.packets, flow)
		}
	}
	if services := l.steerer.AdmissionGauges(); services != nil {
		l.holding.gauges.Store(&admissionGauges{len(l.holding.packets), services})
	}
}

// countRefusal counts a caller that is refused because of overload by the priority of its route.
func (l *packetLoop) countRefusal(flow wire.FlowKey, v inband.Verdict) {
	if v.Reason != inband.ReasonOverloaded {
		return
	}
	if route := l.catalog.Current().Route(flow.Service()); route != nil {
		l.counters.Count(fmt.Sprintf("refused.priority_%d", route.Priority))
	}
}
