package relay

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// paceWeight is the weight of one gap in the moving average of an instance.
	paceWeight = 0.1
	// paceTTL is how long the pace of an instance without events counts.
	paceTTL = 10 * time.Second
)

// paces holds the usual gap between the events of an instance's streams. A stream is
// stalled only in comparison with the others: on an instance that is slow for all
// callers, long gaps are no sign that another instance would be faster. It is safe for
// concurrent use.
type paces struct {
	shards [poolShards]paceShard
}

type paceShard struct {
	mutex sync.Mutex
	byID  map[string]pace
}

type pace struct {
	gap     time.Duration
	expires time.Time
}

// record adds the time between two events of one stream.
func (p *paces) record(instance string, gap time.Duration, now time.Time) {
	s := p.shard(instance)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byID == nil {
		s.byID = map[string]pace{}
	}
	mean, known := s.byID[instance]
	if !known || now.After(mean.expires) {
		mean.gap = gap
	}
	mean.gap += time.Duration(paceWeight * float64(gap-mean.gap))
	mean.expires = now.Add(paceTTL)
	s.byID[instance] = mean
}

// usual returns the usual gap on an instance, or 0 if it is unknown.
func (p *paces) usual(instance string, now time.Time) time.Duration {
	s := p.shard(instance)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if mean := s.byID[instance]; now.Before(mean.expires) {
		return mean.gap
	}
	return 0
}

// expire drops the paces that no longer count.
func (p *paces) expire(now time.Time) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mutex.Lock()
		for id, mean := range s.byID {
			if now.After(mean.expires) {
				delete(s.byID, id)
			}
		}
		s.mutex.Unlock()
	}
}

func (p *paces) shard(instance string) *paceShard {
	return &p.shards[kumquathitch.ShardOf(instance, poolShards)]
}
