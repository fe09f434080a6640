package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// batchSize bounds the packets that are read at once.
	batchSize = 32
	// firstStateWait is how long packets may wait in the socket for the first state after a
	// start. A caller repeats an opening packet after 200 ms and 600 ms and gives up after
	// 1.4 s, so later ones would be answered in vain.
	firstStateWait = time.Second
	// statePoll is how often the first state is looked for, about the time of a store's answer.
	statePoll = 5 * time.Millisecond
)

// packetLoop reads packets, has them decided on, and sends them on. It belongs to one task.
type packetLoop struct {
	conn     wire.Conn
	steerer  *inband.Steerer
	catalog  *catalog.Catalog
	counters *telemetry.Counters
	verdicts verdictCounters
	latency  latencies
	logger   zerolog.Logger
	budget   lineBudget
	output   *asyncWriter
	// confirmedAt returns when the upstreams were last known to be the newest.
	confirmedAt func() time.Time
	// out is reused for each datagram to an upstream.
	out []byte
	// lastPacket tells a leaving daemon when routers have stopped sending.
	lastPacket *atomicTime
}

// verdictCounters are one counter for each action and reason.
type verdictCounters [inband.ActionCount][inband.ReasonCount]metrics.Counter

func newVerdictCounters(counters *telemetry.Counters) verdictCounters {
	var c verdictCounters
	for a := range c {
		for r := range c[a] {
			c[a][r] = counters.Named(inband.Action(a).String() + "." + inband.Reason(r).String())
		}
	}
	return c
}

func (c *verdictCounters) count(v inband.Verdict) { c[v.Action][v.Reason].Inc(1) }

// latencies are distributions in microseconds.
type latencies struct {
	// opened is the time from an opening packet to the caller's first acknowledgement.
	opened metrics.Histogram
	// stateAge is the age of the upstreams when a flow is placed.
	stateAge metrics.Histogram
}

func newLatencies(counters *telemetry.Counters) latencies {
	return latencies{
		opened:   counters.Distribution("latency.open_to_acknowledged_us"),
		stateAge: counters.Distribution("latency.age_of_upstreams_us"),
	}
}

// observe notes what a decision shows.
func (l *packetLoop) observe(p platform.Packet, v inband.Verdict, now time.Time) {
	if v.OpenLatency > 0 {
		l.latency.opened.Update(v.OpenLatency.Microseconds())
	}
	if !p.Opens || v.Upstream == nil {
		return
	}
	if confirmedAt := l.confirmedAt(); !confirmedAt.IsZero() {
		l.latency.stateAge.Update(now.Sub(confirmedAt).Microseconds())
	}
}

// run handles packets until the connection is closed.
func (l *packetLoop) run(ctx context.Context) error {
	began := time.Now()
	deadline := began.Add(firstStateWait)
	for ctx.Err() == nil && !l.catalog.Current().IsComplete() && time.Now().Before(deadline) {
		time.Sleep(statePoll)
	}
	l.logger.Info().Str("event", eventReady).Bool("state_known", l.catalog.Current().IsComplete()).
		Dur("after_ms", time.Since(began)).Send()
	batch := make([]wire.Datagram, batchSize)
	for {
		n, err := l.conn.ReadBatch(batch)
		if errors.Is(err, wire.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read packets: %w", err)
		}
		now := time.Now()
		l.lastPacket.set(now)
		for _, d := range batch[:n] {
			l.handle(d.Data, now)
		}
	}
}

