package vm

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/election"
	"kumquathitch.example/kumquathitch/fleet"
)

// schedulerSilence is the time without an exchange after which the leader names another
// scheduler.
const schedulerSilence = 1200 * time.Millisecond

// schedulerRole records which VM assigns the calls of all VMs to engines. The leader
// names it, so that the leader's own work, with the issuer and the placement, and that
// for each call do not share one processor. Either VM can be lost without the other.
// Schedulers need no handover: the load of each VM comes with its requests.
type schedulerRole struct {
	mutex   sync.Mutex
	current string // Address of the scheduler; empty when that is the leader.
}

// learn records the address that the leader named.
func (r *schedulerRole) learn(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.current = address
}

// address returns the address of the scheduler, or "" when that is the leader. It stays
// while there is no leader.
func (r *schedulerRole) address() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// nameScheduler names the scheduler while this VM leads. It keeps the present one as
// long as that VM makes exchanges.
func (v *VM) nameScheduler(now time.Time) {
	members := v.watcher.memberList()
	chosen := election.ChooseScheduler(members, v.environment.Name, v.schedulerRole.address(), func(m kumquathitch.Member) bool {
		return now.Sub(v.feed.lastExchange(m.Name)) < schedulerSilence
	})
	if chosen.Address == v.schedulerRole.address() {
		return
	}
	v.log.Info("scheduler named", zap.String("vm", chosen.Name), zap.String("address", chosen.Address), zap.Int("members", len(members)))
	v.schedulerRole.learn(chosen.Address)
}

// logSchedules logs the decisions of this VM as the scheduler since the last call, if
// there were any. Calls that are refused because engines are full, and calls for which
// there is no engine, have different causes.
func (v *VM) logSchedules(now time.Time) {
	counts := v.globalScheduler.TakeCounts()
	if len(counts) == 0 {
		return
	}
	use, waiting := v.globalScheduler.EngineUse(now), v.globalScheduler.Waiting(now)
	for _, priority := range slices.Sorted(maps.Keys(counts)) {
		c := counts[priority]
		v.log.Info("calls scheduled", zap.Int("priority", priority), zap.Int("assigned", c.Assigned), zap.Int("full-by-prefill", c.FullPrefill),
			zap.Int("full-by-slots", c.FullSlots), zap.Int("limited", c.Limited), zap.Int("no-engine", c.NoEngine),
			zap.Int("late", c.Late), zap.Int("deferred", c.Deferred), zap.Int("returned", c.Returned), zap.Int("slot-reserved", c.Reserved),
			zap.Duration("waited", c.Waited), zap.Int("waiting", waiting[min(priority, len(waiting)-1)]), zap.Int("engines", use.Engines), zap.Int("engines-full", use.Full),
			zap.Int("calls", use.Calls), zap.Duration("prefill-left", use.Backlog), zap.Int("deep-queues", use.DeepQueue))
		v.countSchedules(priority, &c, waiting[min(priority, len(waiting)-1)])
	}
}

// countSchedules adds decisions on the calls of one priority to the metrics.
func (v *VM) countSchedules(priority int, counts *fleet.ScheduleCounts, waiting int) {
	decisions := map[string]int{
		"assigned": counts.Assigned, "late": counts.Late, "deferred": counts.Deferred, "returned": counts.Returned, "reserved": counts.Reserved,
		"full": counts.FullPrefill + counts.FullSlots, "limited": counts.Limited, "no-engine": counts.NoEngine,
	}
	for decision, count := range decisions {
		v.set.GetOrCreateCounter(fmt.Sprintf(`kumquathitch_schedule_decisions_total{priority="%d",decision=%q}`, priority, decision)).Add(count)
	}
	v.set.GetOrCreateGauge(fmt.Sprintf(`kumquathitch_waiting_calls{priority="%d"}`, priority), nil).Set(float64(waiting))
}
