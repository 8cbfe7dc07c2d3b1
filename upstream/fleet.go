// Package upstream is the aggregate of back ends: which ones may get new work,
// how loaded they are, and what this VM has sent them.
//
// # Usage
//
//	fleet := upstream.NewFleet()
//	fleet.Apply(config)
//	state, ok := fleet.State("planner-llm-1", now)
//	fleet.Begin("planner-llm-1", 700)
//	defer fleet.End("planner-llm-1", 700, result, now)
//
// State is held in shards by upstream name, each under its own lock.
package upstream

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const shardCount = 64

// Phase says whether an upstream may get new work.
type Phase int

// Phases of an upstream.
const (
	Live Phase = iota
	Leaving
	Down
)

// State is what is known of one upstream.
type State struct {
	Upstream    kumquathitch.Upstream
	Phase       Phase
	RetryAt     time.Time // A down upstream gets a trial request after this time.
	Outstanding int       // Requests of this VM that have not ended.
	Tokens      int64     // Tokens of those requests.
	Report      kumquathitch.LoadReport
	Reported    time.Time // When Report arrived, by the clock of this VM.
	SentSince   int       // Requests that this VM sent after Reported.
}

// Fleet holds the state of all upstreams.
type Fleet struct {
	shards [shardCount]shard
}

type shard struct {
	mutex  sync.Mutex
	states map[string]*State
}

// downPeriod keeps new work away from an upstream whose connection broke.
const downPeriod = 2 * time.Second

// NewFleet returns a fleet without upstreams.
func NewFleet() *Fleet {
	f := &Fleet{}
	for i := range f.shards {
		f.shards[i].states = map[string]*State{}
	}
	return f
}

// Apply adds, updates and removes upstreams so that they match a configuration.
func (f *Fleet) Apply(config kumquathitch.Configuration) {
	listed := map[string]bool{}
	for _, u := range config.Upstreams {
		listed[u.Name] = true
		s := f.shard(u.Name)
		s.mutex.Lock()
		state := s.states[u.Name]
		if state == nil {
			state = &State{}
			s.states[u.Name] = state
		}
		state.Upstream = u
		s.mutex.Unlock()
	}
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.Lock()
		for name := range s.states {
			if !listed[name] {
				delete(s.states, name)
			}
		}
		s.mutex.Unlock()
	}
}

// State returns a copy of what is known of an upstream.
func (f *Fleet) State(name string) (State, bool) {
	s := f.shard(name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.states[name]
	if state == nil {
		return State{}, false
	}
	return *state, true
}

// Available reports whether the state allows new work at a time.
func (s *State) Available(now time.Time) bool {
	switch s.Phase {
	case Live:
		return true
	case Down:
		return !now.Before(s.RetryAt)
	default:
		return false
	}
}

// Begin records that a request was sent.
func (f *Fleet) Begin(name string, tokens int64) {
	f.update(name, func(s *State) {
		s.Outstanding++
		s.SentSince++
		s.Tokens += tokens
	})
}

// End records how a request ended. A broken connection takes the upstream out
// of use for a short period; a success brings it back.
func (f *Fleet) End(name string, tokens int64, result kumquathitch.Result, now time.Time) {
	f.update(name, func(s *State) {
		s.Outstanding--
		s.Tokens -= tokens
		switch {
		case result.Crashed && s.Phase != Leaving:
			s.Phase = Down
			s.RetryAt = now.Add(downPeriod)
		case !result.Failed && s.Phase == Down:
			s.Phase = Live
		}
	})
}

// Report takes in a load report that arrived now. Reports that are not newer
// than the last one are ignored; a restarted engine counts from 1 again.
func (f *Fleet) Report(name string, report kumquathitch.LoadReport, now time.Time) {
	f.update(name, func(s *State) {
		if report.Sequence <= s.Report.Sequence && !report.Taken.After(s.Report.Taken) {
			return
		}
		s.Report = report
		s.Reported = now
		s.SentSince = 0
		if report.Leaving {
			s.Phase = Leaving
		}
	})
}

// SetLeaving stops or, when the notice proves wrong, resumes new work for an upstream.
func (f *Fleet) SetLeaving(name string, leaving bool) {
	f.update(name, func(s *State) {
		switch {
		case leaving:
			s.Phase = Leaving
		case s.Phase == Leaving:
			s.Phase = Live
		}
	})
}

func (f *Fleet) update(name string, change func(*State)) {
	s := f.shard(name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if state := s.states[name]; state != nil {
		change(state)
	}
}

func (f *Fleet) shard(name string) *shard {
	return &f.shards[kumquathitch.ShardOf(name, shardCount)]
}
