package request

import "sync"

const (
	// defaultRetryPercent limits the load that retries add to an overload to a tenth.
	defaultRetryPercent = 10
	// retryBurst limits the accumulated credit. It allows a few retries while a service gets so
	// few requests that they earn almost none.
	retryBurst = 10
)

// retryBudget is the retry budget of one service on this daemon. Each request earns a fraction of
// a retry, and the accumulated credit is at most retryBurst.
type retryBudget struct {
	mu     sync.Mutex
	credit float64
}

func newRetryBudget() *retryBudget { return &retryBudget{credit: retryBurst} }

// addCredit adds the credit of one request. A percentage of 0 means defaultRetryPercent.
func (b *retryBudget) addCredit(percent uint32) {
	if percent == 0 {
		percent = defaultRetryPercent
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+float64(percent)/100, retryBurst)
}

// spend takes the credit for one retry. It returns false if there is too little.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
