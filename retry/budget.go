// Package retry limits the retries of calls, and blocks calls and prompt parts that crash upstreams.
//
// # Usage
//
//	budget := retry.NewBudget(retry.Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, time.Now())
//	budget.RecordCall("planner-llm", now)
//	if budget.Allow("planner-llm", now) {
//		// Send the call again.
//	}
//	contents := retry.NewCrashGuard(name)
//	if until, blocked := contents.BlockedUntil(hash, now); blocked {
//		// Refuse the call until then.
//	}
//	prompts := retry.NewPromptGuard(name, contents)
//	if until, blocked := prompts.BlockedUntil(call.Prompt, now); blocked {
//		// Refuse the call until then.
//	}
//
// Each VM has its own share of the budget, so that it can retry a call without asking
// another VM.
package retry

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	shardCount = 8
	// slotsPerWindow is the number of slots that divide a window for counting.
	slotsPerWindow = 10
	// usedFraction is the fraction of the allowed retries that is used. The limits hold
	// for every sliding window, but the windows counted here move in steps of a slot.
	usedFraction = 0.75
)

// Limits bound the retries of calls to one service, over all VMs.
type Limits struct {
	Ratio  float64 // Retries per call.
	Slack  float64 // Retries per window in addition to those.
	Window time.Duration
}

// Budget counts calls and retries by service. It implements kumquathitch.RetryBudget,
// and is safe for concurrent use.
type Budget struct {
	limits  Limits
	start   time.Time // Slots are counted from here by the monotonic clock, since the wall clock may be set.
	shards  [shardCount]budgetShard
	members memberCount
}

type memberCount struct {
	mutex     sync.Mutex
	count     int
	unsettled bool // VMs may be missing from count.
}

type budgetShard struct {
	mutex    sync.Mutex
	services map[string]*window
}

// window is a ring buffer of counts per slot.
type window struct {
	calls      [slotsPerWindow]float64
	retries    [slotsPerWindow]float64
	newestSlot int64 // Number of the slot since the start of the budget.
}

// NewBudget returns a budget whose slack is not divided until SetMemberCount is called.
// No call may be earlier than start.
func NewBudget(limits Limits, start time.Time) *Budget {
	b := &Budget{limits: limits, start: start, members: memberCount{count: 1}}
	for i := range b.shards {
		b.shards[i].services = map[string]*window{}
	}
	return b
}

// SetMemberCount sets the number of VMs that the slack is divided over, at least 1. Until it
// is settled, the slack is not used.
func (b *Budget) SetMemberCount(count int, settled bool) {
	b.members.mutex.Lock()
	defer b.members.mutex.Unlock()
	b.members.count, b.members.unsettled = max(1, count), !settled
}

// RecordCall counts a call for a service.
func (b *Budget) RecordCall(service string, now time.Time) {
	b.withWindow(service, now, func(w *window) { w.calls[w.newestSlot%slotsPerWindow]++ })
}

// Allow reports whether a call may be sent again, and if so counts the retry.
func (b *Budget) Allow(service string, now time.Time) bool {
	b.members.mutex.Lock()
	slack := b.limits.Slack / float64(b.members.count)
	if b.members.unsettled {
		slack = 0
	}
	b.members.mutex.Unlock()
	allowed := false
	b.withWindow(service, now, func(w *window) {
		calls, retries := 0.0, 0.0
		for i := range slotsPerWindow {
			calls += w.calls[i]
			retries += w.retries[i]
		}
		if allowed = retries+1 <= usedFraction*(b.limits.Ratio*calls+slack); allowed {
			w.retries[w.newestSlot%slotsPerWindow]++
		}
	})
	return allowed
}

func (b *Budget) withWindow(service string, now time.Time, update func(w *window)) {
	s := &b.shards[kumquathitch.ShardOf(service, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w := s.services[service]
	if w == nil {
		w = &window{}
		s.services[service] = w
	}
	slot := int64(now.Sub(b.start) / (b.limits.Window / slotsPerWindow))
	for advanced := 0; w.newestSlot < slot; advanced++ {
		if advanced == slotsPerWindow {
			w.newestSlot = slot
			break
		}
		w.newestSlot++
		w.calls[w.newestSlot%slotsPerWindow], w.retries[w.newestSlot%slotsPerWindow] = 0, 0
	}
	update(w)
}
