// Package evacuation records which data centres are being evacuated: the operator asks in
// the platform's store that their instances get no more calls, and takes it back later.
//
// # Usage
//
//	set := evacuation.NewSet()
//	set.Begin("montreal-1", revision, closesAt, now) // A change of the store.
//	set.End("montreal-1", revision, now)
//	set.Replace(list, now) // All evacuations at a revision, from a scan or another VM.
//	set.Expire(now) // Ends what a restored store has not listed, after some time.
//	if set.Closed(instance.DataCentre, now) { ... } // No call may be sent there.
//
// Changes arrive on several paths, in any order: from this VM's watch of the store, in the
// leader's feed, from scans, and from other VMs while the store cannot be reached. The
// revisions of the store order them, and a later state never goes back to an older one.
package evacuation

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	shardCount = 4
	// returnTime is how long an evacuation stands that a restored store does not list. The operator asks
	// for it again within 2 s if it is not taken back.
	returnTime = 2200 * time.Millisecond
)

// Set is what a VM knows of evacuations. It implements kumquathitch.Evacuations.
type Set struct {
	updates  sync.Mutex // Serializes changes.
	revision uint64     // All changes up to this revision are included. Guarded by updates.
	standing atomic.Int64
	shards   [shardCount]shard // By data centre.
}

type shard struct {
	mutex       sync.RWMutex
	dataCentres map[string]dataCentre
}

// dataCentre is the state of one data centre.
type dataCentre struct {
	standing bool
	revision uint64    // Of the last change.
	since    time.Time // Start of the last evacuation.
	closesAt time.Time // From then on, its instances get no calls while it stands.
	lapsesAt time.Time // When it ends unless it is asked for again; zero while the store lists it.
}

// Change is the start or the end of an evacuation on this VM.
type Change struct {
	DataCentre string
	Begun      bool
	Revision   uint64
	ClosesAt   time.Time     // Of one that has begun.
	Lasted     time.Duration // Of one that has ended.
}

// NewSet returns a set without evacuations.
func NewSet() *Set {
	s := &Set{}
	for i := range s.shards {
		s.shards[i].dataCentres = map[string]dataCentre{}
	}
	return s
}

// Begin records a request to evacuate a data centre. A request that repeats one that
// stands leaves its times as they are. It returns nil if the request changes nothing.
func (s *Set) Begin(name string, revision uint64, closesAt, now time.Time) *Change {
	s.updates.Lock()
	defer s.updates.Unlock()
	if revision <= s.revision {
		return nil
	}
	return s.begin(name, revision, closesAt, now)
}

// begin is Begin without the check against the revision of the whole set. The caller holds
// the lock for updates.
func (s *Set) begin(name string, revision uint64, closesAt, since time.Time) *Change {
	state := s.state(name)
	if revision <= state.revision {
		return nil
	}
	state.revision, state.lapsesAt = revision, time.Time{}
	if state.standing {
		s.setState(name, state)
		return nil
	}
	state.standing, state.since, state.closesAt = true, since, closesAt
	s.setState(name, state)
	s.standing.Add(1)
	return &Change{DataCentre: name, Begun: true, Revision: revision, ClosesAt: closesAt}
}

// End records that the evacuation of a data centre is taken back. It returns nil if none stands.
func (s *Set) End(name string, revision uint64, now time.Time) *Change {
	s.updates.Lock()
	defer s.updates.Unlock()
	if revision <= s.revision {
		return nil
	}
	return s.end(name, revision, now)
}

func (s *Set) end(name string, revision uint64, now time.Time) *Change {
	state := s.state(name)
	if revision <= state.revision || !state.standing {
		return nil
	}
	state.standing, state.revision, state.lapsesAt = false, revision, time.Time{}
	s.setState(name, state)
	s.standing.Add(-1)
	return &Change{DataCentre: name, Revision: revision, Lasted: now.Sub(state.since)}
}

// Advance records that all changes up to a revision have been applied.
func (s *Set) Advance(revision uint64) {
	s.updates.Lock()
	defer s.updates.Unlock()
	s.revision = max(s.revision, revision)
}

