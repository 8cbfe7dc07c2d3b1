package fleet

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// limitBurst is the number of calls that may be admitted at once after a pause, and
	// limitBurstTime the time whose calls may be admitted in addition.
	limitBurst     = 1.0
	limitBurstTime = 500 * time.Millisecond
	// minLimitPerSecond is the lowest rate of calls. Without calls, nobody would learn that
	// an instance no longer names a limit.
	minLimitPerSecond = 0.1
	// callLimitTTL is how long a limit is kept without a report or a call.
	callLimitTTL = 10 * time.Minute
)

// CallLimits counts the calls of all VMs against the limits that instances name, and against
// what cold ones take. Only those of the VMs with the role of a scheduler are used. It is safe
// for concurrent use.
type CallLimits struct {
	shards [shardCount]callLimitShard
}

type callLimitShard struct {
	mutex  sync.Mutex
	limits map[string]*callLimit // By ID and start of the instance.
}

// callLimit is a token bucket at the rate that an instance named last.
type callLimit struct {
	named      bool
	perSecond  float64
	observedAt time.Time // When a VM saw the response that named it, or named none.
	usedAt     time.Time
	tokens     tokens
}

// tokens are calls that may be sent. They accumulate from the first refill on.
type tokens struct {
	count      float64
	refilledAt time.Time
}

func (t *tokens) refill(perSecond, most float64, now time.Time) {
	if !t.refilledAt.IsZero() && now.After(t.refilledAt) {
		t.count += perSecond * now.Sub(t.refilledAt).Seconds()
	}
	t.count, t.refilledAt = min(t.count, most), now
}

// take takes one token. Without one, it returns when there will be.
func (t *tokens) take(perSecond float64, now time.Time) (time.Time, bool) {
	if t.count < 1 {
		return now.Add(time.Duration((1 - t.count) / perSecond * float64(time.Second))), false
	}
	t.count--
	return time.Time{}, true
}

// NewCallLimits returns a record without limits.
func NewCallLimits() *CallLimits {
	l := &CallLimits{}
	for i := range l.shards {
		l.shards[i].limits = map[string]*callLimit{}
	}
	return l
}

// Learn records what VMs saw. Of several reports on an instance the latest observation
// applies. An instance that names a limit for the first time gets no call at once.
func (l *CallLimits) Learn(reports []kumquathitch.InstanceLimit, now time.Time) {
	for _, report := range reports {
		s := l.shard(report.Incarnation)
		s.mutex.Lock()
		limit := s.limits[report.Incarnation]
		if limit == nil {
			s.expire(now)
			limit = &callLimit{}
			s.limits[report.Incarnation] = limit
		}
		if at := now.Add(-max(0, report.Age)); at.After(limit.observedAt) {
			if limit.named && report.PerSecond != limit.perSecond {
				limit.refill(0, now)
			}
			if report.Named && !limit.named {
				limit.tokens = tokens{refilledAt: now}
			}
			limit.named, limit.perSecond, limit.observedAt, limit.usedAt = report.Named, max(minLimitPerSecond, report.PerSecond), at, now
		}
		s.mutex.Unlock()
	}
}

// Admit counts a call against the limit of an instance that takes coldPerSecond calls if it
// is cold, which is 0 otherwise. The lower of this rate and that which it names applies. If
// the limit is reached, it counts a call that a cold instance takes within the time hold, and
// returns when it may be sent. Otherwise it returns false and the time at which a call may be
// admitted.
func (l *CallLimits) Admit(instance string, coldPerSecond float64, hold time.Duration, now time.Time) (at time.Time, limited, admitted bool) {
	s := l.shard(instance)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := s.limit(instance, coldPerSecond, now)
	if limit == nil {
		return time.Time{}, false, true
	}
	perSecond := limit.refill(coldPerSecond, now)
	limit.usedAt = now
	at, admitted = limit.tokens.take(perSecond, now)
	if !admitted && coldPerSecond > 0 && at.Sub(now) <= hold {
		limit.tokens.count--
		admitted = true
	}
	return at, true, admitted
}

// AdmitsAt returns the time from which the limit of an instance admits a call. It is zero
// if a call is admitted now.
func (l *CallLimits) AdmitsAt(instance string, coldPerSecond float64, now time.Time) time.Time {
	s := l.shard(instance)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := s.limit(instance, coldPerSecond, now)
	if limit == nil {
		return time.Time{}
	}
	perSecond := limit.refill(coldPerSecond, now)
	if limit.tokens.count >= 1 {
		return time.Time{}
	}
	until, _ := limit.tokens.take(perSecond, now)
	return until
}

// limit returns the limit that applies to an instance, or nil if none does. A cold instance
// without one gets an empty bucket: another VM may have admitted calls to it just before. The
// caller holds the lock.
func (s *callLimitShard) limit(instance string, coldPerSecond float64, now time.Time) *callLimit {
	limit := s.limits[instance]
	switch {
	case limit == nil && coldPerSecond > 0:
		s.expire(now)
		limit = &callLimit{usedAt: now, tokens: tokens{refilledAt: now}}
		s.limits[instance] = limit
	case limit != nil && !limit.named && coldPerSecond <= 0:
		return nil
	}
	return limit
}

// refill adds the tokens since the last refill, and returns the rate.
func (c *callLimit) refill(coldPerSecond float64, now time.Time) float64 {
	perSecond, most := c.perSecond, limitBurst+c.perSecond*limitBurstTime.Seconds()
	if coldPerSecond > 0 {
		if !c.named || coldPerSecond < perSecond {
			perSecond = coldPerSecond
		}
		most = coldBurst
	}
	c.tokens.refill(perSecond, most, now)
	return perSecond
}

// expire drops the limits of instances that are not called any more. The caller holds the lock.
func (s *callLimitShard) expire(now time.Time) {
	for instance, limit := range s.limits {
		if now.Sub(limit.usedAt) > callLimitTTL {
			delete(s.limits, instance)
		}
	}
}

func (l *CallLimits) shard(instance string) *callLimitShard {
	return &l.shards[kumquathitch.ShardOf(instance, shardCount)]
}
