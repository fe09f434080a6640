package fleet

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/store"
)

const (
	// maxEchoAge bounds the age of a stamp that comes back: clocks of two VMs run apart by some milliseconds meanwhile.
	// It is longer than a daemon stays in the table without a datagram.
	maxEchoAge = 15 * time.Second
	// askAgainInterval is how long after a question no further one is asked for the same gain. It is longer than an
	// answer takes between zones.
	askAgainInterval = 50 * time.Millisecond
)

// stampClock dates the datagrams of other daemons by the clock of this one. The ages in a datagram count from its
// sending. When that was, the receiver cannot know from its receipt: the datagram may have waited in the network, or in
// the socket while the receiver stood still. But the datagram returns the stamp of an earlier one to its sender, with the
// time since its receipt there: the ages in it were certainly computed no earlier than that time after the stamp.
type stampClock struct {
	// began is the start of this process, and offset a random number of milliseconds by which no stamp of another
	// process is taken for one of this process.
	began  time.Time
	offset uint32
}

func newStampClock(now time.Time) stampClock { return stampClock{now, rand.Uint32()} }

// stamp returns the stamp of a datagram that is sent now, rounded down. suspended is for how long this VM has been
// suspended in all. The result 0 states no time.
func (c stampClock) stamp(now time.Time, suspended time.Duration) uint32 {
	return c.offset + uint32((now.Sub(c.began)+suspended)/time.Millisecond)
}

// sentAfter returns a time before which the ages in a datagram that is read now were certainly not computed, by the clock
// that suspensions have set back, and true. If the datagram returns no valid stamp of this process, it returns now and
// false.
func (c stampClock) sentAfter(m *pb.FleetDatagram, now time.Time, suspended time.Duration) (time.Time, bool) {
	if m.GetEcho() == 0 {
		return now, false
	}
	sinceStamp := time.Duration(c.stamp(now, suspended)-m.GetEcho()+1) * time.Millisecond
	echoAge := time.Duration(m.GetEchoAgeMs()) * time.Millisecond
	if sinceStamp > maxEchoAge || echoAge > sinceStamp {
		return now, false
	}
	return now.Add(echoAge - sinceStamp), true
}

// questions limits the questions that a daemon asks others in order to get dated advertisements. Its methods may be
// called concurrently.
type questions struct {
	mu sync.Mutex
	// claims are the validations for which the last question on each kind was asked.
	claims map[store.Kind]claim
}

type claim struct{ validatedAt, askedAt time.Time }

func newQuestions() *questions { return &questions{claims: map[store.Kind]claim{}} }

// isDue reports whether a question has to be asked because another daemon claims that its equal records of a kind were
// validated at a time, and records that it is. Claims that are later by less than askAgainInterval result from the same
// validation.
func (q *questions) isDue(kind store.Kind, validatedAt, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	last := q.claims[kind]
	if now.Sub(last.askedAt) < askAgainInterval && validatedAt.Sub(last.validatedAt) < askAgainInterval {
		return false
	}
	q.claims[kind] = claim{validatedAt, now}
	return true
}

// ask asks a daemon for its advertisements.
func (f *Fleet) ask(to netip.Addr, now time.Time) {
	f.options.Counters.Count("fleet.asked")
	f.sendBrief(to, &pb.FleetDatagram{IsQuestion: true}, now)
}

// answer sends the advertisements of this daemon to one that asks for them.
func (f *Fleet) answer(to netip.Addr) {
	now := time.Now()
	f.sendBrief(to, &pb.FleetDatagram{Confirmations: f.confirmations(now)}, now)
}

// sendBrief sends a message that names no daemon but its receiver, as this daemon would appear to reach none otherwise.
func (f *Fleet) sendBrief(to netip.Addr, m *pb.FleetDatagram, now time.Time) {
	ip := to.As4()
	m.Zone, m.IsLeaving, m.Daemons = f.options.Zone, f.isLeaving.Load(), []uint32{binary.BigEndian.Uint32(ip[:])}
	f.sendMessage([]netip.Addr{to}, m, now)
}
