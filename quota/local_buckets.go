// Package quota divides the token rates of client accounts over the entry VMs.
//
// # Usage
//
// The leader has an [Issuer], which issues tokens at the rate of each account.
// Every VM has [LocalBuckets], which are filled with issued tokens only:
//
//	buckets := quota.NewLocalBuckets(clock, bootstrap)
//	err := buckets.Take(ctx, tenant, 1460, clock.Now().Add(100*time.Millisecond))
//	buckets.PrepareExchange(&request, tenants, now) // Sent to the leader in an exchange.
//	buckets.ApplyResponse(&response, now)           // The response carries the tokens.
//
// The buckets of all VMs together hold no more tokens than were issued. If a VM has
// had no response from an issuer for [IssuerTimeout], it refills its buckets at an
// equal share of each rate by itself. The issuer holds back that share for every VM
// that has made no exchange for as long.
package quota

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	shardCount = 8
	// demandTimeConstant is the time constant of the decaying average of an account's demand.
	demandTimeConstant = 2 * time.Second
	// targetStockTime is the reserve of tokens that a VM requests, as the time for which
	// they meet its demand. Exchanges come twice a second, and one may be lost.
	targetStockTime = 1200 * time.Millisecond
	// maxStockTime is the reserve above which a VM returns tokens, in the same measure.
	maxStockTime = 3 * time.Second
	// minStockFraction is the reserve of all VMs together for the first calls of an
	// account, as a fraction of its burst.
	minStockFraction = 0.2
	// minRetryAfterSeconds and maxRetryAfterSeconds bound the Retry-After of refused
	// calls. It grows with the overload, since early retries would be refused again.
	minRetryAfterSeconds = 0.3
	maxRetryAfterSeconds = 5.0
	// IssuerTimeout is the time since the last response of an issuer after which a VM
	// refills its buckets at its share of each rate by itself. The issuer holds that
	// share back for VMs that have made no exchange for as long.
	IssuerTimeout = 1500 * time.Millisecond
	// restartLevelFraction is the level of a bucket after a restart of the VM, as a
	// fraction of the VM's share of the burst. The rest may have been spent before the
	// restart, within the same window.
	restartLevelFraction = 0.25
)

// LocalBuckets holds this VM's token bucket of each account. It implements
// kumquathitch.TokenBuckets, and is safe for concurrent use.
type LocalBuckets struct {
	clock          kumquathitch.Clock
	bootstrap      bool
	exchangeNeeded chan struct{}
	shards         [shardCount]bucketShard
	issuer         issuerContact
}

// issuerContact is what this VM knows from responses of the issuer.
type issuerContact struct {
	mutex        sync.Mutex
	lastResponse time.Time
	members      int                // VMs that share the rates, as far as known.
	settled      bool               // No VM is missing from members.
	levels       map[string]float64 // Levels of the issuer's buckets in its last response, by account.
}

type bucketShard struct {
	mutex   sync.Mutex
	buckets map[string]*bucket
}

// bucket is this VM's token bucket of one account.
type bucket struct {
	tenant        kumquathitch.Tenant
	level         float64
	demand        float64 // Tokens per second.
	updated       time.Time
	waitingTokens float64 // Tokens that waiting calls need.
	refuseUntil   time.Time
	changed       chan struct{} // Closed when tokens arrive or refuseUntil is set, to wake waiting calls.
}

// NewLocalBuckets returns empty buckets. If bootstrap is set, the whole system starts
// for the first time, so no earlier process of this VM has spent tokens.
func NewLocalBuckets(clock kumquathitch.Clock, bootstrap bool) *LocalBuckets {
	lb := &LocalBuckets{clock: clock, bootstrap: bootstrap, exchangeNeeded: make(chan struct{}, 1)}
	for i := range lb.shards {
		lb.shards[i].buckets = map[string]*bucket{}
	}
	return lb
}

// ExchangeNeeded returns a channel that receives a value when calls wait for tokens.
func (lb *LocalBuckets) ExchangeNeeded() <-chan struct{} {
	return lb.exchangeNeeded
}

