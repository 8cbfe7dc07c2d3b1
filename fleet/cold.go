package fleet

import (
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// schedulerColdFraction is the part of the calls of one second allowed to a cold instance
	// that one VM admits. Two VMs can count at once: the scheduler, and the leader for the VMs
	// that the scheduler did not answer in time, or two schedulers while the role moves.
	schedulerColdFraction = 0.4
	// localColdFraction is the part left to VMs that no scheduler answers.
	localColdFraction = 1 - 2*schedulerColdFraction
	// coldBurst is the number of calls that may be admitted to a cold instance at once.
	coldBurst = 1.0
	// maxColdPacing is the longest wait before a send to a cold engine that does not come
	// from its limit, and admissionTTL the time after that within which the call is sent.
	maxColdPacing = 200 * time.Millisecond
	admissionTTL  = 200 * time.Millisecond
	// coldTransit is the time from a send to the arrival at the instance.
	coldTransit = 100 * time.Millisecond
	// coldJitter is how far apart the admission and the arrival of a call can be. The calls
	// that arrive within a second were admitted within a second and this time.
	coldJitter = maxColdPacing + admissionTTL + coldTransit
	// maxColdHold is the longest time for which a call of the most urgent priority is held
	// until a cold engine takes it. It is shorter for others, so that they do not take the
	// turns of several seconds from more urgent ones.
	maxColdHold = 500 * time.Millisecond
	// localColdInterval is the time between two calls of one VM that no scheduler answers, so
	// that at most one arrives in any second.
	localColdInterval = time.Second + coldJitter
	// localColdRetry is when a VM that may not call a cold instance itself asks a scheduler again.
	localColdRetry = 200 * time.Millisecond
	// coldEntryLag is the age that the newest entry of an instance can have. What became known
	// within this time before the entry applies instead.
	coldEntryLag = 2 * time.Second
	// startClockSkew is how far the clocks of VMs and instances may differ.
	startClockSkew = 5 * time.Second
	// coldCostFraction is the additional cost of a cold engine for a call of the most urgent
	// priority, as a fraction of the objective; it falls with the priority.
	coldCostFraction = 0.1
)

// coldRate is what a cold instance of a service takes.
type coldRate struct {
	duration  time.Duration // From its start; 0 if instances of the service are never cold.
	perSecond float64       // Calls that a VM which counts those of all VMs admits.
	localVMs  int           // VMs that may call it while no such VM answers them.
}

func (r coldRate) applies() bool { return r.duration > 0 }

// newColdRate divides the calls that a cold instance may get in one second.
func newColdRate(service *kumquathitch.Service, overage, slack float64) coldRate {
	if service.ColdTime <= 0 || service.ColdPerSecond <= 0 {
		return coldRate{}
	}
	most := service.ColdPerSecond*overage + slack
	perSecond := (schedulerColdFraction*most - coldBurst) / (time.Second + coldJitter).Seconds()
	return coldRate{
		duration:  service.ColdTime,
		perSecond: max(minLimitPerSecond, min(service.ColdPerSecond, perSecond)),
		localVMs:  int(localColdFraction*most + 1e-9), // The fraction is not exact in binary.
	}
}

// coldRateSet holds the rates of services, and the VMs that may call cold instances.
type coldRateSet struct {
	mutex     sync.RWMutex
	byService map[string]coldRate
	vms       []string
}

// SetColdRates sets what cold instances of the services take. A cold instance gets at most
// overage times the rate of its service in any second, and slack calls beyond, of all VMs.
func (f *Fleet) SetColdRates(services kumquathitch.Services, overage, slack float64) {
	rates := map[string]coldRate{}
	for i := range services {
		if rate := newColdRate(&services[i], overage, slack); rate.applies() {
			rates[services[i].Name] = rate
		}
	}
	f.cold.mutex.Lock()
	defer f.cold.mutex.Unlock()
	f.cold.byService = rates
}

