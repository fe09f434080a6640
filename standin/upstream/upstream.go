package upstream

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Distribution is the probability distribution of the service times.
type Distribution string

// Distributions of service times.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	// HeavyTailed is a Pareto distribution.
	HeavyTailed Distribution = "heavy-tailed"
)

const (
	// paretoShape gives a finite variance with one request in 100 above 4.5 times the mean.
	paretoShape = 2.1
	// maxServiceFactor limits a drawn service time as a multiple of the mean, so that a single
	// request does not take longer than the whole run.
	maxServiceFactor = 50
	readBatch        = 64
	// readRetryWait is the pause after a failed read, after which a UDP socket is still usable. It
	// keeps a persistent error from occupying a core.
	readRetryWait = 10 * time.Millisecond
)

// Config holds the settings of one stand-in.
type Config struct {
	Name string
	// Service is the address of the only service that this upstream belongs to.
	Service netip.AddrPort
	// ServiceNumber is the service's number; 0 means that the first packet sets it.
	ServiceNumber uint32
	Slots         int
	// Queue is the number of requests that may wait for a slot. Further requests are shed.
	Queue        int
	MeanService  time.Duration
	Distribution Distribution
	Seed         uint64
	Log          zerolog.Logger
}

// Upstream is one stand-in. Its methods may be called concurrently.
type Upstream struct {
	config   Config
	conn     wire.Conn
	counters *telemetry.Counters

	mu            sync.Mutex
	rng           *rand.Rand
	serviceNumber uint32
	flows         map[wire.FlowKey]*flow
	running       map[*work]struct{}
	queue         []*work
	runs          map[runKey]*run
	transmissions transmissions
	lastOpen      time.Time
	faults        faults
	closed        bool
}

type flow struct {
	// service and upstream are the numbers in the last packet of the flow. Every packet to the caller
	// echoes the numbers of the packet that it answers.
	service, upstream uint32
	muted             bool
}

// New returns a stand-in that serves conn once Run is called.
func New(c Config, conn wire.Conn) *Upstream {
	return &Upstream{
		config: c, conn: conn, counters: telemetry.NewCounters(),
		rng:           rand.New(rand.NewPCG(c.Seed, c.Seed)),
		serviceNumber: c.ServiceNumber,
		flows:         map[wire.FlowKey]*flow{}, running: map[*work]struct{}{}, runs: map[runKey]*run{},
	}
}

// Run handles packets until Close and then returns nil.
func (u *Upstream) Run() error {
	batch := make([]wire.Datagram, readBatch)
	for {
		n, err := u.conn.ReadBatch(batch)
		if errors.Is(err, wire.ErrClosed) {
			return nil
		}
		if err != nil {
			u.counters.CountDrop("read_error")
			time.Sleep(readRetryWait)
			continue
		}
		for _, d := range batch[:n] {
			u.waitWhilePaused()
			u.receive(d.Data)
		}
	}
}

// Close stops Run and all running work.
func (u *Upstream) Close() error {
	u.mu.Lock()
	u.closed = true
	for w := range u.running {
		w.timer.Stop()
	}
	u.mu.Unlock()
	if err := u.conn.Close(); err != nil {
		return fmt.Errorf("close %s: %w", u.config.Name, err)
	}
	return nil
}

func (u *Upstream) receive(raw []byte) {
	p, err := wire.DecodePacket(raw)
	if err != nil {
		u.counters.CountDrop("malformed")
		return
	}
	key := wire.FlowKeyFromProto(p.GetFlow())
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || !u.belongsToService(p, key) {
		return
	}
	f, known := u.flows[key]
	if known {
		f.service, f.upstream = p.GetService(), p.GetUpstream()
		if f.muted {
			u.counters.CountDrop("muted")
			return
		}
	}
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		u.open(p, key)
	case pb.Kind_KIND_CLOSE, pb.Kind_KIND_RESET:
		u.counters.Count("closed")
		delete(u.flows, key)
	case pb.Kind_KIND_CANCEL:
		u.cancel(key, p.GetRequestId())
	case pb.Kind_KIND_REQUEST, pb.Kind_KIND_KEEPALIVE, pb.Kind_KIND_DATA:
		if !known && !p.GetStandalone() {
			u.refuseFlow(p, pb.Reason_REASON_UNKNOWN_FLOW)
			return
		}
		u.handleEstablished(p, key)
	default:
		u.counters.CountDrop("unexpected_kind")
	}
}

