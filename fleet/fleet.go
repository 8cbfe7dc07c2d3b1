// Package fleet keeps the instances of upstreams that the platform lists, with
// this VM's observations of each, and chooses the instance for a call.
//
// # Usage
//
//	f := fleet.NewFleet("entry-1", "montreal-1")
//	f.Put(instance, now) // Added to or updated in the platform's list.
//	f.Remove(id)         // Removed from the list.
//	choice, err := f.Choose(criteria, now)
//	f.Done(criteria, choice, result) // Exactly once for each choice.
//
//	scheduler := fleet.NewGlobalScheduler(f)      // On the leader.
//	assigned := scheduler.Schedule(&request, now) // For a call of any VM.
//
// The health of an instance is derived from the outcomes of this VM's own calls,
// since health checks can be wrong either way. Each instance has a circuit breaker:
// it stays open for a time that doubles with each failed probe, and closes after
// one successful probe.
//
// A VM sees little of the load of an engine that many VMs use. The leader's
// [GlobalScheduler] therefore assigns each call to an engine, based on the loads
// that all VMs report. It does not judge health: a VM accepts the assignment unless
// the engine has failed for it, and chooses itself while the leader does not answer.
package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"kumquathitch.example/kumquathitch"
)

const shardCount = 16

// Fleet is the set of instances known to a VM. It is safe for concurrent use.
type Fleet struct {
	vm           string
	dataCentre   string
	memberCount  atomic.Int64 // Number of VMs that send calls to the same instances.
	unsettled    atomic.Bool  // VMs may be missing from memberCount.
	unreachable  unreachableSet
	restrictions restrictions // Set before the first choice.
	cold         coldRateSet
	capacity     capacityNotifier
	shards       [shardCount]instanceShard // By ID.
	groups       [shardCount]groupShard
	services     [shardCount]serviceShard
	responses    engineResponses
}

type instanceShard struct {
	mutex     sync.RWMutex
	instances map[string]*instanceState
	removed   *simplelru.LRU[string, removedInstance] // By ID.
}

// removedInstance is an instance whose entry is gone. The entry may only have lapsed, as the
// instance or the store was cut off, and what this VM knows of the instance still holds then.
type removedInstance struct {
	state *instanceState
	at    time.Time
}

const (
	// maxRemovedPerShard bounds the removed instances that a shard remembers.
	maxRemovedPerShard = 16
	// removedTTL is how long they are remembered. Instances may be cut off for minutes.
	removedTTL = 10 * time.Minute
)

// groupShard holds lists of instances by service and resident model. The elements of a list
// never change: it is appended to, or replaced.
type groupShard struct {
	mutex  sync.RWMutex
	groups map[group][]*instanceState
}

type group struct {
	service string
	model   string // Empty for all instances of the service.
}

// serviceShard holds averages over the instances of each service.
type serviceShard struct {
	mutex    sync.Mutex
	services map[string]*serviceStats
}

// capacityNotifier wakes calls that wait for an instance with capacity.
type capacityNotifier struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// unreachableSet holds the data centres that this VM cannot reach, by name.
type unreachableSet struct {
	mutex       sync.RWMutex
	dataCentres map[string]bool
}

// SetUnreachableDataCentres sets the names of the data centres that this VM cannot
// reach. Their instances are used only as a last resort. The fleet keeps the map.
func (f *Fleet) SetUnreachableDataCentres(dataCentres map[string]bool) {
	f.unreachable.mutex.Lock()
	defer f.unreachable.mutex.Unlock()
	f.unreachable.dataCentres = dataCentres
}

func (f *Fleet) isUnreachable(dataCentre string) bool {
	f.unreachable.mutex.RLock()
	defer f.unreachable.mutex.RUnlock()
	return f.unreachable.dataCentres[dataCentre]
}

