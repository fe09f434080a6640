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
	// fanout is to how many daemons news are passed on. Each daemon that hears them passes them
	// on once, so that 4 leave out about one of 50.
	fanout = 4
	// namedDaemons is how many daemons a datagram names.
	namedDaemons = 6
	// helloInterval is how often a daemon that has nothing to tell sends to one other, well
	// within memberTimeout.
	helloInterval = time.Second
	// seedRounds is every which greeting goes to the seeds as well, so that parts of a fleet that
	// were cut off for longer than memberTimeout find each other again.
	seedRounds = 10
	// joinInterval is how often a daemon sends that knows no other, or whose copies are not
	// confirmed.
	joinInterval = 200 * time.Millisecond
	// pauseLimit is a gap between ticks that shows that this VM stood still. What waited in the
	// socket meanwhile is older than it says.
	pauseLimit = time.Second
	// recordsTimeout bounds a call to another daemon.
	recordsTimeout = 500 * time.Millisecond
	// batchSize bounds the datagrams that are read at once.
	batchSize = 16
)

// ErrNoDaemon means that no other daemon gave its records.
var ErrNoDaemon = errors.New("no other daemon gives its records")

// Options are what a Fleet works with.
type Options struct {
	Conn wire.Conn
	Zone string
	// Seeds returns addresses of daemons from the settings. They may be stale.
	Seeds    func() []netip.Addr
	Follower *discovery.Syncer
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Transport reaches the records of other daemons; nil stands for connections to their internal
	// ports.
	Transport http.RoundTripper
}

// Fleet exchanges claims with other daemons. It implements discovery.Source. Its methods may be
// called concurrently.
type Fleet struct {
	options Options
	port    uint16
	http    *http.Client
	// isLeaving is set when this daemon is about to end.
	isLeaving atomic.Bool

	mu      sync.Mutex
	members *members
	// resumedAt is when this VM last went on after it had stood still, tickedAt the last tick.
	resumedAt, tickedAt time.Time
}

// New returns a Fleet that knows no other daemon.
func New(o Options) *Fleet {
	local := o.Conn.LocalAddr()
	if o.Transport == nil {
		dialer := &net.Dialer{Timeout: recordsTimeout}
		o.Transport = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	}
	return &Fleet{
		options: o, port: local.Port(), members: newMembers(local.Addr()), tickedAt: time.Now(),
		http: &http.Client{Transport: o.Transport},
	}
}

// Run sends and receives until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.receive(ctx) })
	group.Go(func() error { return f.greet(ctx) })
	return group.Wait()
}

// greet sends to the seeds until another daemon is heard, and to several until the copies are
// confirmed; later to one that was heard and one that was only named at a time.
func (f *Fleet) greet(ctx context.Context) error {
	for round := 0; ; round++ {
		isProven := len(f.options.Follower.Advertisements()) == len(discovery.Kinds())
		f.mu.Lock()
		now := time.Now()
		if now.Sub(f.tickedAt) > helloInterval+pauseLimit {
			f.resumedAt = now
		}
		f.tickedAt = now
		f.members.expire(now)
		isAlone := len(f.members.heard) == 0
		if isAlone {
			f.members.named(f.options.Seeds(), now)
		}
		to, interval := append(f.members.pick(1), f.members.unheard()...), helloInterval
		if isAlone || !isProven {
			to, interval = f.members.pick(fanout), joinInterval
		}
		f.mu.Unlock()
		if !isAlone && round%seedRounds == 0 {
			to = append(to, f.options.Seeds()...)
		}
		f.send(to)
		if err := wait.For(ctx, interval); err != nil {
			return err
		}
	}
}

// Tell passes on what this daemon knows.
func (f *Fleet) Tell() {
	f.mu.Lock()
	to := f.members.pick(fanout)
	f.mu.Unlock()
	f.send(to)
}

// Leave tells others, now and in all that follows, that this daemon is about to end.
func (f *Fleet) Leave() {
	f.isLeaving.Store(true)
	f.Tell()
}

// DaemonCount returns the number of other daemons that were heard lately.
func (f *Fleet) DaemonCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members.heard)
}

// IsSeed implements discovery.Source.
func (f *Fleet) IsSeed() bool {
	seeds := f.options.Seeds()
	return len(seeds) == 0 || slices.Contains(seeds, f.members.self)
}

