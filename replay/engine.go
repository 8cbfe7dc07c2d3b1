package replay

import "time"

// Speed of the fake engines. Time between tokens grows with the batch, as it
// does on engines that batch continuously.
const (
	batchPerAccelerator = 32
	prefillTokensPerSec = 8000
	tokenBase           = 18 * time.Millisecond // Between two tokens on an idle engine.
	tokenFull           = 30 * time.Millisecond // Added when the batch is full.
	cachedPrefill       = 0.2                   // Part of the prefill that a prefix hit still needs.
	prefixesKept        = 24                    // Prompt starts in an engine's prefix cache.
	loadBytesPerSec     = 8 << 30               // Of one load from the weight store.
)

// engine is a small fake of a model engine in virtual time.
type engine struct {
	accelerators int
	lost         bool
	running      int
	queue        []*job
	prefixes     []prefixEntry        // Least recently used first.
	resident     map[string]time.Time // Model to the time at which it is ready.
}

type prefixEntry struct {
	model  string
	prefix uint64
}

// job is a request at an engine.
type job struct {
	number   int
	model    string
	prefix   uint64
	prompt   int64
	output   int64
	arrived  time.Time // At the entry VM.
	started  time.Time
	first    time.Time // First token.
	interval time.Duration
	finished time.Time
}

func (e *engine) capacity() int {
	return e.accelerators * batchPerAccelerator
}

// start begins a job and returns when it will end.
func (e *engine) start(j *job, now time.Time) time.Time {
	e.running++
	j.started = now
	if ready := e.resident[j.model]; ready.After(now) {
		j.started = ready // The model is still being loaded.
	}
	prefill := float64(j.prompt) / prefillTokensPerSec
	if e.touch(prefixEntry{j.model, j.prefix}) {
		prefill *= cachedPrefill
	}
	load := float64(e.running) / float64(e.capacity())
	j.interval = tokenBase + time.Duration(load*float64(tokenFull))
	j.first = j.started.Add(time.Duration(prefill*float64(time.Second)) + j.interval)
	j.finished = j.first.Add(time.Duration(j.output-1) * j.interval)
	return j.finished
}

// touch moves a prefix to the end of the cache and reports whether it was there.
func (e *engine) touch(p prefixEntry) bool {
	for i, known := range e.prefixes {
		if known == p {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), p)
			return true
		}
	}
	e.prefixes = append(e.prefixes, p)
	if len(e.prefixes) > prefixesKept {
		e.prefixes = e.prefixes[1:]
	}
	return false
}