// Replace applies a list of all evacuations. It changes nothing if the set includes a later
// revision. An evacuation that the VM learns of in this way may be older than the time
// that VMs have before it applies, so that its data centre is closed at once. A list of a new epoch
// comes from an older copy of the store: what it does not list ends after returnTime only.
func (s *Set) Replace(list kumquathitch.EvacuationList, now time.Time) []Change {
	s.updates.Lock()
	defer s.updates.Unlock()
	if list.Revision <= s.revision {
		return nil
	}
	epoch, _ := kumquathitch.SplitRevision(list.Revision)
	before, _ := kumquathitch.SplitRevision(s.revision)
	var changes []Change
	add := func(change *Change) {
		if change != nil {
			changes = append(changes, *change)
		}
	}
	listed := map[string]bool{} // A VM that sends the list may keep others for some time.
	for _, e := range list.Evacuations {
		add(s.begin(e.DataCentre, e.Revision, now, now.Add(-max(0, e.Age))))
		asked, _ := kumquathitch.SplitRevision(e.Revision)
		listed[e.DataCentre] = asked == epoch
	}
	for _, known := range s.list(now) {
		if listed[known.DataCentre] {
			continue
		}
		if epoch > before {
			s.lapse(known.DataCentre, now.Add(returnTime))
		}
		if !now.Before(s.state(known.DataCentre).lapsesAt) {
			add(s.end(known.DataCentre, list.Revision, now))
		}
	}
	s.revision = list.Revision
	return changes
}

// lapse makes an evacuation end at a time unless it is asked for again. The caller holds the lock for updates.
func (s *Set) lapse(name string, at time.Time) {
	state := s.state(name)
	state.lapsesAt = at
	s.setState(name, state)
}

// Expire ends the evacuations that were not asked for again after the store was restored.
func (s *Set) Expire(now time.Time) []Change {
	s.updates.Lock()
	defer s.updates.Unlock()
	var changes []Change
	for _, known := range s.list(now) {
		if lapsesAt := s.state(known.DataCentre).lapsesAt; lapsesAt.IsZero() || now.Before(lapsesAt) {
			continue
		}
		if change := s.end(known.DataCentre, max(s.revision, known.Revision+1), now); change != nil {
			changes = append(changes, *change)
		}
	}
	return changes
}

// List returns the evacuations that stand, sorted by data centre.
func (s *Set) List(now time.Time) kumquathitch.EvacuationList {
	s.updates.Lock()
	defer s.updates.Unlock()
	return kumquathitch.EvacuationList{Revision: s.revision, Evacuations: s.list(now)}
}

func (s *Set) list(now time.Time) []kumquathitch.Evacuation {
	var list []kumquathitch.Evacuation
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mutex.RLock()
		for name, state := range sh.dataCentres {
			if state.standing {
				list = append(list, kumquathitch.Evacuation{DataCentre: name, Revision: state.revision, Age: now.Sub(state.since)})
			}
		}
		sh.mutex.RUnlock()
	}
	slices.SortFunc(list, func(a, b kumquathitch.Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// Any reports whether any data centre is being evacuated.
func (s *Set) Any() bool {
	return s.standing.Load() > 0
}

// Count returns the number of data centres that are being evacuated.
func (s *Set) Count() int {
	return int(s.standing.Load())
}

// Standing reports whether the evacuation of a data centre was asked for and not taken back.
func (s *Set) Standing(name string) bool {
	return s.Any() && s.state(name).standing
}

// Closed reports whether the instances of a data centre get no calls at a time.
func (s *Set) Closed(name string, now time.Time) bool {
	if !s.Any() {
		return false
	}
	state := s.state(name)
	return state.standing && !now.Before(state.closesAt)
}

func (s *Set) state(name string) dataCentre {
	sh := s.shard(name)
	sh.mutex.RLock()
	defer sh.mutex.RUnlock()
	return sh.dataCentres[name]
}

func (s *Set) setState(name string, state dataCentre) {
	sh := s.shard(name)
	sh.mutex.Lock()
	defer sh.mutex.Unlock()
	sh.dataCentres[name] = state
}

func (s *Set) shard(name string) *shard {
	return &s.shards[kumquathitch.ShardOf(name, shardCount)]
}
