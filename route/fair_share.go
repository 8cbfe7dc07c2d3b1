package route

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

// AccountLoad is the load of one account on the replicas of one model.
type AccountLoad struct {
	Account  string
	Weight   float64 // Rate of the account: shares are proportional to rates.
	Tokens   float64 // Tokens in flight.
	Requests int     // Requests in flight.
	Admitted float64 // Requests that were assigned an upstream, as an exponentially decayed count.
	Shed     float64 // Requests that were shed, as an exponentially decayed count.
	Offered  float64 // Tokens of both, as an exponentially decayed sum.
}

// AccountLoads holds the loads of all accounts on one model.
type AccountLoads []AccountLoad

// FairLevel returns the weighted max-min fair level of a capacity in tokens. The
// share of an account is the level times its weight, and what an account leaves
// unused goes to the others. The level is infinite if the capacity covers all loads.
func (l AccountLoads) FairLevel(capacity float64) float64 {
	sorted := slices.Clone(l)
	slices.SortFunc(sorted, func(a, b AccountLoad) int { return cmp.Compare(a.weightedTokens(), b.weightedTokens()) })
	weight := 0.0
	for _, load := range sorted {
		weight += load.Weight
	}
	for _, load := range sorted {
		if load.weightedTokens()*weight > capacity {
			return capacity / weight
		}
		capacity -= load.Tokens
		weight -= load.Weight
	}
	return math.Inf(1)
}

// tieMargin is the relative difference below which two accounts count as
// equally far over their shares.
const tieMargin = 0.02

// MostOverShare returns the account that exceeds its share of a capacity in
// tokens by the most, relative to its weight: the one to shed load from. It
// returns "" if no account exceeds its share. Ties are decided by measure, one
// of the Measure constants of the root package.
func (l AccountLoads) MostOverShare(capacity float64, measure string) string {
	level := l.FairLevel(capacity)
	maxExcess := 0.0
	for _, load := range l {
		maxExcess = max(maxExcess, load.weightedTokens()-level)
	}
	if maxExcess <= 0 {
		return ""
	}
	var most *AccountLoad
	for i := range l {
		excess := l[i].weightedTokens() - level
		if excess < maxExcess*(1-tieMargin) {
			continue
		}
		if most == nil || l[i].shedBefore(most, measure) {
			most = &l[i]
		}
	}
	return most.Account
}

// modestOfferFraction is the fraction of the mean offered load, relative to the
// weights, below which an account is not shed. Accounts that offer about the same
// differ by less, so that the one that offers slightly more is not always shed.
const modestOfferFraction = 0.75

// OffersLittle reports whether an account offers clearly less than its part of the
// load of all accounts. Such an account is not the cause of an overload, although
// its tokens in flight may exceed a share that was computed from outdated reports.
func (l AccountLoads) OffersLittle(account string) bool {
	offered, weight, own, ownWeight := 0.0, 0.0, 0.0, 0.0
	for _, load := range l {
		offered += load.Offered
		weight += load.Weight
		if load.Account == account {
			own, ownWeight = load.Offered, load.Weight
		}
	}
	return own*weight < modestOfferFraction*offered*ownWeight
}

// shedBefore decides a tie. With MeasureRefusals, load is shed from the account
// with the larger requests, because fewer refusals then free as many tokens.
// Otherwise it is shed from the account with the smaller fraction shed so far,
// which spares the worst-served account.
func (a *AccountLoad) shedBefore(other *AccountLoad, measure string) bool {
	if measure == kumquathitch.MeasureRefusals {
		return a.meanTokens() > other.meanTokens()
	}
	return a.shedFraction() < other.shedFraction()
}

func (a *AccountLoad) weightedTokens() float64 {
	return a.Tokens / a.Weight
}

func (a *AccountLoad) meanTokens() float64 {
	return a.Tokens / float64(max(1, a.Requests))
}

func (a *AccountLoad) shedFraction() float64 {
	return a.Shed / max(1, a.Shed+a.Admitted)
}

// countTimeConstant is the time constant with which the counts Admitted and Shed decay.
const countTimeConstant = 30 * time.Second

// loadTracker holds the loads by model, in shards.
type loadTracker struct {
	shards [shardCount]loadShard
}

