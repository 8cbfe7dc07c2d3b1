package kumquathitch

import "time"

// Clock tells the time. Implementations return wall-clock times without a
// monotonic reading that never run backwards within a process.
type Clock interface {
	Now() time.Time
}
