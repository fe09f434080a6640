package fleet

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// gossipFanout is the number of daemons to which a daemon sends new advertisements. Each
	// receiver forwards them once, so that with a fanout of 4 they miss about one of 50 daemons.
	gossipFanout = 4
	// maxListedDaemons bounds the number of daemons listed in a datagram.
	maxListedDaemons = 6
	// gossipInterval is how often a daemon without new advertisements sends to one other daemon,
	// well below memberTimeout.
	gossipInterval = time.Second
	// roundsPerSeedContact is the number of rounds after which a daemon sends to the seeds again.
	// So the two sides of a network cut that lasted longer than memberTimeout find each other
	// again.
	roundsPerSeedContact = 10
	// joinInterval is how often a daemon sends while it reaches no other daemon or its records are
	// not validated.
	joinInterval = 200 * time.Millisecond
	// pauseThreshold is the delay of a round from which this VM counts as having been paused.
	// Datagrams that waited in the socket during the pause are older than they state. Therefore the
	// advertisements that are received within the same time after the pause are dropped.
	pauseThreshold = time.Second
	// recordsTimeout bounds a call to another daemon.
	recordsTimeout = 500 * time.Millisecond
	// batchSize is the maximum number of datagrams that one read returns.
	batchSize = 16
)

// ErrNoDaemon means that no other daemon returned its records.
var ErrNoDaemon = errors.New("no other daemon returned its records")

// Options are the dependencies and settings of a Fleet.
type Options struct {
	Conn wire.Conn
	Zone string
	// Seeds returns the addresses of daemons from the settings. They may be outdated.
	Seeds    func() []netip.Addr
	Syncer   *discovery.Syncer
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Transport carries the calls to other daemons; nil selects TCP connections to their internal
	// ports.
	Transport http.RoundTripper
	// CountsDaemons makes Size and Roster known, which costs up to 300 bytes a second.
	CountsDaemons bool
}

// Fleet exchanges advertisements with other daemons. It implements discovery.Peers. Its methods may
// be called concurrently.
type Fleet struct {
	options Options
	port    uint16
	http    *http.Client
	reports *reportRelay
	traffic *trafficBudget
	clock   stampClock
	// questions limits those that this daemon asks.
	questions *questions
	// isLeaving is set when this daemon is shutting down.
	isLeaving atomic.Bool

	// mu is not held during calls of the Syncer, which has a lock of its own.
	mu      sync.Mutex
	members *members
	// tickedAt is the time of the last round, and resumedAt the time at which this VM last resumed
	// after it was paused.
	resumedAt, tickedAt time.Time
	// suspended is for how long this VM had been suspended at the last datagram or round.
	suspended time.Duration
	// census is nil if Options.CountsDaemons is not set.
	census *census
}

// New returns a Fleet without other daemons.
func New(o Options) *Fleet {
	local := o.Conn.LocalAddr()
	if o.Transport == nil {
		dialer := &net.Dialer{Timeout: recordsTimeout}
		o.Transport = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	}
	f := &Fleet{
		options: o, port: local.Port(), members: newMembers(local.Addr()), tickedAt: time.Now(),
		http: &http.Client{Transport: o.Transport}, reports: newReportRelay(), traffic: newTrafficBudget(),
		clock: newStampClock(time.Now()), questions: newQuestions(),
	}
	if o.CountsDaemons {
		f.census = newCensus(local.Addr(), f.tickedAt)
	}
	return f
}

// Run sends and receives gossip until the context is cancelled.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.receive(ctx) })
	group.Go(func() error { return f.gossipLoop(ctx) })
	group.Go(func() error { return f.relayReports(ctx) })
	return group.Wait()
}

// gossipLoop sends to the seeds until another daemon is reachable, and to several daemons until the
// records are validated. After that it sends in each round to one reachable daemon and one
// candidate.
func (f *Fleet) gossipLoop(ctx context.Context) error {
	for round := 0; ; round++ {
		isValidated := len(f.options.Syncer.Advertisements()) == len(f.options.Syncer.Kinds())
		if err := wait.For(ctx, f.runRound(round, isValidated)); err != nil {
			return err
		}
	}
}

