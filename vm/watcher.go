package vm

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/election"
)

const (
	// watchTimeout bounds one watch call. A connection can hang without being
	// closed, and the platform requires its bounds to hold again after 3 s.
	watchTimeout = 2 * time.Second
	// A VM pauses for the DrainLag of its environment, divided by drainLagParts, after a
	// watch that returned changes, to get the next changes in one batch. Every
	// watch is a paid call, and descriptions of engines change often.
	drainLagParts = 3
	// leaderBatchPause bounds the pause after changes, and leaderWatchTimeout one
	// watch call, on the leader, which passes changes on to the other VMs. It does
	// so only while its last response from the store is at most maxFeedAge old.
	// Changes must be in force on all VMs within 2 s, also when the store has just
	// begun to refuse the leader.
	leaderBatchPause   = 150 * time.Millisecond
	leaderWatchTimeout = 300 * time.Millisecond
	maxFeedAge         = 600 * time.Millisecond
	// feedTTL is how long a VM relies on the changes from one exchange with the
	// leader before it watches the store itself. Exchanges take place every 500 ms.
	feedTTL = 900 * time.Millisecond
	// feedPollInterval is the interval at which a VM checks whether feedTTL has passed.
	feedPollInterval = 100 * time.Millisecond
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = 250 * time.Millisecond
	// outageTimeout is the time without a response after which the store counts as
	// down. It exceeds a watch without changes plus the pause after one with changes.
	outageTimeout = 3300 * time.Millisecond
	// failureTimeout is how long calls to the store may fail before the VM asks
	// other VMs for its data.
	failureTimeout = 700 * time.Millisecond
	// reregisterTime is how long after an outage an instance with an expired entry is
	// kept. Instances write their entries again within 2 s.
	reregisterTime = 2200 * time.Millisecond
)

// storeWatcher applies the changes of the store, from its own watch or from the leader.
type storeWatcher struct {
	vm        *VM
	firstScan sync.Once
	scanDone  chan struct{} // Closed by the first scan.

	applyMutex   sync.Mutex                      // Serializes changes from the store and from the leader.
	mutex        sync.Mutex                      // Guards the fields below.
	instances    map[string]kumquathitch.KeyItem // Entries of instances as written, by key, for VMs without the store.
	members      map[string]kumquathitch.Member  // By name.
	lapsed       map[string]time.Time            // When instances with an expired entry are removed, by key.
	restored     restoredEntries                 // Entries that a restored store has brought back.
	revision     uint64                          // Revision of the store up to which changes are applied; 0 before the first scan.
	epoch        uint64                          // Latest epoch of the store whose entries are applied.
	lastResponse time.Time                       // When the store or the leader's feed last answered.
	outageEnd    time.Time                       // End of the last outage.
	scanned      bool                            // The store has answered at least once.
	failing      bool                            // The last call to the store failed.
	newMembers   bool                            // The list of members has changed since it was last passed on.
	fedUntil     time.Time                       // The leader's feed replaces the watch until then.
}

func newStoreWatcher(v *VM) *storeWatcher {
	return &storeWatcher{
		vm: v, scanDone: make(chan struct{}), instances: map[string]kumquathitch.KeyItem{}, members: map[string]kumquathitch.Member{},
		lapsed: map[string]time.Time{}, restored: newRestoredEntries(),
	}
}

// errStepPanicked is the result of a step of the watch that did not return.
var errStepPanicked = errors.New("the step panicked")

// run watches the store until ctx ends.
func (w *storeWatcher) run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			err := errStepPanicked
			w.vm.guarded("vm.watch", func() {
				err = w.step(ctx)
				w.dropLapsed(time.Now())
			})
			if err != nil && ctx.Err() == nil {
				w.setFailing()
				w.vm.log.Info("store call failed", zap.Error(err), zap.Uint64("revision", w.currentRevision()))
				clock.Pause(ctx, storeRetryDelay)
			}
		}
		end <- nil
	}()
	return end
}

func (w *storeWatcher) step(ctx context.Context) error {
	after := w.currentRevision()
	if after == 0 {
		return w.scan(ctx)
	}
	_, leading := w.vm.candidate.CurrentTerm()
	wait := watchTimeout
	if leading {
		wait = leaderWatchTimeout
	} else if w.isFed(time.Now()) {
		clock.Pause(ctx, feedPollInterval)
		return nil
	}
	changes, err := w.vm.environment.Store.Follow(ctx, "", after, wait)
	var lost *kumquathitch.HistoryLostError
	if errors.As(err, &lost) {
		w.vm.log.Info("history lost, reading all", zap.Uint64("revision", after))
		return w.scan(ctx)
	}
	if err != nil {
		return err
	}
	lastKnown := w.lastResponseTime()
	w.recordResponse(time.Now())
	w.applyChanges(changes.Changes, changes.Revision, lastKnown)
	if len(changes.Changes) > 0 {
		pause := w.vm.environment.DrainLag / drainLagParts
		if leading || w.vm.candidate.IsFavourite() { // A favourite without the leader's feed may soon have to lead.
			pause = min(pause, leaderBatchPause)
		}
		clock.Pause(ctx, pause)
	}
	return nil
}

