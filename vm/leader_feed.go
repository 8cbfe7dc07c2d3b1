package vm

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxFeedChanges is the number of changes that the leader keeps to pass on. A VM
	// that is further behind reads the store itself.
	maxFeedChanges = 1024
	// minSegmentBytes is the size from which a segment is compressed.
	minSegmentBytes = 1 << 10
	// loadsTTL is how long the calls in flight that a VM reported are counted.
	loadsTTL = 2 * time.Second
	// loadsExpiryInterval is the interval at which expired loads are dropped.
	loadsExpiryInterval = 250 * time.Millisecond
	// maxSentLoads is the number of instances whose loads an exchange carries at most: the
	// fullest ones, which a VM that chooses an instance itself has to avoid. With all
	// instances in use, an exchange of 400 VMs took 9.6 ms instead of 0.5 ms at 9 VMs.
	// In a large fleet schedulers choose nearly always, and the leader sends each load to
	// hundreds of VMs.
	maxSentLoads      = 256
	maxSentLoadsLarge = 64
	// fullestInterval is the interval at which the fullest instances are determined.
	fullestInterval = 250 * time.Millisecond
	// unloadingInterval is the interval at which the open orders to unload models are
	// collected: all VMs get the same list, and collecting it takes time for each instance.
	unloadingInterval = 50 * time.Millisecond
)

// leaderFeed holds what the leader passes on to the other VMs: changes of the
// store, so that they need no watch of their own, and the calls in flight of all VMs.
type leaderFeed struct {
	mutex        sync.Mutex
	segments     []*feedSegment // In the order of their revisions.
	changeCount  int            // Number of changes in all segments.
	baseRevision uint64         // All changes after this revision are kept.
	loads        map[string]reportedLoads
	totals       map[string]int // Sums of loads, by instance.
	expireAt     time.Time      // When loads are next checked for expiry.
	fullest      []string       // Instances with the highest loads, if too many are in use.
	fullestUntil time.Time      // When they are next determined.
	unloading    unloadingList
}

// unloadingList holds the models that instances were ordered to unload, by instance.
type unloadingList struct {
	mutex   sync.Mutex
	models  map[string][]string
	expires time.Time
}

// feedSegment holds the changes that were applied together. Its compressed form is the
// same for all VMs: after a change of the leader each VM is at another revision, and
// compressing the changes for each of 195 VMs took all of the new leader's processor.
type feedSegment struct {
	changes []kumquathitch.KeyChange
	last    uint64 // Revision of the last change.
	packed  []byte // Compressed changes; nil until needed.
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
	l.segments, l.changeCount, l.baseRevision = nil, 0, revision
}

// add appends changes as a segment, and drops the oldest segments beyond maxFeedChanges.
func (l *leaderFeed) add(changes []kumquathitch.KeyChange) {
	if len(changes) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changes = lastOfEachKey(changes)
	l.dropSuperseded(changes)
	l.segments = append(l.segments, &feedSegment{changes: changes, last: changes[len(changes)-1].Revision})
	l.changeCount += len(changes)
	for l.changeCount > maxFeedChanges && len(l.segments) > 1 {
		oldest := l.segments[0]
		l.segments, l.changeCount, l.baseRevision = l.segments[1:], l.changeCount-len(oldest.changes), oldest.last
	}
}

// lastOfEachKey returns the changes without those that a later one of the same key supersedes.
func lastOfEachKey(changes []kumquathitch.KeyChange) []kumquathitch.KeyChange {
	last := make(map[string]uint64, len(changes))
	for _, change := range changes {
		last[change.Key] = change.Revision
	}
	return slices.DeleteFunc(slices.Clone(changes), func(change kumquathitch.KeyChange) bool { return change.Revision != last[change.Key] })
}

