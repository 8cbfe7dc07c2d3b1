// Package rate is the aggregate of rate shares: what this VM may spend of each
// client account's rate and burst, such that the sum over all VMs never passes
// the account's rate and burst.
//
// # Usage
//
//	ledger := rate.NewLedger(0.001)
//	ledger.Apply(config, 1.0/9, now)
//	if short, ok := ledger.Charge("crew-a", 700, now); !ok {
//		// short tokens are missing
//	}
//	ledger.Refund("crew-a", 120, now)
//
// Decisions take the time as a value. State is held in shards by account, each
// under its own lock.
package rate

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const shardCount = 32

// Ledger holds the buckets of all accounts on this VM.
type Ledger struct {
	drift  float64
	shards [shardCount]shard
}

type shard struct {
	mutex    sync.Mutex
	accounts map[string]*holding
}

// holding is this VM's part of one account.
type holding struct {
	rights Rights
	bucket Bucket
}

// NewLedger returns a ledger without rights; drift is the largest relative error of the clock.
func NewLedger(drift float64) *Ledger {
	l := &Ledger{drift: drift}
	for i := range l.shards {
		l.shards[i].accounts = map[string]*holding{}
	}
	return l
}

// Apply gives this VM a static share, in [0, 1], of every account's rate and burst.
func (l *Ledger) Apply(config kumquathitch.Configuration, share float64, now time.Time) {
	listed := map[string]bool{}
	for _, a := range config.Accounts {
		listed[a.Name] = true
		s := l.shard(a.Name)
		s.mutex.Lock()
		h := s.accounts[a.Name]
		if h == nil {
			h = &holding{}
			s.accounts[a.Name] = h
		}
		h.bucket.Refill(h.rights, l.drift, now)
		h.rights = Rights{Rate: a.Rate * share, Burst: a.Burst * share}
		s.mutex.Unlock()
	}
	for i := range l.shards {
		s := &l.shards[i]
		s.mutex.Lock()
		for name := range s.accounts {
			if !listed[name] {
				delete(s.accounts, name)
			}
		}
		s.mutex.Unlock()
	}
}

// Charge takes tokens from an account. When the level does not cover them, it
// takes nothing and returns the number of tokens missing.
func (l *Ledger) Charge(account string, tokens float64, now time.Time) (short float64, ok bool) {
	s := l.shard(account)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.accounts[account]
	if h == nil {
		return tokens, false
	}
	h.bucket.Refill(h.rights, l.drift, now)
	if h.bucket.Level < tokens {
		return tokens - h.bucket.Level, false
	}
	h.bucket.Level -= tokens
	return 0, true
}

// Refund gives back tokens that were charged and not used.
func (l *Ledger) Refund(account string, tokens float64, now time.Time) {
	s := l.shard(account)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.accounts[account]
	if h == nil {
		return
	}
	h.bucket.Refill(h.rights, l.drift, now)
	h.bucket.Level = min(h.bucket.Level+max(0, tokens), h.rights.Burst)
}

// Rights returns what this VM may spend of an account; zero rights for an unknown one.
func (l *Ledger) Rights(account string) Rights {
	s := l.shard(account)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if h := s.accounts[account]; h != nil {
		return h.rights
	}
	return Rights{}
}

func (l *Ledger) shard(account string) *shard {
	return &l.shards[kumquathitch.ShardOf(account, shardCount)]
}
