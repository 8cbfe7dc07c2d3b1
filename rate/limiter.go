package rate

import (
	"context"
	"fmt"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxTokenWait bounds how long a request waits for tokens.
	maxTokenWait = 200 * time.Millisecond
	// recheckInterval is the time between checks for a share on a VM that has none yet.
	recheckInterval = 20 * time.Millisecond
	// maxChargePause is the longest time between reading the clock and the end of
	// a charge. The safety margin of one clock error certainly covers it.
	maxChargePause = 100 * time.Millisecond
)

// Limiter admits requests against token buckets. It implements kumquathitch.Limiter.
type Limiter struct {
	Buckets  *Buckets
	Clock    kumquathitch.Clock
	Borrower *Borrower // Nil for a VM without peers.
}

// Admit charges tokens. It returns a *RefusalError with status 400 if they
// exceed the account's whole burst, and with status 429 if they do not become
// available within 200 ms. RetryAfter is then the earliest time at which the
// current local limit can cover them.
func (l *Limiter) Admit(ctx context.Context, account string, tokens float64) (kumquathitch.Charge, error) {
	limit, listed := l.Buckets.GlobalLimit(account)
	if listed && tokens > limit.Burst {
		return kumquathitch.Charge{}, kumquathitch.NewRefusal(400, "cost-above-burst",
			fmt.Sprintf("The request costs %.0f tokens, more than the account's whole burst of %.0f.", tokens, limit.Burst))
	}
	missing, ok := l.charge(l.Buckets.Charge, account, tokens)
	if !ok && listed {
		missing, ok = l.waitForTokens(ctx, account, tokens, missing)
	}
	if !ok {
		return kumquathitch.Charge{}, l.refusal(account, missing)
	}
	return kumquathitch.Charge{Account: account, Tokens: tokens, At: l.Clock.Now()}, nil
}

// Settle refunds the tokens that were charged but not used.
func (l *Limiter) Settle(charge kumquathitch.Charge, used float64) {
	if used < charge.Tokens {
		l.Buckets.Refund(charge.Account, charge.Tokens-max(0, used), charge.At, l.Clock.Now())
	}
}

type chargeFunc func(account string, tokens float64, now time.Time) (missing float64, ok bool)

// charge charges tokens. If the process was paused for more than maxChargePause
// during a successful charge, it charges again; the tokens of the first charge
// are lost, because the shares that they came from may have ended.
func (l *Limiter) charge(charge chargeFunc, account string, tokens float64) (missing float64, ok bool) {
	for {
		now := l.Clock.Now()
		missing, ok = charge(account, tokens, now)
		if !ok || l.Clock.Now().Sub(now) <= maxChargePause {
			return missing, ok
		}
		charge = l.Buckets.RetryCharge
	}
}

// waitForTokens waits up to maxTokenWait for loans or, if that is quick enough,
// for the refill of the bucket, and charges the tokens.
func (l *Limiter) waitForTokens(ctx context.Context, account string, tokens, missing float64) (float64, bool) {
	end := l.Clock.Now().Add(maxTokenWait)
	if l.Borrower != nil {
		registered := missing
		l.Borrower.AddWaiter(account, registered)
		defer l.Borrower.RemoveWaiter(account, registered)
	}
	timer := time.NewTimer(maxTokenWait)
	defer timer.Stop()
	for {
		var changed <-chan struct{}
		moreRounds := false
		if l.Borrower != nil {
			changed, moreRounds = l.Borrower.Progress(account, l.Clock.Now())
		}
		var ok bool
		if missing, ok = l.charge(l.Buckets.RetryCharge, account, tokens); ok {
			return 0, true
		}
		now := l.Clock.Now()
		refillAt := l.refillTime(account, missing, now)
		if !now.Before(end) || !moreRounds && refillAt.After(end) {
			return missing, false
		}
		if refillAt.After(end) {
			refillAt = end
		}
		timer.Reset(max(time.Millisecond, refillAt.Sub(now)))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return missing, false
		}
	}
}

// refillTime returns when the bucket will have refilled a number of tokens at
// the current local rate. A VM without a rate may get one at any time.
func (l *Limiter) refillTime(account string, missing float64, now time.Time) time.Time {
	perSecond := l.Buckets.LocalLimit(account, now).Rate
	if perSecond <= 0 {
		return now.Add(recheckInterval)
	}
	return now.Add(time.Duration(missing / perSecond * float64(time.Second)))
}

func (l *Limiter) refusal(account string, missing float64) error {
	refusal := kumquathitch.NewRefusal(429, "rate-exceeded",
		fmt.Sprintf("The account lacks %.0f tokens for this request.", missing))
	if _, ok := l.Buckets.GlobalLimit(account); ok {
		refusal.RetryAfter = l.refillTime(account, missing, l.Clock.Now())
	}
	return refusal
}
