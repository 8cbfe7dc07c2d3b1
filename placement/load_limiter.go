package placement

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// The token bucket of a service holds at most loadBurst loads plus those that
	// the weight store's rate gives in loadBurstTime. The platform allows 3 loads
	// plus a tenth of those that the rate gives in 5 s.
	loadBurst     = 2.5
	loadBurstTime = 400 * time.Millisecond
)

// loadLimiter limits the rate of loads from the weight store, with one token
// bucket for each service.
type loadLimiter struct {
	mutex   sync.Mutex
	buckets map[string]*loadBucket // By service.
}

// loadBucket is a token bucket whose tokens are loads.
type loadBucket struct {
	loads    float64
	refilled time.Time
}

// allowed returns how many loads of a service may start now.
func (l *loadLimiter) allowed(s *kumquathitch.Service, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return int(l.refill(s, now).loads)
}

func (l *loadLimiter) take(s *kumquathitch.Service, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b := l.refill(s, now)
	if b.loads < 1 {
		return false
	}
	b.loads--
	return true
}

// refill brings the bucket of a service up to date and returns it. A new bucket
// starts empty, since the previous leader may have just used a burst. The caller
// holds the lock.
func (l *loadLimiter) refill(s *kumquathitch.Service, now time.Time) *loadBucket {
	b := l.buckets[s.Name]
	if b == nil {
		b = &loadBucket{refilled: now}
		l.buckets[s.Name] = b
	}
	b.loads = min(loadBurst+s.Engine.LoadsPerSecond*loadBurstTime.Seconds(), b.loads+s.Engine.LoadsPerSecond*max(0, now.Sub(b.refilled).Seconds()))
	b.refilled = now
	return b
}
