package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// DemandTimeConstant is the time constant of the averages of demand that VMs
	// report. It is short so that a rise is visible within a second.
	DemandTimeConstant = 1200 * time.Millisecond
	// steadyTimeConstant is the time constant of the smoothing that Forecast adds.
	// Both together average over about 3 s; less would move models with a few
	// calls a second back and forth.
	steadyTimeConstant = 1800 * time.Millisecond
	// riseFactor extrapolates a rise, as a multiple of the difference between the
	// reported and the steady demand. That difference is the rise in 1.8 s, and a
	// model is usable about 7 s after its load is ordered.
	riseFactor = 4.0
	// noiseFactor is how many standard deviations of the steady demand a difference
	// must exceed to count as a rise.
	noiseFactor = 1.5
)

// Forecast predicts the demand at the time when loads that are ordered now have
// completed. It is safe for concurrent use.
type Forecast struct {
	mutex     sync.Mutex
	steady    map[string]float64
	updatedAt time.Time
}

// NewForecast returns a forecast without any demand recorded.
func NewForecast() *Forecast {
	return &Forecast{steady: map[string]float64{}}
}

// Update records the current demand, in tokens per second by name, and returns
// the expected demand in the same form. meanCallTokens is the mean number of tokens
// of a call, from which the random variation of the demand is estimated.
func (f *Forecast) Update(demand map[string]float64, meanCallTokens float64, now time.Time) map[string]float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	weight := 1.0
	if !f.updatedAt.IsZero() {
		weight = 1 - math.Exp(-max(0, now.Sub(f.updatedAt).Seconds())/steadyTimeConstant.Seconds())
	}
	f.updatedAt = now
	for name := range f.steady {
		if _, ok := demand[name]; !ok {
			f.smooth(name, 0, weight)
		}
	}
	expected := make(map[string]float64, len(demand))
	for name, tokens := range demand {
		steady := f.smooth(name, tokens, weight)
		noise := noiseFactor * math.Sqrt(steady*meanCallTokens/(2*DemandTimeConstant.Seconds()))
		expected[name] = steady + riseFactor*max(0, tokens-steady-noise)
	}
	for name, steady := range f.steady {
		if _, ok := expected[name]; !ok {
			expected[name] = steady
		}
	}
	return expected
}

// smooth updates the steady demand for a name, and returns it. An idle name is removed.
func (f *Forecast) smooth(name string, tokens, weight float64) float64 {
	steady := f.steady[name] + weight*(tokens-f.steady[name])
	f.steady[name] = steady
	if steady < idleDemand && tokens == 0 {
		delete(f.steady, name)
	}
	return steady
}
