package daemon

// Values of the field "event" in the daemon's log lines.
const (
	eventStarted         = "daemon_started"
	eventStopping        = "daemon_stopping"
	eventStopped         = "daemon_stopped"
	eventStopForced      = "daemon_stop_forced"
	eventListenFailed    = "listen_failed"
	eventShutdownTimeout = "shutdown_timeout"
	eventOperatorRefused = "operator_refused"
	eventOperatorCommand = "operator_command"
	// Events of a drain that the configuration declares, and of the undrain.
	eventDaemonDraining        = "daemon_draining"
	eventDaemonDrained         = "daemon_drained"
	eventDaemonDrainIncomplete = "daemon_drain_incomplete"
	eventDaemonUndrained       = "daemon_undrained"
	eventDaemonRejoined        = "daemon_rejoined"
)
