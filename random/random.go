// Package random implements kumquathitch.Random.
//
// # Usage
//
//	var r kumquathitch.Random = random.Global{}
//	delay := time.Duration(r.Int64N(int64(time.Second)))
package random

import (
	"math/rand/v2"
	"sync"
)

// Global draws from the source of the process.
type Global struct{}

// Int64N returns a number from 0 to limit-1.
func (Global) Int64N(limit int64) int64 {
	return rand.Int64N(limit) //nolint:gosec // Spreads attempts; nothing depends on secrecy.
}

// Seeded draws the same numbers for the same seed. It is safe for concurrent use.
type Seeded struct {
	mutex  sync.Mutex
	source *rand.Rand
}

// NewSeeded returns a source with a seed.
func NewSeeded(seed uint64) *Seeded {
	return &Seeded{source: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // For repeatable runs.
}

// Int64N returns a number from 0 to limit-1.
func (s *Seeded) Int64N(limit int64) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.source.Int64N(limit)
}
