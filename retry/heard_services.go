package retry

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

// serviceSilence is the time without a byte after which a service counts as silent. VMs with few
// calls hear from a service every second or so.
const serviceSilence = 2 * time.Second

// heardServices holds when upstreams of each service sent something to this VM. The zero value
// is ready to use. It is safe for concurrent use.
type heardServices struct {
	shards [shardCount]heardShard
}

type heardShard struct {
	mutex  sync.Mutex
	spells map[string]heardSpell // By service.
}

// heardSpell is a time in which a service was never silent.
type heardSpell struct {
	from, to time.Time
}

func (h *heardServices) record(service string, now time.Time) {
	s := h.shard(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.spells == nil {
		s.spells = map[string]heardSpell{}
	}
	spell := s.spells[service]
	if now.Sub(spell.to) > serviceSilence {
		spell.from = now
	}
	spell.to = now
	s.spells[service] = spell
}

// last returns the last spell of a service.
func (h *heardServices) last(service string) heardSpell {
	s := h.shard(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.spells[service]
}

func (h *heardServices) shard(service string) *heardShard {
	return &h.shards[kumquathitch.ShardOf(service, shardCount)]
}
