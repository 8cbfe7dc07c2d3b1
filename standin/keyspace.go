package standin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/epoch"
)

// KeyspaceFaults are the faults that a keyspace simulates.
type KeyspaceFaults struct {
	Down            bool   // Every call fails and has no effect.
	LoseResponses   int    // Number of writes that take effect and return an error.
	CompactedBefore uint64 // Follow returns a *kumquathitch.HistoryLostError after an earlier revision, as Put returns it.
}

// Keyspace is a store in memory, with revisions, leases and a history, that can be restored
// from a copy. It implements kumquathitch.Keyspace for a caller that remembers no epoch from
// one call to the next. It is safe for concurrent use.
type Keyspace struct {
	clock   kumquathitch.Clock
	mutex   sync.Mutex
	state   keyspaceState
	epoch   uint64
	faults  KeyspaceFaults
	changed chan struct{}
}

// keyspaceState is what a copy of a keyspace holds. Revisions and leases are the store's own.
type keyspaceState struct {
	items     map[string]kumquathitch.KeyItem
	deadlines map[uint64]time.Time // End of each lease.
	ttls      map[uint64]time.Duration
	history   []kumquathitch.KeyChange
	revision  uint64
	lastLease uint64
}

// KeyspaceCopy is the state of a keyspace at a moment.
type KeyspaceCopy struct {
	state keyspaceState
	at    time.Time
}

// firstLease makes lease numbers large, as those of platforms that draw them at random.
const firstLease = 1 << 52

// NewKeyspace returns an empty keyspace whose leases expire by a clock.
func NewKeyspace(clock kumquathitch.Clock) *Keyspace {
	return &Keyspace{
		clock: clock, changed: make(chan struct{}),
		state: keyspaceState{items: map[string]kumquathitch.KeyItem{}, deadlines: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, revision: 1, lastLease: firstLease},
	}
}

func (s *keyspaceState) clone() keyspaceState {
	copied := *s
	copied.items, copied.deadlines, copied.ttls, copied.history = maps.Clone(s.items), maps.Clone(s.deadlines), maps.Clone(s.ttls), slices.Clone(s.history)
	return copied
}

// Copy returns the present state.
func (k *Keyspace) Copy() KeyspaceCopy {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.expireLeases()
	return KeyspaceCopy{state: k.state.clone(), at: k.clock.Now()}
}

// Restore replaces the state by a copy and begins a new epoch. What was written after the copy
// is lost, and its revisions and lease numbers are given out again. Leases of the copy have
// run on since, or go on with the time that was left to them.
func (k *Keyspace) Restore(copied KeyspaceCopy, leasesRanOn bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state = copied.state.clone()
	if away := k.clock.Now().Sub(copied.at); !leasesRanOn {
		for id, deadline := range k.state.deadlines {
			k.state.deadlines[id] = deadline.Add(away)
		}
	}
	k.epoch++
	k.notify()
}

// Epoch returns the number of restores.
func (k *Keyspace) Epoch() uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.epoch
}

// SetFaults replaces the simulated faults.
func (k *Keyspace) SetFaults(faults KeyspaceFaults) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.faults = faults
}

// Put writes an item unconditionally, as operators and upstreams do, and returns
// the new revision. Faults do not apply.
func (k *Keyspace) Put(key string, value []byte) uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.set(kumquathitch.KeyItem{Key: key, Value: value})
	return kumquathitch.RevisionInEpoch(k.epoch, k.state.revision)
}

// Delete removes an item unconditionally. Faults do not apply.
func (k *Keyspace) Delete(key string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.remove(key)
}

// The methods below have what another caller may know of an epoch from its arguments only.

// Read returns an item, with Revision 0 when it does not exist.
func (k *Keyspace) Read(ctx context.Context, key string) (kumquathitch.KeyItem, error) {
	return epoch.NewKeyspace(keyspaceCalls{k}).Read(ctx, key)
}

// Scan returns the items below a prefix, sorted by key. Its result is never stale.
func (k *Keyspace) Scan(ctx context.Context, prefix string, stale bool) (kumquathitch.KeyRange, error) {
	return epoch.NewKeyspace(keyspaceCalls{k}).Scan(ctx, prefix, stale)
}

// Follow waits for at most a duration for changes below a prefix after a revision.
func (k *Keyspace) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (kumquathitch.KeyChanges, error) {
	return epoch.NewKeyspace(keyspaceCalls{k}).Follow(ctx, prefix, after, wait)
}

// Write applies a transaction, or returns a *kumquathitch.ConflictError or a
// *kumquathitch.LeaseEndedError.
func (k *Keyspace) Write(ctx context.Context, write kumquathitch.KeyWrite) (uint64, error) {
	return epoch.NewKeyspace(keyspaceCalls{k}).Write(ctx, write)
}

// Grant creates a lease.
func (k *Keyspace) Grant(ctx context.Context, ttl time.Duration) (kumquathitch.Lease, error) {
	return epoch.NewKeyspace(keyspaceCalls{k}).Grant(ctx, ttl)
}

// Renew extends a lease, or returns a *kumquathitch.LeaseEndedError.
func (k *Keyspace) Renew(ctx context.Context, lease kumquathitch.Lease) (kumquathitch.Lease, error) {
	return epoch.NewKeyspace(keyspaceCalls{k}).Renew(ctx, lease)
}

// Release ends a lease and removes its items.
func (k *Keyspace) Release(ctx context.Context, lease kumquathitch.Lease) error {
	return epoch.NewKeyspace(keyspaceCalls{k}).Release(ctx, lease)
}

// expireLeases ends expired leases. The caller holds the lock.
func (k *Keyspace) expireLeases() {
	for id, deadline := range k.state.deadlines {
		if !k.clock.Now().Before(deadline) {
			k.endLease(id)
		}
	}
}

func (k *Keyspace) endLease(lease uint64) {
	delete(k.state.deadlines, lease)
	for key, item := range k.state.items {
		if item.Lease == lease {
			k.remove(key)
		}
	}
}

func (k *Keyspace) set(item kumquathitch.KeyItem) {
	k.state.revision++
	item.Revision = k.state.revision
	k.state.items[item.Key] = item
	k.appendChange(kumquathitch.KeyChange{KeyItem: item})
}

func (k *Keyspace) remove(key string) {
	if _, exists := k.state.items[key]; !exists {
		return
	}
	delete(k.state.items, key)
	k.state.revision++
	k.appendChange(kumquathitch.KeyChange{KeyItem: kumquathitch.KeyItem{Key: key, Revision: k.state.revision}, Removed: true})
}

func (k *Keyspace) appendChange(change kumquathitch.KeyChange) {
	k.state.history = append(k.state.history, change)
	k.notify()
}

// notify wakes the calls that wait for changes. The caller holds the lock.
func (k *Keyspace) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}
