// Package upstream is the aggregate of back ends: which of them may get new
// requests, their load, the models resident on them, and the requests that this VM
// has outstanding there.
//
// # Usage
//
//	fleet := upstream.NewFleet()
//	fleet.Apply(config)
//	replicas := fleet.Replicas(upstream.ReplicasKey{Model: "rigging", DataCentre: "montreal-1"})
//	assessment := fleet.Assess(replicas.List[0], query)
//	sentTo, ok := fleet.Begin(replicas.List[0], &criteria, now)
//	defer fleet.End(choice, result, now)
//
// State is held in shards by upstream name, each under its own lock. The lists of
// replicas are immutable, and are replaced when a report shows a change. Notices
// and changes of residency collect in an Update until they are sent to other VMs.
package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathitch.example/kumquathitch"
)

const shardCount = 64

// State is the state of one upstream, as known to this VM.
type State struct {
	Upstream          kumquathitch.Upstream
	Health            Health
	Leaving           LeavingState
	Outstanding       int   // Requests from this VM that have not ended.
	OutstandingTokens int64 // Tokens of those requests.
	Report            kumquathitch.LoadReport
	ReportedAt        time.Time     // When Report arrived from the upstream, by the clock of this VM.
	RestartedAt       time.Time     // When the last restart of the engine was noticed, see storeReport; zero for none.
	OutstandingChange int           // Change of Outstanding since Report was taken or PeerLoad arrived, as far as changes reaches.
	QueueObserved     bool          // A report showed queued requests.
	MaxRunning        int           // Most requests that ran at once while others were queued.
	PeerLoad          byte          // Newest load from a peer, encoded by EncodeLoad.
	PeerLoadAt        time.Time     // When PeerLoad arrived.
	LastResponse      time.Time     // When the upstream last responded to this VM.
	PausedUntil       time.Time     // Until when the upstream wants no requests from this VM; zero for no pause.
	ServiceTime       time.Duration // Estimated time to the first token per unit of load.
	Resident          []string      // Models and adapters that are resident, sorted.
	Cache             Cache

	changes changeWindow
	replica *Replica
}

// Phase returns the phase of the upstream. Leaving takes precedence over its health.
func (s *State) Phase() Phase {
	if s.Leaving.Configured || !s.Leaving.LearnedAt.IsZero() {
		return Leaving
	}
	return s.Health.Phase
}

// Fleet holds the state of all upstreams. Its fields are set before use.
type Fleet struct {
	ReportMaxAge time.Duration // Age at which a report is no longer used.
	ClockError   time.Duration // Maximum difference between the clocks of two VMs.
	LeavingGrace time.Duration // Time for which an upstream may get new requests after a notice that it is leaving.
	UpdateReady  chan struct{} // Receives a value when TakeUpdate has something to return.

	names    atomic.Pointer[nameIndex]
	shards   [shardCount]shard
	replicas replicaIndex
	pending  pendingUpdate
}

type shard struct {
	mutex  sync.Mutex
	states map[string]*State
}

// Defaults of the fields of Fleet.
const (
	defaultReportMaxAge = 5 * time.Second
	defaultClockError   = time.Second
	defaultLeavingGrace = 2 * time.Second
)

// NewFleet returns a fleet without upstreams, with default settings.
func NewFleet() *Fleet {
	f := &Fleet{
		ReportMaxAge: defaultReportMaxAge, ClockError: defaultClockError, LeavingGrace: defaultLeavingGrace,
		UpdateReady: make(chan struct{}, 1),
	}
	f.names.Store(&nameIndex{})
	for i := range f.shards {
		f.shards[i].states = map[string]*State{}
		f.replicas.shards[i].lists = map[ReplicasKey]*Replicas{}
	}
	return f
}

// Apply adds, updates and removes upstreams to match a configuration. A generation
// lower than the active one is ignored.
func (f *Fleet) Apply(config kumquathitch.Configuration) {
	if config.Generation < f.names.Load().generation {
		return
	}
	f.names.Store(newNameIndex(config))
	listed := map[string]bool{}
	for _, u := range config.Upstreams {
		listed[u.Name] = true
		f.applyUpstream(u, config.DataCentres.Evacuated(u.DataCentre))
	}
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.Lock()
		for name, state := range s.states {
			if !listed[name] {
				f.updateListings(state, nil)
				delete(s.states, name)
			}
		}
		s.mutex.Unlock()
	}
}

