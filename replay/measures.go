package replay

import (
	"cmp"
	"slices"
	"time"
)

// Latency targets of the users: the time to the first token, and between two tokens.
const (
	FirstTokenTarget    = 330 * time.Millisecond
	TokenIntervalTarget = 45 * time.Millisecond
)

// AccountMeasures holds the measures of one client account.
type AccountMeasures struct {
	Account           string  `json:"account"`
	Requests          int     `json:"requests"`
	InsideRate        int     `json:"inside-rate"` // Requests within the account's rate and burst.
	Attained          int     `json:"attained"`    // InsideRate requests that were completed within both latency targets.
	RefusedInsideRate int     `json:"refused-inside-rate"`
	Failed            int     `json:"failed"`
	ServedFraction    float64 `json:"served"` // Attained / InsideRate.
}

// Measures holds the users' four measures for one policy on one trace.
type Measures struct {
	Policy                   string            `json:"policy"`
	AttainedPerAcceleratorHr float64           `json:"attained-per-accelerator-hour"`
	Attainment               float64           `json:"attainment"` // Attained / InsideRate, over all accounts.
	ModelMoves               int               `json:"model-moves"`
	WorstServed              AccountMeasures   `json:"worst-served"`
	RefusedInsideRate        int               `json:"refused-inside-rate"`
	Accounts                 []AccountMeasures `json:"accounts"`
}

// collector counts the outcomes of the requests of a trace.
type collector struct {
	accounts      map[string]*AccountMeasures
	globalBuckets map[string]*bucket // One per account for the whole fleet; they define which requests are inside the rate.
	moves         int
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, level float64 // Rate in tokens per second, the others in tokens.
	updatedAt          time.Time
}

func (b *bucket) refill(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
}

// take takes tokens from the bucket, and returns false when it holds too few.
func (b *bucket) take(tokens float64, now time.Time) bool {
	b.refill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

func (c *collector) measures(policy string, accelerators int, length time.Duration) Measures {
	m := Measures{Policy: policy, ModelMoves: c.moves}
	attained, insideRate := 0, 0
	for _, a := range c.accounts {
		if a.InsideRate > 0 {
			a.ServedFraction = float64(a.Attained) / float64(a.InsideRate)
		}
		attained += a.Attained
		insideRate += a.InsideRate
		m.RefusedInsideRate += a.RefusedInsideRate
		m.Accounts = append(m.Accounts, *a)
	}
	slices.SortFunc(m.Accounts, func(a, b AccountMeasures) int { return cmp.Compare(a.Account, b.Account) })
	for i, a := range m.Accounts {
		if i == 0 || a.ServedFraction < m.WorstServed.ServedFraction {
			m.WorstServed = a
		}
	}
	if insideRate > 0 {
		m.Attainment = float64(attained) / float64(insideRate)
	}
	m.AttainedPerAcceleratorHr = float64(attained) / float64(accelerators) / length.Hours()
	return m
}