// NewFleet returns an empty fleet for a VM in a data centre.
func NewFleet(vm, dataCentre string) *Fleet {
	f := &Fleet{vm: vm, dataCentre: dataCentre}
	f.memberCount.Store(1)
	f.capacity.changed = make(chan struct{})
	f.cold.vms = []string{vm}
	for i := range f.shards {
		f.shards[i].instances = map[string]*instanceState{}
		f.shards[i].removed, _ = simplelru.NewLRU[string, removedInstance](maxRemovedPerShard, nil) // Fails only for a size below 1.
		f.groups[i].groups = map[group][]*instanceState{}
		f.services[i].services = map[string]*serviceStats{}
	}
	return f
}

// SetMemberCount sets the number of VMs that send calls to the same instances. It
// is 1 at first. Until it is settled, this VM has no share of the limits of instances.
func (f *Fleet) SetMemberCount(count int, settled bool) {
	f.memberCount.Store(int64(max(1, count)))
	f.unsettled.Store(!settled)
}

// CapacityFreed returns a channel that is closed when an instance may have capacity again.
func (f *Fleet) CapacityFreed() <-chan struct{} {
	f.capacity.mutex.Lock()
	defer f.capacity.mutex.Unlock()
	return f.capacity.changed
}

func (f *Fleet) notifyCapacity() {
	f.capacity.mutex.Lock()
	defer f.capacity.mutex.Unlock()
	close(f.capacity.changed)
	f.capacity.changed = make(chan struct{})
}

// Put adds an instance or replaces its description. A description with a lower
// revision than the present one is ignored. An instance that returns without having
// started again keeps what is known of it.
func (f *Fleet) Put(instance kumquathitch.Instance, now time.Time) {
	s := f.shard(instance.ID)
	s.mutex.Lock()
	inst := s.instances[instance.ID]
	if inst == nil {
		s.expireRemoved(now)
		if former, ok := s.removed.Peek(instance.ID); ok {
			inst = former.state
			s.removed.Remove(instance.ID)
		} else {
			inst = newInstanceState(instance)
		}
		s.instances[instance.ID] = inst
	}
	s.mutex.Unlock()
	before, changed := inst.update(instance, f.coldRate(instance.Service), now)
	if changed {
		f.updateGroups(inst, before, groupsOf(&instance))
	}
}

// Remove removes an instance.
func (f *Fleet) Remove(id string, now time.Time) {
	s := f.shard(id)
	s.mutex.Lock()
	inst := s.instances[id]
	delete(s.instances, id)
	s.expireRemoved(now)
	if inst != nil {
		s.removed.Add(id, removedInstance{state: inst, at: now})
	}
	s.mutex.Unlock()
	if inst != nil {
		f.updateGroups(inst, inst.currentGroups(), nil)
	}
}

// expireRemoved forgets the instances that were removed long ago. The caller holds the lock.
func (s *instanceShard) expireRemoved(now time.Time) {
	for {
		id, oldest, ok := s.removed.GetOldest()
		if !ok || now.Sub(oldest.at) <= removedTTL {
			return
		}
		s.removed.Remove(id)
	}
}

// AddPlacedAdapter records that an instance holds an adapter before its description
// lists it. An unknown instance is ignored.
func (f *Fleet) AddPlacedAdapter(id, model, adapter string, now time.Time) {
	if inst := f.instanceState(id); inst != nil {
		inst.addPlacedAdapter(model+"/"+adapter, now.Add(placedAdapterTTL))
	}
}

// SetUnloading sets the models that instances have orders to unload, by instance ID.
// Instances refuse calls for these models. The list expires after a short time, since
// a leader that is lost does not withdraw it.
func (f *Fleet) SetUnloading(models map[string][]string, now time.Time) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.RLock()
		for id, inst := range s.instances {
			inst.setUnloading(models[id], now.Add(unloadingTTL))
		}
		s.mutex.RUnlock()
	}
}

// LocalLoads returns this VM's calls in flight, by instance ID. Instances without
// calls are left out.
func (f *Fleet) LocalLoads() map[string]int {
	return f.LocalLoadsIn(kumquathitch.Partition{})
}