// runRound sends the datagrams of a round and returns the time until the next one.
func (f *Fleet) runRound(round int, isValidated bool) time.Duration {
	suspended := f.options.Syncer.AccountSuspension()
	f.mu.Lock()
	now := time.Now()
	f.detectPause(now, suspended)
	f.tickedAt = now
	f.members.expire(now)
	if f.census != nil {
		f.census.sketch.trim(now)
	}
	isAlone := len(f.members.reachable) == 0
	if isAlone {
		f.members.addCandidates(f.options.Seeds(), now)
	}
	to, interval := append(f.members.pick(1), f.members.pickCandidate()...), gossipInterval
	isQuestion := isAlone || !isValidated
	if isQuestion {
		to, interval = f.members.pick(gossipFanout), joinInterval
	}
	f.mu.Unlock()
	f.reports.expire(now)
	if !isAlone && round%roundsPerSeedContact == 0 {
		to = append(to, f.options.Seeds()...)
	}
	f.send(to, message{isQuestion: isQuestion})
	return interval
}

// detectPause records that this VM resumed if it was paused or suspended since the last round. suspended is
// for how long it has been suspended in all. The caller holds f.mu.
func (f *Fleet) detectPause(now time.Time, suspended time.Duration) {
	if now.Sub(f.tickedAt) > gossipInterval+pauseThreshold || suspended-f.suspended > pauseThreshold {
		f.resumedAt = now
		if f.census != nil {
			f.census.startedAt, f.census.takenAt = now, time.Time{}
		}
	}
	if f.census != nil && suspended > f.suspended {
		f.census.sketch.addAge(suspended - f.suspended)
	}
	f.suspended = suspended
}

// Gossip sends the advertisements of this daemon to several other daemons.
func (f *Fleet) Gossip() {
	f.mu.Lock()
	to := f.members.pick(gossipFanout)
	f.mu.Unlock()
	f.send(to, message{})
}

// Leave announces, now and in all later datagrams, that this daemon is shutting down.
func (f *Fleet) Leave() {
	f.isLeaving.Store(true)
	f.Gossip()
}

// DaemonCount returns the number of other daemons that are reachable.
func (f *Fleet) DaemonCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members.reachable)
}

// IsSeed implements discovery.Peers.
func (f *Fleet) IsSeed() bool {
	seeds := f.options.Seeds()
	return len(seeds) == 0 || slices.Contains(seeds, f.members.self)
}

// message is what a datagram contains besides what all contain.
type message struct {
	// isReply is set for the reply to a new daemon.
	isReply bool
	// isQuestion is set to request the advertisements of the receivers.
	isQuestion bool
}

// send sends the advertisements of this daemon, and some addresses of reachable daemons, to the given
// daemons.
func (f *Fleet) send(to []netip.Addr, about message) {
	if len(to) == 0 {
		return
	}
	m := &pb.FleetDatagram{Zone: f.options.Zone, IsLeaving: f.isLeaving.Load(), IsQuestion: about.isQuestion}
	f.mu.Lock()
	for _, a := range shuffled(f.members.reachable) {
		if len(m.Daemons) < maxListedDaemons {
			ip := a.As4()
			m.Daemons = append(m.Daemons, binary.BigEndian.Uint32(ip[:]))
		}
	}
	now := time.Now()
	if f.census != nil {
		m.HeardBelow = f.census.sketch.encodeBelow()
		m.Heard = f.census.payload(len(to), about.isReply, now)
	}
	f.mu.Unlock()
	m.Confirmations = f.confirmations(now)
	f.sendMessage(to, m, now)
}

// confirmations returns the advertisements of this daemon with their ages at a time.
func (f *Fleet) confirmations(now time.Time) []*pb.Confirmation {
	var list []*pb.Confirmation
	for _, ad := range f.options.Syncer.Advertisements() {
		list = append(list, &pb.Confirmation{
			Kind: string(ad.Kind), Digest: ad.Digest, AsOf: uint64(ad.AsOf), ProvenAsOf: uint64(ad.ValidatedVersion),
			AgeMs: ageMilliseconds(now.Sub(ad.ValidatedAt)), Era: uint64(ad.Era),
		})
	}
	return list
}

