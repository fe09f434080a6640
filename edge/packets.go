package edge

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/outlier"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// batchSize is the maximum number of packets that one read returns.
	batchSize = 32
	// initialStateTimeout bounds how long packets wait in the socket after a start until routes and
	// upstreams are known. A caller retransmits an opening packet after 200 ms and 600 ms and gives
	// up after 1.4 s, so a later response would be useless.
	initialStateTimeout = time.Second
	// statePollInterval is how often the daemon checks whether routes and upstreams are known,
	// about the response time of the store.
	statePollInterval = 5 * time.Millisecond
)

// packetLoop reads packets, obtains verdicts on them, and forwards them. It is not safe for
// concurrent use.
type packetLoop struct {
	conn        wire.Conn
	steerer     *inband.Steerer
	catalog     *catalog.Catalog
	counters    *telemetry.Counters
	verdicts    verdictCounters
	latency     latencies
	costs       *costMetrics
	logger      zerolog.Logger
	lineLimiter rateLimiter
	output      *asyncWriter
	peers       reportPeers
	pauses      *pauseDetector
	// accountSuspension makes the records as old as they are after a suspension of this VM.
	accountSuspension func() time.Duration
	// validatedAt returns when the upstreams were last known to be the latest, and configValidatedAt the
	// same for the configuration.
	validatedAt, configValidatedAt func() time.Time
	// validatedBy returns what showed that the records of a kind were the latest then.
	validatedBy func(store.Kind) discovery.Validation
	// sendBuffer is reused for all datagrams that are sent.
	sendBuffer []byte
	// lastPacketAt is the time of the last packet. It shows a daemon that is shutting down when
	// routers have stopped sending.
	lastPacketAt *atomicTime
	// evacuatedFlows is the number of open flows by evacuated zone, for the metrics.
	evacuatedFlows        atomic.Pointer[map[string]int]
	evacuatedFlowsCounted time.Time
	holding               holding
}

// evacuatedFlowsInterval is how often the open flows of evacuated zones are counted.
const evacuatedFlowsInterval = time.Second

// countEvacuatedFlows counts the open flows of evacuated zones once per evacuatedFlowsInterval.
func (l *packetLoop) countEvacuatedFlows(now time.Time) {
	if now.Sub(l.evacuatedFlowsCounted) < evacuatedFlowsInterval {
		return
	}
	l.evacuatedFlowsCounted = now
	counts := l.steerer.FlowsInEvacuatedZones()
	l.evacuatedFlows.Store(&counts)
}

// reportPeers exchanges reports on upstreams' response times with other daemons.
type reportPeers interface {
	Reports() <-chan outlier.Report
	PublishReports(reports []outlier.Report)
}

// verdictCounters holds one counter for each action and reason.
type verdictCounters [inband.ActionCount][inband.ReasonCount]metrics.Counter

func newVerdictCounters(counters *telemetry.Counters) verdictCounters {
	var c verdictCounters
	for a := range c {
		for r := range c[a] {
			c[a][r] = counters.Counter(inband.Action(a).String() + "." + inband.Reason(r).String())
		}
	}
	return c
}

func (c *verdictCounters) count(v inband.Verdict) { c[v.Action][v.Reason].Inc(1) }

// latencies are distributions in microseconds.
type latencies struct {
	// openToAcknowledged is the time from an opening packet to the caller's first acknowledgement.
	openToAcknowledged metrics.Histogram
	// upstreamsAge is the time since the upstreams were validated when a flow is assigned to one.
	upstreamsAge metrics.Histogram
}

func newLatencies(counters *telemetry.Counters) latencies {
	return latencies{
		openToAcknowledged: counters.Distribution("latency.open_to_acknowledged_us"),
		upstreamsAge:       counters.Distribution("latency.age_of_upstreams_us"),
	}
}

// recordLatencies records the open latency in a verdict and, when an opening packet is placed, the time
// since the upstreams were validated.
func (l *packetLoop) recordLatencies(p platform.Packet, v inband.Verdict, now time.Time) {
	if v.OpenLatency > 0 {
		l.latency.openToAcknowledged.Update(v.OpenLatency.Microseconds())
	}
	if !p.Opens || v.Upstream == nil {
		return
	}
	if validatedAt := l.validatedAt(); !validatedAt.IsZero() {
		l.latency.upstreamsAge.Update(now.Sub(validatedAt).Microseconds())
	}
}

