package quota

import (
	"math"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

// unreportedIssueTime is the time for which the previous issuer may have issued tokens
// after the levels that a VM knows. Exchanges come twice a second.
const unreportedIssueTime = 500 * time.Millisecond

// minRetryWait is the lower limit of the estimated wait for tokens, half of which is
// reported to the VM.
const minRetryWait = 50 * time.Millisecond

const (
	// reserveTime is the part of a bucket that is issued only to calls that wait, as the
	// time in which the rate fills it. Otherwise the first VMs to ask would stock up,
	// while the others refuse calls.
	reserveTime = 250 * time.Millisecond
	// unknownStartTime is the level of a bucket at the start, as the time in which the
	// rate fills it, when no VM knows the levels of an earlier issuer: all have lost
	// power. It is half of what the platform allows beyond the rate: a tenth of 8 s.
	unknownStartTime = 400 * time.Millisecond
)

// memberTTL is how long the share of a silent VM is held back. Such a VM may be cut off
// from the leader alone, and refill its buckets by itself.
const memberTTL = 45 * time.Second

// Issuer issues the tokens of all accounts. It runs on the leader, and is safe for
// concurrent use.
type Issuer struct {
	shards  [shardCount]issuerShard
	members issuerMembers
}

type issuerShard struct {
	mutex   sync.Mutex
	buckets map[string]*issuerBucket
}

// issuerBucket holds the tokens of one account that may be issued.
type issuerBucket struct {
	level   float64
	updated time.Time
}

// issuerMembers holds the VMs that the rates are divided over, and the initial levels
// of buckets.
type issuerMembers struct {
	mutex        sync.Mutex
	lastExchange map[string]time.Time
	startFull    bool               // Buckets start with the whole burst.
	priorLevels  map[string]float64 // Levels of the issuer of the previous term, by account.
	start        time.Time
}

// NewIssuer returns an issuer that issues tokens from the time start on. If startFull
// is set, there was no issuer before, and buckets start with the whole burst.
// Otherwise they start with priorLevels, the levels last known from the previous
// issuer, less what it may have issued since, or empty where no level is known. With no
// levels at all, they start with what is filled in unknownStartTime.
func NewIssuer(startFull bool, priorLevels map[string]float64, start time.Time) *Issuer {
	iss := &Issuer{members: issuerMembers{lastExchange: map[string]time.Time{}, startFull: startFull, priorLevels: priorLevels, start: start}}
	for i := range iss.shards {
		iss.shards[i].buckets = map[string]*issuerBucket{}
	}
	return iss
}

// AddMembers adds the VMs of a roster. The share of those that make no
// exchange is held back.
func (iss *Issuer) AddMembers(names []string, now time.Time) {
	iss.members.mutex.Lock()
	defer iss.members.mutex.Unlock()
	for _, name := range names {
		if _, known := iss.members.lastExchange[name]; !known {
			iss.members.lastExchange[name] = now.Add(-IssuerTimeout)
		}
	}
}

// HandleExchange takes back the tokens that a VM returns, and grants tokens as requested
// as far as the buckets of the accounts hold them.
func (iss *Issuer) HandleExchange(request *kumquathitch.ExchangeRequest, tenants kumquathitch.Tenants, now time.Time) kumquathitch.ExchangeResponse {
	response := kumquathitch.ExchangeResponse{Leader: true, TokensGranted: map[string]float64{}, RetryAfterSeconds: map[string]float64{}, BucketLevels: map[string]float64{}}
	members, liveFraction := iss.recordExchange(request.From, now)
	response.MemberCount = members
	for i := range tenants {
		tenant := &tenants[i]
		if !tenant.RateLimited {
			continue
		}
		returned := max(0, request.TokensReturned[tenant.Name])
		wanted := request.TokensWanted[tenant.Name]
		granted, level, retryAfter := iss.issue(tenant, returned, wanted, min(wanted, request.TokensUrgent[tenant.Name]), liveFraction, now)
		response.BucketLevels[tenant.Name] = math.Floor(level)
		if granted > 0 {
			response.TokensGranted[tenant.Name] = granted
		}
		if retryAfter > 0 {
			response.RetryAfterSeconds[tenant.Name] = retryAfter.Seconds()
		}
	}
	return response
}

// recordExchange records an exchange with a VM. It returns the number of VMs, and the
// fraction of them that made an exchange within IssuerTimeout.
func (iss *Issuer) recordExchange(name string, now time.Time) (members int, liveFraction float64) {
	iss.members.mutex.Lock()
	defer iss.members.mutex.Unlock()
	iss.members.lastExchange[name] = now
	recent := 0
	for other, last := range iss.members.lastExchange {
		switch silent := now.Sub(last); {
		case silent > memberTTL:
			delete(iss.members.lastExchange, other)
		case silent < IssuerTimeout:
			recent++
		}
	}
	members = len(iss.members.lastExchange)
	return members, float64(recent) / float64(members)
}

// issue takes back returned tokens and grants up to the wanted ones, of which calls wait
// for the urgent part. If a call could not get the rest now, retryAfter is the time
// after which to ask again. The level is what remains.
func (iss *Issuer) issue(tenant *kumquathitch.Tenant, returned, wanted, urgent, liveFraction float64, now time.Time) (granted, level float64, retryAfter time.Duration) {
	s := &iss.shards[kumquathitch.ShardOf(tenant.Name, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bucket := s.buckets[tenant.Name]
	if bucket == nil {
		bucket = iss.newBucket(tenant)
		s.buckets[tenant.Name] = bucket
	}
	if elapsed := now.Sub(bucket.updated).Seconds(); elapsed > 0 {
		bucket.level = min(tenant.Burst, bucket.level+tenant.Rate*liveFraction*elapsed)
		bucket.updated = now
	}
	bucket.level = min(tenant.Burst, bucket.level+returned)
	if wanted <= 0 {
		return 0, bucket.level, 0
	}
	granted = max(0, min(urgent, bucket.level))
	reserve := min(tenant.Burst/2, reserveTime.Seconds()*tenant.Rate)
	granted += max(0, min(wanted-urgent, bucket.level-granted-reserve))
	bucket.level -= granted
	// Calls may still draw from the reserve.
	if lacking := max(urgent-granted, wanted-granted-bucket.level); lacking > 0 {
		waitSeconds := lacking / max(1, tenant.Rate*liveFraction)
		retryAfter = max(minRetryWait, min(time.Second, time.Duration(waitSeconds*float64(time.Second)))) / 2
	}
	return granted, bucket.level, retryAfter
}

func (iss *Issuer) newBucket(tenant *kumquathitch.Tenant) *issuerBucket {
	iss.members.mutex.Lock()
	defer iss.members.mutex.Unlock()
	bucket := &issuerBucket{updated: iss.members.start, level: max(0, iss.members.priorLevels[tenant.Name]-unreportedIssueTime.Seconds()*tenant.Rate)}
	switch {
	case iss.members.startFull:
		bucket.level = tenant.Burst
	case len(iss.members.priorLevels) == 0:
		bucket.level = min(tenant.Burst, unknownStartTime.Seconds()*tenant.Rate)
	}
	return bucket
}
