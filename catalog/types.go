package catalog

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State says whether an upstream takes new flows.
type State uint8

// States of an upstream.
const (
	StateReady State = iota
	StateDraining
	// StateUnreadable is that of an upstream whose entry was replaced by one that cannot be
	// read. It takes no new flows, and nothing shows that it has ended.
	StateUnreadable
)

// Upstream is one incarnation of an upstream. It is never changed after it was published.
type Upstream struct {
	// ID is the name under which the upstream registered.
	ID string
	// Instance addresses exactly this upstream in a datagram, so that another one that took
	// over the address ignores it.
	Instance uint64
	// Key tells incarnations apart and is the same on all daemons.
	Key     uint64
	Service string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that it works on at once.
	Slots int
	State State
	// StartedAt is the Unix millisecond of the start by the upstream's clock; it only tells
	// incarnations apart.
	StartedAt int64
	// ColdFor is how much longer it is slow, as of its registration.
	ColdFor time.Duration
	// warmAt is derived from ColdFor by the clock of this daemon.
	warmAt time.Time
}

// IsCold reports whether the upstream is still in its slow start.
func (u *Upstream) IsCold(now time.Time) bool { return now.Before(u.warmAt) }

// KeyOf returns the key of an incarnation.
func KeyOf(id string, startedAt int64) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(id) // A hash never returns an error.
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(startedAt))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Token returns what packets of the upstream's flows to a service address carry. All daemons
// compute the same value. It is bound to the address, so that the token of a flow to one service
// names nothing at another service's address, and it is never 0, which packets without a token
// carry. IDs are not known to callers, so a caller can only guess, with a chance of 1 in 2^32 for
// each upstream.
func (u *Upstream) Token(address netip.AddrPort) uint32 {
	var b [14]byte
	binary.BigEndian.PutUint64(b[:], u.Key)
	ip := address.Addr().As4()
	copy(b[8:], ip[:])
	binary.BigEndian.PutUint16(b[12:], address.Port())
	return max(uint32(xxhash.Sum64(b[:])), 1)
}

// RequestKind says what may be done with a request that failed.
type RequestKind uint8

// Kinds of requests.
const (
	// KindUnsafe requests may run once at most. It is the zero value, so that a kind that is
	// not known is never repeated.
	KindUnsafe RequestKind = iota
	KindSafe
	KindDownload
)

// IsRepeatable reports whether callers may send the request again on a new flow.
func (k RequestKind) IsRepeatable() bool { return k != KindUnsafe }

// String returns the kind in lower case.
func (k RequestKind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindDownload:
		return "download"
	default:
		return "unsafe"
	}
}

// Target is a service that a route sends new flows to, with its share.
type Target struct {
	Service string
	Weight  int
}

// Route maps a service address to services.
type Route struct {
	Name    string
	Address netip.AddrPort
	Kind    RequestKind
	Targets []Target
}

// Configuration is one version of what operators declared.
type Configuration struct {
	Version int64
	Routes  map[netip.AddrPort]*Route
	// IdleTimeout is how long a flow may be idle before it may be forgotten.
	IdleTimeout time.Duration
}
