package upstream

import "slices"

// PrefixState says whether an upstream has a prompt prefix in its cache, as far as is known.
type PrefixState int

// States of a prefix.
const (
	PrefixAbsent    PrefixState = iota // Nothing indicates that it is cached.
	PrefixUncertain                    // It was cached before a gap in the events.
	PrefixCached                       // The newest event about it says that it is cached.
)

// CacheEvents are consecutive prefix-cache events of an engine.
type CacheEvents struct {
	First   uint64   `json:"first"` // Sequence number of the first event.
	Last    uint64   `json:"last"`  // Sequence number of the last event.
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// maxPrefixes bounds the prefixes recorded for one upstream. With 12,000 upstreams
// of which a VM uses a tenth, 128 prefixes of 16 bytes take about 3 MB.
const maxPrefixes = 128

// Cache is the record of the prefixes that one upstream has cached.
type Cache struct {
	LastEvent uint64 // Sequence number of the last event applied or named by a load report.
	Epoch     uint64 // Incremented at every gap; prefixes added in an older epoch are uncertain.

	prefixes []cachedPrefix // Oldest first.
}

type cachedPrefix struct {
	Hash  uint64
	Epoch uint64
}

// PrefixState returns the state of a prefix; 0 stands for no prefix and is always absent.
func (c *Cache) PrefixState(prefix uint64) PrefixState {
	i := c.find(prefix)
	switch {
	case prefix == 0 || i < 0:
		return PrefixAbsent
	case c.prefixes[i].Epoch < c.Epoch:
		return PrefixUncertain
	}
	return PrefixCached
}

// Add records a prefix as cached, and drops the oldest one beyond maxPrefixes.
func (c *Cache) Add(prefix uint64) {
	if prefix == 0 {
		return
	}
	if i := c.find(prefix); i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	}
	if len(c.prefixes) == maxPrefixes {
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	c.prefixes = append(c.prefixes, cachedPrefix{Hash: prefix, Epoch: c.Epoch})
}

// Apply applies events. When they do not directly follow the last ones, events were
// lost, and all prefixes recorded before become uncertain. Old events are ignored.
func (c *Cache) Apply(events CacheEvents) {
	if events.Last <= c.LastEvent {
		return
	}
	if events.First > c.LastEvent+1 {
		c.Epoch++
	}
	c.LastEvent = events.Last
	for _, prefix := range events.Evicted {
		if i := c.find(prefix); i >= 0 {
			c.prefixes = slices.Delete(c.prefixes, i, i+1)
		}
	}
	for _, prefix := range events.Stored {
		c.Add(prefix)
	}
}

// ApplyReported applies the sequence number of the last event according to a load
// report. When that event has not arrived itself, it counts as lost.
func (c *Cache) ApplyReported(last uint64) {
	if last > c.LastEvent {
		c.Epoch++
		c.LastEvent = last
	}
}

// Reset clears the record; a restarted engine has an empty cache.
func (c *Cache) Reset() {
	*c = Cache{}
}

func (c *Cache) find(prefix uint64) int {
	for i := len(c.prefixes) - 1; i >= 0; i-- {
		if c.prefixes[i].Hash == prefix {
			return i
		}
	}
	return -1
}
