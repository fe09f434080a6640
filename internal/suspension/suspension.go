// Package suspension measures for how long the VM has been suspended. The monotonic clock, by which
// time.Time measures durations, stands still meanwhile, so that everything that a daemon knows appears
// younger than it is when the VM resumes.
package suspension

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// NewMeter returns a function that returns Total. If the clocks cannot be read, it returns the last value,
// and logs the first such error.
func NewMeter(logger zerolog.Logger) func() time.Duration {
	var last atomic.Int64
	var logOnce sync.Once
	return func() time.Duration {
		total, err := Total()
		if err != nil {
			logOnce.Do(func() { logger.Error().Str("event", "clock_unreadable").Err(err).Send() })
			return time.Duration(last.Load())
		}
		last.Store(int64(total))
		return total
	}
}

// Total returns for how long the VM has been suspended since it booted. It returns an error if the
// operating system lacks one of the clocks.
func Total() (time.Duration, error) {
	// The clock that counts suspensions is read first, so that a delay between the two reads is not
	// taken for a suspension.
	sinceBoot, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, err
	}
	running, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, err
	}
	return sinceBoot - running, nil
}

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, fmt.Errorf("read clock %d: %w", clock, err)
	}
	return time.Duration(t.Nano()), nil
}
