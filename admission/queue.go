package admission

import (
	"slices"
	"time"
)

// waiter is an opening packet that waits.
type waiter struct {
	Opening
	// sentAt is when the caller first sent the packet, and arrivedAt when this daemon received it.
	sentAt, arrivedAt time.Time
}

// isTooLate reports whether the flow can no longer be answered within its objective if a response takes the
// expected time, or whether the packet has waited for as long as one may.
func (w *waiter) isTooLate(expected time.Duration, now time.Time) bool {
	return now.Add(expected).Sub(w.sentAt) > w.Objective || now.Sub(w.arrivedAt) > w.longestWait()
}

// longestWait returns for how long the packet may wait.
func (w *waiter) longestWait() time.Duration {
	return min(time.Duration(maxWaitShare*float64(w.Objective)), maxWait)
}

// compare orders packets by priority, then by the time left within the objective.
func (w *waiter) compare(other *waiter) int {
	if w.Priority != other.Priority {
		return w.Priority - other.Priority
	}
	return w.sentAt.Add(w.Objective).Compare(other.sentAt.Add(other.Objective))
}

func (w *waiter) isMoreUrgent(other *waiter) bool { return w.compare(other) < 0 }

// queue holds the waiting packets of a service, the most urgent first.
type queue []*waiter

// hasAsUrgent reports whether a packet of this priority or a more urgent one waits.
func (q queue) hasAsUrgent(priority int) bool { return len(q) > 0 && q[0].Priority <= priority }

// endOf returns the index after the last packet of a priority.
func (q queue) endOf(priority int) int {
	i, _ := slices.BinarySearchFunc(q, priority+1, func(w *waiter, p int) int { return w.Priority - p })
	return i
}

func (q *queue) insert(w *waiter) {
	i, _ := slices.BinarySearchFunc(*q, w, func(a, b *waiter) int {
		if a.compare(b) <= 0 {
			return -1 // Packets that are as urgent keep the order of their arrival.
		}
		return 1
	})
	*q = slices.Insert(*q, i, w)
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(*q, w); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}
