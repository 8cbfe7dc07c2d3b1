package kumquathitch

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// MaxOutcomeBodyBytes is the largest response body that is stored for repeated requests.
const MaxOutcomeBodyBytes = 8 << 10

const keyHashBytes = 16

// KeyHash identifies an idempotency key of an account. The key itself is not stored.
type KeyHash [keyHashBytes]byte

// HashIdempotencyKey returns the first 128 bits of the SHA-256 of account and key.
func HashIdempotencyKey(account, key string) KeyHash {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return KeyHash(sum[:keyHashBytes])
}

// MarshalText returns the hash in hex.
func (h KeyHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText decodes a hash in hex.
func (h *KeyHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != keyHashBytes {
		return fmt.Errorf("KeyHash.UnmarshalText: %q is not %d hexadecimal digits", text, 2*keyHashBytes)
	}
	*h = KeyHash(raw)
	return nil
}

// Claim is the right to run a non-idempotent call once.
type Claim struct {
	Account     string    `json:"account"`
	KeyHash     KeyHash   `json:"key-hash"`
	Fingerprint uint64    `json:"fingerprint"` // Hash of method, path, query and body.
	Holder      string    `json:"holder"`      // VM that runs the call; set by OutcomeStore.
	Deadline    time.Time `json:"deadline"`    // The call is not started, and its response not awaited, after this time.
	WriteID     uint64    `json:"write-id"`    // Unique; distinguishes this claim from that of a repeated call.
}

// NewClaim returns a claim with a random write id.
func NewClaim(account, key string, fingerprint uint64, deadline time.Time) Claim {
	var id [8]byte
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error.
	return Claim{
		Account:     account,
		KeyHash:     HashIdempotencyKey(account, key),
		Fingerprint: fingerprint,
		Deadline:    deadline,
		WriteID:     binary.LittleEndian.Uint64(id[:]),
	}
}

// Outcome is the response to a call that ran.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyDropped bool   `json:"body-dropped,omitempty"` // The body was too large to store, or was dropped to free space.
}

// OutcomeStore ensures that a non-idempotent call runs at most once for each
// account and idempotency key. Implementations are safe for concurrent use.
//
// When Claim returns neither an outcome nor an error, the caller holds the claim
// and must end it by exactly one of Complete, Abandon and Withdraw. These three
// return immediately; their effect is recorded in the background.
type OutcomeStore interface {
	// Claim returns the outcome of the first run, or nil when the call is to be run
	// now. Its error is a *RefusalError with status 409 while the first run has not
	// ended or when its outcome is unknown, 422 when the body differs from the
	// first one, and 503 with NotExecuted when the claim could not be recorded; the
	// call must then not be run.
	Claim(ctx context.Context, claim Claim) (*Outcome, error)
	// Complete records the outcome of the run.
	Complete(claim Claim, outcome Outcome)
	// Abandon records that the run may have happened and that its outcome is unknown.
	Abandon(claim Claim)
	// Withdraw removes the claim of a call of which no byte was sent. A repeated
	// call can then run.
	Withdraw(claim Claim)
}
