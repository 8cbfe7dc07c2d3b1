package fleet

import (
	"math"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// slownessHalfLife discounts the difference between the slowness that an instance stated
	// and its usual one. It changes several times a second, so older values say little.
	slownessHalfLife = 250 * time.Millisecond
	// usualSlownessWeight is the weight of one statement in the usual slowness of an instance.
	usualSlownessWeight = 0.05
	// slownessTTL is how long the calls of a plain service are scheduled after one of its
	// instances last stated its slowness.
	slownessTTL = time.Minute
	// workTimeWeight is the weight of one call in the average work time of a plain service.
	workTimeWeight = 0.05
)

// slowness is how long work takes on an instance that shares its machine with others, as
// a multiple of the usual time. Zero values mean that the instance has not stated it.
type slowness struct {
	stated   float64 // Last.
	statedAt time.Time
	usual    float64 // Moving average.
}

// observe records the slowness that a response states.
func (s *slowness) observe(load *kumquathitch.LoadCount) {
	if load.Slowness <= 0 {
		return
	}
	s.addToUsual(load.Slowness)
	if !load.StatedAt.Before(s.statedAt) {
		s.stated, s.statedAt = load.Slowness, load.StatedAt
	}
}

func (s *slowness) addToUsual(stated float64) {
	if s.usual == 0 {
		s.usual = stated
	}
	s.usual += usualSlownessWeight * (stated - s.usual)
}

// at returns the expected slowness: the stated one, which approaches the usual as it gets older.
func (s *slowness) at(now time.Time) float64 {
	if s.statedAt.IsZero() {
		return 1
	}
	halfLives := max(0, now.Sub(s.statedAt).Seconds()) / slownessHalfLife.Seconds()
	return s.usual + (s.stated-s.usual)*math.Exp2(-halfLives)
}

// withoutSlowness returns the time that a call would have taken at the usual speed.
func withoutSlowness(took time.Duration, load *kumquathitch.LoadCount) time.Duration {
	if load.Slowness <= 0 {
		return took
	}
	return time.Duration(float64(took) / load.Slowness)
}

// Scheduled reports whether the scheduler assigns a call: each call to an engine, and those
// to a plain service whose instances share their machines with others. The queues of such
// instances grow within a fraction of a second, which no VM sees in time by its own calls.
func (f *Fleet) Scheduled(criteria kumquathitch.InstanceCriteria, now time.Time) bool {
	if criteria.Model != "" {
		return true
	}
	s := &f.services[kumquathitch.ShardOf(criteria.Service, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stats := s.services[criteria.Service]
	return stats != nil && !stats.slownessAt.IsZero() && now.Sub(stats.slownessAt) < slownessTTL
}

// addPlain adds a result of a plain service to its averages. Only calls that found a free
// slot show the work time.
func (s *serviceStats) addPlain(choice kumquathitch.InstanceChoice, result kumquathitch.SendResult) {
	if !result.HasLoad || result.Load.Slowness <= 0 {
		return
	}
	s.slownessAt = result.Load.StatedAt
	if result.Outcome != kumquathitch.SendAnswered || result.Load.Waiting > 0 {
		return
	}
	took := result.FirstByte.Sub(choice.Sent)
	if s.fullRunTime == 0 {
		s.fullRunTime = took
	}
	s.fullRunTime += time.Duration(workTimeWeight * float64(took-s.fullRunTime))
}
