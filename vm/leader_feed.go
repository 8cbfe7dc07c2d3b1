package vm

import (
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxFeedChanges is the number of changes that the leader keeps to pass on. A VM
	// that is further behind reads the store itself.
	maxFeedChanges = 1024
	// maxPackedForms bounds the compressed forms that are kept between two changes.
	maxPackedForms = 64
	// loadsTTL is how long the calls in flight that a VM reported are counted.
	loadsTTL = 2 * time.Second
	// loadsExpiryInterval is the interval at which expired loads are dropped.
	loadsExpiryInterval = 250 * time.Millisecond
)

// leaderFeed holds what the leader passes on to the other VMs: changes of the
// store, so that they need no watch of their own, and the calls in flight of all VMs.
type leaderFeed struct {
	mutex        sync.Mutex
	changes      []kumquathitch.KeyChange
	baseRevision uint64            // All changes after this revision are kept.
	packed       map[uint64][]byte // Compressed changes after a revision, until the next change.
	loads        map[string]reportedLoads
	totals       map[string]int // Sums of loads, by instance.
	expireAt     time.Time      // When loads are next checked for expiry.
}

// reportedLoads are the calls in flight of one VM.
type reportedLoads struct {
	byInstance map[string]int
	until      time.Time
}

// reset drops all changes, after a scan of the store at a revision.
func (l *leaderFeed) reset(revision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changes, l.baseRevision, l.packed = nil, revision, nil
}

// add appends changes, and drops the oldest beyond maxFeedChanges.
func (l *leaderFeed) add(changes []kumquathitch.KeyChange) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(changes) > 0 {
		l.packed = nil
	}
	for _, change := range changes {
		// An earlier change of the same key is superseded.
		l.changes = slices.DeleteFunc(l.changes, func(earlier kumquathitch.KeyChange) bool { return earlier.Key == change.Key })
		l.changes = append(l.changes, change)
	}
	if over := len(l.changes) - maxFeedChanges; over > 0 {
		l.baseRevision = l.changes[over-1].Revision
		l.changes = append([]kumquathitch.KeyChange(nil), l.changes[over:]...)
	}
}

// changesAfter returns the changes after a revision, in compressed form when they are
// large. ok is false when some of them are no longer kept. Most VMs ask for the changes
// after one of a few revisions, so each compressed form is kept until the next change.
func (l *leaderFeed) changesAfter(revision uint64) (changes []kumquathitch.KeyChange, packed []byte, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if revision < l.baseRevision {
		return nil, nil, false
	}
	if packed = l.packed[revision]; packed != nil {
		return nil, packed, true
	}
	size := 0
	for _, change := range l.changes {
		if change.Revision > revision {
			changes = append(changes, change)
			size += len(change.Value)
		}
	}
	if size < minCompressedBytes {
		return changes, nil, true
	}
	if packed = packChanges(changes); packed == nil {
		return changes, nil, true
	}
	if l.packed == nil || len(l.packed) >= maxPackedForms {
		l.packed = map[uint64][]byte{}
	}
	l.packed[revision] = packed
	return nil, packed, true
}

// lastExchange returns when a VM last reported its calls in flight.
func (l *leaderFeed) lastExchange(vm string) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.loads[vm].until.Add(-loadsTTL)
}

// exchangeLoads records the calls in flight of a VM, by instance, and returns the
// sums of those of the other VMs.
func (l *leaderFeed) exchangeLoads(vm string, loads map[string]int, now time.Time) map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.loads == nil {
		l.loads, l.totals = map[string]reportedLoads{}, map[string]int{}
	}
	l.addToTotals(l.loads[vm].byInstance, -1)
	l.addToTotals(loads, 1)
	l.loads[vm] = reportedLoads{byInstance: loads, until: now.Add(loadsTTL)}
	if now.After(l.expireAt) {
		l.expireAt = now.Add(loadsExpiryInterval)
		for name, reported := range l.loads {
			if now.After(reported.until) {
				l.addToTotals(reported.byInstance, -1)
				delete(l.loads, name)
			}
		}
	}
	others := make(map[string]int, len(l.totals))
	for id, total := range l.totals {
		if count := total - loads[id]; count > 0 {
			others[id] = count
		}
	}
	return others
}

// addToTotals adds the loads of a VM to the sums, or subtracts them. The caller holds the lock.
func (l *leaderFeed) addToTotals(loads map[string]int, sign int) {
	for id, count := range loads {
		if l.totals[id] += sign * count; l.totals[id] <= 0 {
			delete(l.totals, id)
		}
	}
}
