package kumquathitch

import (
	"context"
	"time"
)

// UpstreamCriteria are the properties of a request that decide which upstream it goes to.
type UpstreamCriteria struct {
	Account           string
	Model             string // Model or adapter; empty for a service.
	Service           string // Plain service; empty for a model.
	Class             string
	PrefixHash        uint64    // Hash of the start of the prompt, for prefix caches; 0 when unknown.
	Tokens            int64     // Prompt tokens plus allowed output.
	Fingerprint       uint64    // Hash of account and body; identifies requests that crash upstreams.
	Exclude           []string  // Upstreams that were already tried.
	FirstByteDeadline time.Time // Deadline for the first byte of the response.
	Deadline          time.Time // Deadline for the whole response.
}

// UpstreamChoice is the upstream chosen for a request.
type UpstreamChoice struct {
	Upstream     Upstream
	Criteria     UpstreamCriteria
	Sent         time.Time
	ExpectedTTFB time.Duration // Estimate without the penalties for network, adapter loading, prefix misses and full batches.
	Priority     int           // Priority for the engine; lower is more urgent.
}

// UpstreamResult states how a request on a chosen upstream ended.
type UpstreamResult struct {
	Tokens    int64     // Tokens used; 0 when unknown.
	Failed    bool      // The upstream failed the request.
	Unsent    bool      // The connection could not be opened; no byte of the request was sent.
	Crashed   bool      // The connection broke while the request ran; the upstream may have crashed.
	FirstByte time.Time // When the first byte of the response arrived; zero when none did.
	// PausedUntil is the time until which the upstream wants no requests from this VM, zero
	// if it did not say so.
	PausedUntil time.Time
	Stream      bool // FirstByte is the arrival of the first token, not of a complete response.
}

// Charge is the reservation of tokens for an admitted request. It must be settled
// exactly once.
type Charge struct {
	Account string
	Tokens  float64
	At      time.Time
}

// Authenticator authenticates and authorizes callers. Implementations are safe for
// concurrent use.
type Authenticator interface {
	// Authenticate returns the caller of a presented key, or a *RefusalError with status 401.
	Authenticate(presented string) (Caller, error)
	// Authorize returns a *RefusalError with status 403 or 404 when the caller may not use the model.
	Authorize(caller Caller, model string) error
	// Track registers an active request. When the key is withdrawn, the returned
	// context is cancelled with a *RefusalError as its cause. The function release
	// ends the registration.
	Track(ctx context.Context, caller Caller) (tracked context.Context, release func())
}

// Limiter enforces the rate limits of accounts. Implementations are safe for
// concurrent use.
type Limiter interface {
	// Admit charges tokens to an account, waiting a bounded time for them. It
	// returns a *RefusalError with status 429 when there are too few.
	Admit(ctx context.Context, account string, tokens float64) (Charge, error)
	// Settle ends a charge and returns the tokens that were charged but not used.
	Settle(charge Charge, used float64)
}

// Picker chooses upstreams. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the upstream for a request, or a *RefusalError with status 404,
	// 422, 429 or 503. Done must be called once for each choice.
	Pick(criteria UpstreamCriteria) (UpstreamChoice, error)
	// Done ends a choice and records the result of the request.
	Done(choice UpstreamChoice, result UpstreamResult)
}

// DemandSink collects the demand for models and adapters. Implementations are safe
// for concurrent use.
type DemandSink interface {
	// Add records the tokens of an admitted request.
	Add(model string, tokens int64, now time.Time)
}
