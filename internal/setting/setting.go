// Package setting holds what the settings of all programs have in common: parsing of flags,
// errors of settings and the logger.
package setting

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

// Error reports a setting that is not allowed.
type Error struct {
	// File is empty when the setting is a flag or an environment variable.
	File    string
	Name    string
	Value   string
	Allowed string
}

// NewError returns the error of a setting that is not allowed. file is the file that contains the
// setting, empty for a flag or an environment variable.
func NewError(file, name, value, allowed string) *Error {
	return &Error{File: file, Name: name, Value: value, Allowed: allowed}
}

// Error returns a message with the file or flag, the setting, the value and what is allowed.
func (e *Error) Error() string {
	place := "--"
	if e.File != "" {
		place = e.File + ": "
	}
	return fmt.Sprintf("%s%s: %q is not allowed: %s", place, e.Name, e.Value, e.Allowed)
}

// ErrHelp reports that help was requested and has been printed.
var ErrHelp = errors.New("help was printed")

// ParseFlags parses flags and environment variables. It returns ErrHelp after printing help, or an
// error that names the flag.
func ParseFlags(parser *flags.Parser, args []string) error {
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(os.Stdout, flagsErr.Message)
		return ErrHelp
	}
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("read settings: unexpected argument %q; only flags are allowed", rest[0])
	}
	return nil
}

// CheckAddress returns an *Error unless value is an IPv4 address and a port. file is as in NewError.
func CheckAddress(file, name, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		return NewError(file, name, value, "an IPv4 address and a port from 1 to 65535, as 192.0.2.1:7000")
	}
	return nil
}

// NewLogger returns a logger that adds the daemon's name and a timestamp to each line.
func NewLogger(w io.Writer, name string, level zerolog.Level) zerolog.Logger {
	return zerolog.New(w).Level(level).With().Timestamp().Str("daemon", name).Logger()
}
