package declaration

import "errors"

// Errors of Build and of the edits.
var (
	ErrUnknownService   = errors.New("service is not declared")
	ErrUnknownUpstream  = errors.New("upstream is not declared")
	ErrUnknownDaemon    = errors.New("daemon is not declared")
	ErrUnknownZone      = errors.New("zone is not declared")
	ErrDuplicateName    = errors.New("name is already declared")
	ErrDuplicateAddress = errors.New("address is already declared")
	ErrInvalidValue     = errors.New("value is not allowed")
	// ErrOtherDeployment means that the declaration is for a deployment other than the configured one.
	ErrOtherDeployment = errors.New("declaration is of another deployment")
	// ErrNotDraining means that an upstream to be removed is not draining, so that it may have
	// established flows.
	ErrNotDraining = errors.New("upstream is not draining")
	// ErrHasFlows means that an upstream to be removed has established flows, which would end.
	ErrHasFlows = errors.New("upstream has established flows, which its removal would end")
	// ErrFlowsUnknown means that a daemon that may have flows on an upstream to be removed does not
	// respond.
	ErrFlowsUnknown = errors.New("established flows are not known, as daemons did not answer")
)
