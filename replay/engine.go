package replay

import "time"

// Performance of the simulated engines. The time between tokens grows linearly with
// the size of the batch, as with continuous batching.
const (
	batchPerAccelerator   = 32
	prefillTokensPerSec   = 8000
	idleTokenInterval     = 18 * time.Millisecond // Time between two tokens on an idle engine.
	fullBatchDelay        = 30 * time.Millisecond // Added to it when the batch is full.
	cachedPrefillFraction = 0.2                   // Fraction of the prefill time that remains on a prefix cache hit.
	maxCachedPrefixes     = 24                    // Capacity of an engine's prefix cache.
	loadBytesPerSec       = 8 << 30               // Bandwidth of one load from the weight store, bytes per second.
)

// engine simulates a model engine in virtual time.
type engine struct {
	accelerators int
	down         bool
	running      int
	queue        []*job
	prefixes     []cachedPrefix       // Least recently used first.
	resident     map[string]time.Time // Time at which each model is ready.
}

type cachedPrefix struct {
	model  string
	prefix uint64
}

// job is a request on an engine.
type job struct {
	number     int
	model      string
	prefix     uint64
	prompt     int64     // Tokens.
	output     int64     // Tokens.
	arrived    time.Time // Arrival at the entry VM.
	started    time.Time
	firstToken time.Time     // Time of the first token.
	interval   time.Duration // Time between two tokens.
	finished   time.Time
}

func (e *engine) capacity() int {
	return e.accelerators * batchPerAccelerator
}

// start starts a job and returns when it will finish.
func (e *engine) start(j *job, now time.Time) time.Time {
	e.running++
	j.started = now
	if ready := e.resident[j.model]; ready.After(now) {
		j.started = ready // The model is still being loaded.
	}
	prefill := float64(j.prompt) / prefillTokensPerSec
	if e.touch(cachedPrefix{j.model, j.prefix}) {
		prefill *= cachedPrefillFraction
	}
	load := float64(e.running) / float64(e.capacity())
	j.interval = idleTokenInterval + time.Duration(load*float64(fullBatchDelay))
	j.firstToken = j.started.Add(time.Duration(prefill*float64(time.Second)) + j.interval)
	j.finished = j.firstToken.Add(time.Duration(j.output-1) * j.interval)
	return j.finished
}

// touch makes a prefix the most recently used one of the cache, and reports whether
// it was cached already.
func (e *engine) touch(p cachedPrefix) bool {
	for i, cached := range e.prefixes {
		if cached == p {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), p)
			return true
		}
	}
	e.prefixes = append(e.prefixes, p)
	if len(e.prefixes) > maxCachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return false
}
