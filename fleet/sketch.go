package fleet

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sketchSize is the number of daemons, this one included, up to which the sketch holds every daemon. Of a
	// larger fleet it holds those with the lowest address hashes, from which the number is estimated with a
	// standard error of 9 %.
	sketchSize = 128
	// maxSketchEntries bounds the memory that daemons which have gone, or forged addresses, can take up.
	maxSketchEntries = 4 * sketchSize
	// liveTimeout is how long a daemon counts as running after it sent a datagram of which this daemon has heard.
	liveTimeout = 15 * time.Second
	// recentTime is how long the daemons that are not heard of any more are compared with the others, to find
	// out whether this daemon is partitioned.
	recentTime = time.Minute
	// thresholdMemory is how long a fleet that was larger than the sketch still counts as larger.
	thresholdMemory = 2 * liveTimeout
	// sketchRetention is how long a daemon that is not heard of may still be running: it may be on the other
	// side of a partition.
	sketchRetention = 10 * time.Minute
	// newEntries, freshEntries and randomEntries are the numbers of entries in a datagram that were added within
	// newTime, that have the lowest ages, and that are selected at random. By the lowest ages alone an entry that
	// reaches a daemon late would not be passed on, and a daemon that starts in a partition would not hear of
	// the other side.
	newEntries    = 6
	freshEntries  = 12
	randomEntries = 6
	newTime       = 4 * time.Second
	// replyEntries is the number of random entries in the reply to a new daemon. They fit into one packet.
	replyEntries = 200
	// fineAgeUnit is the unit of ages up to fineAges units, and coarseAgeUnit that of the rest of longer ones.
	fineAgeUnit   = 100 * time.Millisecond
	fineAges      = 127
	coarseAgeUnit = 5 * time.Second
)

// sketchEntry is a daemon of which this daemon has heard.
type sketchEntry struct {
	address netip.Addr
	hash    uint64
	// heardAt is when the daemon last sent a datagram, as far as this daemon has heard.
	heardAt time.Time
	// addedAt is when this daemon first heard of it.
	addedAt time.Time
}

// sketch is what this daemon has heard of the other daemons, directly or through others. It is not safe for
// concurrent use.
type sketch struct {
	self     netip.Addr
	selfHash uint64
	entries  map[netip.Addr]*sketchEntry
	// threshold is the highest hash of an entry. It is math.MaxUint64 while the sketch holds all daemons.
	threshold uint64
	// lately is the lowest threshold in thresholdMemory: while a daemon is late, the sketch is not full, but does
	// not hold all daemons either. retained is the lowest one in sketchRetention: of the daemons that may still be
	// running, the sketch holds all that have no higher hash.
	lately, retained lowest
	// addedAt is when the last entry was added.
	addedAt time.Time
	// version increases when an entry is added or removed, or when retained changes.
	version uint64
}

func newSketch(self netip.Addr, now time.Time) *sketch {
	return &sketch{
		self: self, selfHash: addressHash(self), entries: map[netip.Addr]*sketchEntry{}, threshold: math.MaxUint64,
		lately: newLowest(thresholdMemory, now), retained: newLowest(sketchRetention, now), version: 1,
	}
}

// addressHash returns the hash of an IPv4 address. All daemons compute the same value.
func addressHash(a netip.Addr) uint64 {
	b := a.As4()
	return xxhash.Sum64(b[:])
}

// record records that a daemon sent a datagram at a time.
func (s *sketch) record(a netip.Addr, heardAt, now time.Time) {
	if !a.Is4() || a == s.self || now.Sub(heardAt) > sketchRetention {
		return
	}
	if e := s.entries[a]; e != nil {
		if heardAt.After(e.heardAt) {
			e.heardAt = heardAt
		}
		return
	}
	h := addressHash(a)
	if h > s.threshold || len(s.entries) >= maxSketchEntries {
		return
	}
	s.entries[a] = &sketchEntry{address: a, hash: h, heardAt: heardAt, addedAt: now}
	s.addedAt = now
	s.version++
}

