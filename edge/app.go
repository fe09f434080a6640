package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/coldlimit"
	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/fleet"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/internal/setting"
	"github.com/fulmarfield/fulmarfield/internal/suspension"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Exit statuses of the program.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadSettings = 2
)

const (
	// readHeaderTimeout bounds how long a connection may take to send its request header.
	readHeaderTimeout = 5 * time.Second
	// flushTimeout bounds how long the process waits at its exit for the last log lines to be
	// written.
	flushTimeout = 100 * time.Millisecond
	// routerReactionTime is how long routers may take to notice that a daemon is not ready: two
	// probes at an interval of half a second, and one in flight.
	routerReactionTime = 1500 * time.Millisecond
	// packetIdleTime is the time without a packet after which routers are assumed to have stopped
	// sending.
	packetIdleTime = 400 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 700 * time.Millisecond
	// shutdownPollInterval is how often a daemon that is shutting down checks whether packets still
	// arrive.
	shutdownPollInterval = 100 * time.Millisecond
)

// atomicTime is a time that goroutines may use concurrently.
type atomicTime struct{ nanos atomic.Int64 }

func (a *atomicTime) set(t time.Time) { a.nanos.Store(t.UnixNano()) }
func (a *atomicTime) get() time.Time  { return time.Unix(0, a.nanos.Load()) }

// Daemon is the running daemon.
type Daemon struct {
	settings    *Settings
	catalog     *catalog.Catalog
	storeClient *platform.Client
	syncer      *discovery.Syncer
	fleet       *fleet.Fleet
	conn        wire.Conn
	peerConn    wire.Conn
	loop        *packetLoop
	// coldLimit is nil if the daemon does not read evacuations.
	coldLimit    *coldlimit.Limiter
	counters     *telemetry.Counters
	logger       zerolog.Logger
	isLeaving    atomic.Bool
	seeds        atomic.Pointer[[]netip.Addr]
	lastPacketAt atomicTime
	servers      []*http.Server
	listeners    []net.Listener
	fatalErrors  chan error
}

// Main runs the daemon with the given arguments and returns the exit status: 0 after a graceful
// shutdown, 1 after a failure, 2 for an invalid setting.
func Main(args []string) int {
	// Signals are caught before anything else, since SIGHUP would end the process until then. Without SIGPIPE,
	// the lines of a log whose reader has gone are lost, and the daemon goes on.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	settings, err := ParseSettings(args)
	if errors.Is(err, setting.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	zerolog.TimeFieldFormat = timeFormat
	output := newAsyncWriter(os.Stdout)
	defer output.flush(flushTimeout)
	// The global level filters the lines, since a reload can change it.
	zerolog.SetGlobalLevel(settings.logLevel())
	logger := setting.NewLogger(output, settings.Name, zerolog.TraceLevel)
	var d *Daemon
	app := fx.New(Module(settings, output, logger), fx.Populate(&d), fx.NopLogger)
	if err := app.Start(context.Background()); err != nil {
		logger.Error().Str("event", eventStopped).Err(err).Send()
		return exitFailed
	}
	status := d.handleSignals(signals, args)
	if err := app.Stop(context.Background()); err != nil {
		logger.Warn().Str("event", eventStopped).Err(err).Send()
	}
	return status
}

// Module provides a daemon and its dependencies to fx. The logger writes to output.
func Module(settings *Settings, output *asyncWriter, logger zerolog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(settings, output, logger),
		fx.Provide(
			telemetry.NewCounters,
			func() *catalog.Catalog { return catalog.New(time.Now) },
			func(c *telemetry.Counters) *platform.Client {
				return platform.NewClient(settings.storeAddress(), c)
			},
			func(c *platform.Client) store.Collections { return c },
			func(s store.Collections, c *catalog.Catalog, n *telemetry.Counters) *discovery.Syncer {
				return discovery.NewSyncer(discovery.Options{
					Store: s, Catalog: c, Counters: n, Logger: logger, PropagationBound: settings.propagationBound(),
					Suspended:   suspension.NewMeter(logger),
					Evacuations: settings.readsEvacuations(),
				})
			},
			newDaemon,
		),
		fx.Invoke(registerLifecycle),
	)
}

