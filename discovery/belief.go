package discovery

import (
	"math"
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

const (
	// confirmShare and spreadShare are when a state is to be confirmed, as shares of the time
	// in which a change must hold: a daemon reads after 0.4 to 0.6 of it. A change that no
	// watch shows is then known, with the grace for watches and the calls, in 0.8 of it.
	confirmShare = 0.4
	spreadShare  = 0.2
	// newsStep is by how much a claim must make a copy younger to be worth a call or to be passed
	// on. Claims of one list differ by the time that datagrams take over some daemons, and wait on
	// small VMs.
	newsStep = 300 * time.Millisecond
	// daemonsPerStep flattens the spread of many daemons, so that the first one that reads
	// has told the others before the next one begins.
	daemonsPerStep = 4
)

// Claim is what another daemon says of a kind: records with this digest were the newest at a
// time.
type Claim struct {
	Kind   store.Kind
	Digest uint64
	// AsOf is the version up to which its watches have told it of changes, ProvenAsOf that of the
	// complete list that confirmed the records.
	AsOf, ProvenAsOf store.Version
	ConfirmedAt      time.Time
	// From is where its records can be had.
	From netip.Addr
}

// Part is what one daemon gives another of its copy, or a complete list of the store.
type Part struct {
	// AsOf is the version of the complete list that proves the records; every record of the
	// buckets that is not older and not shown is gone.
	AsOf    store.Version
	Buckets []int
	Records []store.Record
	// ConfirmedAt is when the records were the newest.
	ConfirmedAt time.Time
}

// belief is what a daemon knows of the age of its copy of one kind.
type belief struct {
	// confirmedAt is the latest time at which the copy is known to have been the newest; the zero
	// time while nothing proves it.
	confirmedAt time.Time
	// listedAt is the begin of the last complete list that this daemon made itself.
	listedAt time.Time
	// unprovenSince is when a copy was first held that nothing proves.
	unprovenSince time.Time
	// better is the latest claim of a daemon with other records that were confirmed later; its
	// address is zero if there is none.
	better Claim
}

// tookList notes a complete list that was the newest at a time.
func (b *belief) tookList(at time.Time) {
	if at.After(b.confirmedAt) {
		b.confirmedAt = at
	}
	b.forgetOldClaim()
}

// wasCompleteAfter reports whether the copy was known to be the newest at some time after t. A claim
// comes to be dated later on its way, so it must be well after.
func (b *belief) wasCompleteAfter(t time.Time) bool {
	return b.listedAt.After(t) || b.confirmedAt.Sub(t) >= newsStep
}

// tookClaim judges what another daemon says. Equal records that were the newest then confirm the
// copy. Others that were confirmed later are to be had from that daemon, even if the copy is ahead in
// some of them: they confirm the rest.
func (b *belief) tookClaim(c Claim, m *mirror) {
	switch {
	case c.Digest == m.digest():
		m.asOf = max(m.asOf, c.AsOf)
		if c.ConfirmedAt.After(b.confirmedAt) {
			b.confirmedAt = c.ConfirmedAt
			m.provenAsOf = max(m.provenAsOf, c.ProvenAsOf)
		}
		b.forgetOldClaim()
	case c.ConfirmedAt.Sub(b.confirmedAt) >= newsStep && c.ConfirmedAt.After(b.better.ConfirmedAt):
		b.better = c
	}
}

// forgetOldClaim drops a claim that would not make the copy younger any more.
func (b *belief) forgetOldClaim() {
	if b.better.ConfirmedAt.Sub(b.confirmedAt) < newsStep {
		b.better = Claim{}
	}
}

// cause is why a kind is read.
type cause string

const (
	// causeFirst is a kind of which nothing is known.
	causeFirst cause = "first"
	// causeAge is a copy that nothing confirmed for too long.
	causeAge cause = "age"
	// causeDiffers is another daemon with newer records.
	causeDiffers cause = "differs"
	// causeWanted is a packet that asks for a list.
	causeWanted cause = "wanted"
)

// readAt returns when and why the copy is to be read again, if nothing else is heard. Another daemon's
// newer records are read at once, so that news spread before further daemons read the store.
func (b *belief) readAt(bound time.Duration, spread float64) (time.Time, cause) {
	switch {
	case b.better.From.IsValid():
		return b.better.ConfirmedAt, causeDiffers
	case b.confirmedAt.IsZero():
		return b.unprovenSince.Add(time.Duration(float64(bound) * spreadShare * spread)), causeAge
	default:
		return b.confirmedAt.Add(time.Duration(float64(bound) * (confirmShare + spreadShare*spread))), causeAge
	}
}

// spread turns a random number in [0, 1) into one that few of many daemons draw low.
func spread(random float64, daemons int) float64 {
	return math.Pow(random, 1/(1+float64(daemons)/daemonsPerStep))
}