func (f *Fleet) applyUpstream(u kumquathitch.Upstream, evacuated bool) {
	s := f.shard(u.Name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.states[u.Name]
	// A changed address, data centre, kind or service means a new upstream without known state.
	if state != nil && (state.Upstream.Address != u.Address || state.Upstream.DataCentre != u.DataCentre ||
		state.Upstream.Kind != u.Kind || state.Upstream.Service != u.Service) {
		f.updateListings(state, nil)
		state = nil
	}
	if state == nil {
		state = &State{ServiceTime: initialServiceTime}
		state.replica = &Replica{Name: u.Name, DataCentre: u.DataCentre, hash: xxhash.Sum64String(u.Name), shard: s, state: state}
		s.states[u.Name] = state
	}
	added := state.Upstream.Name == ""
	state.Upstream = u
	state.Leaving.Configured = u.Leaving || evacuated
	if added || state.Report.Resident == nil {
		f.updateListings(state, replicasKeysOf(&u, sorted(u.Models)))
		state.Resident = sorted(u.Models)
	}
}

func sorted(names []string) []string {
	list := slices.Clone(names)
	slices.Sort(list)
	return slices.Compact(list)
}

// updateListings moves an upstream to the lists of replicas with the given keys. The
// caller holds the lock of the upstream's shard.
func (f *Fleet) updateListings(s *State, keys []ReplicasKey) {
	old := s.replica.keys
	for _, key := range old {
		if !slices.Contains(keys, key) {
			f.replicas.change(key, s.replica, false)
		}
	}
	for _, key := range keys {
		if !slices.Contains(old, key) {
			f.replicas.change(key, s.replica, true)
		}
	}
	s.replica.keys = keys
}

// Replicas returns the list of replicas with a key, or nil when there are none.
func (f *Fleet) Replicas(key ReplicasKey) *Replicas {
	return f.replicas.find(key)
}

// State returns a copy of the state of an upstream, and false when it is not configured.
func (f *Fleet) State(name string) (State, bool) {
	s := f.shard(name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.states[name]
	if state == nil {
		return State{}, false
	}
	found := *state
	found.Cache.prefixes = slices.Clone(found.Cache.prefixes)
	return found, true
}

// Query is a request that a replica is assessed for.
type Query struct {
	Model  string // Model or adapter; empty for a service.
	Prefix uint64 // Hash of the prompt prefix; 0 for none.
	Now    time.Time
}

// Assessment describes how well a replica suits a request.
type Assessment struct {
	Usable       bool          // It may get new requests.
	PausedUntil  time.Time     // End of the pause that alone makes it unusable; zero for none.
	LastResort   bool          // It is leaving: while usable, it is chosen only when there is no other replica.
	Resident     bool          // The model or adapter is resident, or the upstream is a service.
	ExpectedTTFB time.Duration // Estimated time to the first token.
	PrefixState  PrefixState
	BatchFill    float64 // Fraction of the batch slots in use; 0 when their number is not known.
}

// Assess assesses a replica for a request.
func (f *Fleet) Assess(r *Replica, q Query) Assessment {
	r.shard.mutex.Lock()
	defer r.shard.mutex.Unlock()
	s := r.state
	a := Assessment{ExpectedTTFB: s.ExpectedTTFB(q.Now, f.ReportMaxAge), PrefixState: s.Cache.PrefixState(q.Prefix)}
	if s.Report.Slots > 0 {
		a.BatchFill = float64(max(s.Report.Running+s.OutstandingChange, s.Outstanding)) / float64(s.Report.Slots)
	}
	_, resident := slices.BinarySearch(s.Resident, q.Model)
	a.Resident = resident || q.Model == ""
	s.Leaving = s.Leaving.Resolve(s.evidence(f.ClockError), q.Now)
	a.Usable = f.usable(s, q.Now)
	if q.Now.Before(s.PausedUntil) && f.usable(s, s.PausedUntil) {
		a.PausedUntil = s.PausedUntil
	}
	a.LastResort = !s.Leaving.LearnedAt.IsZero()
	return a
}

// usable reports whether an upstream may get new requests. An upstream that is
// leaving by configuration gets none, since the operator decided it. One that is
// leaving by a notice may get them until the end of its grace. One that asked this VM for
// a pause gets none until the end of it.
func (f *Fleet) usable(s *State, now time.Time) bool {
	learned := s.Leaving.LearnedAt
	inGrace := learned.IsZero() || now.Before(learned.Add(f.LeavingGrace))
	return s.Health.Usable(now) && !s.Leaving.Configured && inGrace && !now.Before(s.PausedUntil)
}

// Begin records that a request is being sent to a replica and returns the upstream.
// It returns false when the upstream may no longer get new requests.
func (f *Fleet) Begin(r *Replica, criteria *kumquathitch.UpstreamCriteria, now time.Time) (kumquathitch.Upstream, bool) {
	r.shard.mutex.Lock()
	defer r.shard.mutex.Unlock()
	s := r.state
	s.Leaving = s.Leaving.Resolve(s.evidence(f.ClockError), now)
	if !f.usable(s, now) {
		return kumquathitch.Upstream{}, false
	}
	s.Health = s.Health.ProbeSent(now)
	s.Outstanding++
	s.OutstandingChange++
	s.changes.add(1, now)
	s.OutstandingTokens += criteria.Tokens
	s.Cache.Add(criteria.PrefixHash)
	return s.Upstream, true
}

// End records the end of a request. A crash marks the upstream as suspected or
// down; a success makes it live again.
func (f *Fleet) End(choice kumquathitch.UpstreamChoice, result kumquathitch.UpstreamResult, now time.Time) {
	f.update(choice.Upstream.Name, now, func(s *State) {
		s.Outstanding = max(0, s.Outstanding-1) // The count may have been reset: the upstream was replaced meanwhile.
		s.OutstandingTokens = max(0, s.OutstandingTokens-choice.Criteria.Tokens)
		s.OutstandingChange--
		s.changes.add(-1, now)
		s.PausedUntil = later(s.PausedUntil, result.PausedUntil)
		switch {
		case result.Crashed:
			s.Health = s.Health.After(Failure, now)
		case !result.Failed:
			s.Health = s.Health.After(Success, now)
			s.LastResponse = now
		}
		if result.Stream && !result.FirstByte.IsZero() {
			s.adjustServiceTime(choice.ExpectedTTFB, result.FirstByte.Sub(choice.Sent))
		}
	})
}

// ApplyReport applies a load report that this VM received from the upstream itself.
func (f *Fleet) ApplyReport(name string, report kumquathitch.LoadReport, now time.Time) {
	f.publish(f.update(name, now, func(s *State) {
		s.LastResponse = now
		s.Health = s.Health.After(Success, now)
		if !f.storeReport(s, report, now) {
			return
		}
		s.ReportedAt = now
		s.OutstandingChange = s.changes.since(report.TakenAt, now)
		if report.Queued > 0 {
			s.QueueObserved, s.MaxRunning = true, max(s.MaxRunning, report.Running)
		}
	}))
}

// PollFailed records that an upstream did not respond to a poll.
func (f *Fleet) PollFailed(name string, now time.Time) {
	f.update(name, now, func(s *State) { s.Health = s.Health.After(Failure, now) })
}

// ApplyCacheEvents applies prefix-cache events of an engine.
func (f *Fleet) ApplyCacheEvents(name string, events CacheEvents, now time.Time) {
	f.update(name, now, func(s *State) { s.Cache.Apply(events) })
}

// storeReport stores a report that is newer than the last one and updates the
// resident models. It returns false for an older report. A report with a higher
// sequence number is newer. One with a lower or equal number but a later time is
// newer too, and shows that the engine was restarted.
func (f *Fleet) storeReport(s *State, report kumquathitch.LoadReport, now time.Time) bool {
	if report.Sequence <= s.Report.Sequence {
		if !report.TakenAt.After(s.Report.TakenAt) {
			return false
		}
		s.RestartedAt = earlier(now, report.TakenAt) // The report may have been delayed.
		s.PausedUntil = time.Time{}
		s.Cache.Reset()
	}
	s.Cache.ApplyReported(report.CacheEvent)
	// An engine that has never listed its resident models does not report them; for any
	// other, a missing list means that nothing is resident.
	if report.Resident == nil && s.Report.Resident != nil {
		report.Resident = []string{}
	}
	s.Report = report
	if report.Resident != nil {
		f.setResident(s, sorted(report.Resident))
	}
	return true
}

func (f *Fleet) setResident(s *State, resident []string) {
	if slices.Equal(resident, s.Resident) {
		return
	}
	s.Resident = resident
	f.updateListings(s, replicasKeysOf(&s.Upstream, resident))
}

func (s *State) evidence(clockError time.Duration) Evidence {
	return Evidence{Report: s.Report, RestartedAt: s.RestartedAt, ClockError: clockError}
}

// update calls change on the state of an upstream, with its lock held. It returns
// the resulting changes to be sent to other VMs.
func (f *Fleet) update(name string, now time.Time, change func(*State)) Update {
	s := f.shard(name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.states[name]
	if state == nil {
		return Update{}
	}
	wasLeaving, resident := !state.Leaving.LearnedAt.IsZero(), state.Resident
	change(state)
	state.Leaving = state.Leaving.Resolve(state.evidence(f.ClockError), now)
	var found Update
	if wasLeaving == state.Leaving.LearnedAt.IsZero() {
		found.Notices = state.Leaving.Notices(name)
	}
	if !slices.Equal(resident, state.Resident) {
		found.Residencies = []Residency{state.residency()}
	}
	return found
}

func (f *Fleet) shard(name string) *shard {
	return &f.shards[kumquathitch.ShardOf(name, shardCount)]
}