// belongsToService reports whether the packet belongs to this upstream's service. It counts and
// logs a packet of another service, which a balancer must never send.
func (u *Upstream) belongsToService(p *pb.Packet, key wire.FlowKey) bool {
	rightAddress := key.Service() == u.config.Service
	if rightAddress && u.serviceNumber == 0 {
		u.serviceNumber = p.GetService()
	}
	if rightAddress && p.GetService() == u.serviceNumber {
		return true
	}
	u.counters.Count("wrong_service")
	u.config.Log.Error().Str("event", "wrong_service").Str("upstream", u.config.Name).
		Stringer("flow", key).Uint32("service", p.GetService()).Send()
	return false
}

func (u *Upstream) open(p *pb.Packet, key wire.FlowKey) {
	if u.faults.draining {
		u.refuseFlow(p, pb.Reason_REASON_UPSTREAM_DRAINING)
		return
	}
	if _, known := u.flows[key]; !known {
		u.counters.Count("opened")
		u.lastOpen = time.Now()
		u.flows[key] = &flow{}
	}
	u.flows[key].service, u.flows[key].upstream = p.GetService(), p.GetUpstream()
	u.send(reply(p, pb.Kind_KIND_OPENED))
}

func (u *Upstream) handleEstablished(p *pb.Packet, key wire.FlowKey) {
	switch p.GetKind() {
	case pb.Kind_KIND_REQUEST:
		if w := u.transmissions.find(p.GetTransmission()); w != nil {
			u.handleRepeated(w)
			return
		}
		u.handleRequest(p, key)
	case pb.Kind_KIND_KEEPALIVE:
		u.send(reply(p, pb.Kind_KIND_KEEPALIVE_ACK))
	default:
		r := reply(p, pb.Kind_KIND_DATA)
		r.Payload = p.GetPayload()
		u.send(r)
	}
}

func (u *Upstream) refuseFlow(p *pb.Packet, reason pb.Reason) {
	u.counters.CountRefusal(reason)
	r := reply(p, pb.Kind_KIND_RESET)
	r.Reason = reason
	u.send(r)
}

// reply returns a packet to the caller of p, with the flow, ids and tokens of p.
func reply(p *pb.Packet, kind pb.Kind) *pb.Packet {
	return &pb.Packet{
		Flow: p.GetFlow(), Kind: kind, RequestId: p.GetRequestId(), Attempt: p.GetAttempt(),
		GuardToken: p.GetGuardToken(), Service: p.GetService(), Upstream: p.GetUpstream(),
		VerificationTag: p.GetVerificationTag(),
	}
}

// send adds the load report and sends the packet to the service address of its flow.
func (u *Upstream) send(p *pb.Packet) {
	if u.faults.silent {
		u.counters.CountDrop("silent")
		return
	}
	p.Load = u.loadReport()
	raw, err := wire.EncodePacket(p)
	if err != nil {
		u.counters.CountDrop("encode_error")
		return
	}
	if err := u.conn.Send(wire.FlowKeyFromProto(p.GetFlow()).Service(), raw); err != nil {
		u.counters.CountDrop("send_error")
	}
}

// drawServiceTime draws the service time of a request, extended during a cold start.
func (u *Upstream) drawServiceTime() time.Duration {
	factor := 1.0
	switch u.config.Distribution {
	case Exponential:
		factor = u.rng.ExpFloat64()
	case HeavyTailed:
		scale := (paretoShape - 1) / paretoShape
		factor = scale / math.Pow(1-u.rng.Float64(), 1/paretoShape)
	}
	factor = min(factor, maxServiceFactor) * u.faults.coldFactor(time.Now())
	return time.Duration(factor * float64(u.config.MeanService))
}
