// Package clock implements kumquathitch.Clock.
//
// # Usage
//
//	var c kumquathitch.Clock = clock.NewSystem()
//	now := c.Now()
//
// Tests use [Manual], which only advances by calls to Advance, or testing/synctest with [System].
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// System is the wall clock of the machine, corrected by its monotonic clock.
type System struct {
	start time.Time // With wall-clock and monotonic readings.
}

// NewSystem returns a System clock that starts now.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now returns the later of the wall-clock time and the start time plus the elapsed
// monotonic time. The monotonic clock can stop while a VM is suspended, and the wall
// clock can be set back; the end of a lease must be detected in both cases.
func (s *System) Now() time.Time {
	now := time.Now()
	wall := now.Round(0)
	monotonic := s.start.Round(0).Add(now.Sub(s.start))
	if monotonic.After(wall) {
		return monotonic
	}
	return wall
}

// Boot is the time since the machine started, counted from the wall-clock time at which
// the clock was created. It counts the time for which a VM is suspended, and is not
// affected when the wall clock is set. Its times must not be compared with those of
// other VMs.
type Boot struct {
	start   time.Time
	started time.Duration // Time since the machine started.
}

// NewBoot returns a Boot clock that starts now.
func NewBoot() *Boot {
	return &Boot{start: time.Now().Round(0), started: sinceBoot()}
}

// Now returns the start time plus the time that the machine has been up since, whether
// running or suspended.
func (b *Boot) Now() time.Time {
	return b.start.Add(sinceBoot() - b.started)
}

// sinceBoot returns the time since the machine started, including the time for which
// it was suspended.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // Fails only for a clock that the kernel does not have; Linux has this one since 2.6.39.
	}
	return time.Duration(now.Nano())
}

// Manual is a clock for tests that only changes when it is advanced. It is safe for
// concurrent use.
type Manual struct {
	mutex sync.Mutex
	now   time.Time
}

// NewManual returns a clock that is set to now.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now.Round(0)}
}

// Now returns the time to which the clock is set.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now
}

// Advance moves the clock forward by step. It ignores a negative step.
func (m *Manual) Advance(step time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now = m.now.Add(max(0, step))
}

// Monotonic is the clock of the machine with its monotonic reading. It is not affected
// by changes to the wall clock, and does not count the time for which a VM is
// suspended. It is meant for timeouts of work that is suspended together with the VM.
type Monotonic struct{}

// Now returns the current time, with a monotonic reading.
func (Monotonic) Now() time.Time {
	return time.Now()
}

// Pause waits for a duration, or until ctx ends. It reports whether the full duration
// has passed.
func Pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
