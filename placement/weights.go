package placement

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// loadBurst is how many loads from the weight store may begin at once, and
	// loadBurstTime adds those of that time at the store's rate. The platform
	// allows three, and a tenth of the rate over five seconds.
	loadBurst     = 2.5
	loadBurstTime = 400 * time.Millisecond
)

// weightStore bounds the loads of all services that begin in a time.
type weightStore struct {
	mutex  sync.Mutex
	levels map[string]*loadLevel // By service.
}

type loadLevel struct {
	level   float64
	counted time.Time
}

// allowed returns how many loads of a service may begin now.
func (w *weightStore) allowed(s *kumquathitch.Service, now time.Time) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return int(w.at(s, now).level)
}

func (w *weightStore) take(s *kumquathitch.Service, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	l := w.at(s, now)
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}

// at returns the level of a service. A new term starts without a burst, since
// the leader before it may have used one. The caller holds the lock.
func (w *weightStore) at(s *kumquathitch.Service, now time.Time) *loadLevel {
	l := w.levels[s.Name]
	if l == nil {
		l = &loadLevel{counted: now}
		w.levels[s.Name] = l
	}
	l.level = min(loadBurst+s.Engine.LoadsPerSecond*loadBurstTime.Seconds(), l.level+s.Engine.LoadsPerSecond*max(0, now.Sub(l.counted).Seconds()))
	l.counted = now
	return l
}