// SetMemberNames sets the names of the VMs that send calls to the same instances. While no
// scheduler answers, a few of them may call each cold instance. The fleet keeps the list.
func (f *Fleet) SetMemberNames(names []string) {
	f.cold.mutex.Lock()
	defer f.cold.mutex.Unlock()
	f.cold.vms = names
}

func (f *Fleet) coldRate(service string) coldRate {
	f.cold.mutex.RLock()
	defer f.cold.mutex.RUnlock()
	return f.cold.byService[service]
}

// mayCallCold reports whether this VM is one of those that may call a cold instance while no
// scheduler answers. An equal share of all VMs would be less than one call in a cold time.
func (f *Fleet) mayCallCold(incarnation string, count int) bool {
	if f.unsettled.Load() {
		return false
	}
	f.cold.mutex.RLock()
	defer f.cold.mutex.RUnlock()
	if !slices.Contains(f.cold.vms, f.vm) {
		return false
	}
	own, before := kumquathitch.RendezvousWeight(incarnation, f.vm), 0
	for _, vm := range f.cold.vms {
		if vm != f.vm && kumquathitch.RendezvousWeight(incarnation, vm) > own {
			before++
		}
	}
	return before < count
}

// coldState is what this VM knows of the time for which a start of an instance is cold.
type coldState struct {
	until          time.Time // As its newest entry or response states, or expected of a new start.
	respondedAt    time.Time // Last response that stated it.
	knownAt        time.Time // When a response stated it, or the instance was expected to be cold. Entries may be older.
	suspectedUntil time.Time // It may have started again unseen. This applies to this VM's calls only.
	lost           bool      // It could not be reached, or broke a connection, and has not answered since.
	localUntil     time.Time // Until when this VM calls it no more without a scheduler.
}

// describe records a description. One that is read again says nothing new.
func (c *coldState) describe(before, instance *kumquathitch.Instance, rate coldRate, now time.Time) {
	known := before.Service != "" && before.SameIncarnation(instance)
	switch {
	case instance.ColdStated && known && instance.Revision == before.Revision:
	case instance.ColdStated && now.Sub(c.knownAt) >= coldEntryLag:
		c.until = instance.ColdUntil
	case !instance.ColdStated && !known && !instance.Started.IsZero() && now.Sub(instance.Started) < rate.duration+startClockSkew && rate.applies():
		c.until = now.Add(rate.duration)
	}
}

// respond records a response that states whether the instance is cold. It reports whether
// that is news.
func (c *coldState) respond(until, at time.Time) bool {
	if !at.After(c.respondedAt) {
		return false
	}
	news := at.Before(c.until) != at.Before(until)
	c.until, c.respondedAt, c.knownAt = until, at, at
	return news
}

// observe records the outcome of a send to a plain instance: one that was lost may come back cold.
func (c *coldState) observe(result *kumquathitch.SendResult, rate coldRate) {
	switch result.Outcome {
	case kumquathitch.SendUnreachable, kumquathitch.SendBroken:
		// The next probe of this VM comes within maxOpenTime.
		c.lost, c.suspectedUntil = true, result.Ended.Add(maxOpenTime+rate.duration)
	case kumquathitch.SendAnswered:
		if c.lost {
			c.lost, c.suspectedUntil = false, result.Ended.Add(rate.duration)
		}
	}
}

// isCold reports whether the instance is cold, as stated.
func (c *coldState) isCold(rate coldRate, now time.Time) bool {
	return rate.applies() && now.Before(c.until)
}

// mayBeCold reports whether the instance is cold, as stated or suspected.
func (c *coldState) mayBeCold(rate coldRate, now time.Time) bool {
	return c.isCold(rate, now) || rate.applies() && now.Before(c.suspectedUntil)
}

// admitLocally counts a call while no scheduler answers, and returns when to ask again otherwise.
func (c *coldState) admitLocally(mayCall bool, now time.Time) (time.Time, bool) {
	if !mayCall || now.Before(c.localUntil) {
		return now.Add(localColdRetry), false
	}
	c.localUntil = now.Add(localColdInterval)
	return time.Time{}, true
}

