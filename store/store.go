// Package store provides access to the object store in which the balancers keep their
// configuration, and to the list of VMs: the interfaces, and a client of the project's own
// protocol. It owns no state except its counters and connections.
package store

import (
	"context"
	"errors"
	"net/netip"
)

// MaxValueBytes is the size of the largest value that the object store accepts.
const MaxValueBytes = 1 << 20

// Errors of the object store and the VM list. Every error that a Store returns wraps one of
// these, or the error of the context when a read was cancelled.
var (
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the condition of a write did not hold; nothing was written.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the platform did not serve the call. A write that returns it was
	// certainly not applied.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrOutcomeUnknown means that a write may have been applied, now or later.
	ErrOutcomeUnknown = errors.New("answer to a write was lost")
	// ErrRateLimited means that the platform refused the call because of its rate limit; nothing
	// was written.
	ErrRateLimited = errors.New("platform refused the call for its rate")
	// ErrTooLarge means that the value is larger than MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("value is larger than 1 MB")
	// ErrInvalid means that the platform refused the call as malformed; nothing was written.
	ErrInvalid = errors.New("platform refused the call as malformed")
)

// Version is the version of an object. Versions increase over all objects of a store, so that an
// object that is deleted and created again never gets an earlier version. 0 means no object.
type Version uint64

// Object is an object with its version.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// Entry is an object in a listing.
type Entry struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Condition is what must hold for a write to be applied.
type Condition struct {
	kind    conditionKind
	version Version
}

type conditionKind int

const (
	conditionNone conditionKind = iota
	conditionAbsent
	conditionVersion
)

// Always returns the condition that always holds.
func Always() Condition { return Condition{} }

// IfAbsent returns the condition that the object does not exist (If-None-Match: *).
func IfAbsent() Condition { return Condition{kind: conditionAbsent} }

// IfVersion returns the condition that the object has the given version (If-Match). Version 0 means
// IfAbsent.
func IfVersion(v Version) Condition {
	if v == 0 {
		return IfAbsent()
	}
	return Condition{kind: conditionVersion, version: v}
}

// Holds reports whether the condition holds for an object with the version current, which is 0 if
// the object does not exist.
func (c Condition) Holds(current Version) bool {
	switch c.kind {
	case conditionAbsent:
		return current == 0
	case conditionVersion:
		return current == c.version && current != 0
	default:
		return true
	}
}

// Store is the platform's object store. All methods may be called concurrently.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object and returns its new version, or ErrConflict, ErrTooLarge or
	// ErrOutcomeUnknown.
	Put(ctx context.Context, key string, value []byte, c Condition) (Version, error)
	// Delete removes an object, or returns ErrNotFound, ErrConflict or ErrOutcomeUnknown.
	Delete(ctx context.Context, key string, c Condition) error
	// List returns the objects whose keys begin with the prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until the object has a version later than after, and returns it. It returns
	// changed false if the long poll ended without a change, and ErrNotFound if the object with
	// version after was deleted.
	Watch(ctx context.Context, key string, after Version) (o Object, changed bool, err error)
}

// VMKind is the kind of process that runs on a VM.
type VMKind string

// Kinds of VMs.
const (
	KindDaemon   VMKind = "daemon"
	KindUpstream VMKind = "upstream"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of VMs.
const (
	StateLive    VMState = "live"
	StateLeaving VMState = "leaving"
)

// VM is one entry of the VM list. Addresses that do not exist for the kind have the zero value.
type VM struct {
	Name string `json:"name"`
	Kind VMKind `json:"kind"`
	Zone string `json:"zone"`
	// PeerAddress is the UDP address at which a daemon receives datagrams of other daemons.
	PeerAddress netip.AddrPort `json:"peer_address,omitzero"`
	// ControlAddress is the TCP address of a daemon's Connect RPC interface.
	ControlAddress netip.AddrPort `json:"control_address,omitzero"`
	// DataAddress is the UDP address for data packets.
	DataAddress netip.AddrPort `json:"data_address,omitzero"`
	State       VMState        `json:"state"`
}

// VMLister lists the platform's VMs. The list may be stale: new VMs may be missing, and removed
// ones still included.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
