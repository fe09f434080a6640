package discovery

import (
	"math"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

const (
	// confirmShare and spreadShare are when a state is to be confirmed, as shares of the time
	// in which a change must hold: a daemon reads after 0.4 to 0.6 of it. A change that no
	// watch shows is then known, with the grace for watches and the calls, in 0.8 of it.
	confirmShare = 0.4
	spreadShare  = 0.2
	// watchGrace is how long a watch has to show what another daemon knows already.
	watchGrace = 200 * time.Millisecond
	// daemonsPerStep flattens the spread of many daemons, so that the first one that reads
	// has told the others before the next one begins.
	daemonsPerStep = 4
)

// Claim is what another daemon says of a kind: records with this digest were the newest at a
// time.
type Claim struct {
	Kind        store.Kind
	Digest      uint64
	AsOf        store.Version
	ConfirmedAt time.Time
}

// belief is what a daemon knows of the age of its copy of one kind.
type belief struct {
	// confirmedAt is the latest time at which the copy is known to have been the newest.
	confirmedAt time.Time
	// listedAt is the begin of the last complete list of the store.
	listedAt time.Time
	// differsSince is when another daemon was first known to have other and newer records; the
	// zero time if none is.
	differsSince time.Time
}

// tookList notes a complete list whose call began at a time.
func (b *belief) tookList(began time.Time, fromStore bool) {
	b.differsSince = time.Time{}
	if fromStore {
		b.listedAt = began
	}
	if began.After(b.confirmedAt) {
		b.confirmedAt = began
	}
}

// tookClaim judges what another daemon says. Equal records that were the newest then confirm the
// copy. Other records show that it is behind, unless it is ahead.
func (b *belief) tookClaim(c Claim, m *mirror, now time.Time) {
	switch {
	case c.Digest == m.digest:
		b.differsSince = time.Time{}
		m.asOf = max(m.asOf, c.AsOf)
		if c.ConfirmedAt.After(b.confirmedAt) {
			b.confirmedAt = c.ConfirmedAt
		}
	case c.ConfirmedAt.After(b.confirmedAt) && c.AsOf >= m.asOf && b.differsSince.IsZero():
		b.differsSince = now
	}
}

// changed notes that the copy has changed, so that an earlier difference may be gone.
func (b *belief) changed() { b.differsSince = time.Time{} }

// readAt returns when the copy is to be read again, if nothing else is heard.
func (b *belief) readAt(bound time.Duration, spread float64) time.Time {
	due := b.confirmedAt.Add(time.Duration(float64(bound) * (confirmShare + spreadShare*spread)))
	if grace := b.differsSince.Add(watchGrace); !b.differsSince.IsZero() && grace.Before(due) {
		return grace
	}
	return due
}

// spread turns a random number in [0, 1) into one that few of many daemons draw low.
func spread(random float64, daemons int) float64 {
	return math.Pow(random, 1/(1+float64(daemons)/daemonsPerStep))
}
