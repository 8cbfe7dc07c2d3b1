package fleet

import (
	"math"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxReportedLimits bounds the limits in one request to the scheduler.
	maxReportedLimits = 64
	// localShareReset is the time without use after which this VM's own share of a limit
	// begins anew. Shares that accumulated on all VMs would be sent at once.
	localShareReset = 2 * time.Second
)

// instanceLimit is the limit of calls that an instance names, as this VM knows it.
type instanceLimit struct {
	named      bool
	everNamed  bool
	perSecond  float64
	at         time.Time // Last response that named a limit, or none.
	reportedTo string    // VM that was last sent this limit.
	deferred   time.Time // Until when the limit admits no call from this VM.
	share      tokens    // Used while no VM counts the calls of all.
}

// observe records what a response says of the limit. It reports whether that is news. A
// rejection that names no limit does not end one, nor does a limit that cannot be read.
func (l *instanceLimit) observe(head *kumquathitch.ResponseHead) bool {
	if head.Moved || head.UnreadLimit || (!head.HasLimit && !head.Signed) || head.Received.Before(l.at) {
		return false
	}
	l.at = head.Received
	if head.HasLimit == l.named && (!l.named || head.LimitPerSecond == l.perSecond) {
		return false
	}
	l.named, l.perSecond, l.reportedTo = head.HasLimit, head.LimitPerSecond, ""
	l.everNamed = l.everNamed || l.named
	if !l.named {
		l.deferred = time.Time{}
	}
	return true
}

// unavailableUntil returns the time until which the instance gets no call from this VM: it
// asked for a pause, or its limit is reached. The caller holds the lock.
func (inst *instanceState) unavailableUntil() time.Time {
	if inst.limit.deferred.After(inst.withdrawal.pausedUntil) {
		return inst.limit.deferred
	}
	return inst.withdrawal.pausedUntil
}

// Defer records that the limit of a chosen instance admits no call from this VM before a time.
func (f *Fleet) Defer(choice kumquathitch.InstanceChoice, until time.Time) {
	inst := f.instanceState(choice.Instance.ID)
	if inst == nil {
		return
	}
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if inst.description.SameIncarnation(&choice.Instance) {
		inst.limit.deferred = until
	}
}

// endDeferral ends the time in which the limit admits no call, after another VM has admitted one.
func (inst *instanceState) endDeferral() {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	inst.limit.deferred = time.Time{}
}

// AdmitByShare counts a call against this VM's equal share of the limit of an instance, and
// against what it may send to a cold one. It is used while no VM counts the calls of all, and
// returns the time of the next one otherwise.
func (f *Fleet) AdmitByShare(instance *kumquathitch.Instance, now time.Time) (time.Time, bool) {
	inst := f.instanceState(instance.ID)
	if inst == nil {
		return now, false
	}
	rate := f.coldRate(instance.Service)
	mayCall := rate.applies() && f.mayCallCold(instance.Incarnation(), rate.localVMs)
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if inst.cold.mayBeCold(rate, now) {
		if until, admitted := inst.cold.admitLocally(mayCall, now); !admitted {
			return until, false
		}
	}
	if !inst.limit.named {
		return time.Time{}, true
	}
	perSecond := max(minLimitPerSecond, inst.limit.perSecond) / math.Max(1, float64(f.memberCount.Load()))
	if f.unsettled.Load() {
		return now.Add(time.Duration(float64(time.Second) / perSecond)), false
	}
	if now.Sub(inst.limit.share.refilledAt) > localShareReset {
		inst.limit.share = tokens{}
	}
	inst.limit.share.refill(perSecond, limitBurst, now)
	return inst.limit.share.take(perSecond, now)
}

// TakeLimits returns the limits that another VM has not been sent, and marks them as sent.
// A VM that counts the calls of all needs them.
func (f *Fleet) TakeLimits(vm string, now time.Time) []kumquathitch.InstanceLimit {
	return f.TakeLimitsIn(kumquathitch.Partition{}, vm, now)
}

// TakeLimitsIn is TakeLimits for the instances of a partition.
func (f *Fleet) TakeLimitsIn(partition kumquathitch.Partition, vm string, now time.Time) []kumquathitch.InstanceLimit {
	var limits []kumquathitch.InstanceLimit
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.RLock()
		for _, inst := range s.instances {
			if len(limits) < maxReportedLimits && partition.Contains(inst.id) {
				limits = inst.appendLimit(limits, vm, now)
			}
		}
		s.mutex.RUnlock()
	}
	return limits
}

// limitKnown reports whether responses of the instance ever named a limit, or stated whether
// it is cold. The caller holds the lock.
func (inst *instanceState) limitKnown() bool {
	return inst.limit.everNamed || !inst.cold.respondedAt.IsZero()
}

// appendLimit appends the limit of the instance if one is known, and it is not yet
// reported to a VM.
func (inst *instanceState) appendLimit(limits []kumquathitch.InstanceLimit, vm string, now time.Time) []kumquathitch.InstanceLimit {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if !inst.limitKnown() || inst.limit.reportedTo == vm {
		return limits
	}
	inst.limit.reportedTo = vm
	return append(limits, inst.reportedLimit(now))
}

// reportedLimit returns the limit in the form of a report. The caller holds the lock.
func (inst *instanceState) reportedLimit(now time.Time) kumquathitch.InstanceLimit {
	limit := kumquathitch.InstanceLimit{
		ID: inst.id, Incarnation: inst.description.Incarnation(), Named: inst.limit.named, PerSecond: inst.limit.perSecond, Age: now.Sub(inst.limit.at),
	}
	if at := inst.cold.respondedAt; !at.IsZero() {
		limit.ColdStated, limit.ColdFor, limit.ColdAge = true, max(0, inst.cold.until.Sub(now)), now.Sub(at)
	}
	return limit
}

// Limit returns the limit of an instance, as this VM knows it.
func (f *Fleet) Limit(id string, now time.Time) (kumquathitch.InstanceLimit, bool) {
	inst := f.instanceState(id)
	if inst == nil {
		return kumquathitch.InstanceLimit{}, false
	}
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.reportedLimit(now), inst.limitKnown()
}

// MarkLimitsUnreported marks limits as not sent, after their message failed.
func (f *Fleet) MarkLimitsUnreported(limits []kumquathitch.InstanceLimit) {
	for _, limit := range limits {
		if inst := f.instanceState(limit.ID); inst != nil {
			inst.mutex.Lock()
			inst.limit.reportedTo = ""
			inst.mutex.Unlock()
		}
	}
}