// sendMessage stamps and encodes a message and sends it to the given daemons, whatever the budget is. The ages in the
// message are as of now.
func (f *Fleet) sendMessage(to []netip.Addr, m *pb.FleetDatagram, now time.Time) {
	suspended := f.options.Syncer.AccountSuspension()
	m.SentAt = f.clock.stamp(time.Now(), suspended)
	raw, err := proto.Marshal(m)
	if err != nil {
		f.options.Logger.Error().Str("event", "fleet_encode_failed").Err(err).Send()
		return
	}
	for _, a := range to {
		stamped, err := proto.MarshalOptions{}.MarshalAppend(slices.Clip(raw), f.echoTo(a, now))
		if err != nil {
			f.options.Logger.Error().Str("event", "fleet_encode_failed").Err(err).Send()
			return
		}
		f.traffic.take(len(stamped)+udpOverheadBytes, now)
		f.sendDatagram([]netip.Addr{a}, stamped)
	}
}

// echoTo returns the part of a message that is different for each receiver. Encoded messages that follow one another
// are decoded as one. The age of the echo is as of now, as all ages in the message: if this process stands still before
// the message is sent, they all are too low by the same time.
func (f *Fleet) echoTo(to netip.Addr, now time.Time) *pb.FleetDatagram {
	f.mu.Lock()
	defer f.mu.Unlock()
	stamp, found := f.members.stamps[to]
	if !found || stamp.receivedAt.After(now) {
		return &pb.FleetDatagram{}
	}
	return &pb.FleetDatagram{Echo: stamp.sentAt, EchoAgeMs: uint32(now.Sub(stamp.receivedAt) / time.Millisecond)}
}

// sendDatagram sends an encoded datagram to the given daemons.
func (f *Fleet) sendDatagram(to []netip.Addr, raw []byte) {
	for _, a := range to {
		if a == f.members.self {
			continue
		}
		f.options.Counters.Add("fleet.sent_bytes", int64(len(raw)))
		if err := f.options.Conn.Send(netip.AddrPortFrom(a, f.port), raw); err != nil {
			// Another daemon, or the next round, sends the same advertisements.
			f.options.Counters.CountDrop("fleet_send_failed")
		}
	}
}

// ageMilliseconds rounds up, so that an age never decreases when it is forwarded. It is limited to
// one hour, which fits the field.
func ageMilliseconds(d time.Duration) uint32 {
	const longest = time.Hour
	return uint32((min(max(d, 0), longest) + time.Millisecond - 1) / time.Millisecond)
}

// receive handles datagrams of other daemons until the connection is closed or the context is cancelled.
func (f *Fleet) receive(ctx context.Context) error {
	batch := make([]wire.Datagram, batchSize)
	for {
		n, err := f.options.Conn.ReadBatch(batch)
		if errors.Is(err, wire.ErrClosed) || ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("read datagrams of other daemons: %w", err)
		}
		for _, d := range batch[:n] {
			f.handleDatagram(d, time.Now())
		}
	}
}