// LocalLoadsIn returns the calls of this VM in flight on the instances of a partition, by
// instance ID.
func (f *Fleet) LocalLoadsIn(partition kumquathitch.Partition) map[string]int {
	loads := map[string]int{}
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.RLock()
		for id, inst := range s.instances {
			if sent := inst.localLoad(); sent > 0 && partition.Contains(id) {
				loads[id] = sent
			}
		}
		s.mutex.RUnlock()
	}
	return loads
}

// Slots returns the calls that an instance runs at once, or 0 if it is not known.
func (f *Fleet) Slots(id string) int {
	inst := f.instanceState(id)
	if inst == nil {
		return 0
	}
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.description.Slots
}

// SetRemoteLoads sets the other VMs' calls in flight, by instance ID. With fullestOnly, what
// is known of the instances that are not listed stays.
func (f *Fleet) SetRemoteLoads(loads map[string]int, fullestOnly bool, now time.Time) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.RLock()
		for id, inst := range s.instances {
			if load, listed := loads[id]; listed || !fullestOnly {
				inst.setRemoteLoad(load, now)
			}
		}
		s.mutex.RUnlock()
	}
}

// Instances returns the descriptions of all instances, sorted by ID.
func (f *Fleet) Instances() kumquathitch.Instances {
	var all kumquathitch.Instances
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.RLock()
		for _, inst := range s.instances {
			all = append(all, inst.snapshot())
		}
		s.mutex.RUnlock()
	}
	slices.SortFunc(all, func(a, b kumquathitch.Instance) int { return compare(a.ID, b.ID) })
	return all
}

// Holders returns the descriptions of the instances of a service that list a model and may
// get calls with these homes, in no particular order.
func (f *Fleet) Holders(service, model string, homes kumquathitch.Homes, now time.Time) kumquathitch.Instances {
	listed := f.restrictions.allowed(f.instancesIn(group{service: service, model: model}), homes, now)
	holders := make(kumquathitch.Instances, 0, len(listed))
	for _, inst := range listed {
		holders = append(holders, inst.snapshot())
	}
	return holders
}

// Instance returns the description of an instance, or false if it is not in the fleet.
func (f *Fleet) Instance(id string) (kumquathitch.Instance, bool) {
	inst := f.instanceState(id)
	if inst == nil {
		return kumquathitch.Instance{}, false
	}
	return inst.snapshot(), true
}

// updateGroups moves an instance from its former groups to its present ones.
func (f *Fleet) updateGroups(inst *instanceState, before, after []group) {
	for _, g := range before {
		if !slices.Contains(after, g) {
			s := f.groupShard(g)
			s.mutex.Lock()
			s.groups[g] = slices.DeleteFunc(slices.Clone(s.groups[g]), func(other *instanceState) bool { return other == inst })
			if len(s.groups[g]) == 0 {
				delete(s.groups, g)
			}
			s.mutex.Unlock()
		}
	}
	for _, g := range after {
		s := f.groupShard(g)
		s.mutex.Lock()
		if !slices.Contains(s.groups[g], inst) {
			s.groups[g] = append(s.groups[g], inst) // Readers of an earlier list do not see the element.
		}
		s.mutex.Unlock()
	}
}

// instancesIn returns the instances of a group. The list must not be changed.
func (f *Fleet) instancesIn(g group) []*instanceState {
	s := f.groupShard(g)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.groups[g]
}

// groupsOf returns the groups of an instance: one for its service, and one for each
// resident model.
func groupsOf(instance *kumquathitch.Instance) []group {
	groups := []group{{service: instance.Service}}
	for _, r := range instance.Models {
		groups = append(groups, group{service: instance.Service, model: r.Name})
	}
	return groups
}

func (f *Fleet) shard(id string) *instanceShard {
	return &f.shards[kumquathitch.ShardOf(id, shardCount)]
}

func (f *Fleet) groupShard(g group) *groupShard {
	return &f.groups[kumquathitch.ShardOf(g.service+"/"+g.model, shardCount)]
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
