package standin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// keyspaceCalls implements kumquathitch.EpochKeyspace: the calls to a keyspace as its messages
// carry them. The methods of one call see one epoch.
type keyspaceCalls struct {
	store *Keyspace
}

// begin locks the store, ends expired leases, and returns the epoch of the response. It returns
// an error when the store is down. The caller unlocks the store.
func (c keyspaceCalls) begin(operation, key string) (kumquathitch.ResponseEpoch, error) {
	c.store.mutex.Lock()
	c.store.expireLeases()
	at := kumquathitch.ResponseEpoch{Number: c.store.epoch, Known: true}
	if c.store.faults.Down {
		return at, &kumquathitch.StoreError{Operation: operation, Key: key, Cause: eris.New("the store is down")}
	}
	return at, nil
}

func (c keyspaceCalls) Read(_ context.Context, key string) (kumquathitch.KeyItem, kumquathitch.ResponseEpoch, error) {
	at, err := c.begin("Read", key)
	defer c.store.mutex.Unlock()
	item := c.store.state.items[key]
	item.Key = key
	return item, at, err
}

func (c keyspaceCalls) Scan(_ context.Context, prefix string, _ bool) (kumquathitch.KeyRange, kumquathitch.ResponseEpoch, error) {
	at, err := c.begin("Scan", prefix)
	defer c.store.mutex.Unlock()
	found := kumquathitch.KeyRange{Revision: c.store.state.revision}
	for key, item := range c.store.state.items {
		if strings.HasPrefix(key, prefix) {
			found.Items = append(found.Items, item)
		}
	}
	slices.SortFunc(found.Items, func(a, b kumquathitch.KeyItem) int { return strings.Compare(a.Key, b.Key) })
	return found, at, err
}

func (c keyspaceCalls) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (kumquathitch.KeyChanges, kumquathitch.ResponseEpoch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, at, changed, err := c.changesSince(prefix, after)
		if err != nil || len(changes.Changes) > 0 {
			return changes, at, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, at, nil
		case <-ctx.Done():
			return changes, kumquathitch.ResponseEpoch{}, &kumquathitch.StoreError{Operation: "Follow", Key: prefix, Cause: ctx.Err()}
		}
	}
}

func (c keyspaceCalls) changesSince(prefix string, after uint64) (kumquathitch.KeyChanges, kumquathitch.ResponseEpoch, <-chan struct{}, error) {
	at, err := c.begin("Follow", prefix)
	defer c.store.mutex.Unlock()
	if err != nil {
		return kumquathitch.KeyChanges{}, at, nil, err
	}
	state := &c.store.state
	compactedIn, compacted := kumquathitch.SplitRevision(c.store.faults.CompactedBefore)
	if after > state.revision || (compactedIn == at.Number && after < compacted) {
		return kumquathitch.KeyChanges{}, at, nil, &kumquathitch.HistoryLostError{After: after}
	}
	changes := kumquathitch.KeyChanges{Revision: state.revision}
	for _, change := range state.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes, at, c.store.changed, nil
}

func (c keyspaceCalls) Write(_ context.Context, write kumquathitch.KeyWrite) (uint64, kumquathitch.ResponseEpoch, error) {
	at, err := c.begin("Write", "")
	defer c.store.mutex.Unlock()
	if err != nil {
		return 0, at, err
	}
	state := &c.store.state
	for _, expected := range write.Expect {
		if current := state.items[expected.Key]; current.Revision != expected.Revision {
			return 0, at, &kumquathitch.ConflictError{
				Key: expected.Key, Expected: expected.Revision,
				Current: kumquathitch.Record{Key: expected.Key, Value: current.Value, Version: current.Revision},
			}
		}
	}
	for _, item := range write.Set {
		if _, live := state.deadlines[item.Lease]; item.Lease != 0 && !live {
			return 0, at, &kumquathitch.LeaseEndedError{Lease: item.Lease}
		}
	}
	for _, item := range write.Set {
		c.store.set(item)
	}
	for _, key := range write.Remove {
		c.store.remove(key)
	}
	if c.store.faults.LoseResponses > 0 {
		c.store.faults.LoseResponses--
		return 0, kumquathitch.ResponseEpoch{}, &kumquathitch.StoreError{Operation: "Write", Unknown: true, Cause: eris.New("the response was lost")}
	}
	return state.revision, at, nil
}

func (c keyspaceCalls) Grant(_ context.Context, ttl time.Duration) (kumquathitch.Lease, kumquathitch.ResponseEpoch, error) {
	at, err := c.begin("Grant", "")
	defer c.store.mutex.Unlock()
	if err != nil {
		return kumquathitch.Lease{}, at, err
	}
	state := &c.store.state
	state.lastLease++
	state.ttls[state.lastLease], state.deadlines[state.lastLease] = ttl, c.store.clock.Now().Add(ttl)
	return kumquathitch.Lease{ID: state.lastLease, TTL: ttl, Deadline: state.deadlines[state.lastLease]}, at, nil
}

func (c keyspaceCalls) Renew(_ context.Context, lease kumquathitch.Lease) (kumquathitch.Lease, kumquathitch.ResponseEpoch, error) {
	at, err := c.begin("Renew", "")
	defer c.store.mutex.Unlock()
	if err != nil {
		return lease, at, err
	}
	state := &c.store.state
	if _, live := state.deadlines[lease.ID]; !live {
		return lease, at, &kumquathitch.LeaseEndedError{Lease: lease.ID}
	}
	state.deadlines[lease.ID] = c.store.clock.Now().Add(state.ttls[lease.ID])
	return lease, at, nil
}

func (c keyspaceCalls) Release(_ context.Context, lease kumquathitch.Lease) (kumquathitch.ResponseEpoch, error) {
	at, err := c.begin("Release", "")
	defer c.store.mutex.Unlock()
	if err == nil {
		c.store.endLease(lease.ID)
	}
	return at, err
}