// Take removes tokens from an account's bucket, and waits for them until the given
// time. It returns a *RefusalError with status 429 if they are not available, or the
// cause of the end of ctx.
func (lb *LocalBuckets) Take(ctx context.Context, tenant *kumquathitch.Tenant, tokens float64, until time.Time) error {
	if !tenant.RateLimited {
		return nil
	}
	newCall := true
	for {
		changed, ready, retryAt := lb.tryTake(tenant, tokens, until, newCall)
		if ready {
			return nil
		}
		newCall = false
		if changed == nil {
			refusal := kumquathitch.NewRefusal(http.StatusTooManyRequests, "rate-exceeded", lb.refusalReason(tenant, tokens))
			refusal.RetryAfter = retryAt
			return refusal
		}
		lb.requestExchange()
		timer := time.NewTimer(until.Sub(lb.clock.Now()))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		lb.stopWaiting(tenant.Name, tokens)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// refusalReason returns the message of a refusal, with the figures that it is based on.
func (lb *LocalBuckets) refusalReason(tenant *kumquathitch.Tenant, tokens float64) string {
	now := lb.clock.Now()
	lb.issuer.mutex.Lock()
	silent, members := now.Sub(lb.issuer.lastResponse), lb.issuer.members
	never := lb.issuer.lastResponse.IsZero()
	lb.issuer.mutex.Unlock()
	issuer := "the leader has not responded yet"
	if !never {
		issuer = fmt.Sprintf("the leader responded %d ms ago", silent.Milliseconds())
	}
	s := lb.shard(tenant.Name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := lb.bucket(s, tenant, now)
	return fmt.Sprintf("account %s has %.0f of the %.0f needed tokens on this VM; demand here %.0f tokens/s, rate %.0f tokens/s over %d VMs; %s",
		tenant.Name, b.level, tokens, b.demand, tenant.Rate, members, issuer)
}

// tryTake removes the tokens from the bucket and reports true, if there are enough.
// Otherwise it returns a channel to wait on, or nil and the time to retry if waiting
// is of no use.
func (lb *LocalBuckets) tryTake(tenant *kumquathitch.Tenant, tokens float64, until time.Time, newCall bool) (chan struct{}, bool, time.Time) {
	now := lb.clock.Now()
	share := lb.localShare(now)
	s := lb.shard(tenant.Name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := lb.bucket(s, tenant, now)
	b.advance(now, share)
	if newCall {
		b.demand += tokens / demandTimeConstant.Seconds()
	}
	// A call that needs more than the VM's share of the burst is admitted when the
	// bucket holds the whole share.
	if b.level >= tokens || (share > 0 && b.level >= share*tenant.Burst) {
		b.level -= tokens
		return nil, true, now
	}
	if !now.Before(until) || now.Before(b.refuseUntil) {
		overload := b.demand * float64(lb.memberCount()) / max(1, tenant.Rate)
		return nil, false, now.Add(time.Duration(min(maxRetryAfterSeconds, max(minRetryAfterSeconds, overload)) * float64(time.Second)))
	}
	b.waitingTokens += tokens
	return b.changed, false, now
}

func (lb *LocalBuckets) stopWaiting(account string, tokens float64) {
	s := lb.shard(account)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b := s.buckets[account]; b != nil {
		b.waitingTokens = max(0, b.waitingTokens-tokens)
	}
}

func (lb *LocalBuckets) startLevel(tenant *kumquathitch.Tenant) float64 {
	lb.issuer.mutex.Lock()
	defer lb.issuer.mutex.Unlock()
	if !lb.issuer.settled || lb.bootstrap {
		return 0 // At the first start of the system the issuer grants the burst.
	}
	return restartLevelFraction * tenant.Burst / float64(lb.issuer.members)
}

// localShare returns the fraction of each rate at which this VM refills its buckets by
// itself: 0 while the issuer responds.
func (lb *LocalBuckets) localShare(now time.Time) float64 {
	lb.issuer.mutex.Lock()
	defer lb.issuer.mutex.Unlock()
	if !lb.issuer.settled || now.Sub(lb.issuer.lastResponse) < IssuerTimeout {
		return 0
	}
	return 1 / float64(lb.issuer.members)
}

// Refund returns the tokens of a call that did not run to the bucket.
func (lb *LocalBuckets) Refund(account string, tokens float64) {
	s := lb.shard(account)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b := s.buckets[account]; b != nil {
		b.level += tokens
		b.notifyWaiters()
	}
}

// PrepareExchange sets the tokens to request from the issuer, the part of them that
// calls wait for, and those to return to it. The returned ones are already removed from
// the buckets.
func (lb *LocalBuckets) PrepareExchange(request *kumquathitch.ExchangeRequest, tenants kumquathitch.Tenants, now time.Time) {
	wanted, urgent, returned := map[string]float64{}, map[string]float64{}, map[string]float64{}
	request.TokensWanted, request.TokensUrgent, request.TokensReturned = wanted, urgent, returned
	members := float64(lb.memberCount())
	for i := range tenants {
		tenant := &tenants[i]
		if !tenant.RateLimited {
			continue
		}
		s := lb.shard(tenant.Name)
		s.mutex.Lock()
		b := lb.bucket(s, tenant, now)
		b.advance(now, 0)
		reserve := minStockFraction * tenant.Burst / members
		target := max(reserve, b.demand*targetStockTime.Seconds()) + b.waitingTokens
		surplus := b.level - max(2*reserve, b.demand*maxStockTime.Seconds())
		if b.level < target {
			wanted[tenant.Name] = math.Ceil(target - b.level)
			if lacking := b.waitingTokens - b.level; lacking > 0 {
				urgent[tenant.Name] = math.Ceil(lacking)
			}
		} else if surplus > reserve {
			b.level -= surplus
			returned[tenant.Name] = surplus
		}
		s.mutex.Unlock()
	}
}

func (lb *LocalBuckets) memberCount() int {
	lb.issuer.mutex.Lock()
	defer lb.issuer.mutex.Unlock()
	return max(1, lb.issuer.members)
}

// ApplyResponse adds the granted tokens in the response of another VM, and records the
// accounts without tokens. Only the leader grants tokens.
func (lb *LocalBuckets) ApplyResponse(response *kumquathitch.ExchangeResponse, now time.Time) {
	lb.issuer.mutex.Lock()
	if response.Leader {
		lb.issuer.lastResponse, lb.issuer.levels = now, response.BucketLevels
	}
	lb.issuer.mutex.Unlock()
	for account, tokens := range response.TokensGranted {
		lb.Refund(account, tokens)
	}
	for account, seconds := range response.RetryAfterSeconds {
		s := lb.shard(account)
		s.mutex.Lock()
		if b := s.buckets[account]; b != nil {
			b.refuseUntil = now.Add(time.Duration(seconds * float64(time.Second)))
			b.notifyWaiters()
		}
		s.mutex.Unlock()
	}
}

// IssuerLevels returns the levels of the issuer's buckets in its last response, by
// account. A new leader starts its issuer with them.
func (lb *LocalBuckets) IssuerLevels() map[string]float64 {
	lb.issuer.mutex.Lock()
	defer lb.issuer.mutex.Unlock()
	return lb.issuer.levels
}

// SetMemberCount sets the number of VMs that the rates are divided over, at least 1. Until it
// is settled, the VM refills no bucket by itself.
func (lb *LocalBuckets) SetMemberCount(members int, settled bool) {
	lb.issuer.mutex.Lock()
	defer lb.issuer.mutex.Unlock()
	lb.issuer.members, lb.issuer.settled = max(1, members), settled
}

func (lb *LocalBuckets) requestExchange() {
	select {
	case lb.exchangeNeeded <- struct{}{}:
	default:
	}
}

func (lb *LocalBuckets) shard(account string) *bucketShard {
	return &lb.shards[kumquathitch.ShardOf(account, shardCount)]
}

// bucket returns the bucket of an account, updated to the present rate. The caller
// holds the lock of the shard.
func (lb *LocalBuckets) bucket(s *bucketShard, tenant *kumquathitch.Tenant, now time.Time) *bucket {
	b := s.buckets[tenant.Name]
	if b == nil {
		b = &bucket{changed: make(chan struct{}), refuseUntil: now, updated: now, level: lb.startLevel(tenant)}
		s.buckets[tenant.Name] = b
	}
	b.tenant = *tenant
	return b
}

// advance decays the average demand, and refills the bucket at the VM's share of the
// rate. A share of 0 refills nothing.
func (b *bucket) advance(now time.Time, share float64) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.demand *= math.Exp(-elapsed / demandTimeConstant.Seconds())
	if share > 0 && b.level < b.tenant.Burst*share {
		b.level = min(b.tenant.Burst*share, b.level+b.tenant.Rate*share*min(elapsed, 1))
	}
}

func (b *bucket) notifyWaiters() {
	close(b.changed)
	b.changed = make(chan struct{})
}