func (f *Fleet) send(to []netip.Addr) {
	if len(to) == 0 {
		return
	}
	m := &pb.FleetDatagram{Zone: f.options.Zone, IsLeaving: f.isLeaving.Load()}
	f.mu.Lock()
	for _, a := range shuffled(f.members.heard) {
		if len(m.Daemons) < namedDaemons {
			ip := a.As4()
			m.Daemons = append(m.Daemons, binary.BigEndian.Uint32(ip[:]))
		}
	}
	f.mu.Unlock()
	now := time.Now()
	for _, c := range f.options.Follower.Advertisements() {
		m.Confirmations = append(m.Confirmations, &pb.Confirmation{
			Kind: string(c.Kind), Digest: c.Digest, AsOf: uint64(c.AsOf), ProvenAsOf: uint64(c.ValidatedVersion),
			AgeMs: milliseconds(now.Sub(c.ValidatedAt)),
		})
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		f.options.Logger.Error().Str("event", "fleet_encode_failed").Err(err).Send()
		return
	}
	for _, a := range to {
		if a == f.members.self {
			continue
		}
		f.options.Counters.Add("fleet.sent_bytes", int64(len(raw)))
		if err := f.options.Conn.Send(netip.AddrPortFrom(a, f.port), raw); err != nil {
			// Another daemon, or the next round, tells the same.
			f.options.Counters.Drop("fleet_send_failed")
		}
	}
}

// milliseconds rounds up, so that an age never falls on its way. It is bounded by the field.
func milliseconds(d time.Duration) uint32 {
	const longest = time.Hour
	return uint32((min(max(d, 0), longest) + time.Millisecond - 1) / time.Millisecond)
}

func (f *Fleet) receive(ctx context.Context) error {
	batch := make([]wire.Datagram, batchSize)
	for {
		n, err := f.options.Conn.ReadBatch(batch)
		if errors.Is(err, wire.ErrClosed) || ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("read from other daemons: %w", err)
		}
		for _, d := range batch[:n] {
			f.handle(d, time.Now())
		}
	}
}

func (f *Fleet) handle(d wire.Datagram, now time.Time) {
	m := &pb.FleetDatagram{}
	if err := proto.Unmarshal(d.Data, m); err != nil {
		f.options.Counters.Drop("fleet_malformed")
		return
	}
	from := d.Addr.Addr()
	f.mu.Lock()
	stoodStill := now.Sub(f.tickedAt) > helloInterval+pauseLimit || now.Sub(f.resumedAt) < pauseLimit
	isNew := f.members.saw(from, now)
	if m.GetIsLeaving() {
		f.members.left(from)
	}
	named := make([]netip.Addr, 0, len(m.GetDaemons()))
	for _, ip := range m.GetDaemons() {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], ip)
		named = append(named, netip.AddrFrom4(b))
	}
	f.members.named(named, now)
	f.mu.Unlock()
	if stoodStill {
		f.options.Counters.Drop("fleet_after_pause")
		return
	}
	isNews := false
	for _, c := range m.GetConfirmations() {
		isNews = f.options.Follower.HandleAdvertisement(discovery.Advertisement{
			Kind: store.Kind(c.GetKind()), Digest: c.GetDigest(), From: from,
			AsOf: store.Version(c.GetAsOf()), ValidatedVersion: store.Version(c.GetProvenAsOf()),
			ValidatedAt: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond),
		}) || isNews
	}
	if isNew && !m.GetIsLeaving() {
		f.options.Logger.Debug().Str("event", "daemon_heard").Stringer("address", from).Str("zone", m.GetZone()).Send()
	}
	// One whose copies nothing confirms is answered even if it is known or the table is full.
	needsClaims := len(m.GetConfirmations()) < len(f.options.Follower.Advertisements())
	if (isNew || needsClaims) && !m.GetIsLeaving() {
		f.send([]netip.Addr{from})
	}
	if isNews {
		f.Tell()
	}
}

// ListRecords implements discovery.Source; the zero address stands for a daemon taken at random.
func (f *Fleet) ListRecords(ctx context.Context, kind store.Kind, from netip.Addr, digests []uint64) (discovery.RecordSet, error) {
	if !from.IsValid() {
		f.mu.Lock()
		to := f.members.pick(1)
		f.mu.Unlock()
		if len(to) == 0 {
			return discovery.RecordSet{}, fmt.Errorf("%s: %w", kind, ErrNoDaemon)
		}
		from = to[0]
	}
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	client := fulmarfieldv1connect.NewRecordServiceClient(f.http, "http://"+netip.AddrPortFrom(from, f.port).String())
	began := time.Now()
	response, err := client.ListRecords(ctx, connect.NewRequest(&pb.ListRecordsRequest{Kind: string(kind), Digests: digests}))
	if err != nil {
		return discovery.RecordSet{}, fmt.Errorf("%s of %s: %w: %w", kind, from, ErrNoDaemon, err)
	}
	p := discovery.RecordSet{
		AsOf:        store.Version(response.Msg.GetAsOf()),
		ValidatedAt: began.Add(-time.Duration(response.Msg.GetAgeMs()) * time.Millisecond),
	}
	for _, b := range response.Msg.GetBuckets() {
		p.Buckets = append(p.Buckets, int(b))
	}
	for _, r := range response.Msg.GetRecords() {
		record, err := decode(r)
		if err != nil {
			return discovery.RecordSet{}, fmt.Errorf("%s of %s: %w: %w", kind, from, ErrNoDaemon, err)
		}
		p.Records = append(p.Records, record)
	}
	return p, nil
}
