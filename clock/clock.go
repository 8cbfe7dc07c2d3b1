// Package clock implements kumquathitch.Clock.
//
// # Usage
//
//	var c kumquathitch.Clock = clock.NewSystem()
//	now := c.Now()
//
// Tests use [Manual], which moves only when told, or testing/synctest with [System].
package clock

import (
	"context"
	"sync"
	"time"
)

// System is the clock of the machine.
type System struct {
	start time.Time // Carries wall and monotonic readings.
}

// NewSystem returns the clock of the machine.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now returns the later of the wall clock and the start of the process plus
// the monotonic time elapsed. The monotonic clock can stand still while a VM
// is suspended, and the wall clock can be set back; a lease deadline must be
// noticed in both cases.
func (s *System) Now() time.Time {
	now := time.Now()
	wall := now.Round(0)
	monotonic := s.start.Round(0).Add(now.Sub(s.start))
	if monotonic.After(wall) {
		return monotonic
	}
	return wall
}

// Manual is a clock that stands still until it is moved. It is safe for concurrent use.
type Manual struct {
	mutex sync.Mutex
	now   time.Time
}

// NewManual returns a clock that shows a time.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now.Round(0)}
}

// Now returns the time shown.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now
}

// Advance moves the clock forward. It ignores steps backwards.
func (m *Manual) Advance(step time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now = m.now.Add(max(0, step))
}

// Monotonic is the clock of the machine with its monotonic reading. Steps of
// the wall clock do not move it, and the time that a VM is suspended is not
// counted: it is for timeouts of work that stands still too.
type Monotonic struct{}

// Now returns the time with its monotonic reading.
func (Monotonic) Now() time.Time {
	return time.Now()
}

// Pause waits for a time, or until ctx ends. It reports whether the time passed.
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