// ExpectCold treats the instances of a data centre as cold from now on for the time for which
// an instance is cold after its start. The operator may return them cold before their entries say so.
func (f *Fleet) ExpectCold(dataCentre string, now time.Time) {
	f.eachInstance(func(inst *instanceState) {
		rate := f.coldRate(inst.description.Service)
		if until := now.Add(rate.duration); rate.applies() && inst.description.DataCentre == dataCentre && until.After(inst.cold.until) {
			inst.cold.until, inst.cold.knownAt = until, now
		}
	})
}

// ColdCount returns the number of instances that are cold now.
func (f *Fleet) ColdCount(now time.Time) int {
	count := 0
	f.eachInstance(func(inst *instanceState) {
		if inst.cold.isCold(f.coldRate(inst.description.Service), now) {
			count++
		}
	})
	return count
}

// MayBeCold reports whether an instance is cold, as stated or as this VM suspects.
func (f *Fleet) MayBeCold(instance *kumquathitch.Instance, now time.Time) bool {
	inst := f.instanceState(instance.ID)
	if inst == nil {
		return false
	}
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.description.SameIncarnation(instance) && inst.cold.mayBeCold(f.coldRate(instance.Service), now)
}

// isCold reports whether a start of an instance is cold, as stated.
func (f *Fleet) isCold(id, incarnation string, rate coldRate, now time.Time) bool {
	inst := f.instanceState(id)
	if inst == nil {
		return false
	}
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.description.Incarnation() == incarnation && inst.cold.isCold(rate, now)
}

// learnCold records what other VMs saw in responses of instances.
func (f *Fleet) learnCold(reports []kumquathitch.InstanceLimit, now time.Time) {
	for i := range reports {
		report := &reports[i]
		inst := f.instanceState(report.ID)
		if !report.ColdStated || inst == nil {
			continue
		}
		inst.mutex.Lock()
		if inst.description.Incarnation() == report.Incarnation {
			inst.cold.respond(now.Add(max(0, report.ColdFor)), now.Add(-max(0, report.ColdAge)))
		}
		inst.mutex.Unlock()
	}
}

// eachInstance calls a function for each instance, in no particular order, under the lock of
// the instance.
func (f *Fleet) eachInstance(use func(inst *instanceState)) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.RLock()
		for _, inst := range s.instances {
			inst.mutex.Lock()
			use(inst)
			inst.mutex.Unlock()
		}
		s.mutex.RUnlock()
	}
}

// coldHold returns the longest time for which a call is held until a cold engine takes it.
func coldHold(request *kumquathitch.ScheduleRequest) time.Duration {
	return min(request.MaxHold, maxColdHold/time.Duration(1+max(0, request.Priority)))
}

// ColdCounts counts the calls to cold instances at the VM that counts those of all VMs.
type ColdCounts struct {
	Assigned int // By the scheduler.
	Held     int // Of those, with a wait until the instance takes them.
	Refused  int // No instance takes them in time.
	Admitted int // To an instance that a VM chose.
	Deferred int // The VM has to choose another instance, or to wait.
}

// coldCounter counts calls to cold instances.
type coldCounter struct {
	mutex  sync.Mutex
	counts ColdCounts
}

func (c *coldCounter) add(counts ColdCounts) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts.Assigned += counts.Assigned
	c.counts.Held += counts.Held
	c.counts.Refused += counts.Refused
	c.counts.Admitted += counts.Admitted
	c.counts.Deferred += counts.Deferred
}

// TakeColdCounts returns the calls to cold instances since the last call.
func (gs *GlobalScheduler) TakeColdCounts() ColdCounts {
	gs.coldCounts.mutex.Lock()
	defer gs.coldCounts.mutex.Unlock()
	counts := gs.coldCounts.counts
	gs.coldCounts.counts = ColdCounts{}
	return counts
}
