package request

import "sync"

const (
	// defaultRetryPercent keeps retries from adding more than a tenth to an overload.
	defaultRetryPercent = 10
	// retryBurst allows a few retries while a service is nearly idle.
	retryBurst = 10
)

// budget is the retry budget of one service on this daemon: each request earns a share of a
// retry, up to the burst.
type budget struct {
	mu     sync.Mutex
	credit float64
}

func newBudget() *budget { return &budget{credit: retryBurst} }

// earn adds the share of one request; percent 0 means the default.
func (b *budget) earn(percent uint32) {
	if percent == 0 {
		percent = defaultRetryPercent
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+float64(percent)/100, retryBurst)
}

// take spends one retry, or reports that none is left.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
