package route

import (
	"math"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// retryRatio is the number of retries allowed per recent success. It keeps
	// retries from multiplying the load of a failing fleet.
	retryRatio = 0.1
	// creditTimeConstant is the time constant with which credit from successes decays.
	creditTimeConstant = 10 * time.Second
	// baseRetries is the initial credit. It allows retries before the first success.
	baseRetries = 3
	// idleRetriesPerSecond is the credit gained without successes. Without it, a
	// deployment with a few requests per minute could not retry.
	idleRetriesPerSecond = 0.1
)

// RetryBudget limits the retries of one group of accounts. Over any period of t
// seconds with n successes, it allows at most
// baseRetries + retryRatio·n + idleRetriesPerSecond·t retries. The zero value
// has the credit baseRetries.
type RetryBudget struct {
	Credit    float64 // Retries that may be made now.
	UpdatedAt time.Time
}

// RecordSuccess returns the budget after a success.
func (b RetryBudget) RecordSuccess(now time.Time) RetryBudget {
	b = b.updatedTo(now)
	b.Credit += retryRatio
	return b
}

// Allow reports whether a retry is allowed and returns the budget after it.
func (b RetryBudget) Allow(now time.Time) (RetryBudget, bool) {
	b = b.updatedTo(now)
	if b.Credit < 1 {
		return b, false
	}
	b.Credit--
	return b, true
}

// updatedTo returns the budget at the given time. Credit above baseRetries
// decays towards it, and credit below it refills at idleRetriesPerSecond.
func (b RetryBudget) updatedTo(now time.Time) RetryBudget {
	elapsed := max(0, now.Sub(b.UpdatedAt).Seconds())
	switch {
	case b.UpdatedAt.IsZero():
		b.Credit = baseRetries
	case b.Credit > baseRetries:
		b.Credit = baseRetries + (b.Credit-baseRetries)*math.Exp(-elapsed/creditTimeConstant.Seconds())
	default:
		b.Credit = min(baseRetries, b.Credit+idleRetriesPerSecond*elapsed)
	}
	if b.UpdatedAt.Before(now) {
		b.UpdatedAt = now
	}
	return b
}

// retryBudgets holds one budget for each shard of accounts, so that the failing
// requests of an account use up only the budget of its shard.
type retryBudgets struct {
	shards [retryBudgetShards]retryBudgetShard
}

const retryBudgetShards = 16

type retryBudgetShard struct {
	mutex  sync.Mutex
	budget RetryBudget
}

func (b *retryBudgets) recordSuccess(account string, now time.Time) {
	s := &b.shards[kumquathitch.ShardOf(account, retryBudgetShards)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget = s.budget.RecordSuccess(now)
}

func (b *retryBudgets) allow(account string, now time.Time) bool {
	s := &b.shards[kumquathitch.ShardOf(account, retryBudgetShards)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next, allowed := s.budget.Allow(now)
	s.budget = next
	return allowed
}
