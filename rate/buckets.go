// Package rate is the aggregate of rate shares: what this VM may spend of each
// client account's rate and burst. The sum over all VMs never exceeds the
// account's rate and burst.
//
// The rates and bursts of all accounts are divided into slots. The [Table] of a
// data centre, a record in the store, holds the leases of the slots' parts; a
// [Renewer] renews those of this VM. [Buckets] holds this VM's token bucket of
// each account, and the loans that move rate, burst and tokens between VMs for a
// few seconds. The [Borrower] asks peers for loans, the [Limiter] admits requests.
//
// # Usage
//
//	buckets := rate.NewBuckets(settings)
//	buckets.Apply(config, now)
//	renewer := &rate.Renewer{Store: store, Buckets: buckets, Clock: clock, Self: self, DataCentre: "montreal-1", Settings: settings}
//	err := renewer.Renew(ctx, config) // Every 10 s.
//	if missing, ok := buckets.Charge("crew-a", 700, now); !ok {
//		// The account lacks this number of tokens.
//	}
//	buckets.Refund("crew-a", 120, charged, now)
//
// Decisions take the time as a value. State is held in shards by account, each
// under its own lock.
package rate

import (
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const shardCount = 32

// Buckets holds the token buckets of all accounts on this VM. It is safe for concurrent use.
type Buckets struct {
	settings Settings
	shards   [shardCount]shard
}

// shard holds the accounts and the answered borrow requests whose names or ids hash to it.
type shard struct {
	mutex    sync.Mutex
	shares   []Share
	buckets  map[string]*accountBucket
	answered map[string]bool // Ids of answered borrow requests.
	expiries []expiry        // When to forget the ids in answered, in order of time.
}

type expiry struct {
	request string
	at      time.Time
}

// NewBuckets returns buckets without accounts and shares.
func NewBuckets(settings Settings) *Buckets {
	b := &Buckets{settings: settings}
	for i := range b.shards {
		b.shards[i].answered = map[string]bool{}
		b.shards[i].buckets = map[string]*accountBucket{}
	}
	return b
}

// Apply sets the accounts' rates and bursts from a configuration. A new or raised
// limit refills from the current level; a lowered burst cuts the level. An account
// that is no longer listed has no limit, but its loans are kept until they end, so
// that their rate and burst are not counted twice if the account is listed again.
func (b *Buckets) Apply(config kumquathitch.Configuration, now time.Time) {
	listed := map[string]bool{}
	for _, a := range config.Accounts {
		listed[a.Name] = true
		s := b.shard(a.Name)
		s.mutex.Lock()
		bucket := s.buckets[a.Name]
		if bucket == nil {
			bucket = &accountBucket{shares: s.shares, clockError: b.settings.ClockError, refillFactor: 1 - b.settings.ClockDrift}
			s.buckets[a.Name] = bucket
		}
		bucket.advance(now)
		bucket.rate, bucket.burst, bucket.listed = a.Rate, a.Burst, true
		bucket.recompute()
		s.mutex.Unlock()
	}
	b.forEach(func(s *shard, name string, bucket *accountBucket) {
		if listed[name] {
			return
		}
		bucket.advance(now)
		bucket.rate, bucket.burst, bucket.listed = 0, 0, false
		bucket.recompute()
		if bucket.unused() {
			delete(s.buckets, name)
		}
	})
}

// SetShares replaces the shares that this VM holds of every account.
func (b *Buckets) SetShares(shares []Share, now time.Time) {
	copied := slices.Clone(shares)
	for i := range b.shards {
		s := &b.shards[i]
		s.mutex.Lock()
		s.shares = copied
		for _, bucket := range s.buckets {
			bucket.advance(now)
			bucket.shares = copied
			bucket.recompute()
		}
		s.mutex.Unlock()
	}
}

// Charge takes tokens from an account and counts them as demand. If the level
// does not cover them, it takes none and returns the number of missing tokens.
func (b *Buckets) Charge(account string, tokens float64, now time.Time) (missing float64, ok bool) {
	return b.charge(account, tokens, tokens, now)
}

// RetryCharge is Charge for a request whose tokens are already counted as demand.
func (b *Buckets) RetryCharge(account string, tokens float64, now time.Time) (missing float64, ok bool) {
	return b.charge(account, tokens, 0, now)
}

func (b *Buckets) charge(account string, tokens, demand float64, now time.Time) (missing float64, ok bool) {
	s := b.shard(account)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bucket := s.buckets[account]
	if bucket == nil || !bucket.listed {
		return tokens, false
	}
	bucket.advance(now)
	bucket.addDemand(demand, now)
	if bucket.level < tokens {
		return tokens - bucket.level, false
	}
	bucket.level -= tokens
	return 0, true
}

// Refund returns unused tokens that were charged at a time, as if they had never
// been charged: tokens that would have overflowed the bucket since then are lost.
func (b *Buckets) Refund(account string, tokens float64, charged, now time.Time) {
	b.update(account, now, func(bucket *accountBucket) {
		bucket.refund(max(0, tokens), charged)
		bucket.addDemand(-max(0, tokens), now)
	})
}

// LocalLimit returns the rate and burst that this VM may spend of an account; zero for an unknown one.
func (b *Buckets) LocalLimit(account string, now time.Time) Limit {
	var limit Limit
	b.update(account, now, func(bucket *accountBucket) { limit = bucket.limit })
	return limit
}

// Share returns the fraction of every account's rate that this VM holds, without loans.
func (b *Buckets) Share(now time.Time) float64 {
	s := &b.shards[0] // All shards have the same shares.
	s.mutex.Lock()
	defer s.mutex.Unlock()
	share := 0.0
	for _, p := range s.shares {
		if !ended(p.Deadline, now) {
			share += p.Fraction
		}
	}
	return share
}

// Level returns the number of tokens that this VM may spend of an account now.
func (b *Buckets) Level(account string, now time.Time) float64 {
	level := 0.0
	b.update(account, now, func(bucket *accountBucket) { level = bucket.level })
	return level
}

// GlobalLimit returns the account's rate and burst over the whole fleet; ok is false if the account is not listed.
func (b *Buckets) GlobalLimit(account string) (limit Limit, ok bool) {
	s := b.shard(account)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bucket := s.buckets[account]
	if bucket == nil || !bucket.listed {
		return Limit{}, false
	}
	return Limit{Rate: bucket.rate, Burst: bucket.burst}, true
}

// LoanRequest returns the loan that this VM needs from its peers when waiting requests of an account lack tokens.
func (b *Buckets) LoanRequest(account string, missing float64, now time.Time) LoanRequest {
	request := LoanRequest{Account: account}
	b.update(account, now, func(bucket *accountBucket) {
		request = NewLoanRequest(account, bucket.limit, bucket.demandRate(now), missing)
	})
	return request
}

// Lend answers a borrow request. It subtracts the loans from the lender's limits
// and levels before it returns, so a lost response costs the loans until they end.
// A request that has been answered before gets no loans.
func (b *Buckets) Lend(request BorrowRequest, lender Holder, now time.Time) BorrowResponse {
	response := BorrowResponse{ID: request.ID, Borrower: request.Borrower}
	deadline := now.Add(b.settings.LoanTerm)
	if !b.firstRequest(request.ID, now) {
		return response
	}
	for _, extension := range request.Extensions {
		if loan, ok := b.extend(extension, deadline, now); ok {
			response.Loans = append(response.Loans, loan)
		}
	}
	for _, wanted := range request.Loans {
		b.update(wanted.Account, now, func(bucket *accountBucket) {
			state := bucket.lenderState(deadline, now)
			fraction := DecideLoan(state, wanted)
			if fraction == 0 || !bucket.listed {
				return
			}
			loan := Loan{
				ID:      request.ID + "/" + lender.String() + "/" + wanted.Account,
				Account: wanted.Account, Lender: lender, Deadline: deadline,
			}
			response.Loans = append(response.Loans, bucket.lend(loan, fraction, state))
		})
	}
	return response
}

// extend extends a loan that this VM made, if the loan and the account allow it.
func (b *Buckets) extend(extension Extension, deadline, now time.Time) (Loan, bool) {
	var extended Loan
	b.update(extension.Account, now, func(bucket *accountBucket) {
		loan := findLoan(bucket.lent, extension.Loan)
		if loan == nil || !now.Before(loan.Deadline) || !bucket.listed || !bucket.coversLoans(deadline) || !DecideExtension(bucket.lenderState(deadline, now)) {
			return
		}
		loan.Deadline = deadline
		extended = *loan
		extended.Level = 0
		bucket.recompute()
	})
	return extended, extended.ID != ""
}

// Accept adds the loans of a response and applies its extensions. It ignores loans
// that this process did not ask for, that have ended, or that were added before.
// It reports whether it added a loan.
func (b *Buckets) Accept(response BorrowResponse, self Holder, now time.Time) bool {
	if response.Borrower != self {
		return false
	}
	gained := false
	for _, loan := range response.Loans {
		if ended(loan.Deadline, now) {
			continue
		}
		b.update(loan.Account, now, func(bucket *accountBucket) {
			if existing := findLoan(bucket.borrowed, loan.ID); existing != nil {
				if loan.Deadline.After(existing.Deadline) {
					existing.Deadline = loan.Deadline
				}
				bucket.recompute()
				return
			}
			bucket.borrowed = append(bucket.borrowed, loan)
			bucket.recompute()
			bucket.level = min(bucket.level+loan.Level, bucket.limit.Burst)
			bucket.recordHeadroom()
			gained = true
		})
	}
	return gained
}

// DueExtensions returns the borrowed loans for which this VM should request an extension.
func (b *Buckets) DueExtensions(now time.Time) []Loan {
	var due []Loan
	b.forEach(func(_ *shard, _ string, bucket *accountBucket) {
		bucket.advance(now)
		due = append(due, dueForExtension(bucket.borrowed, bucket.limit, bucket.demandRate(now), b.settings, now)...)
	})
	return due
}

// LentUntil returns the latest deadline of the loans made by this VM that may
// still be in use, or the zero time if there are none.
func (b *Buckets) LentUntil(now time.Time) time.Time {
	var last time.Time
	b.forEach(func(_ *shard, _ string, bucket *accountBucket) {
		bucket.advance(now)
		for _, loan := range bucket.lent {
			if loan.Deadline.After(last) {
				last = loan.Deadline
			}
		}
	})
	return last
}

// firstRequest reports whether a borrow request is new. Its id is kept for twice
// as long as a loan made for it may be in use; if the request arrives again even
// later, it gets loans that its borrower ignores.
func (b *Buckets) firstRequest(request string, now time.Time) bool {
	s := b.shard(request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.expiries) > 0 && ended(s.expiries[0].at, now) {
		delete(s.answered, s.expiries[0].request)
		s.expiries = s.expiries[1:]
	}
	if s.answered[request] {
		return false
	}
	s.answered[request] = true
	s.expiries = append(s.expiries, expiry{request: request, at: now.Add(2 * (b.settings.LoanTerm + 2*b.settings.ClockError))})
	return true
}

func (b *Buckets) shard(account string) *shard {
	return &b.shards[kumquathitch.ShardOf(account, shardCount)]
}

// update brings an account's bucket up to date and calls a function with it under the shard's lock.
func (b *Buckets) update(account string, now time.Time, run func(bucket *accountBucket)) {
	s := b.shard(account)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if bucket := s.buckets[account]; bucket != nil {
		bucket.advance(now)
		run(bucket)
	}
}

// forEach calls a function for every bucket, under the lock of its shard.
func (b *Buckets) forEach(run func(s *shard, name string, bucket *accountBucket)) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mutex.Lock()
		for name, bucket := range s.buckets {
			run(s, name, bucket)
		}
		s.mutex.Unlock()
	}
}
