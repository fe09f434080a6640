package fleet

import (
	"math"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/coldlimit"
)

const (
	// sizeSettleTime is how long after its start or after a pause a daemon does not know the number of daemons:
	// the others have to hear of it, and it of them.
	sizeSettleTime = 6 * time.Second
	// longSettleTime is the same while this daemon still hears of further ones, and while another daemon is overdue,
	// which may be in another partition: it takes up to liveTimeout to find out, and does not hear of this daemon.
	longSettleTime = 20 * time.Second
	// stableTime is how long a daemon that has started must have heard of no further one.
	stableTime = 2 * time.Second
	// overdueAge is the age from which a daemon that runs is overdue.
	overdueAge = 4500 * time.Millisecond
	// sketchBytesPerSecond and sketchBurstBytes limit what this daemon sends for the sketch. The burst covers
	// replies to several new daemons.
	sketchBytesPerSecond = 300
	sketchBurstBytes     = 6000
	// lowerBoundTime is how long after its start or after a pause a daemon does not know a lower bound on the number
	// of daemons. The bound that it knows earlier is so low that it serves no purpose.
	lowerBoundTime = 2 * time.Second
	// censusInterval is how long results that are derived from the sketch are used.
	censusInterval = 250 * time.Millisecond
)

// census derives the number of daemons from the sketch. It is not safe for concurrent use.
type census struct {
	sketch *sketch
	budget *rate.Limiter
	// encodedBytes is the length of the entries when they were last encoded for several daemons.
	encodedBytes int
	// startedAt is when this process started or this VM last resumed after a pause.
	startedAt time.Time
	// takenAt is when the following were derived from the sketch.
	takenAt time.Time
	daemons int
	isKnown bool
	// atLeast is a lower bound on daemons.
	atLeast   int
	roster    coldlimit.Fleet
	rosterFor uint64
}

func newCensus(self netip.Addr, now time.Time) *census {
	return &census{
		sketch: newSketch(self, now), startedAt: now,
		budget: rate.NewLimiter(sketchBytesPerSecond, sketchBurstBytes),
	}
}

// payload returns the entries for a datagram to several daemons, as far as the budget allows.
func (c *census) payload(receivers int, isReply bool, now time.Time) []byte {
	// The entries are not encoded in vain if the budget does not suffice for as many as last time.
	if !isReply && c.budget.TokensAt(now) < float64(receivers*c.encodedBytes) {
		return nil
	}
	encode := c.sketch.encode
	if isReply {
		encode = c.sketch.encodeReply
	}
	raw := encode(now)
	if !isReply {
		c.encodedBytes = len(raw)
	}
	if !c.budget.AllowN(now, receivers*len(raw)) {
		return nil
	}
	return raw
}

// refresh derives the results from the sketch unless they are younger than censusInterval. hasSeeds is whether the
// settings name other daemons.
func (c *census) refresh(hasSeeds bool, now time.Time) {
	if !c.takenAt.IsZero() && now.Sub(c.takenAt) < censusInterval {
		return
	}
	c.takenAt = now
	age := now.Sub(c.startedAt)
	isStable := age >= longSettleTime || age >= sizeSettleTime && now.Sub(c.sketch.addedAt) >= stableTime
	isAlone := hasSeeds && len(c.sketch.entries) == 0
	c.daemons = c.sketch.live(liveTimeout, now)
	// After a pause or suspension the sketch may hold daemons that have ended meanwhile.
	c.atLeast = c.sketch.live(min(age, liveTimeout), now)
	if c.sketch.lately.value() != math.MaxUint64 {
		c.atLeast = int(float64(c.atLeast) * (1 - 2/math.Sqrt(sketchSize)))
	}
	c.isKnown = isStable && !isAlone && c.sketch.mostLive(recentTime, now)
	hasSettled := age >= longSettleTime || c.sketch.oldestLive(now) < overdueAge
	if c.rosterFor != c.sketch.version {
		c.rosterFor, c.roster = c.sketch.version, c.sketch.roster()
	}
	c.roster.IsKnown = c.isKnown && hasSettled && c.sketch.mostLive(sketchRetention, now)
}

// roster returns the daemons that may be running. IsKnown is not set.
func (s *sketch) roster() coldlimit.Fleet {
	r := coldlimit.Fleet{Version: s.version, Self: s.selfHash}
	if s.retained.value() != math.MaxUint64 {
		r.Total = s.maxTotal()
		return r
	}
	for _, e := range s.entries {
		r.Others = append(r.Others, e.hash)
	}
	return r
}

// Size returns the number of daemons that run, this one included. It is exact for fewer than 128 daemons, and an
// estimate otherwise. It is not known during the first seconds of the process and after a pause, while most daemons that
// were heard of within the last minute are not heard of any more, and if Options.CountsDaemons is not set.
func (f *Fleet) Size() (daemons int, isKnown bool) {
	c := f.takeCensus(time.Now())
	if c == nil {
		return 0, false
	}
	defer f.mu.Unlock()
	return c.daemons, c.isKnown
}

// SizeAtLeast returns the number of daemons that run as far as this one has heard of them since its start or since its
// last pause, this one included. Some of them may have ended in the last 15 s. In a fleet of 128 or more it is two standard
// errors below the estimate. It is known from 2 s after the start on, also in a partition, and equals Size once that
// is known. It is not known if Options.CountsDaemons is not set.
func (f *Fleet) SizeAtLeast() (daemons int, isKnown bool) {
	now := time.Now()
	c := f.takeCensus(now)
	if c == nil {
		return 0, false
	}
	defer f.mu.Unlock()
	if c.isKnown {
		return c.daemons, true
	}
	return c.atLeast, now.Sub(c.startedAt) >= lowerBoundTime
}

// Roster returns the daemons that may be running, whether this daemon reaches them or not. Daemons that are not heard
// of any more are included for 10 minutes.
func (f *Fleet) Roster() coldlimit.Fleet {
	c := f.takeCensus(time.Now())
	if c == nil {
		return coldlimit.Fleet{}
	}
	defer f.mu.Unlock()
	return c.roster
}

// takeCensus returns the census with current results, or nil if Options.CountsDaemons is not set. If it returns a
// census, the caller must unlock f.mu.
func (f *Fleet) takeCensus(now time.Time) *census {
	if f.census == nil {
		return nil
	}
	suspended := f.options.Syncer.AccountSuspension()
	seeds := f.options.Seeds()
	hasSeeds := false
	for _, a := range seeds {
		hasSeeds = hasSeeds || a != f.members.self
	}
	f.mu.Lock()
	f.detectPause(now, suspended)
	f.census.refresh(hasSeeds, now)
	return f.census
}

// recordSketch records the sender of a datagram and the entries in it. If this VM was just paused, the datagram is older
// than it states, and is ignored. The caller holds f.mu.
func (f *Fleet) recordSketch(from netip.Addr, m *pb.FleetDatagram, wasPaused bool, now time.Time) {
	if f.census == nil || wasPaused {
		return
	}
	f.census.sketch.record(from, now, now)
	if below := m.GetHeardBelow(); below > 0 && now.Sub(f.census.startedAt) < longSettleTime {
		f.census.sketch.limitTo(uint64(below)<<32, now)
	}
	if !f.census.sketch.merge(m.GetHeard(), now) {
		f.options.Counters.CountDrop("fleet_sketch_malformed")
	}
}
