package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"go.uber.org/fx"

	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/internal/setting"
	"github.com/fulmarfield/fulmarfield/internal/suspension"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Exit statuses of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	exitForced   = 3
)

// readHeaderTimeout limits the time that a client may take to send a request header.
const readHeaderTimeout = 5 * time.Second

// Main runs the daemon with the given arguments and returns the exit status: 0 after a graceful
// shutdown, 1 after a failure, 2 for an invalid setting or an address that cannot be bound, 3 if a
// second signal ended the shutdown.
func Main(args []string) int {
	settings, err := ParseSettings(args)
	if errors.Is(err, setting.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	failures := make(chan error, 1)
	app := fx.New(Module(settings, failures), fx.NopLogger)
	if err := app.Start(context.Background()); err != nil {
		reportStartError(settings, dig.RootCause(err))
		return startExitStatus(err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return serve(app, settings, failures, signals)
}

// reportStartError reports why the daemon did not start: an invalid setting as a line of text, any
// other error, such as an address that cannot be bound, as a log event.
func reportStartError(settings *Settings, err error) {
	var refused *setting.Error
	if errors.As(err, &refused) {
		fmt.Fprintln(os.Stderr, refused)
		return
	}
	logger := settings.Logger()
	logger.Error().Str("event", eventListenFailed).Err(err).Msg("")
}

// startExitStatus returns the exit status for an error at the start.
func startExitStatus(err error) int {
	var refused *setting.Error
	if errors.As(err, &refused) || errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
		return exitSettings
	}
	return exitFailed
}

// serve waits for a signal or a failure. It shuts down gracefully after a signal; a second signal ends
// the shutdown immediately.
func serve(app *fx.App, settings *Settings, failures <-chan error, signals <-chan os.Signal) int {
	logger := settings.Logger()
	select {
	case err := <-failures:
		logger.Error().Str("event", eventStopped).Err(err).Msg("")
		return exitFailed
	case s := <-signals:
		logger.Info().Str("event", eventStopping).Str("signal", s.String()).Msg("")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.ShutdownSeconds)*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(ctx) }()
	select {
	case <-signals:
		logger.Warn().Str("event", eventStopForced).Msg("")
		return exitForced
	case err := <-stopped:
		if err != nil {
			logger.Warn().Str("event", eventShutdownTimeout).Err(err).Msg("")
			return exitFailed
		}
		logger.Info().Str("event", eventStopped).Msg("")
		return exitOK
	}
}

// Module provides a daemon to fx. The daemon sends failures while serving to failed.
func Module(settings *Settings, failures chan<- error) fx.Option {
	return fx.Options(
		fx.Supply(settings),
		fx.Provide(
			func(s *Settings) zerolog.Logger { return s.Logger() },
			telemetry.NewCounters, newBudget, newPlatform, newNode, newListeners,
		),
		fx.Invoke(func(lc fx.Lifecycle, n *Node, l *listeners, logger zerolog.Logger) {
			addLifecycleHooks(lc, n, l, logger, failures)
		}),
	)
}

func newBudget() *peer.Budget { return peer.NewDaemonBudget() }

func newPlatform(s *Settings, counters *telemetry.Counters, budget *peer.Budget) Platform {
	return MeterPlatform(store.NewClient(store.ClientOptions{
		Address: netip.MustParseAddrPort(s.Platform), LocalAddress: localIP(s.ControlAddress), Counters: counters,
	}), counters, budget)
}

func localIP(address string) netip.Addr { return netip.MustParseAddrPort(address).Addr() }

func newNode(s *Settings, p Platform, counters *telemetry.Counters, budget *peer.Budget, logger zerolog.Logger) (*Node, error) {
	key, err := s.ClusterKey()
	if err != nil {
		return nil, err
	}
	dataConn, err := wire.ListenUDP(netip.MustParseAddrPort(s.DataAddress))
	if err != nil {
		return nil, listenError("data-address", s.DataAddress, err)
	}
	peerConn, err := wire.ListenUDP(netip.MustParseAddrPort(s.PeerAddress))
	if err != nil {
		return nil, listenError("peer-address", s.PeerAddress, err)
	}
	httpClient := newPeerHTTPClient(localIP(s.ControlAddress))
	now := uint64(time.Now().UnixNano())
	var peers []netip.AddrPort
	for _, address := range s.Peers {
		peers = append(peers, netip.MustParseAddrPort(address))
	}
	return NewNode(Options{
		Self: s.Self(now), Key: key, DataConn: dataConn, PeerConn: peerConn, Store: p,
		Seeds: SeedsFrom(membership.DaemonID(s.Name), peers, p),
		Clients: func(v membership.Viewer) Clients {
			return peer.NewClients(v, httpClient, key, counters, budget)
		},
		Counters: counters, Logger: logger, Seed: now, Budget: budget, Suspended: suspension.NewMeter(logger),
	}), nil
}

// newPeerHTTPClient returns a client that dials from the daemon's own address, since the fabric
// determines the zone of a connection by its source address.
func newPeerHTTPClient(local netip.Addr) *http.Client {
	dialer := &net.Dialer{
		LocalAddr: &net.TCPAddr{IP: local.AsSlice()},
		Timeout:   time.Second,
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second,
	}}
}

