package rate

import "time"

// Rights is what a holder may spend of one account: a refill rate, a largest
// level, and a deadline after which neither counts.
type Rights struct {
	Rate     float64   // Tokens per second.
	Burst    float64   // Tokens.
	Deadline time.Time // End of the rights by the holder's clock; zero for rights without end.
}

// Bucket is a token bucket. It starts empty, so that a restarted holder does not get the burst a second time.
type Bucket struct {
	Level   float64   // Tokens that may be spent now.
	Updated time.Time // When Level was last brought up to date.
}

// Refill brings the level up to now. The rate is lowered by drift, the largest
// relative error of the clock, so that a fast clock does not refill too much.
func (b *Bucket) Refill(rights Rights, drift float64, now time.Time) {
	if b.Updated.IsZero() {
		b.Updated = now
	}
	until := now
	if !rights.Deadline.IsZero() && until.After(rights.Deadline) {
		until = rights.Deadline
	}
	if until.After(b.Updated) {
		b.Level += rights.Rate * (1 - drift) * until.Sub(b.Updated).Seconds()
	}
	if now.After(b.Updated) {
		b.Updated = now
	}
	b.Level = min(b.Level, rights.Burst)
	if !rights.Deadline.IsZero() && !now.Before(rights.Deadline) {
		b.Level = 0
	}
}