// run handles packets until the connection is closed.
func (l *packetLoop) run(ctx context.Context) error {
	began := time.Now()
	deadline := began.Add(initialStateTimeout)
	for ctx.Err() == nil && !l.catalog.Current().IsComplete() && time.Now().Before(deadline) {
		time.Sleep(statePollInterval)
	}
	l.logger.Info().Str("event", eventReady).Bool("state_known", l.catalog.Current().IsComplete()).
		Dur("after_ms", time.Since(began)).Send()
	batch := make([]wire.Datagram, batchSize)
	for {
		l.setWakeup()
		n, err := l.conn.ReadBatch(batch)
		if errors.Is(err, wire.ErrClosed) {
			return nil
		}
		if err != nil && !errors.Is(err, wire.ErrTimeout) {
			return fmt.Errorf("read packets: %w", err)
		}
		l.accountSuspension()
		now := time.Now()
		if n > 0 {
			l.lastPacketAt.set(now)
		}
		l.steerer.RecordResumption(l.pauses.lastResumption(now))
		l.recordReports(now)
		for _, d := range batch[:n] {
			l.handlePacket(d.Data, now)
		}
		l.handleHeld(now)
		l.countEvacuatedFlows(now)
		if reports := l.steerer.TakeReports(); len(reports) > 0 {
			l.peers.PublishReports(reports)
		}
	}
}

// recordReports passes the reports of other daemons that have arrived to the steerer.
func (l *packetLoop) recordReports(now time.Time) {
	for {
		select {
		case r := <-l.peers.Reports():
			l.steerer.RecordReport(r, now)
		default:
			return
		}
	}
}

// handlePacket obtains the verdict on a packet and carries it out: it forwards the packet, resets the
// caller, or drops the packet. It also resets the callers of flows that have ended.
func (l *packetLoop) handlePacket(raw []byte, now time.Time) {
	p, err := platform.ParsePacket(raw)
	if err != nil {
		l.counters.CountDrop("malformed")
		return
	}
	l.carryOut(raw, p, l.steerer.Decide(p, now), now)
	l.handleHeld(now)
}

// carryOut carries out the verdict on a packet.
func (l *packetLoop) carryOut(raw []byte, p platform.Packet, v inband.Verdict, now time.Time) {
	var err error
	l.verdicts.count(v)
	l.recordLatencies(p, v, now)
	l.logVerdict(p, v, now)
	switch v.Action {
	case inband.ActionHold:
		l.holding.add(p.Flow, raw)
	case inband.ActionForward:
		if p.Opens {
			platform.SetToken(raw, v.Upstream.Token(p.Flow.Service()))
		}
		l.sendBuffer = append(l.sendBuffer[:0], make([]byte, platform.EnvelopeBytes)...)
		platform.SetInstance(l.sendBuffer, v.Upstream.Instance)
		l.sendBuffer = append(l.sendBuffer, raw...)
		err = l.conn.Send(v.Upstream.Address, l.sendBuffer)
	case inband.ActionReset:
		l.sendBuffer = platform.AppendReset(l.sendBuffer[:0], p.Flow, p.Acknowledged)
		err = l.conn.Send(platform.CallerAddress(p.Flow, l.conn.LocalAddr().Port()), l.sendBuffer)
		l.countRefusal(p.Flow, v)
	}
	l.recordSendError(p.Flow, err, now)
	l.logHealthChanges(now)
	l.logOutlierChanges(now)
	l.recordCosts(now)
	for _, e := range l.steerer.TakeEndedFlows() {
		l.counters.Count("ended." + e.Reason.String())
		if l.allowLine(now) {
			line := l.logger.Info().Str("event", eventFlowEnded).Stringer("flow", e.Flow).Stringer("reason", e.Reason).
				Str("upstream", e.Upstream.ID).Str("zone", e.Upstream.Zone).Int64("started_at", e.Upstream.StartedAt)
			l.addProof(line, e.Reason, e.OpenFor).Int64("upstreams_age_ms", ageMilliseconds(l.validatedAt())).Send()
		}
		l.sendBuffer = platform.AppendReset(l.sendBuffer[:0], e.Flow, e.Acknowledged)
		l.recordSendError(e.Flow, l.conn.Send(platform.CallerAddress(e.Flow, l.conn.LocalAddr().Port()), l.sendBuffer), now)
	}
}

