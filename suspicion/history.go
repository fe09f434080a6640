package suspicion

import "time"

const (
	// historyInterval is the resolution of a progressHistory, and historyLength the time that it covers.
	historyInterval = 50 * time.Millisecond
	historyLength   = time.Second
)

// progressHistory holds which upstreams lately made progress, two for each interval of time.
type progressHistory struct {
	intervals [historyLength / historyInterval]progressInterval
	// latest are the responses of two upstreams to the packets that were forwarded last, the later one first.
	latest [2]response
}

// response is that of an upstream to a packet that was forwarded at sentAt.
type response struct {
	upstream uint64
	sentAt   time.Time
}

// progressInterval holds the first two upstreams that made progress in an interval.
type progressInterval struct {
	number    int64
	upstreams [2]uint64
	count     int
}

func intervalNumber(t time.Time) int64 { return t.UnixNano() / int64(historyInterval) }

// at returns the place of an interval.
func (h *progressHistory) at(number int64) *progressInterval {
	return &h.intervals[number%int64(len(h.intervals))]
}

// record records progress of an upstream, which has responded to a packet that was forwarded at sentAt.
func (h *progressHistory) record(upstream uint64, sentAt, now time.Time) {
	h.recordLatest(response{upstream, sentAt})
	number := intervalNumber(now)
	i := h.at(number)
	if i.number != number {
		*i = progressInterval{number: number}
	}
	if i.count < len(i.upstreams) && (i.count == 0 || i.upstreams[0] != upstream) {
		i.upstreams[i.count] = upstream
		i.count++
	}
}

func (h *progressHistory) recordLatest(r response) {
	switch {
	case r.sentAt.After(h.latest[0].sentAt):
		if h.latest[0].upstream != r.upstream {
			h.latest[1] = h.latest[0]
		}
		h.latest[0] = r
	case r.upstream != h.latest[0].upstream && r.sentAt.After(h.latest[1].sentAt):
		h.latest[1] = r
	}
}

// haveOthersRespondedSince reports whether another upstream has responded to a packet that was forwarded after a time.
func (h *progressHistory) haveOthersRespondedSince(upstream uint64, sentAt time.Time) bool {
	other := h.latest[0]
	if other.upstream == upstream {
		other = h.latest[1]
	}
	return other.sentAt.After(sentAt)
}

// hasOther reports whether another upstream made progress in an interval.
func (h *progressHistory) hasOther(upstream uint64, number int64) bool {
	i := h.at(number)
	return i.number == number && i.count > 0 && (i.count > 1 || i.upstreams[0] != upstream)
}

// longestSilenceOfOthers returns the longest time since a time, at most historyLength ago, in which no other upstream
// made progress.
func (h *progressHistory) longestSilenceOfOthers(upstream uint64, since, now time.Time) time.Duration {
	longest, current := 0, 0
	for number := intervalNumber(since); number <= intervalNumber(now); number++ {
		if current++; h.hasOther(upstream, number) {
			current = 0
		}
		longest = max(longest, current)
	}
	return time.Duration(longest) * historyInterval
}
