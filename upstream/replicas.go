package upstream

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"kumquathitch.example/kumquathitch"
)

// Replica is an upstream that can be chosen for requests. It stays valid until the
// upstream is removed from the configuration.
type Replica struct {
	Name       string
	DataCentre string

	hash  uint64
	shard *shard
	state *State
	keys  []ReplicasKey // Lists that hold the replica, without data centres; guarded by the shard's lock.
}

// prefixSlotCount is the number of slots into which the prompt prefixes of a model
// are hashed. The preferred replica of each slot is computed in advance, so a
// lookup takes constant time for any number of replicas.
const prefixSlotCount = 512

// Replicas is an immutable list of the upstreams on which a model is resident, or
// that run a service.
type Replicas struct {
	List []*Replica

	slots [prefixSlotCount]int32 // Index in List of the preferred replica of each slot.
}

// Preferred returns the replica with the highest rendezvous weight for a
// prefix. The list must not be empty.
func (r *Replicas) Preferred(prefix uint64) *Replica {
	return r.List[r.slots[mix(prefix)%prefixSlotCount]]
}

func (r *Replicas) with(added *Replica) *Replicas {
	next := &Replicas{List: append(slices.Clip(r.List), added), slots: r.slots}
	last := int32(len(r.List)) //nolint:gosec // Far fewer upstreams than 2^31.
	for i := range next.slots {
		if last == 0 || added.weight(i) > next.List[next.slots[i]].weight(i) {
			next.slots[i] = last
		}
	}
	return next
}

func (r *Replicas) without(removed *Replica) *Replicas {
	at := slices.Index(r.List, removed)
	if at < 0 {
		return r
	}
	next := &Replicas{List: slices.Delete(slices.Clone(r.List), at, at+1), slots: r.slots}
	for i, owner := range r.slots {
		switch {
		case int(owner) == at:
			next.slots[i] = next.highestWeight(i)
		case int(owner) > at:
			next.slots[i] = owner - 1
		}
	}
	return next
}

func (r *Replicas) highestWeight(slot int) int32 {
	best := 0
	for i := range r.List {
		if r.List[i].weight(slot) > r.List[best].weight(slot) {
			best = i
		}
	}
	return int32(best)
}

func (r *Replica) weight(slot int) uint64 {
	return mix(r.hash ^ mix(uint64(slot))) //nolint:gosec // Slots are not negative.
}

// mix is the finalizer of splitmix64: each input bit affects about half of the output bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// ReplicasKey identifies a list of replicas by model or service, and data centre.
type ReplicasKey struct {
	Model      string // Model or adapter; empty for a service.
	Service    string
	DataCentre string // Empty for all data centres.
}

// replicaIndex finds replicas by key, in shards by model or service.
type replicaIndex struct {
	shards [shardCount]replicaIndexShard
}

type replicaIndexShard struct {
	mutex sync.RWMutex
	lists map[ReplicasKey]*Replicas
}

func (x *replicaIndex) shard(key ReplicasKey) *replicaIndexShard {
	return &x.shards[int(xxhash.Sum64String(key.Model+key.Service)%shardCount)]
}

func (x *replicaIndex) find(key ReplicasKey) *Replicas {
	s := x.shard(key)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.lists[key]
}

func (x *replicaIndex) change(key ReplicasKey, r *Replica, resident bool) {
	s := x.shard(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, dataCentre := range []string{r.DataCentre, ""} {
		key.DataCentre = dataCentre
		list := s.lists[key]
		if list == nil {
			list = &Replicas{}
		}
		if resident {
			list = list.with(r)
		} else {
			list = list.without(r)
		}
		s.lists[key] = list
		if len(list.List) == 0 {
			delete(s.lists, key)
		}
	}
}

// replicasKeysOf returns the keys of what an upstream serves, without data centres.
func replicasKeysOf(u *kumquathitch.Upstream, resident []string) []ReplicasKey {
	if u.Kind == kumquathitch.KindService {
		return []ReplicasKey{{Service: u.Service}}
	}
	keys := make([]ReplicasKey, 0, len(resident))
	for _, model := range resident {
		keys = append(keys, ReplicasKey{Model: model})
	}
	return keys
}
