package accelerator

import (
	"fmt"
	"time"
)

// InsufficientMemoryError reports that a load or role does not fit beside
// everything that may be resident.
type InsufficientMemoryError struct {
	Server     string
	Key        Key
	Need, Free int64 // Bytes.
}

func (e *InsufficientMemoryError) Error() string {
	return fmt.Sprintf("Plan.Reserve: %q needs %d bytes on accelerator %d of %q, %d may be free",
		e.Key.Name, e.Need, e.Key.Accelerator, e.Server, e.Free)
}

// UnsettledError reports that an earlier order may still be executed or that no
// report of the engine has been applied yet.
type UnsettledError struct {
	Server string
	Key    Key
	Until  time.Time // Latest time at which the earlier order can be executed; zero when a report is missing.
}

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("Plan: %q on accelerator %d of %q is not settled before %s",
		e.Key.Name, e.Key.Accelerator, e.Server, e.Until.Format(time.RFC3339))
}

// NotAllocatedError reports an unload of weights that have no allocation.
type NotAllocatedError struct {
	Server string
	Key    Key
}

func (e *NotAllocatedError) Error() string {
	return fmt.Sprintf("Plan.Unload: %q has no memory on accelerator %d of %q", e.Key.Name, e.Key.Accelerator, e.Server)
}

// ExpiredError reports an order whose expiry has passed.
type ExpiredError struct {
	Server string
	Key    Key
	Expiry time.Time
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("Plan.Reserve: the order for %q on %q expired at %s", e.Key.Name, e.Server, e.Expiry.Format(time.RFC3339))
}

// PoolLeasedError reports that the adapter pool is leased to another holder.
type PoolLeasedError struct {
	Server   string
	Holder   string
	Deadline time.Time
}

func (e *PoolLeasedError) Error() string {
	return fmt.Sprintf("Plan.AcquirePool: the adapter pool of %q is leased to %q until %s",
		e.Server, e.Holder, e.Deadline.Format(time.RFC3339))
}
