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
	Revision uint64 `json:"revision"`        // Revision of the last change, in its epoch; 0 for a key that does not exist.
	Lease    uint64 `json:"lease,omitempty"` // ID of the lease with whose end the key is removed; 0 for none.
}

// KeyRange holds the items below a prefix and the revision at which they were read.
type KeyRange struct {
	Items    []KeyItem
	Revision uint64
}

// KeyChange is a written item, or the key and revision of a removed one.
type KeyChange struct {
	KeyItem
	Removed bool `json:"removed,omitempty"`
}

// KeyChanges are the changes below a prefix after a revision.
type KeyChanges struct {
	Changes  []KeyChange // Sorted by revision.
	Revision uint64      // Revision to follow from next.
}

// KeyWrite is a transaction: it is applied as a whole if all conditions hold, and
// otherwise not at all.
type KeyWrite struct {
	Expect []KeyItem // Items whose Revision must be the current one of their Key.
	Set    []KeyItem // Items to write, by Key, Value and Lease.
	Remove []string  // Keys to remove.
}

// Lease bounds the lifetime of keys. The lease does not end before Deadline by
// this VM's clock, unless the store is restored from an older copy.
type Lease struct {
	ID       uint64 // Number in the store, in the epoch in which the lease was granted, as by LeaseInEpoch.
	TTL      time.Duration
	Deadline time.Time
}

// Bounds of the store's own revisions and lease numbers, and of its epochs.
const (
	ownRevisionBits = 40
	maxOwnRevision  = 1<<ownRevisionBits - 1
	// Stores give out random lease numbers too, so that these have all bits that a number in
	// JSON has in decoders that hold it in a float64.
	ownLeaseBits = 53
	maxOwnLease  = 1<<ownLeaseBits - 1
	// MaxEpoch is what a lease ID has space for. Revisions, which are fencing tokens too, stay below 2^53.
	MaxEpoch = 1<<(64-ownLeaseBits) - 1
)

// RevisionInEpoch returns the revision of the product for a store's own revision in an epoch.
// It orders by epoch first: a store that is restored from an older copy gives its own revisions
// out again, in a later epoch. Own revisions are below 2^40 and epochs at most MaxEpoch.
// Revisions of epoch 0 are the store's own, and 0 stays 0.
func RevisionInEpoch(epoch, own uint64) uint64 {
	if own == 0 {
		return 0
	}
	return epoch<<ownRevisionBits | own
}

// SplitRevision returns the epoch and the store's own number of a revision.
func SplitRevision(revision uint64) (epoch, own uint64) {
	return revision >> ownRevisionBits, revision & maxOwnRevision
}

// IsOwnRevision reports whether a number is within the bounds of a store's own revisions.
func IsOwnRevision(own uint64) bool {
	return own <= maxOwnRevision
}

// LeaseInEpoch returns the lease ID of the product for a store's own lease number in an epoch.
// Own numbers are below 2^53. IDs of epoch 0 are the store's own, and 0 stays 0.
func LeaseInEpoch(epoch, own uint64) uint64 {
	if own == 0 {
		return 0
	}
	return epoch<<ownLeaseBits | own
}

// SplitLease returns the epoch and the store's own number of a lease ID.
func SplitLease(id uint64) (epoch, own uint64) {
	return id >> ownLeaseBits, id & maxOwnLease
}

// IsOwnLease reports whether a number is within the bounds of a store's own lease numbers.
func IsOwnLease(own uint64) bool {
	return own <= maxOwnLease
}

// Keyspace is the platform's metadata store with revisions and leases. Every
// method may return a *StoreError; after one with Unknown set, a write may
// have taken effect or may do so seconds later.
//
// The store may be restored from an older copy, which begins a new epoch. Revisions and
// lease IDs are those of RevisionInEpoch and LeaseInEpoch, so that a later state always has a higher revision,
// whatever the epoch. No lease outlives its epoch.
type Keyspace interface {
	// Read returns an item, with Revision 0 when it does not exist.
	Read(ctx context.Context, key string) (KeyItem, error)
	// Scan returns the items below a prefix. With stale set, the read is cheaper
	// and its result may be seconds old.
	Scan(ctx context.Context, prefix string, stale bool) (KeyRange, error)
	// Follow waits, for a limited time, for changes below a prefix after a revision
	// and returns them. It returns a *HistoryLostError when the store no longer has
	// the changes, and when the revision is of an earlier epoch.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (KeyChanges, error)
	// Write applies a transaction and returns the revision of the change. It
	// returns a *ConflictError when a condition does not hold, and a
	// *LeaseEndedError when a lease of an item has ended. A write that took effect in a
	// later epoch than that of its conditions or leases returns a *StoreError with Unknown set.
	Write(ctx context.Context, write KeyWrite) (uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease, or returns a *LeaseEndedError.
	Renew(ctx context.Context, lease Lease) (Lease, error)
	// Release ends a lease.
	Release(ctx context.Context, lease Lease) error
}

// ResponseEpoch is the epoch that a response of the store names.
type ResponseEpoch struct {
	Number uint64 // 0 for a store that names none.
	Known  bool   // False when there was no response.
}

// EpochKeyspace is a Keyspace whose revisions and lease IDs are the store's own, as in its
// messages. Its methods return the epoch of the response with each result, also with an
// error. Package epoch makes a Keyspace of it.
type EpochKeyspace interface {
	Read(ctx context.Context, key string) (KeyItem, ResponseEpoch, error)
	Scan(ctx context.Context, prefix string, stale bool) (KeyRange, ResponseEpoch, error)
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (KeyChanges, ResponseEpoch, error)
	Write(ctx context.Context, write KeyWrite) (uint64, ResponseEpoch, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, ResponseEpoch, error)
	Renew(ctx context.Context, lease Lease) (Lease, ResponseEpoch, error)
	Release(ctx context.Context, lease Lease) (ResponseEpoch, error)
}

// HistoryLostError reports that the store no longer has the changes after a revision.
type HistoryLostError struct {
	After uint64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("Keyspace.Follow: the history after revision %d is gone", e.After)
}

// LeaseEndedError reports that a lease has ended.
type LeaseEndedError struct {
	Lease uint64
}

func (e *LeaseEndedError) Error() string {
	return fmt.Sprintf("Keyspace: lease %d has ended", e.Lease)
}
