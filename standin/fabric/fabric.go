package fabric

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// DefaultWithdraw is the time after a cut at which routes to unreachable balancers are gone.
const DefaultWithdraw = time.Second

const (
	maxDatagramBytes = 1 << 16
	// Bursts of thousands of flows that open at once overflow the default socket buffer.
	socketBufferBytes = 8 << 20
	// A service address carries the packets of all callers and upstreams.
	readersPerService = 3
)

// Config holds the settings of a fabric.
type Config struct {
	// Services are the UDP addresses that callers and upstreams send to.
	Services []netip.AddrPort
	// VMs are the bind addresses of the VMs that are relayed.
	VMs []netip.Addr
	// Seed of all random choices.
	Seed uint64
	// Withdraw is the time after a cut during which datagrams still go to balancers that the
	// sender cannot reach; 0 means at once.
	Withdraw time.Duration
	Log      zerolog.Logger
}

// Fabric relays datagrams and connections. Its methods may be called concurrently.
type Fabric struct {
	config   Config
	counters *telemetry.Counters
	flows    *flowTable
	rules    atomic.Pointer[rules]
	readers  sync.WaitGroup
	nextSeed atomic.Uint64

	sockets sync.Map // netip.AddrPort that is listened on to *net.UDPConn

	mu      sync.Mutex // serializes changes of rules and guards the rest
	closers []io.Closer
	relays  map[*tcpRelay]struct{}
	vms     map[netip.Addr]struct{}
	done    chan struct{}
	closed  bool
}

// Start binds the service addresses and the relayed addresses. It returns an error naming the
// address that cannot be bound.
func Start(c Config) (*Fabric, error) {
	f := &Fabric{
		config:   c,
		counters: telemetry.NewCounters(),
		flows:    newFlowTable(),
		relays:   map[*tcpRelay]struct{}{},
		vms:      map[netip.Addr]struct{}{},
		done:     make(chan struct{}),
	}
	f.rules.Store(&rules{cutZones: map[zonePair]time.Time{}, cutVMs: map[netip.Addr]time.Time{}})
	for _, vm := range c.VMs {
		if err := f.RegisterVM(vm); err != nil {
			_ = f.Close()
			return nil, err
		}
	}
	for _, service := range c.Services {
		conn, err := f.listenUDP(service)
		if err != nil {
			_ = f.Close()
			return nil, err
		}
		for range readersPerService {
			f.serve(conn, f.spray)
		}
	}
	return f, nil
}

// RegisterVM relays the ports of a VM, given by its bind address. A VM that is registered
// already is left as it is.
func (f *Fabric) RegisterVM(vm netip.Addr) error {
	if zoneOf(vm) == 0 {
		return fmt.Errorf("%s: %w", vm, ErrBadAddress)
	}
	vm = bindForm(vm)
	f.mu.Lock()
	_, known := f.vms[vm]
	f.vms[vm] = struct{}{}
	f.mu.Unlock()
	if known {
		return nil
	}
	udp, tcp := portsOf(vm)
	for _, port := range udp {
		to := netip.AddrPortFrom(vm, port)
		conn, err := f.listenUDP(netip.AddrPortFrom(relayForm(vm), port))
		if err != nil {
			return err
		}
		f.serve(conn, func(l *lane, from netip.AddrPort, data []byte) { f.relay(l, from, to, data) })
	}
	for _, port := range tcp {
		if err := f.listenTCP(netip.AddrPortFrom(relayForm(vm), port), netip.AddrPortFrom(vm, port)); err != nil {
			return err
		}
	}
	return nil
}

// Counters returns the counters of the fabric.
func (f *Fabric) Counters() *telemetry.Counters { return f.counters }

