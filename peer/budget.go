package peer

import (
	"sync"
	"time"
)

const (
	// BudgetBytesPerSecond is the rate that, with BudgetBurst, limits the control traffic that a
	// daemon sends. In any minute that is at most 81,000 + 24,576 bytes, 1,760 bytes a second on
	// average. The rest of the limit of 2,000 bytes a second is left for bursts of traffic that
	// cannot wait, such as claims and configuration pushes.
	BudgetBytesPerSecond = 1350
	// BudgetBurst is the capacity of the token bucket in bytes.
	BudgetBurst = 24 << 10
	// CallOverhead is an allowance in bytes for the HTTP, TCP and IP headers of one direction
	// of a call between daemons or to the platform.
	CallOverhead = 400
	// maxDebtSeconds limits the debt of a budget to the bytes that its rate allows in this time, so
	// that exceptions do not wait for long after the start of all daemons. Until an exception is
	// sent, its flow breaks if this daemon is killed.
	maxDebtSeconds = 20
)

// Budget is a token bucket, in bytes, for the control traffic that a daemon sends. All kinds of
// control traffic share its rate. Traffic that cannot wait (probes, acknowledgements, calls, queries)
// is always sent and its bytes are recorded as a debt, which new tokens repay before they fill the
// bucket. Exceptions and notices are sent only when the bucket holds enough tokens; a debt does not
// reduce the tokens that are already in the bucket. The methods may be called concurrently.
type Budget struct {
	rate, burst float64

	mu         sync.Mutex
	tokens     float64
	debt       float64
	refilledAt time.Time
}

// NewDaemonBudget returns the budget of a starting daemon. The bucket starts full, since a daemon has the
// most exceptions to send after a start of all daemons.
func NewDaemonBudget() *Budget { return NewBudget(BudgetBytesPerSecond, BudgetBurst) }

// NewBudget returns a budget with a full bucket. It gains bytesPerSecond tokens a second and holds at
// most burst.
func NewBudget(bytesPerSecond, burst int) *Budget {
	return &Budget{rate: float64(bytesPerSecond), burst: float64(burst), tokens: float64(burst), refilledAt: time.Now()}
}

// Spend records bytes that are sent regardless of the available tokens as debt. A negative number
// returns tokens that TryTake removed.
func (b *Budget) Spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	if bytes < 0 {
		b.tokens = min(b.burst, b.tokens-float64(bytes))
		return
	}
	b.debt = min(b.debt+float64(bytes), maxDebtSeconds*b.rate)
}

// TryTake removes bytes from the bucket and returns true if at least reserve tokens remain afterwards.
// Otherwise it removes nothing and returns false.
func (b *Budget) TryTake(now time.Time, bytes, reserve int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < float64(bytes+reserve) {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}

// Available returns the tokens in the bucket, which is the number of bytes that may be sent now.
func (b *Budget) Available(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return int(b.tokens)
}

// Burst returns the capacity of the bucket in bytes.
func (b *Budget) Burst() int { return int(b.burst) }

// refill adds the tokens that accrued since the last call and repays the debt first. The caller holds
// b.mu.
func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		credit := elapsed.Seconds() * b.rate
		repaid := min(b.debt, credit)
		b.debt -= repaid
		b.tokens = min(b.burst, b.tokens+credit-repaid)
		b.refilledAt = now
	}
}
