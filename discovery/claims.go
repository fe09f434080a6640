package discovery

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

// TookClaim takes into account what another daemon says of its records. It reports whether the
// copy became so much younger that others should hear of it.
func (f *Follower) TookClaim(c Claim) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[c.Kind]
	if k == nil || !k.isKnown() {
		return false
	}
	before, asOf := k.belief.confirmedAt, k.mirror.asOf
	k.belief.tookClaim(c, k.mirror)
	if k.mirror.asOf > asOf {
		notify(f.advanced[c.Kind])
	}
	if k.belief.better.From.IsValid() {
		notify(f.wake[c.Kind])
	}
	if k.belief.confirmedAt.Sub(before) < newsStep {
		return false
	}
	k.mirror.forgetRemoved(k.belief.confirmedAt)
	k.spread = spread(rand.Float64(), f.daemons())
	return true
}

// Claims returns what this daemon can say of its copies.
func (f *Follower) Claims() []Claim {
	f.mu.Lock()
	defer f.mu.Unlock()
	var claims []Claim
	for _, kind := range Kinds() {
		if k := f.kinds[kind]; !k.belief.confirmedAt.IsZero() {
			claims = append(claims, Claim{
				Kind: kind, Digest: k.mirror.digest(), AsOf: k.mirror.asOf,
				ProvenAsOf: k.mirror.provenAsOf, ConfirmedAt: k.belief.confirmedAt,
			})
		}
	}
	return claims
}

// ErrNotKnown means that the records of a kind were never read, or that nothing proves them yet.
var ErrNotKnown = errors.New("records are not known yet")

// Records returns the parts of the copy of a kind whose digests differ from the given ones, all of
// it if none are given, or ErrNotKnown.
func (f *Follower) Records(kind store.Kind, digests []uint64) (Part, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k == nil || k.belief.confirmedAt.IsZero() {
		return Part{}, fmt.Errorf("%s: %w", kind, ErrNotKnown)
	}
	p := k.mirror.part(digests)
	p.ConfirmedAt = k.belief.confirmedAt
	return p, nil
}

// ConfirmedAt returns when a kind was last known to be the newest.
func (f *Follower) ConfirmedAt(kind store.Kind) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].belief.confirmedAt
}

// ConfigValidatedAt returns when the configuration was last known to be the newest.
func (f *Follower) ConfigValidatedAt() time.Time { return f.ConfirmedAt(platform.KindConfiguration) }

// UpstreamsValidatedAt returns when the upstreams were last known to be the newest.
func (f *Follower) UpstreamsValidatedAt() time.Time { return f.ConfirmedAt(platform.KindUpstreams) }

// UpstreamsListedSince reports whether the upstreams were known to be the newest after t and long
// enough after the store's return for lapsed entries to be back. It asks for a list if not.
func (f *Follower) UpstreamsListedSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[platform.KindUpstreams]
	answersSince := f.breaker.answering()
	if answersSince.IsZero() {
		return false
	}
	listed := k.belief.confirmedAt
	if k.belief.wasCompleteAfter(t) && listed.Sub(answersSince) >= catalog.ReregistrationGrace {
		return true
	}
	if min(time.Since(listed), time.Since(answersSince)-catalog.ReregistrationGrace) >= minListInterval {
		f.wantLocked(platform.KindUpstreams)
	}
	return false
}
