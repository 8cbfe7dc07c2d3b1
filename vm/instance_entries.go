package vm

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

// putInstance applies the entry of an instance, unless it is older than what this VM knows.
func (w *storeWatcher) putInstance(item kumquathitch.KeyItem) {
	w.applyInstance(item, false)
}

// applyInstance applies the entry of an instance. Without trusted, it may be one that a restored store
// has brought back.
func (w *storeWatcher) applyInstance(item kumquathitch.KeyItem, trusted bool) {
	instance, err := w.vm.environment.Codec.DecodeInstance(item, time.Now())
	if err != nil {
		w.vm.log.Info("cannot decode the entry of an instance", zap.String("key", item.Key), zap.Error(err))
		return
	}
	before, known := w.vm.fleet.Instance(instance.ID)
	w.mutex.Lock()
	last := w.instances[item.Key].Revision
	if item.Revision < last || (!trusted && w.restored.ignores(item, &instance, &before, last, time.Now())) {
		w.mutex.Unlock()
		return
	}
	w.instances[item.Key] = item
	delete(w.lapsed, item.Key)
	fromCopy := w.restored.isFromCopy(item.Revision, last)
	w.mutex.Unlock()
	if known && before.SameIncarnation(&instance) {
		if fromCopy { // What is known of this start is later.
			return
		}
		if before.Leaving && item.Revision == last {
			instance.Leaving, instance.GoneBy = true, before.GoneBy
		}
	}
	w.vm.fleet.Put(instance, time.Now())
	if !known || before.Leaving != instance.Leaving || !before.SameIncarnation(&instance) {
		if known && !before.SameIncarnation(&instance) {
			w.recordGone(&before)
		}
		w.logCrash(&instance, w.vm.crashDetector.RecordDescription(&instance, time.Now()))
		w.vm.log.Info("instance described", zap.String("instance", instance.ID), zap.String("service", instance.Service),
			zap.String("address", instance.Address), zap.Bool("leaving", instance.Leaving), zap.Uint64("revision", item.Revision))
	}
}

// dropInstance removes an instance whose entry is gone at a revision.
func (w *storeWatcher) dropInstance(key string, revision uint64) {
	id := strings.TrimPrefix(key, w.vm.environment.Codec.InstancePrefix())
	before, known := w.vm.fleet.Instance(id)
	w.mutex.Lock()
	w.restored.remove(key, revision, before, time.Now())
	delete(w.instances, key)
	delete(w.lapsed, key)
	w.mutex.Unlock()
	if known {
		w.recordGone(&before)
	}
	w.vm.fleet.Remove(id, time.Now())
	w.vm.log.Info("instance gone", zap.String("instance", id), zap.Uint64("revision", w.currentRevision()))
}

// recordGone records that a start of an instance has ended.
func (w *storeWatcher) recordGone(instance *kumquathitch.Instance) {
	w.logCrash(instance, w.vm.crashDetector.RecordGone(instance, time.Now()))
}

// logCrash logs the calls that may have crashed the earlier start of an instance.
func (w *storeWatcher) logCrash(instance *kumquathitch.Instance, calls int) {
	if calls > 0 {
		w.vm.log.Info("silent instance has crashed", zap.String("instance", instance.ID), zap.String("address", instance.Address), zap.Int("unanswered", calls))
	}
}

// dropLapsed removes the instances that did not write their entries again in time, ends the evacuations that were
// not asked for again, and takes over the entries that the store has kept since it brought them back.
func (w *storeWatcher) dropLapsed(now time.Time) {
	for _, change := range w.vm.evacuations.Expire(now) {
		w.vm.applyEvacuation(change, "restore")
	}
	w.mutex.Lock()
	kept := w.restored.expire(now, w.lastResponse)
	var gone []string
	for key, until := range w.lapsed {
		if !now.Before(until) {
			gone = append(gone, key)
		}
	}
	w.mutex.Unlock()
	for _, key := range gone {
		w.dropInstance(key, w.currentRevision())
	}
	for _, item := range kept {
		w.applyInstance(item, true)
	}
}

// instanceItems returns the entries of instances as they were written.
func (w *storeWatcher) instanceItems() []kumquathitch.KeyItem {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Collect(maps.Values(w.instances))
}

// adoptInstances replaces the entries of instances by those of another VM, unless
// these are not newer. It is used while this VM cannot read the store.
func (w *storeWatcher) adoptInstances(items []kumquathitch.KeyItem, revision uint64) {
	if revision <= w.currentRevision() && len(w.instanceItems()) > 0 {
		return
	}
	w.enterEpoch(revision)
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		if !w.hasRemoved(item) {
			w.putInstance(item)
		}
	}
	for _, item := range w.instanceItems() {
		if !listed[item.Key] {
			w.remove(item.Key, revision)
		}
	}
}

// hasRemoved reports whether this VM has applied the removal of an entry. Another VM may keep
// the entry for reregisterTime and pass it on; no further change would remove it here.
func (w *storeWatcher) hasRemoved(item kumquathitch.KeyItem) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, known := w.instances[item.Key]
	_, lapsed := w.lapsed[item.Key]
	return item.Revision <= w.revision && (!known || lapsed)
}