// addAge makes all entries older by the time for which this VM was suspended: the monotonic clock stood still.
func (s *sketch) addAge(d time.Duration) {
	for _, e := range s.entries {
		e.heardAt = e.heardAt.Add(-d)
	}
}

// trim removes the entries that have expired, and those above the hash of the last of the sketchSize lowest daemons
// that run.
func (s *sketch) trim(now time.Time) {
	hashes := []uint64{s.selfHash}
	for _, e := range s.entries {
		if e.isLive(now) {
			hashes = append(hashes, e.hash)
		}
	}
	s.threshold = math.MaxUint64
	if len(hashes) >= sketchSize {
		slices.Sort(hashes)
		s.threshold = hashes[sketchSize-1]
	}
	for a, e := range s.entries {
		if e.hash > s.threshold || now.Sub(e.heardAt) > sketchRetention {
			delete(s.entries, a)
			s.version++
		}
	}
	before := s.retained.value()
	s.lately.add(s.threshold, now)
	s.retained.add(s.threshold, now)
	if s.retained.value() != before {
		s.version++
	}
}

// encodeBelow returns the upper 32 bits of the hash up to which the sketch holds all daemons, 0 if it holds all.
func (s *sketch) encodeBelow() uint32 {
	if s.retained.value() == math.MaxUint64 {
		return 0
	}
	return uint32(s.retained.value() >> 32)
}

// limitTo records that daemons with higher hashes may be running of which no daemon tells this one. It is called only
// after the start: daemons that learned it from one another later would never forget it.
func (s *sketch) limitTo(below uint64, now time.Time) {
	if below < s.retained.value() {
		s.retained.add(below, now)
		s.version++
	}
}

// lowest is the lowest of the values that were added within a period, or within up to two.
type lowest struct {
	period time.Duration
	// present and previous are the lowest values of the period that began at from, and of the one before.
	present, previous uint64
	from              time.Time
}

func newLowest(period time.Duration, now time.Time) lowest {
	return lowest{period: period, present: math.MaxUint64, previous: math.MaxUint64, from: now}
}

func (l *lowest) add(v uint64, now time.Time) {
	if now.Sub(l.from) > l.period {
		l.previous, l.present, l.from = l.present, math.MaxUint64, now
	}
	l.present = min(l.present, v)
}

func (l *lowest) value() uint64 { return min(l.present, l.previous) }

// isLive reports whether the daemon counts as running.
func (e *sketchEntry) isLive(now time.Time) bool { return now.Sub(e.heardAt) <= liveTimeout }

// count returns the number of daemons in the sketch that were heard of within an age, this one included.
func (s *sketch) count(age time.Duration, now time.Time) int {
	n := 1
	for _, e := range s.entries {
		if now.Sub(e.heardAt) <= age {
			n++
		}
	}
	return n
}

// mostLive reports whether more than half of the daemons that were heard of within an age run. It compares only those
// that the sketch would hold in both cases.
func (s *sketch) mostLive(age time.Duration, now time.Time) bool {
	below := s.retained.value()
	live, known := 1, 1
	for _, e := range s.entries {
		if e.hash > below || now.Sub(e.heardAt) > age {
			continue
		}
		known++
		if e.isLive(now) {
			live++
		}
	}
	return 2*live > known
}

// oldestLive returns the highest age of a daemon that counts as running, 0 if there is no other.
func (s *sketch) oldestLive(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, e := range s.entries {
		if e.isLive(now) {
			oldest = max(oldest, now.Sub(e.heardAt))
		}
	}
	return oldest
}

// live returns the number of daemons that were heard of within an age, this one included. It is an estimate if the sketch
// is full.
func (s *sketch) live(age time.Duration, now time.Time) int {
	threshold := s.lately.value()
	if threshold == math.MaxUint64 {
		return s.count(age, now)
	}
	// The daemon whose hash is the threshold is left out: the sample is those below it.
	sampled := 0
	for _, e := range s.entries {
		if now.Sub(e.heardAt) <= age && e.hash < threshold {
			sampled++
		}
	}
	if s.selfHash < threshold {
		sampled++
	}
	return max(int(math.Round(float64(sampled)/fraction(threshold))), 1)
}

