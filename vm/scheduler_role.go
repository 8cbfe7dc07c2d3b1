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
// scheduler for a partition.
const schedulerSilence = 1200 * time.Millisecond

// schedulerRole records which VMs assign the calls of all VMs to engines, each for a
// partition of the engines. The leader names them, so that the leader's own work, with the
// issuer and the placement, and that for each call do not share one processor. Each VM can
// be lost without the others. Schedulers need no handover: the load of each VM comes with
// its requests.
type schedulerRole struct {
	mutex   sync.Mutex
	current []string // Addresses of the schedulers by partition; empty when the leader is the only one.
}

// learn records the addresses that the leader named.
func (r *schedulerRole) learn(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.current = addresses
}

// addresses returns the addresses of the schedulers by partition, or none when the leader
// is the only one. They stay while there is no leader. The list must not be changed.
func (r *schedulerRole) addresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// includes reports whether a VM is a scheduler.
func (r *schedulerRole) includes(address string) bool {
	return slices.Contains(r.addresses(), address)
}

// namedSchedulers returns the schedulers that the response of a leader names.
func namedSchedulers(response *kumquathitch.ExchangeResponse) []string {
	if len(response.Schedulers) == 0 && response.SchedulerAddress != "" {
		return []string{response.SchedulerAddress}
	}
	return response.Schedulers
}

// nameSchedulers names the schedulers while this VM leads. It keeps the present ones as
// long as these VMs make exchanges.
func (v *VM) nameSchedulers(now time.Time) {
	members := v.watcher.memberList()
	present := v.schedulerRole.addresses()
	chosen := election.ChooseSchedulers(members, v.environment.Name, present, func(m kumquathitch.Member) bool {
		return now.Sub(v.feed.lastExchange(m.Name)) < schedulerSilence
	})
	var addresses []string
	for _, m := range chosen {
		addresses = append(addresses, m.Address)
	}
	if slices.Equal(addresses, present) {
		return
	}
	v.log.Info("schedulers named", zap.Strings("addresses", addresses), zap.Int("members", len(members)))
	v.schedulerRole.learn(addresses)
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
