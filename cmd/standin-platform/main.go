// Command standin-platform serves a stand-in of the cloud platform: an object store, a list of VMs, and an
// admin interface that switches faults on and off.
package main

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

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/config/declaration"
	standin "github.com/fulmarfield/fulmarfield/standin/platform"
)

const (
	exitUsage       = 2
	shutdownTimeout = 2 * time.Second
	readTimeout     = 10 * time.Second
)

type settings struct {
	Listen     string `long:"listen" env:"FULMAR_PLATFORM_LISTEN" default:"127.0.99.1:7100" description:"IP:port to listen on"`
	WriteRate  int    `long:"write-rate" env:"FULMAR_PLATFORM_WRITE_RATE" default:"400" description:"maximum writes per second"`
	ReadRate   int    `long:"read-rate" env:"FULMAR_PLATFORM_READ_RATE" default:"2000" description:"maximum reads per second"`
	Deployment string `long:"deployment" env:"FULMAR_PLATFORM_DEPLOYMENT" description:"declaration file whose VMs are listed at the start"`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("program", "standin-platform").Logger()
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	p, err := s.newPlatform()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = serve(ctx, s.Listen, p, log)
	stop()
	if err != nil {
		log.Error().Str("event", "serve_failed").Err(err).Send()
		os.Exit(1)
	}
}

// newPlatform checks the settings and returns the stand-in that they describe.
func (s *settings) newPlatform() (*standin.Platform, error) {
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		return nil, fmt.Errorf("--listen %q: must be IP:port", s.Listen)
	}
	if s.WriteRate < 1 {
		return nil, fmt.Errorf("--write-rate %d: must be at least 1", s.WriteRate)
	}
	if s.ReadRate < 1 {
		return nil, fmt.Errorf("--read-rate %d: must be at least 1", s.ReadRate)
	}
	p := standin.New(standin.Options{WriteRate: s.WriteRate, ReadRate: s.ReadRate})
	if s.Deployment == "" {
		return p, nil
	}
	data, err := os.ReadFile(s.Deployment)
	if err != nil {
		return nil, fmt.Errorf("--deployment %q: must be a readable declaration: %w", s.Deployment, err)
	}
	d, faults := declaration.Parse(s.Deployment, data)
	if len(faults) > 0 {
		return nil, fmt.Errorf("--deployment %q: must be a valid declaration:\n%w", s.Deployment, faults)
	}
	p.PutDeployment(d)
	return p, nil
}

// serve serves the stand-in until ctx is cancelled.
func serve(ctx context.Context, address string, p *standin.Platform, log zerolog.Logger) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler: p.Handler(), ReadHeaderTimeout: readTimeout,
		// Cancelling ctx ends pending long polls, which would otherwise outlast the shutdown.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	log.Info().Str("event", "serving").Str("address", address).Send()
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	log.Info().Str("event", "stopping").Send()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return server.Close()
	}
	return nil
}