type loadShard struct {
	mutex  sync.Mutex
	models map[string]*modelLoad
}

// modelLoad is the load of all accounts on one model.
type modelLoad struct {
	accounts    map[string]*accountState
	tokens      float64 // Tokens in flight.
	sustainable float64 // Tokens in flight that the replicas have handled within the allowed time.
	updatedAt   time.Time
}

const (
	// sustainableTimeConstant is the time constant with which modelLoad.sustainable
	// decays, because the set of replicas changes.
	sustainableTimeConstant = 10 * time.Second
	// sustainableRiseSteps is the number of choices in which
	// modelLoad.sustainable follows most of a rise of the tokens in flight.
	// Reports lag, so the effect of a rise is not visible at once.
	sustainableRiseSteps = 64
)

// recordUncrowded records that a request was assigned to a replica that was fast enough.
func (m *modelLoad) recordUncrowded(now time.Time) {
	m.decay(now)
	if m.tokens > m.sustainable {
		m.sustainable += (m.tokens - m.sustainable) / sustainableRiseSteps
	}
}

// capacity estimates the tokens in flight that the replicas can handle within
// the allowed time, given an overload factor. After load was shed, a factor from
// old reports may still be too high, so the result is at least m.sustainable.
func (m *modelLoad) capacity(overloadFactor float64, now time.Time) float64 {
	m.decay(now)
	return max(m.tokens/overloadFactor, m.sustainable)
}

func (m *modelLoad) decay(now time.Time) {
	if !m.updatedAt.IsZero() {
		m.sustainable *= math.Exp(-max(0, now.Sub(m.updatedAt).Seconds()) / sustainableTimeConstant.Seconds())
	}
	m.updatedAt = now
}

type accountState struct {
	AccountLoad
	updatedAt time.Time
}

func (l *loadTracker) shard(model string) *loadShard {
	return &l.shards[kumquathitch.ShardOf(model, shardCount)]
}

// shouldShed reports whether to shed a request of an account, and counts it if
// so. The overloadFactor is the ratio of the estimated time to the first token
// to that at which shedding begins. It is also taken as the ratio of the tokens
// in flight to those that the replicas can handle.
func (l *loadTracker) shouldShed(model, account string, tokens int64, overloadFactor float64, measure string, now time.Time) bool {
	s := l.shard(model)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := s.models[model]
	if m == nil {
		return false
	}
	loads := make(AccountLoads, 0, len(m.accounts))
	for _, a := range m.accounts {
		a.decay(now)
		loads = append(loads, a.AccountLoad)
	}
	if loads.MostOverShare(m.capacity(overloadFactor, now), measure) != account || loads.OffersLittle(account) {
		return false
	}
	m.accounts[account].Shed++
	m.accounts[account].Offered += float64(tokens)
	return true
}

// begin records an assigned request. The flag uncrowded states that its replica
// was fast enough.
func (l *loadTracker) begin(model, account string, weight float64, tokens int64, uncrowded bool, now time.Time) {
	s := l.shard(model)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := s.models[model]
	if m == nil {
		m = &modelLoad{accounts: map[string]*accountState{}}
		s.models[model] = m
	}
	a := m.accounts[account]
	if a == nil {
		a = &accountState{AccountLoad: AccountLoad{Account: account}, updatedAt: now}
		m.accounts[account] = a
	}
	a.decay(now)
	a.Weight = weight
	a.Tokens += float64(tokens)
	a.Requests++
	a.Admitted++
	a.Offered += float64(tokens)
	m.tokens += float64(tokens)
	if uncrowded {
		m.recordUncrowded(now)
	}
}

func (l *loadTracker) end(model, account string, tokens int64, now time.Time) {
	s := l.shard(model)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := s.models[model]
	if m == nil || m.accounts[account] == nil {
		return
	}
	a := m.accounts[account]
	a.decay(now)
	a.Tokens -= float64(tokens)
	a.Requests--
	m.tokens -= float64(tokens)
	if a.Requests == 0 && a.Admitted+a.Shed < 1 {
		delete(m.accounts, account)
	}
}

func (a *accountState) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(a.updatedAt).Seconds()) / countTimeConstant.Seconds())
	a.Admitted *= factor
	a.Shed *= factor
	a.Offered *= factor
	a.updatedAt = now
}