// dropSuperseded removes the large values that new changes supersede: a series of
// configurations must not be sent in full. Small ones stay, since their segment would
// have to be compressed again.
func (l *leaderFeed) dropSuperseded(changes []kumquathitch.KeyChange) {
	for _, segment := range l.segments {
		before := len(segment.changes)
		segment.changes = slices.DeleteFunc(segment.changes, func(earlier kumquathitch.KeyChange) bool {
			return len(earlier.Value) >= minCompressedBytes &&
				slices.ContainsFunc(changes, func(change kumquathitch.KeyChange) bool { return change.Key == earlier.Key })
		})
		if removed := before - len(segment.changes); removed > 0 {
			segment.packed, l.changeCount = nil, l.changeCount-removed
		}
	}
}

// changesAfter returns the changes after a revision: the large segments compressed, and
// the changes of the others. They may include some of that revision or before. ok is
// false when some of them are no longer kept.
func (l *leaderFeed) changesAfter(revision uint64) (changes []kumquathitch.KeyChange, segments [][]byte, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if revision < l.baseRevision {
		return nil, nil, false
	}
	for _, segment := range l.segments {
		if segment.last <= revision || len(segment.changes) == 0 {
			continue
		}
		if packed := segment.compressed(); packed != nil {
			segments = append(segments, packed)
		} else {
			changes = append(changes, segment.changes...)
		}
	}
	return changes, segments, true
}

// compressed returns the compressed form of a large segment, and nil for a small one.
func (s *feedSegment) compressed() []byte {
	size := 0
	for _, change := range s.changes {
		size += len(change.Value)
	}
	if s.packed == nil && size >= minSegmentBytes {
		s.packed = packChanges(s.changes)
	}
	return s.packed
}

// lastExchange returns when a VM last reported its calls in flight.
func (l *leaderFeed) lastExchange(vm string) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.loads[vm].until.Add(-loadsTTL)
}

// unloadingModels returns the models that instances were ordered to unload, by instance. The
// map is shared and must not be changed.
func (l *leaderFeed) unloadingModels(collect func() map[string][]string, now time.Time) map[string][]string {
	u := &l.unloading
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !now.Before(u.expires) {
		u.models, u.expires = collect(), now.Add(unloadingInterval)
	}
	return u.models
}

// exchangeLoads records the calls in flight of a VM, by instance, and returns the
// sums of those of the other VMs. If too many instances are in use, it returns the
// fullest ones only, most in number, by the given numbers of slots, and reports that.
func (l *leaderFeed) exchangeLoads(vm string, loads map[string]int, most int, slots func(instance string) int, now time.Time) (others map[string]int, fullestOnly bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.recordLoads(vm, loads, now)
	if len(l.totals) > most {
		l.updateFullest(most, slots, now)
		others = make(map[string]int, len(l.fullest))
		for _, id := range l.fullest {
			if count := l.totals[id] - loads[id]; count > 0 {
				others[id] = count
			}
		}
		return others, true
	}
	others = make(map[string]int, len(l.totals))
	for id, total := range l.totals {
		if count := total - loads[id]; count > 0 {
			others[id] = count
		}
	}
	return others, false
}

// recordLoads replaces the loads of a VM in the sums, and drops those of silent VMs. The
// caller holds the lock.
func (l *leaderFeed) recordLoads(vm string, loads map[string]int, now time.Time) {
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
}

// updateFullest determines the instances with the highest loads from time to time. The
// caller holds the lock.
func (l *leaderFeed) updateFullest(most int, slots func(instance string) int, now time.Time) {
	if now.Before(l.fullestUntil) {
		return
	}
	l.fullestUntil = now.Add(fullestInterval)
	load := make(map[string]float64, len(l.totals))
	for id, total := range l.totals {
		load[id] = float64(total) / float64(max(1, slots(id)))
	}
	l.fullest = slices.SortedFunc(maps.Keys(load), func(a, b string) int {
		return cmp.Or(cmp.Compare(load[b], load[a]), cmp.Compare(a, b))
	})
	l.fullest = l.fullest[:min(len(l.fullest), most)]
}

// addToTotals adds the loads of a VM to the sums, or subtracts them. The caller holds the lock.
func (l *leaderFeed) addToTotals(loads map[string]int, sign int) {
	for id, count := range loads {
		if l.totals[id] += sign * count; l.totals[id] <= 0 {
			delete(l.totals, id)
		}
	}
}
