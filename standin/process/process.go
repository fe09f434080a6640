// Package process holds the common parts of the stand-in programs and the load generator: parsing
// of settings, the log, the admin listener and the handling of signals. It owns no state.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

// ExitBadSettings is the exit status for settings that are refused.
const ExitBadSettings = 2

// ErrSetting reports a setting that is refused.
var ErrSetting = errors.New("bad setting")

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// BadSetting returns an ErrSetting that names the flag, its value and what is allowed.
func BadSetting(flag string, value any, allowed string) error {
	return fmt.Errorf("%w: --%s %v: allowed: %s", ErrSetting, flag, value, allowed)
}

// ParseSettingsOrExit parses flags and environment variables into options and calls check. It ends the process
// with status 0 for --help, and with ExitBadSettings and a message for refused settings.
func ParseSettingsOrExit(options any, check func() error) {
	if err := ParseSettings(options, os.Args[1:], check); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(os.Stdout, err)
			os.Exit(0)
		}
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitBadSettings)
	}
}

// ParseSettings is ParseSettingsOrExit for given arguments; it returns errors instead of ending the
// process.
func ParseSettings(options any, args []string, check func() error) error {
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return fmt.Errorf("%w: argument %q: allowed: flags only", ErrSetting, rest[0])
	}
	return check()
}

// NewLogger returns the JSON log of a program.
func NewLogger(w io.Writer, program string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("program", program).Logger()
}

// SignalContext returns a context that is cancelled on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// ServeAdmin serves HTTP on address until the returned function is called. An empty address
// serves nothing. It returns an error if the address cannot be bound.
func ServeAdmin(address string, h http.Handler) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on admin address %s: %w", address, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}, nil
}

// Exit ends the process with status 0 if err is nil. Otherwise it logs err and ends the process with
// status 1.
func Exit(log zerolog.Logger, err error) {
	if err != nil {
		log.Error().Str("event", "failed").Err(err).Send()
		os.Exit(1)
	}
	os.Exit(0)
}