// applyChanges applies changes in order and skips those that were applied before,
// from the store or from the leader. They came after the response at lastKnown.
func (w *storeWatcher) applyChanges(changes []kumquathitch.KeyChange, revision uint64, lastKnown time.Time) {
	w.applyMutex.Lock()
	defer w.applyMutex.Unlock()
	known := w.currentRevision()
	var fresh []kumquathitch.KeyChange
	for _, change := range changes {
		if change.Revision <= known {
			continue
		}
		fresh = append(fresh, change)
		w.vm.guarded("vm.change", func() { // One entry that cannot be handled must not hold up the others.
			evacuated, concerns := w.vm.environment.Codec.EvacuatedDataCentre(change.Key)
			switch {
			case concerns && change.Removed:
				w.removeEvacuation(evacuated, change.Revision)
			case concerns:
				w.putEvacuation(evacuated, change.Revision, lastKnown)
			case change.Removed:
				w.remove(change.Key, change.Revision)
			default:
				w.putItem(change.KeyItem)
			}
		})
	}
	w.vm.guarded("vm.change", w.passMembersOn)
	w.vm.evacuations.Advance(revision)
	w.vm.feed.add(fresh)
	w.setRevision(revision)
}

// applyFeed applies changes from the leader, and extends the reliance on its feed.
func (w *storeWatcher) applyFeed(changes []kumquathitch.KeyChange, revision uint64) {
	if w.currentRevision() == 0 {
		return // The VM scans the store first.
	}
	w.applyChanges(changes, revision, w.lastResponseTime())
	now := time.Now()
	w.recordResponse(now)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fedUntil = now.Add(feedTTL)
}

// endFeed makes the VM watch the store itself at once.
func (w *storeWatcher) endFeed() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fedUntil = time.Time{}
}

func (w *storeWatcher) isFed(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return now.Before(w.fedUntil)
}

// scan reads all keys of the store, and removes entries that are no longer there.
func (w *storeWatcher) scan(ctx context.Context) error {
	all, err := w.vm.environment.Store.Scan(ctx, "", false)
	if err != nil {
		return err
	}
	w.recordResponse(time.Now())
	w.applyMutex.Lock()
	defer w.applyMutex.Unlock()
	w.enterEpoch(all.Revision)
	w.vm.feed.reset(all.Revision)
	w.vm.replaceEvacuations(w.listEvacuations(all), "scan") // Before instances that it may concern.
	listed := make(map[string]bool, len(all.Items))
	for _, item := range all.Items {
		listed[item.Key] = true
		w.vm.guarded("vm.change", func() { w.putItem(item) })
	}
	for _, key := range w.keys() {
		if !listed[key] {
			w.remove(key, all.Revision)
		}
	}
	w.keepRestored(listed)
	if !slices.ContainsFunc(all.Items, func(item kumquathitch.KeyItem) bool { return election.IsLeaderKey(item.Key) }) {
		w.vm.candidate.ObserveLeader(kumquathitch.KeyItem{}) // Its removal may be in the history that is lost.
	}
	w.vm.guarded("vm.change", w.passMembersOn)
	w.setRevision(all.Revision)
	w.firstScan.Do(func() { close(w.scanDone) })
	return nil
}

// enterEpoch records the epoch of a state that is applied next. In a new one the store was restored from
// a copy: instances that it does not list have time to write their entries again, as after an outage.
func (w *storeWatcher) enterEpoch(revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	epoch, _ := kumquathitch.SplitRevision(revision)
	w.vm.candidate.ObserveEpoch(epoch)
	before, first := w.epoch, w.revision == 0 && len(w.instances) == 0
	w.epoch = max(w.epoch, epoch)
	if first || epoch <= before {
		return
	}
	w.outageEnd = time.Now()
	w.restored.enter(revision)
	w.vm.log.Info("store restored", zap.Uint64("epoch", epoch), zap.Uint64("epoch-before", before),
		zap.Uint64("revision", revision), zap.Uint64("revision-before", w.revision))
}