// newDaemon opens the sockets and listeners of a daemon and connects its components. It starts none of
// them.
func newDaemon(s *Settings, client *platform.Client, c *catalog.Catalog, recordSyncer *discovery.Syncer, n *telemetry.Counters, output *asyncWriter, logger zerolog.Logger) (*Daemon, error) {
	conn, err := wire.ListenUDP(netip.MustParseAddrPort(s.PacketAddress))
	if err != nil {
		return nil, fmt.Errorf("packet-address: %w", err)
	}
	peerConn, err := wire.ListenUDP(netip.MustParseAddrPort(s.AdminAddress))
	if err != nil {
		return nil, fmt.Errorf("admin-address: %w", err)
	}
	d := &Daemon{
		settings: s, storeClient: client, catalog: c, syncer: recordSyncer, conn: conn, peerConn: peerConn, counters: n, logger: logger,
		fatalErrors: make(chan error, 4),
	}
	d.setSeeds(s)
	d.fleet = fleet.New(fleet.Options{
		Conn: peerConn, Zone: s.Zone, Syncer: recordSyncer, Counters: n, Logger: logger,
		Seeds:         func() []netip.Addr { return *d.seeds.Load() },
		CountsDaemons: s.readsEvacuations() || s.Admission == admissionOn,
	})
	recordSyncer.SetPeers(d.fleet, d.fleet.Gossip)
	var coldLimit inband.ColdLimit
	if d.coldLimit = newColdLimit(s, d.fleet); d.coldLimit != nil {
		coldLimit = d.coldLimit
	}
	d.loop = &packetLoop{
		conn: conn, catalog: c, counters: n, verdicts: newVerdictCounters(n), latency: newLatencies(n), costs: newCostMetrics(n), output: output, logger: logger, lastPacketAt: &d.lastPacketAt,
		peers: d.fleet, pauses: newPauseDetector(time.Now()),
		accountSuspension: recordSyncer.AccountSuspension,
		lineLimiter:       rateLimiter{perSecond: s.LogLines},
		validatedAt:       recordSyncer.UpstreamsValidatedAt,
		configValidatedAt: recordSyncer.ConfigValidatedAt,
		validatedBy:       recordSyncer.ValidatedBy,
		steerer: inband.NewSteerer(inband.Options{
			Zone: s.Zone, Catalog: c, Freshness: recordSyncer, PropagationBound: s.propagationBound(),
			Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			DaemonCount: func() int { return 1 + d.fleet.DaemonCount() },
			FleetSize:   d.fleet.SizeAtLeast, Admission: s.Admission == admissionOn,
			ColdLimit: coldLimit, PlacesByCost: s.Placement == placementByCost,
		}),
	}
	for address, handler := range map[string]http.Handler{s.ReadyAddress: d.readyHandler(), s.AdminAddress: d.adminHandler()} {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		d.listeners = append(d.listeners, listener)
		d.servers = append(d.servers, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout})
	}
	return d, nil
}

// setSeeds applies the seeds of validated settings.
func (d *Daemon) setSeeds(s *Settings) {
	seeds, err := s.seedAddresses()
	if err != nil {
		// Settings are validated before, so this is unexpected.
		d.logger.Error().Str("event", eventReloadRefused).Err(err).Send()
	}
	d.seeds.Store(&seeds)
}

// registerLifecycle registers hooks that start the daemon's components, and stop them and close the
// sockets.
func registerLifecycle(lc fx.Lifecycle, d *Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			d.logger.Info().Str("event", eventStarted).Str("zone", d.settings.Zone).Send()
			d.logBound()
			for i, server := range d.servers {
				go func() {
					if err := server.Serve(d.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
						d.fatalErrors <- fmt.Errorf("serve %s: %w", d.listeners[i].Addr(), err)
					}
				}()
			}
			go func() {
				if err := d.syncer.Run(ctx); ctx.Err() == nil {
					d.fatalErrors <- fmt.Errorf("synchronise records: %w", err)
				}
			}()
			go func() {
				if err := d.fleet.Run(ctx); ctx.Err() == nil {
					d.fatalErrors <- fmt.Errorf("gossip with other daemons: %w", err)
				}
			}()
			go d.loop.pauses.run(ctx)
			go func() {
				if err := d.loop.run(ctx); err != nil {
					d.fatalErrors <- err
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			errs := []error{d.conn.Close(), d.peerConn.Close()}
			for _, server := range d.servers {
				errs = append(errs, server.Close())
			}
			return errors.Join(errs...)
		},
	})
}

// handleSignals handles signals, settings changes and failures until the daemon has to exit, and
// returns the exit status.
func (d *Daemon) handleSignals(signals <-chan os.Signal, args []string) int {
	watcher := newSettingsWatcher(d.settings, args)
	check := time.NewTicker(settingsPollInterval)
	defer check.Stop()
	for {
		select {
		case err := <-d.fatalErrors:
			d.logger.Error().Str("event", eventStopped).Err(err).Send()
			return exitFailed
		case <-check.C:
			if watcher.refresh() {
				d.reload(watcher, "file changed")
			}
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.reload(watcher, "signal")
				continue
			}
			d.shutDown(s)
			return exitOK
		}
	}
}

// shutDown reports the daemon as not ready, so that routers stop sending, and forwards packets of
// open flows until no more arrive or the grace period is nearly over.
func (d *Daemon) shutDown(s os.Signal) {
	began := time.Now()
	d.isLeaving.Store(true)
	d.fleet.Leave()
	d.logger.Info().Str("event", eventStopping).Str("signal", s.String()).Send()
	end := began.Add(d.settings.gracePeriod() - exitMargin)
	for now := began; now.Before(end); now = time.Now() {
		if now.Sub(began) > routerReactionTime && now.Sub(d.lastPacketAt.get()) > packetIdleTime {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	d.logger.Info().Str("event", eventStopped).Dur("after_ms", time.Since(began)).Send()
}
