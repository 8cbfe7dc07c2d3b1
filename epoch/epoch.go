// Package epoch makes a kumquathitch.Keyspace of a store that may be restored from an older
// copy. Such a store loses what it has acknowledged since the copy, and gives its revisions
// and lease numbers out again. Each restore begins a new epoch, which every response names.
//
// # Usage
//
//	keyspace := epoch.NewKeyspace(store) // A kumquathitch.EpochKeyspace, one for each VM.
//	all, err := keyspace.Scan(ctx, "", false)
//	changes, err := keyspace.Follow(ctx, "", all.Revision, wait)
//	var lost *kumquathitch.HistoryLostError
//	if errors.As(err, &lost) { // Also after a restore.
//		all, err = keyspace.Scan(ctx, "", false)
//	}
//
// The keyspace keeps the highest epoch that it has seen, in a response or in a revision that
// another VM has passed on, and never goes back: a response of an earlier epoch is an error.
// Nothing is sent that could concern what the numbers of an earlier epoch stand for now.
package epoch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// Keyspace implements kumquathitch.Keyspace. It is safe for concurrent use.
type Keyspace struct {
	store kumquathitch.EpochKeyspace
	known atomic.Uint64 // Highest epoch seen.

	mutex     sync.Mutex
	watches   map[uint64]context.CancelFunc // Watches that are waiting, by number.
	lastWatch uint64
}

// NewKeyspace returns a keyspace that has seen no epoch yet.
func NewKeyspace(store kumquathitch.EpochKeyspace) *Keyspace {
	return &Keyspace{store: store, watches: map[uint64]context.CancelFunc{}}
}

// learn records an epoch, and reports whether it is not earlier than one that was seen before.
func (k *Keyspace) learn(epoch uint64) bool {
	for {
		known := k.known.Load()
		if epoch <= known {
			return epoch == known
		}
		if k.known.CompareAndSwap(known, epoch) {
			k.endWatches()
			return true
		}
	}
}

// endWatches ends the watches of earlier epochs: the store may have passed the revision that a
// watch waits for, and would answer it at the end of its wait only.
func (k *Keyspace) endWatches() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, end := range k.watches {
		end()
	}
}

// addWatch returns a context that ends with a new epoch, and a function that ends it.
func (k *Keyspace) addWatch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lastWatch++
	number := k.lastWatch
	k.watches[number] = cancel
	return ctx, func() {
		cancel()
		k.mutex.Lock()
		defer k.mutex.Unlock()
		delete(k.watches, number)
	}
}

// isPast reports whether a revision is of an earlier epoch than the highest seen. 0 is of all epochs.
func (k *Keyspace) isPast(revision uint64) bool {
	epoch, _ := kumquathitch.SplitRevision(revision)
	return revision != 0 && !k.learn(epoch)
}

// isPastLease is isPast for a lease ID.
func (k *Keyspace) isPastLease(id uint64) bool {
	epoch, _ := kumquathitch.SplitLease(id)
	return id != 0 && !k.learn(epoch)
}

// accept returns an error for a response that is not to be used.
func (k *Keyspace) accept(operation, key string, writes bool, at kumquathitch.ResponseEpoch, err error) error {
	switch {
	case !at.Known:
		return err
	case at.Number > kumquathitch.MaxEpoch:
		return &kumquathitch.StoreError{Operation: operation, Key: key, Unknown: writes, Cause: eris.Errorf("the response is of epoch %d, beyond %d", at.Number, uint64(kumquathitch.MaxEpoch))}
	case !k.learn(at.Number):
		return &kumquathitch.StoreError{Operation: operation, Key: key, Unknown: writes, Cause: eris.Errorf("the response is of epoch %d, before epoch %d", at.Number, k.known.Load())}
	}
	return err
}

// checkOwn returns an error for a revision of the store that is beyond its bounds.
func checkOwn(operation, key string, writes bool, own uint64) error {
	if kumquathitch.IsOwnRevision(own) {
		return nil
	}
	return &kumquathitch.StoreError{Operation: operation, Key: key, Unknown: writes, Cause: eris.Errorf("the response has the revision %d, out of bounds", own)}
}

// checkOwnLease returns an error for a lease number of the store that is beyond its bounds.
func checkOwnLease(own uint64) error {
	if kumquathitch.IsOwnLease(own) {
		return nil
	}
	return &kumquathitch.StoreError{Operation: "Grant", Unknown: true, Cause: eris.Errorf("the response has the lease %d, out of bounds", own)}
}

// itemIn returns an item of the store with the revision and lease of an epoch.
func itemIn(epoch uint64, item kumquathitch.KeyItem) kumquathitch.KeyItem {
	item.Revision = kumquathitch.RevisionInEpoch(epoch, item.Revision)
	item.Lease = kumquathitch.LeaseInEpoch(epoch, item.Lease)
	return item
}

// Read returns an item, with Revision 0 when it does not exist.
func (k *Keyspace) Read(ctx context.Context, key string) (kumquathitch.KeyItem, error) {
	item, at, err := k.store.Read(ctx, key)
	if err = k.accept("Read", key, false, at, err); err == nil {
		err = checkOwn("Read", key, false, item.Revision)
	}
	if err != nil {
		return kumquathitch.KeyItem{Key: key}, err
	}
	return itemIn(at.Number, item), nil
}