// listeners holds the TCP listeners of a daemon and an HTTP server for each.
type listeners struct {
	servers []*http.Server
	sockets []net.Listener
}

func newListeners(s *Settings, n *Node, counters *telemetry.Counters, budget *peer.Budget, logger zerolog.Logger) (*listeners, error) {
	key, err := s.ClusterKey()
	if err != nil {
		return nil, err
	}
	token, err := s.OperatorToken()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := s.tlsConfig()
	if err != nil {
		return nil, err
	}
	peerMux, operatorMux := http.NewServeMux(), http.NewServeMux()
	peerMux.Handle(peer.NewHandler(n.PeerService(), key, counters, budget))
	operatorMux.Handle(fulmarfieldv1connect.NewOperatorServiceHandler(n.OperatorService()))
	access := operatorAccess{token: token, counters: counters, logger: logger}
	l := &listeners{}
	if err := l.listen("control-address", s.ControlAddress, peerMux, nil); err != nil {
		return nil, err
	}
	if err := l.listen("admin-address", s.AdminAddress, n.adminHandler(), nil); err != nil {
		return nil, err
	}
	operatorServer := &http.Server{Handler: access.requireCredential(operatorMux), TLSConfig: tlsConfig}
	return l, l.listen("operator-address", s.OperatorAddress, nil, operatorServer)
}

func (l *listeners) listen(flag, address string, handler http.Handler, server *http.Server) error {
	socket, err := net.Listen("tcp4", address)
	if err != nil {
		return listenError(flag, address, err)
	}
	if server == nil {
		server = &http.Server{Handler: handler}
	}
	server.ReadHeaderTimeout = readHeaderTimeout
	l.servers = append(l.servers, server)
	l.sockets = append(l.sockets, socket)
	return nil
}

func (l *listeners) serve(failures chan<- error) {
	for i, server := range l.servers {
		go func() {
			serve := func() error { return server.Serve(l.sockets[i]) }
			if server.TLSConfig != nil {
				serve = func() error { return server.ServeTLS(l.sockets[i], "", "") }
			}
			if err := serve(); !errors.Is(err, http.ErrServerClosed) {
				failures <- fmt.Errorf("serve %s: %w", l.sockets[i].Addr(), err)
			}
		}()
	}
}

func (l *listeners) close() error {
	errs := make([]error, 0, len(l.servers))
	for _, server := range l.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// addLifecycleHooks registers the start and the stop of the node and the listeners with fx. On a stop,
// the node hands over its resources before it and the listeners end.
func addLifecycleHooks(lc fx.Lifecycle, n *Node, l *listeners, logger zerolog.Logger, failures chan<- error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l.serve(failures)
			go func() {
				defer close(done)
				if err := n.Run(ctx); err != nil {
					failures <- err
				}
			}()
			logger.Info().Str("event", eventStarted).Str("zone", n.self.Zone).Msg("")
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			leaveErr := n.Leave(stopCtx)
			cancel()
			<-done
			return errors.Join(leaveErr, l.close())
		},
	})
}

// peerServiceHandler is the interface of a connect handler of PeerService. It has the same methods as
// the client interface, so that a peerService can be used as an in-memory client.
type peerServiceHandler = fulmarfieldv1connect.PeerServiceHandler

var _ fulmarfieldv1connect.PeerServiceClient = peerService{}
