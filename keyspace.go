package kumquathitch

import (
	"context"
	"fmt"
	"time"
)

// KeyItem is a value in a keyspace.
type KeyItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`        // Of the last change; 0 for a key that does not exist.
	Lease    uint64 `json:"lease,omitempty"` // The key goes when this lease ends; 0 for none.
}

// KeyRange holds the items that share a prefix, and the revision that they were read at.
type KeyRange struct {
	Items    []KeyItem
	Revision uint64
}

// KeyChange is an item as it was written, or the key and revision of a removal.
type KeyChange struct {
	KeyItem
	Removed bool `json:"removed,omitempty"`
}

// KeyChanges are the changes after a revision.
type KeyChanges struct {
	Changes  []KeyChange // In order of revisions.
	Revision uint64      // Continue from here.
}

// KeyWrite is a set of writes that happen together, when all conditions hold, or not at all.
type KeyWrite struct {
	Expect []KeyItem // Key and Revision that must be current.
	Set    []KeyItem // Key, Value and Lease.
	Remove []string
}

// Lease keeps keys alive. Deadline is a lower bound by this VM's clock.
type Lease struct {
	ID       uint64
	TTL      time.Duration
	Deadline time.Time
}

// Keyspace is the platform's metadata store with revisions and leases. Every
// method may return a *StoreError; after one with Unknown set, a write may
// have taken effect or may do so seconds later.
type Keyspace interface {
	// Read returns an item, with Revision 0 when it does not exist.
	Read(ctx context.Context, key string) (KeyItem, error)
	// Scan returns the items below a prefix. With stale set, the answer is
	// cheaper and may be seconds old.
	Scan(ctx context.Context, prefix string, stale bool) (KeyRange, error)
	// Follow waits until there are changes after a revision, or the wait is
	// over. It returns a *HistoryLostError when the changes are no longer known.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (KeyChanges, error)
	// Write returns the revision of the change, a *ConflictError when a
	// condition does not hold, or a *LeaseEndedError.
	Write(ctx context.Context, write KeyWrite) (uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease, or returns a *LeaseEndedError.
	Renew(ctx context.Context, lease Lease) (Lease, error)
	// Release ends a lease.
	Release(ctx context.Context, lease Lease) error
}

// HistoryLostError reports that the changes after a revision are no longer known.
type HistoryLostError struct {
	After uint64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("Keyspace.Follow: the history after revision %d is gone", e.After)
}

// LeaseEndedError reports that a lease does not exist any more.
type LeaseEndedError struct {
	Lease uint64
}

func (e *LeaseEndedError) Error() string {
	return fmt.Sprintf("Keyspace: lease %d has ended", e.Lease)
}
