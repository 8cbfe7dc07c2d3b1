package vm

import (
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// removalMemory is how long the removal of an instance is remembered. A store is restored from
	// a copy that is some seconds old.
	removalMemory = time.Minute
	// recallTime is how long an entry that a copy has brought back is ignored unless it is written
	// again. The platform removes an entry after three heartbeats of silence, so that one
	// which is still there belongs to an instance that lives.
	recallTime = 6 * time.Second
)

// restoredEntries tells entries of instances that a restored store has brought back from those
// that were written since. The copy is older than what the VM knew.
type restoredEntries struct {
	removed map[string]removedEntry // Entries whose removal was applied, by key.
	ignored map[string]ignoredEntry // Entries that the copy has brought back, by key.
	start   uint64                  // Revision of the first state of this epoch that was applied.
}

// removedEntry is an instance that was removed.
type removedEntry struct {
	revision uint64                // Of the removal.
	instance kumquathitch.Instance // Without an ID if it was not known.
	until    time.Time             // When the removal is forgotten.
}

// ignoredEntry is an entry that the copy has brought back.
type ignoredEntry struct {
	item  kumquathitch.KeyItem
	until time.Time // When it is applied nevertheless.
}

func newRestoredEntries() restoredEntries {
	return restoredEntries{removed: map[string]removedEntry{}, ignored: map[string]ignoredEntry{}}
}

// enter records that the state of a new epoch at a revision is applied next.
func (r *restoredEntries) enter(revision uint64) {
	r.start = revision
}

// isFromCopy reports whether an entry may be what the store has brought back from before a known
// revision of the same key. One that was written between the restore and the first state that this VM
// applies looks the same: the store's own revisions say nothing, as the copy may come from before an earlier restore.
func (r *restoredEntries) isFromCopy(revision, known uint64) bool {
	epoch, _ := kumquathitch.SplitRevision(revision)
	knownEpoch, _ := kumquathitch.SplitRevision(known)
	return epoch > knownEpoch && revision <= r.start
}

// remove records that the removal of an instance was applied. The instance has no ID if the VM did not
// know it: its entry and the removal may have come together.
func (r *restoredEntries) remove(key string, revision uint64, instance kumquathitch.Instance, now time.Time) {
	r.removed[key] = removedEntry{revision: revision, instance: instance, until: now.Add(removalMemory)}
}

// ignores reports whether the copy has brought an entry back: of a start of an instance that was removed, or
// of an earlier one than the start that is known or was removed. Known has the revision last. Any other
// entry of the key ends this.
func (r *restoredEntries) ignores(item kumquathitch.KeyItem, instance, known *kumquathitch.Instance, last uint64, now time.Time) bool {
	if ignored, ok := r.ignored[item.Key]; ok && ignored.item.Revision == item.Revision {
		return true
	}
	outdated := r.isFromCopy(item.Revision, last) && instance.Started.Before(known.Started)
	if removed, ok := r.removed[item.Key]; ok && now.Before(removed.until) && r.isFromCopy(item.Revision, removed.revision) {
		former := &removed.instance
		outdated = outdated || former.ID == "" || former.SameIncarnation(instance) || instance.Started.Before(former.Started)
	}
	if outdated {
		r.ignored[item.Key] = ignoredEntry{item: item, until: now.Add(recallTime)}
		return true
	}
	delete(r.ignored, item.Key)
	delete(r.removed, item.Key)
	return false
}

// drop forgets an ignored entry, as the store no longer has it.
func (r *restoredEntries) drop(key string) {
	delete(r.ignored, key)
}

// keep forgets the ignored entries that a scan does not list.
func (r *restoredEntries) keep(listed map[string]bool) {
	for key := range r.ignored {
		if !listed[key] {
			delete(r.ignored, key)
		}
	}
}

// expire forgets old removals, and returns the entries that are ignored no longer: those that the store
// still had when it answered last.
func (r *restoredEntries) expire(now, lastResponse time.Time) []kumquathitch.KeyItem {
	for key, removed := range r.removed {
		if _, ignored := r.ignored[key]; !ignored && !now.Before(removed.until) {
			delete(r.removed, key)
		}
	}
	var due []kumquathitch.KeyItem
	for key, ignored := range r.ignored {
		if !lastResponse.Before(ignored.until) {
			due = append(due, ignored.item)
			delete(r.ignored, key)
			delete(r.removed, key)
		}
	}
	return due
}