// recordSendError counts and logs a datagram that could not be sent. It does nothing if err is nil.
func (l *packetLoop) recordSendError(flow wire.FlowKey, err error, now time.Time) {
	if err != nil && !errors.Is(err, wire.ErrClosed) {
		// A datagram that could not be sent counts as lost; its sender retransmits it.
		l.counters.CountDrop("send_failed")
		if l.allowLine(now) {
			l.logger.Warn().Str("event", eventPacketSendError).Stringer("flow", flow).Err(err).Send()
		}
	}
}

// logHealthChanges writes a line for each change of an upstream's health state.
func (l *packetLoop) logHealthChanges(now time.Time) {
	for _, c := range l.steerer.TakeHealthChanges() {
		l.counters.Count("upstream." + c.State)
		u := l.catalog.Current().Upstream(c.Upstream)
		if u == nil || !l.allowLine(now) {
			continue
		}
		l.logger.Info().Str("event", eventUpstreamHealth).Str("upstream", u.ID).Str("zone", u.Zone).
			Str("belief", c.State).Str("evidence", c.Evidence).Send()
	}
}

// logOutlierChanges writes a line for each upstream that begins or ceases to be an outlier.
func (l *packetLoop) logOutlierChanges(now time.Time) {
	for _, c := range l.steerer.TakeOutlierChanges() {
		l.counters.Count("outlier." + c.State.String())
		u := l.catalog.Current().Upstream(c.Upstream)
		if u == nil || !l.allowLine(now) {
			continue
		}
		l.logger.Info().Str("event", eventUpstreamOutlier).Str("upstream", u.ID).Str("zone", u.Zone).
			Stringer("state", c.State).Str("evidence", c.Evidence).Send()
	}
}

// allowLine reports whether a line about a single flow may be written. If it may, it first logs how
// many lines were dropped or suppressed before.
func (l *packetLoop) allowLine(now time.Time) bool {
	if !l.lineLimiter.allow(now) {
		return false
	}
	if dropped := l.output.takeDropped(); dropped > 0 {
		l.counters.Add("log.reader_slow", dropped)
		l.logger.Warn().Str("event", eventLinesDropped).Int64("lines", dropped).Send()
	}
	if count := l.lineLimiter.suppressed; count > 0 {
		l.lineLimiter.suppressed = 0
		l.counters.Add("log.left_out", count)
		l.logger.Warn().Str("event", eventLinesSuppressed).Int64("lines", count).Send()
	}
	return true
}

// addProof adds to the line about the end of an open flow what the end rests on, and what validated the records.
func (l *packetLoop) addProof(line *zerolog.Event, r inband.Reason, openFor time.Duration) *zerolog.Event {
	return line.Dur("open_for_ms", openFor).Str("proof", r.Proof()).
		Stringer("generation_validated_by", l.validatedBy(platform.KindConfiguration)).
		Stringer("upstreams_validated_by", l.validatedBy(platform.KindUpstreams))
}

// logVerdict writes a line for each verdict, except for packets of open flows that are forwarded as usual
// and for repeated verdicts, which are only counted. The rate of the lines is limited.
func (l *packetLoop) logVerdict(p platform.Packet, v inband.Verdict, now time.Time) {
	if v.Reason == inband.ReasonOpen || v.IsRepeated || !l.allowLine(now) {
		return
	}
	line := l.logger.Info().Str("event", eventFlow).Stringer("flow", p.Flow).
		Stringer("action", v.Action).Stringer("reason", v.Reason).Uint32("token", p.Token)
	if v.Upstream != nil {
		line = line.Str("upstream", v.Upstream.ID).Str("zone", v.Upstream.Zone).Int64("started_at", v.Upstream.StartedAt)
	}
	if v.Action == inband.ActionReset && !p.Opens {
		line = l.addProof(line, v.Reason, v.OpenFor)
	}
	snapshot := l.catalog.Current()
	if c := snapshot.Config; c != nil {
		line = line.Int64("generation", c.Version).Int64("generation_age_ms", ageMilliseconds(l.configValidatedAt())).
			Bool("route_known", snapshot.Route(p.Flow.Service()) != nil)
	}
	line.Int64("upstreams_age_ms", ageMilliseconds(l.validatedAt())).Int("flows", l.steerer.FlowCount()).Send()
}
