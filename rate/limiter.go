package rate

import (
	"context"
	"fmt"
	"time"

	"kumquathitch.example/kumquathitch"
)

// Limiter admits requests against a ledger. It implements kumquathitch.Limiter.
type Limiter struct {
	Ledger *Ledger
	Clock  kumquathitch.Clock
}

// Admit charges tokens, or returns a *RefusalError with status 429 and the
// earliest time at which the level can cover them.
func (l *Limiter) Admit(_ context.Context, account string, tokens float64) (kumquathitch.Charge, error) {
	now := l.Clock.Now()
	short, ok := l.Ledger.Charge(account, tokens, now)
	if ok {
		return kumquathitch.Charge{Account: account, Tokens: tokens}, nil
	}
	refusal := kumquathitch.NotRun(429, "rate-exceeded",
		fmt.Sprintf("The account is short of %.0f tokens for this request.", short))
	if rights := l.Ledger.Rights(account); rights.Rate > 0 {
		refusal.RetryAfter = now.Add(time.Duration(short / rights.Rate * float64(time.Second)))
	}
	return kumquathitch.Charge{}, refusal
}

// Settle gives back what was charged and not used.
func (l *Limiter) Settle(charge kumquathitch.Charge, used float64) {
	if used < charge.Tokens {
		l.Ledger.Refund(charge.Account, charge.Tokens-used, l.Clock.Now())
	}
}