func (l *packetLoop) handle(raw []byte, now time.Time) {
	p, err := platform.ParsePacket(raw)
	if err != nil {
		l.counters.Drop("malformed")
		return
	}
	v := l.steerer.Decide(p, now)
	l.verdicts.count(v)
	l.observe(p, v, now)
	l.log(p, v, now)
	switch v.Action {
	case inband.ActionForward:
		if p.Opens {
			platform.SetToken(raw, v.Upstream.Token(p.Flow.Service()))
		}
		l.out = append(l.out[:0], make([]byte, platform.EnvelopeBytes)...)
		platform.SetInstance(l.out, v.Upstream.Instance)
		l.out = append(l.out, raw...)
		err = l.conn.Send(v.Upstream.Address, l.out)
	case inband.ActionReset:
		l.out = platform.AppendReset(l.out[:0], p.Flow, p.Acknowledged)
		err = l.conn.Send(platform.CallerAddress(p.Flow, l.conn.LocalAddr().Port()), l.out)
	}
	l.sendFailed(p.Flow, err, now)
	l.logBeliefs(now)
	for _, e := range l.steerer.TakeEndedFlows() {
		l.counters.Count("ended." + e.Reason.String())
		if l.takeLine(now) {
			l.logger.Info().Str("event", eventFlowEnded).Stringer("flow", e.Flow).Stringer("reason", e.Reason).
				Str("upstream", e.Upstream.ID).Str("zone", e.Upstream.Zone).Send()
		}
		l.out = platform.AppendReset(l.out[:0], e.Flow, e.Acknowledged)
		l.sendFailed(e.Flow, l.conn.Send(platform.CallerAddress(e.Flow, l.conn.LocalAddr().Port()), l.out), now)
	}
}

// sendFailed notes a datagram that could not be sent, if there is an error.
func (l *packetLoop) sendFailed(flow wire.FlowKey, err error, now time.Time) {
	if err != nil && !errors.Is(err, wire.ErrClosed) {
		// A datagram that could not be sent is a lost one; its sender repeats it.
		l.counters.Drop("send_failed")
		if l.takeLine(now) {
			l.logger.Warn().Str("event", eventPacketSendError).Stringer("flow", flow).Err(err).Send()
		}
	}
}

// logBeliefs writes a line for each change of the belief in an upstream.
func (l *packetLoop) logBeliefs(now time.Time) {
	for _, c := range l.steerer.TakeHealthChanges() {
		l.counters.Count("upstream." + c.State)
		u := l.catalog.Current().Upstream(c.Upstream)
		if u == nil || !l.takeLine(now) {
			continue
		}
		l.logger.Info().Str("event", eventUpstreamBelief).Str("upstream", u.ID).Str("zone", u.Zone).
			Str("belief", c.State).Str("evidence", c.Evidence).Send()
	}
}

// takeLine reports whether a line on a single flow may be written, and tells how many were not.
func (l *packetLoop) takeLine(now time.Time) bool {
	if !l.budget.take(now) {
		return false
	}
	if lost := l.output.takeLost(); lost > 0 {
		l.counters.Add("log.reader_slow", lost)
		l.logger.Warn().Str("event", eventLinesLost).Int64("lines", lost).Send()
	}
	if left := l.budget.leftOut; left > 0 {
		l.budget.leftOut = 0
		l.counters.Add("log.left_out", left)
		l.logger.Warn().Str("event", eventLinesLeftOut).Int64("lines", left).Send()
	}
	return true
}

// log writes a line for each decision that starts, ends or loses something; packets of open
// flows that are simply sent on are only counted.
func (l *packetLoop) log(p platform.Packet, v inband.Verdict, now time.Time) {
	if v.Reason == inband.ReasonOpen || v.IsRepeated || !l.takeLine(now) {
		return
	}
	line := l.logger.Info().Str("event", eventFlow).Stringer("flow", p.Flow).
		Stringer("action", v.Action).Stringer("reason", v.Reason).Uint32("token", p.Token)
	if v.Upstream != nil {
		line = line.Str("upstream", v.Upstream.ID).Str("zone", v.Upstream.Zone)
	}
	if c := l.catalog.Current().Config; c != nil {
		line = line.Int64("generation", c.Version)
	}
	line.Int64("upstreams_age_ms", age(l.confirmedAt())).Int("flows", l.steerer.FlowCount()).Send()
}