// handleDatagram updates the table of daemons with the sender of a datagram and the addresses in it, and
// evaluates its advertisements, or its reports unless this VM was just paused. It responds to a sender that asks, is
// new or has fewer validated kinds than this daemon. If the advertisements made this daemon's records fresher,
// it sends advertisements to several other daemons; if dated ones would, it asks the sender.
func (f *Fleet) handleDatagram(d wire.Datagram, now time.Time) {
	m := &pb.FleetDatagram{}
	if err := proto.Unmarshal(d.Data, m); err != nil {
		f.options.Counters.CountDrop("fleet_malformed")
		return
	}
	from := d.Addr.Addr()
	suspended := f.options.Syncer.AccountSuspension()
	f.mu.Lock()
	f.detectPause(now, suspended)
	wasPaused := now.Sub(f.resumedAt) < pauseThreshold
	isNew := f.members.recordContact(from, now)
	if m.GetIsLeaving() {
		f.members.remove(from)
	}
	addresses := make([]netip.Addr, 0, len(m.GetDaemons()))
	for _, ip := range m.GetDaemons() {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], ip)
		addresses = append(addresses, netip.AddrFrom4(b))
	}
	f.members.addCandidates(addresses, now)
	f.recordSketch(from, m, wasPaused, now)
	f.members.recordStamp(from, m.GetSentAt(), now)
	f.mu.Unlock()
	if len(m.GetReports()) > 0 {
		if wasPaused {
			f.options.Counters.CountDrop("fleet_after_pause")
			return
		}
		f.handleReports(m, now)
		return
	}
	sentAfter, isDated := f.clock.sentAfter(m, now, suspended)
	isFresher, isOlderEra, mustAsk, era := false, false, false, f.options.Syncer.Era()
	for _, c := range m.GetConfirmations() {
		ad := discovery.Advertisement{
			Kind: store.Kind(c.GetKind()), Digest: c.GetDigest(), From: from, IsDated: isDated,
			Era: store.Era(c.GetEra()), AsOf: store.Version(c.GetAsOf()), ValidatedVersion: store.Version(c.GetProvenAsOf()),
			ValidatedAt: sentAfter.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond),
		}
		switch f.options.Syncer.HandleAdvertisement(ad) {
		case discovery.EffectFresher:
			isFresher = true
		case discovery.EffectAsk:
			mustAsk = f.questions.isDue(ad.Kind, ad.ValidatedAt, now) || mustAsk
		}
		isOlderEra = isOlderEra || ad.Era < era
	}
	if isNew && !m.GetIsLeaving() {
		f.options.Logger.Debug().Str("event", "daemon_heard").Stringer("address", from).Str("zone", m.GetZone()).Send()
	}
	f.respond(m, from, isNew, isOlderEra)
	if mustAsk {
		f.ask(from, now)
	}
	if isFresher {
		f.Gossip()
	}
}

// respond sends advertisements to the sender of a datagram that needs them. isNew is set if the sender was added to the
// table, and isOlderEra if it is on an older era of the store.
func (f *Fleet) respond(m *pb.FleetDatagram, from netip.Addr, isNew, isOlderEra bool) {
	if m.GetIsLeaving() {
		return
	}
	// A daemon without validated records gets a response even if it is in the table already or the
	// table is full, as does one on an older era of the store.
	needsAdvertisements := len(m.GetConfirmations()) < len(f.options.Syncer.Advertisements())
	// A daemon that lists no others reaches none. It would remain alone while all tables that it sends to are full.
	isAlone := len(m.GetDaemons()) == 0
	switch {
	case m.GetIsQuestion() && !isNew && !isOlderEra && !isAlone:
		f.answer(from)
	case isNew || needsAdvertisements || isOlderEra || isAlone:
		f.send([]netip.Addr{from}, message{isReply: isNew || isAlone})
	}
}

// ListRecords implements discovery.Peers; the zero address selects a random daemon.
func (f *Fleet) ListRecords(ctx context.Context, kind store.Kind, from netip.Addr, digests []uint64) (discovery.RecordSet, error) {
	if !from.IsValid() {
		f.mu.Lock()
		to := f.members.pick(1)
		f.mu.Unlock()
		if len(to) == 0 {
			return discovery.RecordSet{}, fmt.Errorf("list %s: %w", kind, ErrNoDaemon)
		}
		from = to[0]
	}
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	client := fulmarfieldv1connect.NewRecordServiceClient(f.http, "http://"+netip.AddrPortFrom(from, f.port).String())
	began := time.Now()
	response, err := client.ListRecords(ctx, connect.NewRequest(&pb.ListRecordsRequest{Kind: string(kind), Digests: digests}))
	if err != nil {
		return discovery.RecordSet{}, fmt.Errorf("list %s of daemon %s: %w: %w", kind, from, ErrNoDaemon, err)
	}
	rs, err := decodeRecordSet(response.Msg, began, time.Now())
	if err != nil {
		return discovery.RecordSet{}, fmt.Errorf("list %s of daemon %s: %w: %w", kind, from, ErrNoDaemon, err)
	}
	rs.From = from
	return rs, nil
}
