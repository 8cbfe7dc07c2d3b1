package retry

import (
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// undecidedTTL is how long a silent end of a send may still turn out to be a crash. An
	// instance is back, or its entry gone, within seconds, or after an outage of the store.
	undecidedTTL = 30 * time.Second
	// maxUndecided bounds the silent ends kept for an instance. The earliest ones are kept:
	// the call that crashed it is among them.
	maxUndecided = 64
	// heardInterval is the least time between two notes that an upstream sends something, which
	// it may do thousands of times a second.
	heardInterval = 50 * time.Millisecond
)

// CrashDetector concludes which calls crash upstreams, and tells the guards of contents and
// prompt parts. A connection that the upstream closes shows a crash at once. A send that
// ends in silence, at its deadline, by its caller or when another upstream takes over,
// is undecided: the upstream may be slow, full, frozen or cut off. It is a crash if the next
// thing that becomes known of the upstream is that it started again or is gone, and none if
// the upstream sends anything before that, or had said that it leaves. It is safe for
// concurrent use.
type CrashDetector struct {
	contents *CrashGuard
	prompts  *PromptGuard
	shards   [shardCount]observedShard
}

type observedShard struct {
	mutex     sync.Mutex
	instances map[string]*observedInstance // By incarnation.
}

// observedInstance is what the sends of this VM show of one start of an upstream.
type observedInstance struct {
	lastBytes time.Time
	leaving   bool      // Its description says that it leaves.
	crashedAt time.Time // When this VM learned that it started again, or is gone, without having said that it leaves; otherwise zero.
	changedAt time.Time
	undecided []undecidedSend // In the order of their ends.
}

// undecidedSend is a send that ended in silence.
type undecidedSend struct {
	send kumquathitch.EndedSend
	at   time.Time // Last time at which the upstream was known to be up.
	end  time.Time
}

// NewCrashDetector returns a detector without observations for the guards of a VM.
func NewCrashDetector(contents *CrashGuard, prompts *PromptGuard) *CrashDetector {
	d := &CrashDetector{contents: contents, prompts: prompts}
	for i := range d.shards {
		d.shards[i].instances = map[string]*observedInstance{}
	}
	return d
}

