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

// DefaultWithdraw is the time after a cut until routes to unreachable balancers are withdrawn.
const DefaultWithdraw = time.Second

const (
	maxDatagramBytes = 1 << 16
	// socketBufferBytes is 8 MB, since thousands of flows that open at the same time overflow the
	// default socket buffer.
	socketBufferBytes = 8 << 20
	// readersPerService is the number of goroutines that read a service address, which receives the
	// packets of all callers and upstreams.
	readersPerService = 3
)

// Config holds the settings of a fabric.
type Config struct {
	// Services are the UDP addresses that callers and upstreams send to.
	Services []netip.AddrPort
	// VMs are the bind addresses of the VMs whose ports are relayed.
	VMs []netip.Addr
	// Seed seeds all random choices.
	Seed uint64
	// Withdraw is the time after a cut during which datagrams are still sent to balancers that the
	// sender cannot reach; with 0 routes are withdrawn at once.
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

	sockets sync.Map // maps the bound netip.AddrPort to its *net.UDPConn

	mu      sync.Mutex // serializes changes of rules and guards the rest
	closers []io.Closer
	relays  map[*tcpRelay]struct{}
	vms     map[netip.Addr]struct{}
	done    chan struct{}
	closed  bool
}

// Start binds the service addresses and the relay addresses. It returns an error that names the
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
			f.serve(conn, f.distribute)
		}
	}
	return f, nil
}

// RegisterVM starts the relays for the ports of a VM, given by its bind address. It does nothing if
// the VM is already registered.
func (f *Fabric) RegisterVM(vm netip.Addr) error {
	if zoneNumber(vm) == 0 {
		return fmt.Errorf("%s: %w", vm, ErrBadAddress)
	}
	vm = bindAddress(vm)
	f.mu.Lock()
	_, known := f.vms[vm]
	f.vms[vm] = struct{}{}
	f.mu.Unlock()
	if known {
		return nil
	}
	udp, tcp := relayedPorts(vm)
	for _, port := range udp {
		to := netip.AddrPortFrom(vm, port)
		conn, err := f.listenUDP(netip.AddrPortFrom(relayAddress(vm), port))
		if err != nil {
			return err
		}
		f.serve(conn, func(l *socketReader, from netip.AddrPort, data []byte) { f.relay(l, from, to, data) })
	}
	for _, port := range tcp {
		if err := f.listenTCP(netip.AddrPortFrom(relayAddress(vm), port), netip.AddrPortFrom(vm, port)); err != nil {
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

// socketReader is one reader of a socket. Each has its own random generator, so that readers do not
// contend for a lock.
type socketReader struct {
	conn *net.UDPConn
	rng  *rand.Rand
}

func (f *Fabric) serve(conn *net.UDPConn, handle func(l *socketReader, from netip.AddrPort, data []byte)) {
	l := &socketReader{conn: conn, rng: rand.New(rand.NewPCG(f.config.Seed, f.nextSeed.Add(1)))}
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

// distribute forwards a datagram for a service address to one of the balancers.
func (f *Fabric) distribute(l *socketReader, from netip.AddrPort, data []byte) {
	f.counters.Count("spray.in")
	h, err := wire.ParseHeader(data)
	if err == nil {
		f.flows.recordPacket(h)
		hop := HopCaller
		if h.IsFromUpstream() {
			hop = HopUpstream
		}
		if f.flows.isBlackholed(h.Flow, hop) {
			f.counters.CountDrop("blackhole")
			return
		}
	}
	r := f.rules.Load()
	to, ok := r.pickTarget(l.rng, from.Addr(), f.config.Withdraw)
	if !ok {
		f.counters.CountDrop("no_daemon")
		return
	}
	f.forward(l, r, from, to, data)
}

// relay forwards a datagram to the VM to which it was sent.
func (f *Fabric) relay(l *socketReader, from, to netip.AddrPort, data []byte) {
	f.counters.Count("relay.in")
	if to.Port() == UpstreamPort {
		if h, err := wire.ParseHeader(data); err == nil && f.flows.isBlackholed(h.Flow, HopUpstream) {
			f.counters.CountDrop("blackhole")
			return
		}
	}
	f.forward(l, f.rules.Load(), from, to, data)
}

func (f *Fabric) forward(l *socketReader, r *rules, from, to netip.AddrPort, data []byte) {
	if _, cut := r.cutSince(from.Addr(), to.Addr()); cut {
		f.counters.CountDrop("cut")
		return
	}
	if r.loss > 0 && l.rng.Float64() < r.loss {
		f.counters.CountDrop("loss")
		return
	}
	copies := 1
	if r.duplicate > 0 && l.rng.Float64() < r.duplicate {
		f.counters.Count("duplicated")
		copies++
	}
	out := f.sourceSocket(l, from)
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

// sourceSocket returns the socket that a datagram is forwarded from. For a VM it is the socket of the
// sender's relay address, so that the receiver can reply to the source address. For other senders
// it is the socket that received the datagram.
func (f *Fabric) sourceSocket(l *socketReader, from netip.AddrPort) *net.UDPConn {
	if zoneNumber(from.Addr()) == 0 {
		return l.conn
	}
	if conn, ok := f.sockets.Load(netip.AddrPortFrom(relayAddress(from.Addr()), from.Port())); ok {
		return conn.(*net.UDPConn)
	}
	return l.conn
}

func (f *Fabric) send(conn *net.UDPConn, to netip.AddrPort, data []byte) {
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		f.counters.CountDrop("send_error")
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
