package request

import (
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	shardCount = 64
	// maxFingerprintsPerShard bounds the fingerprints kept in one shard. Without
	// a limit, callers could exhaust the memory by sending ever new bodies.
	maxFingerprintsPerShard = 512
	// maxCrashesPerFingerprint bounds the crashes kept of one fingerprint. It is
	// above blockingCrashes.
	maxCrashesPerFingerprint = 4
	// maxSuspectsPerCrash bounds the suspects kept for the last crash of an upstream.
	maxSuspectsPerCrash = 16
	// blockingCrashes is the number of crashes after which a request may be blocked.
	blockingCrashes = 2
)

// Crash is a crash of an upstream while a request ran on it.
type Crash struct {
	Upstream string    `json:"upstream"`
	VM       string    `json:"vm,omitempty"` // VM that detected the crash.
	At       time.Time `json:"at"`
	Suspect  bool      `json:"suspect,omitempty"` // The fingerprint was already suspect before this crash.
	Alone    bool      `json:"alone,omitempty"`   // The fingerprint was the only suspect on the upstream.
}

// CrashHistory holds the crashes of upstreams that ran a request with a fingerprint.
type CrashHistory struct {
	Fingerprint uint64    `json:"fingerprint"`
	Crashes     []Crash   `json:"crashes,omitempty"` // In order of time; at most maxCrashesPerFingerprint.
	Cleared     time.Time `json:"cleared,omitzero"`  // Crashes up to this time do not count.
}

// Suspect reports whether the fingerprint may have crashed an upstream.
func (h *CrashHistory) Suspect() bool {
	return len(h.Crashes) > 0
}

// Blocked reports whether requests with the fingerprint are refused: they ran
// in at least two crashes, and in the second or a later one the fingerprint was
// the only suspect on the upstream.
func (h *CrashHistory) Blocked() bool {
	return len(h.Crashes) >= blockingCrashes && slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.Alone })
}

// Merge adds the history that another VM has of the fingerprint. Reports by
// different VMs of a crash of the same upstream count as one crash when their
// times differ by at most window. Above maxCrashesPerFingerprint, the oldest
// crashes without Alone are dropped first.
func (h *CrashHistory) Merge(other CrashHistory, window time.Duration) {
	if other.Cleared.After(h.Cleared) {
		h.Cleared = other.Cleared
	}
	for _, crash := range other.Crashes {
		h.add(crash, window)
	}
	h.Crashes = slices.DeleteFunc(h.Crashes, func(c Crash) bool { return !c.At.After(h.Cleared) })
	for len(h.Crashes) > maxCrashesPerFingerprint {
		oldest := max(0, slices.IndexFunc(h.Crashes, func(c Crash) bool { return !c.Alone }))
		h.Crashes = slices.Delete(h.Crashes, oldest, oldest+1)
	}
}