// keepRestored forgets what a scan no longer lists of the entries that the copy has brought back.
func (w *storeWatcher) keepRestored(listed map[string]bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.restored.keep(listed)
}

// keys returns the keys of all known instances and members.
func (w *storeWatcher) keys() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	keys := slices.Collect(maps.Keys(w.instances))
	for name := range w.members {
		keys = append(keys, election.MemberPrefix+name)
	}
	return keys
}

// putItem applies the new value of one key.
func (w *storeWatcher) putItem(item kumquathitch.KeyItem) {
	codec := w.vm.environment.Codec
	switch {
	case item.Key == codec.DeploymentKey():
		w.vm.applyDeployment(item.Value, item.Revision, "store")
	case strings.HasPrefix(item.Key, codec.InstancePrefix()):
		w.putInstance(item)
	case election.IsLeaderKey(item.Key):
		w.vm.candidate.ObserveLeader(item)
	case strings.HasPrefix(item.Key, election.MemberPrefix):
		w.putMember(item)
	}
}

func (w *storeWatcher) putMember(item kumquathitch.KeyItem) {
	var m kumquathitch.Member
	if err := json.Unmarshal(item.Value, &m); err != nil || m.Name == "" {
		w.vm.log.Warn("cannot decode the record of a member", zap.String("key", item.Key), zap.Error(err))
		return
	}
	w.mutex.Lock()
	w.members[m.Name], w.newMembers = m, true
	w.mutex.Unlock()
}

// passMembersOn passes a changed list of members on. It is called once for all changes that
// are applied together: at the start of a fleet there is one for each VM.
func (w *storeWatcher) passMembersOn() {
	w.mutex.Lock()
	changed := w.newMembers
	w.newMembers = false
	w.mutex.Unlock()
	if changed {
		w.vm.setMembers(w.memberList())
	}
}

// remove applies the removal of one key at a revision. An instance whose entry expired around
// an outage of the store is kept for reregisterTime, so that it can write it again.
func (w *storeWatcher) remove(key string, revision uint64) {
	switch {
	case strings.HasPrefix(key, w.vm.environment.Codec.InstancePrefix()):
		w.mutex.Lock()
		w.restored.drop(key)
		now := time.Now()
		if until := w.outageEnd.Add(reregisterTime); now.Before(until) {
			w.lapsed[key] = until
			w.mutex.Unlock()
			return
		}
		w.mutex.Unlock()
		w.dropInstance(key, revision)
	case election.IsLeaderKey(key):
		w.vm.candidate.ObserveLeader(kumquathitch.KeyItem{})
	case strings.HasPrefix(key, election.MemberPrefix):
		w.mutex.Lock()
		delete(w.members, strings.TrimPrefix(key, election.MemberPrefix))
		w.newMembers = true
		w.mutex.Unlock()
	}
}

// recordResponse records a response from the store, or its changes from the leader.
func (w *storeWatcher) recordResponse(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.scanned && now.Sub(w.lastResponse) > outageTimeout {
		w.outageEnd = now
		w.vm.log.Info("store regained", zap.Duration("away", now.Sub(w.lastResponse)))
	}
	w.lastResponse, w.scanned, w.failing = now, true, false
}

// lastResponseTime returns when the store or the leader's feed last answered.
func (w *storeWatcher) lastResponseTime() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lastResponse
}

func (w *storeWatcher) setFailing() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failing = true
}

// isUpToDate reports whether the store answered recently enough to pass its changes on.
func (w *storeWatcher) isUpToDate(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.scanned && !w.failing && now.Sub(w.lastResponse) < maxFeedAge
}

// storeDown reports whether the store counts as down for this VM.
func (w *storeWatcher) storeDown(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.scanned || now.Sub(w.lastResponse) > outageTimeout
}

// needsPeers reports whether the VM needs the data of the store from other VMs.
func (w *storeWatcher) needsPeers(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.scanned || (w.failing && now.Sub(w.lastResponse) > failureTimeout) || now.Sub(w.lastResponse) > outageTimeout
}

// ready reports whether the list of instances is known, from the store or another VM.
func (w *storeWatcher) ready() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.scanned || len(w.instances) > 0
}

func (w *storeWatcher) currentRevision() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.revision
}

func (w *storeWatcher) setRevision(revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.revision = max(w.revision, revision)
}

// memberCount returns the number of members that the store lists.
func (w *storeWatcher) memberCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.members)
}

// memberList returns the members that the store lists.
func (w *storeWatcher) memberList() []kumquathitch.Member {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Collect(maps.Values(w.members))
}
