// Package wait waits for a duration or until a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of the context if the context ends first.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
