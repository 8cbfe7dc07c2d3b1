package rate

import (
	"math"
	"slices"
	"time"
)

// Limit holds the parameters of a token bucket: its refill rate and its capacity.
type Limit struct {
	Rate  float64 // Tokens per second.
	Burst float64 // Tokens.
}

// Share is a fraction of every account's rate and burst that this VM may spend.
type Share struct {
	Fraction float64   // In [0, 1].
	Deadline time.Time // When this VM stops spending from it, by its own clock; zero for a share without end.
}

// accountBucket is this VM's token bucket of one account. Its limit is the sum of
// the VM's shares and the loans borrowed, less the loans lent. Its level starts
// at zero, so that a restart of the VM does not grant the burst again.
type accountBucket struct {
	rate, burst float64 // Of the account over the whole fleet; zero when the account is not listed.
	shares      []Share // Common to all buckets, never modified in place.
	borrowed    []Loan
	lent        []Loan

	level    float64
	updated  time.Time        // When level and limit were last brought up to date.
	limit    Limit            // Valid from updated until nextEnd.
	nextEnd  time.Time        // When the next share or loan ends; zero for never.
	headroom []headroomSample // In increasing order of time and of tokens.

	demandSlow   float64 // Sum of the tokens requested, decayed with slowDemandTimeConstant.
	demandFast   float64 // The same, decayed with fastDemandTimeConstant.
	demandAsOf   time.Time
	listed       bool
	clockError   time.Duration
	refillFactor float64 // Below 1 by the clock drift, because a fast clock would refill too much.
}

// headroomSample is the smallest headroom of a bucket since a time. The headroom
// is the local burst less the level.
type headroomSample struct {
	at     time.Time
	tokens float64
}

// maxHeadroomSamples bounds the samples kept. The oldest ones are merged, which
// can only reduce refunds.
const maxHeadroomSamples = 64

// ended reports whether a deadline has passed; a zero deadline never does.
func ended(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// reusableAt returns when a lender may use a loan's rate and burst again. The
// borrower's clock may be behind by one clock error; the second clock error is
// the safety margin that all deadlines have.
func (a *accountBucket) reusableAt(l Loan) time.Time {
	return l.Deadline.Add(2 * a.clockError)
}

// advance brings level and limit up to date. Shares and loans that ended in the
// meantime count only until their deadlines, also after a pause of the VM.
func (a *accountBucket) advance(now time.Time) {
	if a.updated.IsZero() {
		a.updated = now
		a.recompute()
	}
	for ended(a.nextEnd, now) {
		a.refill(a.nextEnd)
		a.recompute()
	}
	a.refill(now)
	a.recordHeadroom()
}

// recordHeadroom adds a sample of the current headroom, which replaces earlier samples that are not smaller.
func (a *accountBucket) recordHeadroom() {
	now := headroomSample{at: a.updated, tokens: a.limit.Burst - a.level}
	kept := len(a.headroom)
	for kept > 0 && a.headroom[kept-1].tokens >= now.tokens {
		kept--
	}
	a.headroom = append(a.headroom[:kept], now)
	if len(a.headroom) > maxHeadroomSamples {
		a.headroom[1].tokens = a.headroom[0].tokens
		a.headroom = append(a.headroom[:0], a.headroom[1:]...)
	}
}

// refund returns tokens charged at a time, as if they had never been charged:
// tokens that would have overflowed the bucket since then are lost. If refunds
// were limited by the current burst only, callers could spend a full burst and
// the refund in addition.
func (a *accountBucket) refund(tokens float64, charged time.Time) {
	for _, sample := range a.headroom {
		if sample.at.After(charged) {
			tokens = min(tokens, sample.tokens)
			break
		}
	}
	a.level += max(0, min(tokens, a.limit.Burst-a.level))
	a.recordHeadroom()
}

func (a *accountBucket) refill(until time.Time) {
	if elapsed := until.Sub(a.updated); elapsed > 0 {
		a.level = min(a.limit.Burst, a.level+a.limit.Rate*a.refillFactor*elapsed.Seconds())
		a.updated = until
	}
}

// recompute sets limit and nextEnd as of updated, and cuts the level to the local burst.
func (a *accountBucket) recompute() {
	t := a.updated
	a.nextEnd = time.Time{}
	noteEnd := func(end time.Time) {
		if !end.IsZero() && (a.nextEnd.IsZero() || end.Before(a.nextEnd)) {
			a.nextEnd = end
		}
	}
	a.lent = slices.DeleteFunc(a.lent, func(l Loan) bool { return ended(a.reusableAt(l), t) })
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l Loan) bool { return ended(l.Deadline, t) })
	a.limit = a.unlentLimit(t)
	for _, share := range a.shares {
		if !ended(share.Deadline, t) {
			noteEnd(share.Deadline)
		}
	}
	for _, l := range a.lent {
		noteEnd(a.reusableAt(l))
	}
	for _, l := range a.borrowed {
		noteEnd(l.Deadline)
		if a.listed {
			a.limit.Rate += l.Rate
			a.limit.Burst += l.Burst
		}
	}
	a.level = min(a.level, a.limit.Burst)
	a.recordHeadroom()
}

