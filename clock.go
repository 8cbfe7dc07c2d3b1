package kumquathitch

import "time"

// Clock returns the current time. Implementations return wall-clock times without
// a monotonic reading. Within a process the times never go backwards.
type Clock interface {
	Now() time.Time
}
