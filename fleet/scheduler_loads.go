package fleet

import (
	"strconv"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

// vmShard holds the loads that VMs reported, by VM.
type vmShard struct {
	mutex sync.Mutex
	loads map[string]*vmLoads
}

type vmLoads struct {
	byInstance map[string]int
	expiresAt  time.Time
}

// SetVMLoads replaces the calls in flight of a VM, by instance.
func (gs *GlobalScheduler) SetVMLoads(vm string, loads map[string]int, now time.Time) {
	s := &gs.vms[kumquathitch.ShardOf(vm, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reported := s.loads[vm]
	if reported == nil {
		reported = &vmLoads{}
		s.loads[vm] = reported
	}
	reported.byInstance, reported.expiresAt = gs.replaceLoads(vm, reported.byInstance, loads, now), now.Add(vmLoadTTL)
}

// ExpireVMs drops the loads of VMs that have not reported for vmLoadTTL.
func (gs *GlobalScheduler) ExpireVMs(now time.Time) {
	for i := range gs.vms {
		s := &gs.vms[i]
		s.mutex.Lock()
		for name, reported := range s.loads {
			if now.After(reported.expiresAt) {
				gs.replaceLoads(name, reported.byInstance, nil, now)
				delete(s.loads, name)
			}
		}
		s.mutex.Unlock()
	}
}

// replaceLoads applies the difference between two loads of one VM to the engines, and
// returns the load that counts: calls that were just assigned may not be reported yet.
func (gs *GlobalScheduler) replaceLoads(vm string, before, after map[string]int, now time.Time) map[string]int {
	counted := make(map[string]int, len(after))
	for id, count := range before {
		if after[id] == count {
			counted[id] = count
		} else if settled := gs.settleCalls(vm, id, count, after[id], now); settled > 0 {
			counted[id] = settled
		}
	}
	for id, count := range after {
		if _, ok := before[id]; !ok {
			counted[id] = gs.settleCalls(vm, id, 0, count, now)
		}
	}
	return counted
}

// settleCalls replaces the number of a VM's calls on an engine by the reported one, and
// returns the number that counts.
func (gs *GlobalScheduler) settleCalls(vm, id string, before, reported int, now time.Time) int {
	s := gs.shard(id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	engine := s.engine(id)
	counted := engine.calls.settle(vm, reported, now)
	if engine.inFlight += counted - before; engine.inFlight <= 0 && gs.fleet.instanceState(id) == nil {
		delete(s.engines, id)
	}
	return counted
}

// loadReporter returns the name under which the loads of a request are kept. A VM reports
// those of each partition separately.
func loadReporter(request *kumquathitch.ScheduleRequest) string {
	if request.Partition.Count <= 1 {
		return request.From
	}
	return request.From + "#" + strconv.Itoa(request.Partition.Index)
}
