package daemon

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
	// Events of a drain by the configuration and of its end.
	eventDaemonDraining  = "daemon_draining"
	eventDaemonDrained   = "daemon_drained"
	eventDrainIncomplete = "daemon_drain_incomplete"
	eventDaemonUndrained = "daemon_undrained"
	eventDaemonRejoined  = "daemon_rejoined"
)
