// Package suspension measures for how long the VM has been suspended. The monotonic clock, by which
// time.Time measures durations, stands still meanwhile, so that everything that a daemon knows appears
// younger than it is when the VM resumes.
package suspension

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

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
