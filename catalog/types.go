package catalog

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State determines whether an upstream accepts new flows.
type State uint8

// States of an upstream.
const (
	StateReady State = iota
	StateDraining
	// StateUnreadable means that the upstream's entry was replaced by one that cannot be decoded.
	// The upstream accepts no new flows. Its open flows continue, since there is no evidence that
	// it has stopped.
	StateUnreadable
)

// Upstream is one incarnation of an upstream. It must not be changed after it was published.
type Upstream struct {
	// ID is the name under which the upstream registered.
	ID string
	// Instance identifies this upstream in datagrams, so that another upstream that took over
	// the address ignores them.
	Instance uint64
	// Key identifies this incarnation and is the same on all daemons.
	Key     uint64
	Service string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	State State
	// StartedAt is the start time in Unix milliseconds by the upstream's clock, 0 if it is not known. It
	// only distinguishes incarnations: clocks differ and may be set.
	StartedAt int64
	// EntryVersion is the version of the store at which the upstream's entry was written.
	EntryVersion uint64
	// ColdRemaining is how much longer the upstream is in its slow start, as of the writing of its entry.
	ColdRemaining time.Duration
	// warmAt is the end of the slow start by this daemon's clock, derived from ColdRemaining.
	warmAt time.Time
	// prefix is the result of tokenPrefix.
	prefix uint16
}

// IsCold reports whether the upstream is still in its slow start.
func (u *Upstream) IsCold(now time.Time) bool { return now.Before(u.warmAt) }

// IncarnationKey returns the Key of the upstream with an ID and start time.
func IncarnationKey(id string, startedAt int64) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(id) // A hash never returns an error.
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(startedAt))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Token returns the token that packets of the upstream's flows to a service address carry. All
// daemons compute the same value. The token names the upstream by its ID and its own address, to which the
// opening packet is sent, and no incarnation: the daemon that places a flow cannot know which incarnation
// accepts it, since an upstream that starts again under its ID registers later than it listens.
//
// The first tokenPrefixBits bits depend on the ID only, so that few upstreams have to be compared to find
// that of a token. The others also depend on both addresses. The token of a flow to one service is
// invalid at another service's address, and no entry of the upstream with another address changes where
// the packets of the flow go. A token is never 0, the value in packets without a token. Callers
// do not know the IDs of upstreams, so they can only guess a token, with a chance of 1 in 2^32 for each
// upstream, or of 1 in 2^20 for an upstream to which they have a flow at another address.
func (u *Upstream) Token(address netip.AddrPort) uint32 {
	b := append(make([]byte, 0, typicalIDBytes+addressBytes), u.ID...)
	ip := address.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, address.Port())
	own := u.Address.Addr().Unmap().As16()
	b = append(b, own[:]...)
	b = binary.BigEndian.AppendUint16(b, u.Address.Port())
	const addressBits = 32 - tokenPrefixBits
	return max(uint32(u.tokenPrefix())<<addressBits|uint32(xxhash.Sum64(b))&(1<<addressBits-1), 1)
}

const (
	// tokenPrefixBits is the number of bits of a token that depend on the upstream's ID only.
	tokenPrefixBits = 12
	// typicalIDBytes is a length that most IDs of upstreams do not exceed.
	typicalIDBytes = 32
	// addressBytes is the length of both addresses of a token.
	addressBytes = 6 + 18
)

// tokenPrefix returns the first bits of the upstream's tokens.
func (u *Upstream) tokenPrefix() uint16 {
	return uint16(xxhash.Sum64String(u.ID) >> (64 - tokenPrefixBits))
}

// RequestKind determines whether a failed request may be retried.
type RequestKind uint8

// Kinds of requests.
const (
	// KindUnsafe requests may run at most once. This is the zero value, so that a request of an
	// unknown kind is never retried.
	KindUnsafe RequestKind = iota
	KindSafe
	KindDownload
)

// IsRetryable reports whether callers may retry the request on a new flow.
func (k RequestKind) IsRetryable() bool { return k != KindUnsafe }

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

// Target is a service to which a route sends new flows, with the weight of its share.
type Target struct {
	Service string
	Weight  int
}

// Route maps a service address to the services that receive its new flows.
type Route struct {
	Name    string
	Address netip.AddrPort
	Kind    RequestKind
	Targets []Target
	// Priority is the priority of the route's requests. 0 is the highest.
	Priority int
	// Objective is the response time that callers expect, from the first attempt of a request. 0 means
	// that none is declared.
	Objective time.Duration
}

// Service holds what operators declared of a service.
type Service struct {
	// ColdRate is the number of requests a second that a cold upstream of the service bears. 0 means that
	// there is no limit.
	ColdRate float64
}

// Configuration is one version of the configuration that operators declared.
type Configuration struct {
	Version int64
	Routes  map[netip.AddrPort]*Route
	// Services holds the declared services by name. It may lack services that routes name.
	Services map[string]Service
	// IdleTimeout is how long a flow may be idle before its state may be dropped.
	IdleTimeout time.Duration
}