// unlentLimit returns the limit from shares that last beyond a time, less all loans lent.
func (a *accountBucket) unlentLimit(beyond time.Time) Limit {
	own := a.ownLimit(beyond)
	for _, l := range a.lent {
		own.Rate -= l.Rate
		own.Burst -= l.Burst
	}
	return Limit{Rate: max(0, own.Rate), Burst: max(0, own.Burst)}
}

func (a *accountBucket) ownLimit(beyond time.Time) Limit {
	fraction := 0.0
	for _, share := range a.shares {
		if share.Deadline.IsZero() || share.Deadline.After(beyond) {
			fraction += share.Fraction
		}
	}
	return Limit{Rate: a.rate * fraction, Burst: a.burst * fraction}
}

// coversLoans reports whether the shares that last beyond a time cover all loans lent.
func (a *accountBucket) coversLoans(beyond time.Time) bool {
	own := a.ownLimit(beyond)
	for _, l := range a.lent {
		own.Rate -= l.Rate
		own.Burst -= l.Burst
	}
	return own.Rate >= 0 && own.Burst >= 0
}

// demandRate returns the recent demand in tokens per second, by the higher of the two estimates.
func (a *accountBucket) demandRate(now time.Time) float64 {
	if elapsed := now.Sub(a.demandAsOf).Seconds(); elapsed > 0 {
		a.demandSlow *= math.Exp(-elapsed / slowDemandTimeConstant.Seconds())
		a.demandFast *= math.Exp(-elapsed / fastDemandTimeConstant.Seconds())
		a.demandAsOf = now
	}
	return max(a.demandSlow/slowDemandTimeConstant.Seconds(), a.demandFast/fastDemandTimeConstant.Seconds())
}

// steadyDemand returns the recent demand in tokens per second, by the slow estimate alone.
func (a *accountBucket) steadyDemand(now time.Time) float64 {
	a.demandRate(now)
	return a.demandSlow / slowDemandTimeConstant.Seconds()
}

func (a *accountBucket) addDemand(tokens float64, now time.Time) {
	a.demandRate(now)
	a.demandSlow = max(0, a.demandSlow+tokens)
	a.demandFast = max(0, a.demandFast+tokens)
}

// lenderState returns the state that the decision on a loan until a deadline depends on.
func (a *accountBucket) lenderState(deadline, now time.Time) LenderState {
	lasting, current := a.unlentLimit(deadline), a.unlentLimit(now)
	return LenderState{
		Lendable: Limit{Rate: min(lasting.Rate, current.Rate), Burst: min(lasting.Burst, current.Burst)},
		Level:    a.level,
		Demand:   a.steadyDemand(now),
	}
}

// lend subtracts a fraction of the lendable limit and of the level, and records the loan.
func (a *accountBucket) lend(loan Loan, fraction float64, state LenderState) Loan {
	loan.Rate = fraction * state.Lendable.Rate
	loan.Burst = fraction * state.Lendable.Burst
	loan.Level = min(fraction*a.level, loan.Burst)
	a.level -= loan.Level
	a.lent = append(a.lent, loan)
	a.recompute()
	return loan
}

// unused reports whether the account is not listed any more and has no loans, so that its bucket can be removed.
func (a *accountBucket) unused() bool {
	return !a.listed && len(a.lent) == 0 && len(a.borrowed) == 0
}
