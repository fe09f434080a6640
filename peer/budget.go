package peer

import (
	"sync"
	"time"
)

const (
	// BudgetBytesPerSecond is the rate that, with BudgetBurst, bounds the control traffic that a daemon sends. In
	// any minute that is at most 81,000 + 24,576 bytes, 1,760 bytes a second. The rest of the
	// 2,000 is for traffic that cannot wait and comes at once, such as claims and pushes of a
	// configuration: with 1,500 and 16 KB the daemon that hands the admissions of its zone to one that
	// joins sent 2,040.
	BudgetBytesPerSecond = 1350
	// BudgetBurst is the size of a full budget in bytes.
	BudgetBurst = 24 << 10
	// CallOverhead is an allowance in bytes for the HTTP, TCP and IP headers of one direction
	// of a call between daemons or to the platform.
	CallOverhead = 400
	// debtSeconds bounds the debt of a budget by what it allows in a minute, over which the
	// limit is meant: exceptions must not wait for minutes after a large transfer.
	debtSeconds = 60
)

// Budget is what a daemon may send as control traffic. All kinds share it. Those that cannot
// wait (probes, acknowledgements, calls, queries) are only counted and may take it below zero;
// exceptions and notices are sent when it allows them. Its methods may be called concurrently.
type Budget struct {
	rate, burst float64

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// NewBudget returns a full budget of bytes a second with a burst in bytes.
func NewBudget(bytesPerSecond, burst int) *Budget {
	return &Budget{rate: float64(bytesPerSecond), burst: float64(burst), tokens: float64(burst), at: time.Now()}
}

// Spend counts bytes that are sent whatever is left.
func (b *Budget) Spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	b.tokens = max(b.tokens-float64(bytes), -debtSeconds*b.rate)
}

// Take counts bytes and returns true if at least reserve bytes are left afterwards. Otherwise
// it counts nothing.
func (b *Budget) Take(now time.Time, bytes, reserve int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < float64(bytes+reserve) {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}

// Left returns the bytes that may be sent now; below zero when too many were sent.
func (b *Budget) Left(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return int(b.tokens)
}

// Burst returns the bytes of a full budget.
func (b *Budget) Burst() int { return int(b.burst) }

func (b *Budget) refill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.burst, b.tokens+passed.Seconds()*b.rate)
		b.at = now
	}
}