func (h *CrashHistory) add(crash Crash, window time.Duration) {
	for i := range h.Crashes {
		existing := &h.Crashes[i]
		if existing.sameAs(crash, window) {
			existing.Suspect = existing.Suspect || crash.Suspect
			existing.Alone = existing.Alone && crash.Alone
			return
		}
	}
	h.Crashes = append(h.Crashes, crash)
	slices.SortStableFunc(h.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// sameAs reports whether two reports are of one crash. A VM reports each crash once.
func (c *Crash) sameAs(other Crash, window time.Duration) bool {
	if c.Upstream != other.Upstream {
		return false
	}
	if c.VM == other.VM {
		return c.At.Equal(other.At)
	}
	return c.At.Sub(other.At).Abs() <= window
}

// expires returns when the history is discarded.
func (h *CrashHistory) expires(ttl time.Duration) time.Time {
	last := h.Cleared
	if n := len(h.Crashes); n > 0 && h.Crashes[n-1].At.After(last) {
		last = h.Crashes[n-1].At
	}
	return last.Add(ttl)
}

// CrashTracker tracks requests that may crash upstreams, runs at most one such
// suspect on an upstream at a time, and blocks requests that have crashed
// several. It implements kumquathitch.Quarantine and is safe for concurrent use.
type CrashTracker struct {
	VM           string               // Name of this VM.
	TTL          time.Duration        // How long a history is kept after its last crash or success.
	MergeWindow  time.Duration        // Reports of VMs within this time are of one crash of an upstream.
	OnChange     func(CrashHistories) // Called with changed histories while no lock is held; must not block.
	fingerprints [shardCount]fingerprintShard
	upstreams    [shardCount]upstreamShard
}

// CrashHistories is a list of crash histories, in the form that VMs send to each other.
type CrashHistories []CrashHistory

type fingerprintShard struct {
	mutex     sync.Mutex
	histories map[uint64]*CrashHistory
}

type upstreamShard struct {
	mutex     sync.Mutex
	upstreams map[string]*upstreamState
}

// upstreamState holds the active requests and the last crash of one upstream.
type upstreamState struct {
	active    []activeRequest
	lastCrash time.Time
	suspects  []uint64 // Fingerprints that were suspect in the last crash.
}

// state returns the state of an upstream, which it creates if there is none.
// The caller holds the lock of the shard.
func (s *upstreamShard) state(upstream string) *upstreamState {
	found := s.upstreams[upstream]
	if found == nil {
		found = &upstreamState{}
		s.upstreams[upstream] = found
	}
	return found
}

// activeRequest is a request that runs on an upstream.
type activeRequest struct {
	fingerprint uint64
	counted     bool // Its crash has been recorded, but End has not been called yet.
}

// NewCrashTracker returns a tracker without histories. onChange may be nil.
func NewCrashTracker(vm string, ttl, window time.Duration, onChange func(CrashHistories)) *CrashTracker {
	if onChange == nil {
		onChange = func(CrashHistories) {}
	}
	t := &CrashTracker{VM: vm, TTL: ttl, MergeWindow: window, OnChange: onChange}
	for i := range shardCount {
		t.fingerprints[i].histories = map[uint64]*CrashHistory{}
		t.upstreams[i].upstreams = map[string]*upstreamState{}
	}
	return t
}

// Admit returns a *RefusalError with status 422 for a fingerprint that is known to crash upstreams.
func (t *CrashTracker) Admit(fingerprint uint64, now time.Time) error {
	if history := t.lookup(fingerprint, now); history.Blocked() {
		return kumquathitch.NewRefusal(422, "crashes-upstreams", "The same request has crashed upstreams before; it was not run.")
	}
	return nil
}

// Begin registers a request on an upstream. It returns false and registers
// nothing if the request and another one on the upstream are both suspect.
func (t *CrashTracker) Begin(upstream string, fingerprint uint64, now time.Time) bool {
	history := t.lookup(fingerprint, now)
	suspect := history.Suspect()
	shard := t.upstreamShard(upstream)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	state := shard.state(upstream)
	if suspect && slices.ContainsFunc(state.active, func(r activeRequest) bool { return !r.counted && t.isSuspect(r.fingerprint, now) }) {
		return false
	}
	state.active = append(state.active, activeRequest{fingerprint: fingerprint})
	return true
}

// End removes a registration. A crash makes every fingerprint that runs on the
// upstream suspect; a success clears the fingerprint.
func (t *CrashTracker) End(upstream string, fingerprint uint64, result kumquathitch.UpstreamResult, now time.Time) {
	// A request of which no byte was sent cannot have crashed the upstream.
	crashed := result.Crashed && !result.Unsent
	affected := t.unregister(upstream, fingerprint, crashed, now)
	var changed CrashHistories
	switch {
	case crashed:
		changed = t.recordCrash(upstream, affected, now)
	case !result.Failed && t.isSuspect(fingerprint, now):
		changed = CrashHistories{t.merge(CrashHistory{Fingerprint: fingerprint, Cleared: now}, now)}
	}
	if len(changed) > 0 {
		t.OnChange(changed)
	}
}

// unregister removes a registration. For the first request that reports a crash
// it returns the fingerprints of all requests that ran on the upstream.
func (t *CrashTracker) unregister(upstream string, fingerprint uint64, crashed bool, now time.Time) []uint64 {
	shard := t.upstreamShard(upstream)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	state := shard.upstreams[upstream]
	if state == nil {
		return nil
	}
	index := slices.Index(state.active, activeRequest{fingerprint: fingerprint, counted: crashed})
	if index < 0 {
		index = slices.Index(state.active, activeRequest{fingerprint: fingerprint, counted: !crashed})
	}
	if index < 0 {
		return nil
	}
	ended := state.active[index]
	var affected []uint64
	if crashed && !ended.counted {
		for i := range state.active {
			if !state.active[i].counted {
				state.active[i].counted = true
				affected = append(affected, state.active[i].fingerprint)
			}
		}
	}
	state.active = slices.Delete(state.active, index, index+1)
	if len(state.active) == 0 && now.Sub(state.lastCrash) > t.MergeWindow && affected == nil {
		delete(shard.upstreams, upstream)
	}
	return affected
}

// recordCrash adds a crash to the histories of the fingerprints that ran on the
// upstream and returns the changed histories.
func (t *CrashTracker) recordCrash(upstream string, affected []uint64, now time.Time) CrashHistories {
	slices.Sort(affected)
	affected = slices.Compact(affected)
	var suspects []uint64
	for _, fingerprint := range affected {
		if t.isSuspect(fingerprint, now) {
			suspects = append(suspects, fingerprint)
		}
	}
	changed := make(CrashHistories, 0, len(affected))
	for _, fingerprint := range affected {
		suspect := slices.Contains(suspects, fingerprint)
		crash := Crash{Upstream: upstream, VM: t.VM, At: now, Suspect: suspect, Alone: suspect && len(suspects) == 1}
		changed = append(changed, t.merge(CrashHistory{Fingerprint: fingerprint, Crashes: []Crash{crash}}, now))
	}
	t.noteSuspects(upstream, suspects, now)
	return changed
}

// Merge adds the histories that another VM sent. In every crash after its
// first one a fingerprint counts as suspect, even if the VM that detected the
// crash did not know of the earlier one.
func (t *CrashTracker) Merge(received CrashHistories, now time.Time) {
	for _, history := range received {
		merged := t.merge(history, now)
		for i, crash := range merged.Crashes {
			if crash.Suspect || i > 0 {
				t.noteSuspects(crash.Upstream, []uint64{merged.Fingerprint}, crash.At)
			}
		}
	}
}

// noteSuspects adds suspects to a crash and corrects Alone for all suspects of
// it: VMs that each reported a single suspect may have reported different ones,
// and a VM may not have known that its request was suspect.
func (t *CrashTracker) noteSuspects(upstream string, suspects []uint64, at time.Time) {
	all := t.addSuspects(upstream, suspects, at)
	for _, fingerprint := range all {
		t.setAlone(fingerprint, upstream, at, len(all) == 1)
	}
}

// setAlone corrects whether a fingerprint was the only suspect in a crash.
func (t *CrashTracker) setAlone(fingerprint uint64, upstream string, at time.Time, alone bool) {
	shard := t.fingerprintShard(fingerprint)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	history := shard.histories[fingerprint]
	if history == nil {
		return
	}
	for i := range history.Crashes {
		crash := &history.Crashes[i]
		if crash.Upstream == upstream && crash.At.Sub(at).Abs() <= t.MergeWindow {
			crash.Alone = alone
		}
	}
}

// addSuspects adds suspects to a crash and returns all suspects of that crash.
func (t *CrashTracker) addSuspects(upstream string, suspects []uint64, when time.Time) []uint64 {
	if len(suspects) == 0 {
		return nil
	}
	shard := t.upstreamShard(upstream)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	state := shard.state(upstream)
	if gap := when.Sub(state.lastCrash); gap > t.MergeWindow {
		state.lastCrash, state.suspects = when, nil
	} else if gap < -t.MergeWindow {
		return nil // A late report of an older crash.
	}
	for _, fingerprint := range suspects {
		if !slices.Contains(state.suspects, fingerprint) && len(state.suspects) < maxSuspectsPerCrash {
			state.suspects = append(state.suspects, fingerprint)
		}
	}
	return slices.Clone(state.suspects)
}

// merge adds to the history of a fingerprint and returns a copy of the result.
func (t *CrashTracker) merge(history CrashHistory, now time.Time) CrashHistory {
	shard := t.fingerprintShard(history.Fingerprint)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known := shard.histories[history.Fingerprint]
	if known == nil || !now.Before(known.expires(t.TTL)) {
		shard.evict(t.TTL, now)
		known = &CrashHistory{Fingerprint: history.Fingerprint}
		shard.histories[history.Fingerprint] = known
	}
	known.Merge(history, t.MergeWindow)
	return known.clone()
}

// evict makes room for one history: it removes the expired ones or, if there
// are none, the one that expires first. Blocked fingerprints go last.
func (s *fingerprintShard) evict(ttl time.Duration, now time.Time) {
	if len(s.histories) < maxFingerprintsPerShard {
		return
	}
	var first *CrashHistory
	for _, history := range s.histories {
		if !now.Before(history.expires(ttl)) {
			delete(s.histories, history.Fingerprint)
			continue
		}
		if first == nil || history.evictBefore(first, ttl) {
			first = history
		}
	}
	if len(s.histories) >= maxFingerprintsPerShard {
		delete(s.histories, first.Fingerprint)
	}
}

func (h *CrashHistory) evictBefore(other *CrashHistory, ttl time.Duration) bool {
	if h.Blocked() != other.Blocked() {
		return other.Blocked()
	}
	return h.expires(ttl).Before(other.expires(ttl))
}

func (h *CrashHistory) clone() CrashHistory {
	copied := *h
	copied.Crashes = slices.Clone(h.Crashes)
	return copied
}

// lookup returns a copy of the history of a fingerprint, which is empty if there is none.
func (t *CrashTracker) lookup(fingerprint uint64, now time.Time) CrashHistory {
	shard := t.fingerprintShard(fingerprint)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	history := shard.histories[fingerprint]
	if history == nil {
		return CrashHistory{}
	}
	if !now.Before(history.expires(t.TTL)) {
		delete(shard.histories, fingerprint)
		return CrashHistory{}
	}
	return history.clone()
}

func (t *CrashTracker) isSuspect(fingerprint uint64, now time.Time) bool {
	history := t.lookup(fingerprint, now)
	return history.Suspect()
}

// Len returns the number of histories kept.
func (t *CrashTracker) Len() int {
	total := 0
	for i := range t.fingerprints {
		t.fingerprints[i].mutex.Lock()
		total += len(t.fingerprints[i].histories)
		t.fingerprints[i].mutex.Unlock()
	}
	return total
}

func (t *CrashTracker) fingerprintShard(fingerprint uint64) *fingerprintShard {
	return &t.fingerprints[fingerprint%shardCount]
}

func (t *CrashTracker) upstreamShard(upstream string) *upstreamShard {
	return &t.upstreams[kumquathitch.ShardOf(upstream, shardCount)]
}
