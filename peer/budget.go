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
	// debtSeconds bounds the debt of a budget by what it allows in this time. With a minute,
	// exceptions waited so long after the start of all daemons that a kill 35 s later broke 2 %
	// of the flows of a service with bound 1.05.
	debtSeconds = 20
)

// Budget is what a daemon may send as control traffic. All kinds share its rate. Those that cannot
// wait (probes, acknowledgements, calls, queries) are only counted, as a debt that the rate pays
// first; exceptions and notices are sent when it allows them. What was saved for these is not
// touched by the others. Its methods may be called concurrently.
type Budget struct {
	rate, burst float64

	mu     sync.Mutex
	tokens float64
	debt   float64
	at     time.Time
}

// NewDaemonBudget returns the budget of a daemon that starts. It is full: with half of it, a kill 35 s
// after the start of six daemons broke 1 % of the flows, whose exceptions still waited.
func NewDaemonBudget() *Budget { return NewBudget(BudgetBytesPerSecond, BudgetBurst) }

// NewBudget returns a full budget of bytes a second with a burst in bytes.
func NewBudget(bytesPerSecond, burst int) *Budget {
	return &Budget{rate: float64(bytesPerSecond), burst: float64(burst), tokens: float64(burst), at: time.Now()}
}

// Spend counts bytes that are sent whatever is left. A negative number returns bytes taken.
func (b *Budget) Spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	if bytes < 0 {
		b.tokens = min(b.burst, b.tokens-float64(bytes))
		return
	}
	b.debt = min(b.debt+float64(bytes), debtSeconds*b.rate)
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

// Left returns the bytes that may be sent now.
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
		credit := passed.Seconds() * b.rate
		paid := min(b.debt, credit)
		b.debt -= paid
		b.tokens = min(b.burst, b.tokens+credit-paid)
		b.at = now
	}
}
