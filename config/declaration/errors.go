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
	// ErrOtherDeployment refuses the declaration of another deployment.
	ErrOtherDeployment = errors.New("declaration is of another deployment")
	// ErrNotDraining refuses the removal of an upstream that may have established flows.
	ErrNotDraining = errors.New("upstream is not draining")
	// ErrHasFlows refuses the removal of an upstream whose established flows would end.
	ErrHasFlows = errors.New("upstream has established flows, which its removal would end")
	// ErrFlowsUnknown refuses a removal while a daemon that may hold flows does not answer.
	ErrFlowsUnknown = errors.New("established flows are not known, as daemons did not answer")
)
