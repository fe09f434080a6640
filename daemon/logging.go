package daemon

import (
	"io"

	"github.com/rs/zerolog"
)

// Event names of the daemon's log lines, in the field "event".
const (
	eventStarted         = "daemon_started"
	eventStopping        = "daemon_stopping"
	eventStopped         = "daemon_stopped"
	eventStopForced      = "daemon_stop_forced"
	eventListenFailed    = "listen_failed"
	eventShutdownTimeout = "shutdown_timeout"
	eventOperatorRefused = "operator_refused"
	eventCommand         = "operator_command"
)

func newLogger(w io.Writer, name string, level zerolog.Level) zerolog.Logger {
	return zerolog.New(w).Level(level).With().Timestamp().Str("daemon", name).Logger()
}
