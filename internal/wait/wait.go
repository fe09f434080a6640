// Package wait waits for a time that a context can end.
package wait

import (
	"context"
	"time"
)

// For returns nil after d, or the error of the context if that ends first.
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
