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
// age of the copy fell by at least the given time, so that others should hear of it.
func (f *Follower) TookClaim(c Claim, news time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[c.Kind]
	if k == nil || k.lists == 0 {
		return false
	}
	before, differs, asOf := k.belief.confirmedAt, k.belief.differsSince, k.mirror.asOf
	k.belief.tookClaim(c, k.mirror, time.Now())
	if k.mirror.asOf > asOf {
		notify(f.advanced[c.Kind])
	}
	if !k.belief.differsSince.Equal(differs) {
		notify(f.wake[c.Kind])
		notify(f.behind[c.Kind])
	}
	if k.belief.confirmedAt.Sub(before) < news {
		return false
	}
	k.spread = spread(rand.Float64(), f.daemons())
	return true
}

// Claims returns what this daemon can say of its copies.
func (f *Follower) Claims() []Claim {
	f.mu.Lock()
	defer f.mu.Unlock()
	var claims []Claim
	for _, kind := range Kinds() {
		if k := f.kinds[kind]; k.lists > 0 {
			claims = append(claims, Claim{Kind: kind, Digest: k.mirror.digest, AsOf: k.mirror.asOf, ConfirmedAt: k.belief.confirmedAt})
		}
	}
	return claims
}

// ErrNotKnown means that the records of a kind were never read.
var ErrNotKnown = errors.New("records are not known yet")

// Records returns the copy of a kind and when it was the newest, or ErrNotKnown.
func (f *Follower) Records(kind store.Kind) (store.Listing, time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k == nil || k.lists == 0 {
		return store.Listing{}, time.Time{}, fmt.Errorf("%s: %w", kind, ErrNotKnown)
	}
	l := store.Listing{AsOf: k.mirror.asOf}
	for _, r := range k.mirror.records {
		l.Records = append(l.Records, r)
	}
	return l, k.belief.confirmedAt, nil
}

// ConfirmedAt returns when a kind was last known to be the newest.
func (f *Follower) ConfirmedAt(kind store.Kind) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].belief.confirmedAt
}

// ConfigConfirmedAt returns when the configuration was last known to be the newest.
func (f *Follower) ConfigConfirmedAt() time.Time { return f.ConfirmedAt(platform.KindConfiguration) }

// UpstreamsConfirmedAt returns when the upstreams were last known to be the newest.
func (f *Follower) UpstreamsConfirmedAt() time.Time { return f.ConfirmedAt(platform.KindUpstreams) }

// UpstreamsListedSince reports whether a complete list of upstreams was begun after t and long
// enough after the store's return for lapsed entries to be back. It asks for one if not.
func (f *Follower) UpstreamsListedSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[platform.KindUpstreams]
	answersSince := f.breaker.answering()
	if answersSince.IsZero() {
		return false
	}
	listed := k.belief.listedAt
	if listed.After(t) && listed.Sub(answersSince) >= catalog.LapseGrace {
		return true
	}
	if min(time.Since(listed), time.Since(answersSince)-catalog.LapseGrace) >= minListInterval {
		f.wantLocked(platform.KindUpstreams)
	}
	return false
}