// RecordBytes records that an upstream sent bytes on a connection that was opened at a time.
// Sends that ended after that time did not crash it: a later connection may be to its next
// start.
func (d *CrashDetector) RecordBytes(instance *kumquathitch.Instance, connected, now time.Time) {
	s := d.shard(instance.ID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	observed := s.observe(instance, now)
	if now.Sub(observed.lastBytes) > heardInterval {
		d.contents.heard.record(instance.Service, now)
		d.prompts.heard.record(instance.Service, now)
	}
	observed.lastBytes = now
	observed.undecided = slices.DeleteFunc(observed.undecided, func(u undecidedSend) bool { return connected.Before(u.end) })
	if connected.Before(observed.crashedAt) { // Only its entry was gone.
		observed.crashedAt = time.Time{}
	}
}

// RecordEnd records the end of a send that the upstream may have run.
func (d *CrashDetector) RecordEnd(send kumquathitch.EndedSend, now time.Time) {
	switch send.End {
	case kumquathitch.EndAnswered:
		d.contents.RecordAnswer(send.Content, now)
		d.prompts.RecordAnswer(send.Prompt, now)
	case kumquathitch.EndClosed:
		d.contents.RecordCrash(send.Content, &send.Instance, send.Connected, now)
		d.prompts.RecordCrash(send.Prompt, &send.Instance, now)
		d.prompts.RecordEvents(send.Prompt, send.Events)
	case kumquathitch.EndSilent:
		if undecided, crashed := d.addUndecided(send, now); crashed {
			d.recordCrashes([]undecidedSend{undecided}, now)
		}
	}
}

// addUndecided keeps a send that ended in silence. It reports true instead if its upstream is
// known to have crashed.
func (d *CrashDetector) addUndecided(send kumquathitch.EndedSend, now time.Time) (undecidedSend, bool) {
	s := d.shard(send.Instance.ID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	observed := s.observe(&send.Instance, now)
	undecided := undecidedSend{send: send, at: send.Received, end: now}
	if observed.lastBytes.After(undecided.at) {
		undecided.at = observed.lastBytes
	}
	if !observed.crashedAt.IsZero() {
		return undecided, true
	}
	if len(observed.undecided) < maxUndecided {
		observed.undecided = append(observed.undecided, undecided)
	}
	return undecided, false
}

// RecordDescription records that an upstream has started, or says that it leaves. Other
// starts at its address have ended. It returns the number of calls on those that crashed.
func (d *CrashDetector) RecordDescription(instance *kumquathitch.Instance, now time.Time) int {
	incarnation := instance.Incarnation()
	var crashes []undecidedSend
	for i := range d.shards {
		s := &d.shards[i]
		s.mutex.Lock()
		for other, observed := range s.instances {
			if other != incarnation && observed.hasUndecidedAt(instance.Address) {
				crashes = append(crashes, observed.end(now)...)
			}
		}
		s.mutex.Unlock()
	}
	s := d.shard(instance.ID)
	s.mutex.Lock()
	observed := s.observe(instance, now)
	observed.leaving, observed.crashedAt = observed.leaving || instance.Leaving, time.Time{} // Only its entry was gone.
	s.mutex.Unlock()
	return d.recordCrashes(crashes, now)
}

// RecordGone records that a start of an upstream has ended, and returns the number of calls on
// it if it crashed. One that had said that it leaves did not.
func (d *CrashDetector) RecordGone(instance *kumquathitch.Instance, now time.Time) int {
	s := d.shard(instance.ID)
	s.mutex.Lock()
	observed := s.observe(instance, now)
	observed.leaving = observed.leaving || instance.Leaving
	crashes := observed.end(now)
	s.mutex.Unlock()
	return d.recordCrashes(crashes, now)
}

// Expire drops what is too old to show a crash.
func (d *CrashDetector) Expire(now time.Time) {
	for i := range d.shards {
		s := &d.shards[i]
		s.mutex.Lock()
		for incarnation, observed := range s.instances {
			observed.undecided = slices.DeleteFunc(observed.undecided, func(u undecidedSend) bool { return now.Sub(u.end) > undecidedTTL })
			if now.Sub(observed.changedAt) > undecidedTTL {
				delete(s.instances, incarnation)
			}
		}
		s.mutex.Unlock()
	}
}

// recordCrashes tells the guards of calls that may have crashed their upstreams, and returns
// their number.
func (d *CrashDetector) recordCrashes(crashes []undecidedSend, now time.Time) int {
	for i := range crashes {
		u := &crashes[i]
		d.contents.RecordInferredCrash(u.send.Content, &u.send.Instance, u.at, now)
		d.prompts.RecordInferredCrash(u.send.Prompt, &u.send.Instance, u.at, now)
		d.prompts.RecordEvents(u.send.Prompt, u.send.Events)
	}
	return len(crashes)
}

func (d *CrashDetector) shard(id string) *observedShard {
	return &d.shards[kumquathitch.ShardOf(id, shardCount)]
}

// observe returns the record of a start of an upstream, which it creates if necessary. The
// caller holds the lock.
func (s *observedShard) observe(instance *kumquathitch.Instance, now time.Time) *observedInstance {
	incarnation := instance.Incarnation()
	observed := s.instances[incarnation]
	if observed == nil {
		observed = &observedInstance{}
		s.instances[incarnation] = observed
	}
	observed.changedAt = now
	return observed
}

// hasUndecidedAt reports whether a send to an address is undecided.
func (o *observedInstance) hasUndecidedAt(address string) bool {
	return slices.ContainsFunc(o.undecided, func(u undecidedSend) bool { return u.send.Instance.Address == address })
}

// end records that the upstream has ended. If it crashed, it returns the sends that may
// have been the cause.
func (o *observedInstance) end(now time.Time) []undecidedSend {
	ended := o.undecided
	o.undecided, o.changedAt = nil, now
	if o.leaving {
		return nil
	}
	o.crashedAt = now
	return slices.DeleteFunc(ended, func(u undecidedSend) bool { return now.Sub(u.end) > undecidedTTL })
}