// Close stops all relays.
func (f *Fabric) Close() error {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return nil
	}
	f.closed = true
	close(f.done)
	closers, relays := f.closers, f.relays
	f.relays = map[*tcpRelay]struct{}{}
	f.mu.Unlock()
	var errs []error
	for _, c := range closers {
		errs = append(errs, c.Close())
	}
	for r := range relays {
		r.abort()
	}
	f.readers.Wait()
	return errors.Join(errs...)
}

func (f *Fabric) listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen on UDP %s: %w", at, err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	f.sockets.Store(at, conn)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, conn)
	return conn, nil
}

// lane is one reader of a socket with its own random numbers, so that readers do not contend.
type lane struct {
	conn *net.UDPConn
	rng  *rand.Rand
}

func (f *Fabric) serve(conn *net.UDPConn, handle func(l *lane, from netip.AddrPort, data []byte)) {
	l := &lane{conn: conn, rng: rand.New(rand.NewPCG(f.config.Seed, f.nextSeed.Add(1)))}
	f.readers.Go(func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				handle(l, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
			}
		}
	})
}

// spray hands a datagram for a service address to one of the balancers.
func (f *Fabric) spray(l *lane, from netip.AddrPort, data []byte) {
	f.counters.Count("spray.in")
	h, err := wire.ParseHeader(data)
	if err == nil {
		f.flows.note(h)
		hop := HopCaller
		if h.IsFromUpstream() {
			hop = HopUpstream
		}
		if f.flows.drops(h.Flow, hop) {
			f.counters.Drop("blackhole")
			return
		}
	}
	r := f.rules.Load()
	to, ok := r.pick(l.rng, from.Addr(), f.config.Withdraw)
	if !ok {
		f.counters.Drop("no_daemon")
		return
	}
	f.forward(l, r, from, to, data)
}

// relay passes a datagram on to the VM that it was sent to.
func (f *Fabric) relay(l *lane, from, to netip.AddrPort, data []byte) {
	f.counters.Count("relay.in")
	if to.Port() == UpstreamPort {
		if h, err := wire.ParseHeader(data); err == nil && f.flows.drops(h.Flow, HopUpstream) {
			f.counters.Drop("blackhole")
			return
		}
	}
	f.forward(l, f.rules.Load(), from, to, data)
}

func (f *Fabric) forward(l *lane, r *rules, from, to netip.AddrPort, data []byte) {
	if _, cut := r.cutSince(from.Addr(), to.Addr()); cut {
		f.counters.Drop("cut")
		return
	}
	if r.loss > 0 && l.rng.Float64() < r.loss {
		f.counters.Drop("loss")
		return
	}
	copies := 1
	if r.duplicate > 0 && l.rng.Float64() < r.duplicate {
		f.counters.Count("duplicated")
		copies++
	}
	out := f.sourceFor(l, from)
	for range copies {
		if r.delay.Share > 0 && l.rng.Float64() < r.delay.Share {
			wait := r.delay.Min + time.Duration(l.rng.Int64N(int64(r.delay.Max-r.delay.Min)+1))
			f.counters.Count("delayed")
			kept := append([]byte(nil), data...)
			time.AfterFunc(wait, func() { f.send(out, to, kept) })
			continue
		}
		f.send(out, to, data)
	}
}

// sourceFor returns the socket of the sender's relayed address, so that the receiver sees an
// address that it can answer to, and the receiving socket for other senders.
func (f *Fabric) sourceFor(l *lane, from netip.AddrPort) *net.UDPConn {
	if zoneOf(from.Addr()) == 0 {
		return l.conn
	}
	if conn, ok := f.sockets.Load(netip.AddrPortFrom(relayForm(from.Addr()), from.Port())); ok {
		return conn.(*net.UDPConn)
	}
	return l.conn
}

func (f *Fabric) send(conn *net.UDPConn, to netip.AddrPort, data []byte) {
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		f.counters.Drop("send_error")
		return
	}
	f.counters.Count("out")
}

// context returns a context that ends when the fabric is closed.
func (f *Fabric) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-f.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