// Scan returns the items below a prefix.
func (k *Keyspace) Scan(ctx context.Context, prefix string, stale bool) (kumquathitch.KeyRange, error) {
	found, at, err := k.store.Scan(ctx, prefix, stale)
	if err = k.accept("Scan", prefix, false, at, err); err == nil {
		err = checkOwn("Scan", prefix, false, found.Revision)
	}
	if err != nil {
		return kumquathitch.KeyRange{}, err
	}
	found.Revision = kumquathitch.RevisionInEpoch(at.Number, found.Revision)
	for i, item := range found.Items {
		found.Items[i] = itemIn(at.Number, item)
	}
	return found, nil
}

// Follow waits for changes below a prefix after a revision. It returns a
// *kumquathitch.HistoryLostError as soon as a later epoch is known, whatever the response.
func (k *Keyspace) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (kumquathitch.KeyChanges, error) {
	ctx, done := k.addWatch(ctx)
	defer done()
	if k.isPast(after) {
		return kumquathitch.KeyChanges{}, &kumquathitch.HistoryLostError{After: after}
	}
	_, own := kumquathitch.SplitRevision(after)
	changes, at, err := k.store.Follow(ctx, prefix, own, wait)
	if err = k.accept("Follow", prefix, false, at, err); err == nil {
		err = checkOwn("Follow", prefix, false, changes.Revision)
	}
	if k.isPast(after) {
		return kumquathitch.KeyChanges{}, &kumquathitch.HistoryLostError{After: after}
	}
	if err != nil {
		return kumquathitch.KeyChanges{}, err
	}
	changes.Revision = kumquathitch.RevisionInEpoch(at.Number, changes.Revision)
	for i, change := range changes.Changes {
		changes.Changes[i].KeyItem = itemIn(at.Number, change.KeyItem)
	}
	return changes, nil
}

// Write applies a transaction. One with conditions or leases of an earlier epoch is not sent.
func (k *Keyspace) Write(ctx context.Context, write kumquathitch.KeyWrite) (uint64, error) {
	if err := k.checkPast(write); err != nil {
		return 0, err
	}
	revision, at, err := k.store.Write(ctx, ownWrite(write))
	if err = k.accept("Write", firstKey(write), true, at, err); err == nil {
		err = checkOwn("Write", firstKey(write), true, revision)
	}
	if err != nil {
		return 0, errorIn(at.Number, err)
	}
	if k.checkPast(write) != nil { // Other values may have had the revisions and numbers.
		return 0, &kumquathitch.StoreError{Operation: "Write", Key: firstKey(write), Unknown: true, Cause: eris.Errorf("the store was restored before the write; it is in epoch %d", at.Number)}
	}
	return kumquathitch.RevisionInEpoch(at.Number, revision), nil
}

// checkPast returns an error for a write with conditions or leases of an earlier epoch.
func (k *Keyspace) checkPast(write kumquathitch.KeyWrite) error {
	for _, expected := range write.Expect {
		if k.isPast(expected.Revision) {
			return &kumquathitch.ConflictError{Key: expected.Key, Expected: expected.Revision}
		}
	}
	for _, item := range write.Set {
		if k.isPastLease(item.Lease) {
			return &kumquathitch.LeaseEndedError{Lease: item.Lease}
		}
	}
	return nil
}

// ownWrite returns a transaction with the store's own revisions and lease numbers.
func ownWrite(write kumquathitch.KeyWrite) kumquathitch.KeyWrite {
	own := kumquathitch.KeyWrite{Remove: write.Remove}
	for _, item := range write.Expect {
		_, item.Revision = kumquathitch.SplitRevision(item.Revision)
		own.Expect = append(own.Expect, item)
	}
	for _, item := range write.Set {
		_, item.Lease = kumquathitch.SplitLease(item.Lease)
		own.Set = append(own.Set, item)
	}
	return own
}

func firstKey(write kumquathitch.KeyWrite) string {
	if len(write.Set) == 0 {
		return ""
	}
	return write.Set[0].Key
}

// Grant creates a lease, which belongs to the epoch of the response.
func (k *Keyspace) Grant(ctx context.Context, ttl time.Duration) (kumquathitch.Lease, error) {
	lease, at, err := k.store.Grant(ctx, ttl)
	if err = k.accept("Grant", "", true, at, err); err == nil {
		err = checkOwnLease(lease.ID)
	}
	if err != nil {
		return kumquathitch.Lease{}, err
	}
	lease.ID = kumquathitch.LeaseInEpoch(at.Number, lease.ID)
	return lease, nil
}

// Renew extends a lease. One of an earlier epoch has ended: its number may be that of another
// lease now, so that it is not sent, and a response of a later epoch confirms nothing.
func (k *Keyspace) Renew(ctx context.Context, lease kumquathitch.Lease) (kumquathitch.Lease, error) {
	if k.isPastLease(lease.ID) {
		return lease, &kumquathitch.LeaseEndedError{Lease: lease.ID}
	}
	own := lease
	_, own.ID = kumquathitch.SplitLease(lease.ID)
	renewed, at, err := k.store.Renew(ctx, own)
	err = k.accept("Renew", "", true, at, err)
	if k.isPastLease(lease.ID) {
		return lease, &kumquathitch.LeaseEndedError{Lease: lease.ID}
	}
	if err != nil {
		return lease, errorIn(at.Number, err)
	}
	renewed.ID = lease.ID
	return renewed, nil
}

// Release ends a lease. One of an earlier epoch has ended, and is not sent.
func (k *Keyspace) Release(ctx context.Context, lease kumquathitch.Lease) error {
	if k.isPastLease(lease.ID) {
		return nil
	}
	own := lease
	_, own.ID = kumquathitch.SplitLease(lease.ID)
	at, err := k.store.Release(ctx, own)
	return k.accept("Release", "", true, at, err)
}