// maxTotal returns an upper bound on the number of daemons that may be running, this one included: three standard
// errors above the estimate.
func (s *sketch) maxTotal() float64 {
	below := s.retained.value()
	sampled := 1.0
	for _, e := range s.entries {
		if e.hash <= below {
			sampled++
		}
	}
	return (sampled + 3*math.Sqrt(sampled)) / fraction(below)
}

// fraction returns which part of all hashes is up to h.
func fraction(h uint64) float64 { return float64(h) / math.MaxUint64 }

// encode returns the entries for a datagram to daemons that know most of them already.
func (s *sketch) encode(now time.Time) []byte {
	list := s.shuffledEntries(now)
	selected := 0
	for i, e := range list {
		if selected < newEntries && now.Sub(e.addedAt) <= newTime {
			list[selected], list[i] = e, list[selected]
			selected++
		}
	}
	selected = min(selected+randomEntries, len(list))
	slices.SortFunc(list[selected:], func(a, b *sketchEntry) int { return b.heardAt.Compare(a.heardAt) })
	return encodeEntries(list[:min(selected+freshEntries, len(list))], now)
}

// encodeReply returns the entries for the reply to a new daemon.
func (s *sketch) encodeReply(now time.Time) []byte {
	list := s.shuffledEntries(now)
	return encodeEntries(list[:min(replyEntries, len(list))], now)
}

// shuffledEntries returns the entries whose ages can be encoded, in random order.
func (s *sketch) shuffledEntries(now time.Time) []*sketchEntry {
	list := make([]*sketchEntry, 0, len(s.entries))
	for _, e := range s.entries {
		if now.Sub(e.heardAt) <= sketchRetention {
			list = append(list, e)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// encodeEntries returns the entries in the order of their addresses: for each the difference to the previous address as
// a varint, and the age.
func encodeEntries(list []*sketchEntry, now time.Time) []byte {
	slices.SortFunc(list, func(a, b *sketchEntry) int { return a.address.Compare(b.address) })
	var raw []byte
	previous := uint32(0)
	for _, e := range list {
		b := e.address.As4()
		address := binary.BigEndian.Uint32(b[:])
		raw = append(binary.AppendUvarint(raw, uint64(address-previous)), encodeAge(now.Sub(e.heardAt)))
		previous = address
	}
	return raw
}

// merge records the entries of another daemon's datagram, and returns false if it is malformed. Entries without an age
// are ignored: only a datagram of the daemon itself shows that it has just sent one.
func (s *sketch) merge(raw []byte, now time.Time) bool {
	address := uint64(0)
	for len(raw) > 0 {
		difference, n := binary.Uvarint(raw)
		if n <= 0 || n >= len(raw) || difference > math.MaxUint32-address {
			return false
		}
		address += difference
		age := raw[n]
		raw = raw[n+1:]
		if age > 0 {
			var b [4]byte
			binary.BigEndian.PutUint32(b[:], uint32(address))
			s.record(netip.AddrFrom4(b), now.Add(-decodeAge(age)), now)
		}
	}
	return true
}

// encodeAge rounds up, and never to 0, so that an age only grows when it is passed on.
func encodeAge(d time.Duration) byte {
	const fineAge = fineAges * fineAgeUnit
	if d <= fineAge {
		return byte(max((d+fineAgeUnit-1)/fineAgeUnit, 1))
	}
	return byte(min(fineAges+(d-fineAge+coarseAgeUnit-1)/coarseAgeUnit, math.MaxUint8))
}

// decodeAge returns the age that encodeAge encoded.
func decodeAge(b byte) time.Duration {
	if b <= fineAges {
		return time.Duration(b) * fineAgeUnit
	}
	return fineAges*fineAgeUnit + time.Duration(b-fineAges)*coarseAgeUnit
}
