package kumquathitch

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// KeyPrefix starts every key that callers present.
const KeyPrefix = "kh_"

const (
	keyIDBytes     = 8
	keySecretBytes = 32 // With 256 random bits a fast hash of the secret is sufficient.
)

// Account is a client account with a rate limit, a burst and a list of allowed models.
type Account struct {
	Name   string   `json:"name"`
	Class  string   `json:"class"`  // Priority among requests of one urgency class: "gold", "silver" or "bronze".
	Rate   float64  `json:"rate"`   // Tokens per second over all entry VMs, > 0.
	Burst  float64  `json:"burst"`  // Size of the token bucket in tokens, >= Rate.
	Models []string `json:"models"` // Names of the allowed models and adapters; "*" allows all.
	Keys   Keys     `json:"keys"`
}

// Accounts is a list of client accounts.
type Accounts []Account

// Key is an API key of a client account. The secret itself is not stored.
type Key struct {
	ID         string    `json:"id"`
	SecretHash string    `json:"secret-hash"` // SHA-256 of the secret, hex.
	Created    time.Time `json:"created"`
	Withdrawn  bool      `json:"withdrawn,omitempty"` // Withdrawn keys stay in the list to prevent an older copy from restoring them.
}

// Keys is a list of keys.
type Keys []Key

// Caller identifies an authenticated caller.
type Caller struct {
	Account string
	KeyID   string
}

// SetDefaults fills empty fields: class "silver" and a burst of ten seconds of the rate.
func (a *Account) SetDefaults() {
	if a.Class == "" {
		a.Class = "silver"
	}
	if a.Burst == 0 {
		a.Burst = 10 * a.Rate
	}
}

// Validate appends the account's problems to problems; field is the path of the account.
func (a *Account) Validate(field string, problems *Problems) {
	validateName(field+".name", a.Name, problems)
	if !slices.Contains([]string{"gold", "silver", "bronze"}, a.Class) {
		problems.Add(field+".class", a.Class, "gold, silver or bronze")
	}
	if a.Rate <= 0 {
		problems.Add(field+".rate", a.Rate, "tokens per second above 0")
	}
	if a.Burst < a.Rate {
		problems.Add(field+".burst", a.Burst, "tokens, at least one second of the rate")
	}
	for i, k := range a.Keys {
		path := fmt.Sprintf("%s.keys[%d]", field, i)
		if k.ID == "" || strings.Contains(k.ID, "_") {
			problems.Add(path+".id", k.ID, "a non-empty id without underscore")
		}
		if raw, err := hex.DecodeString(k.SecretHash); err != nil || len(raw) != sha256.Size {
			problems.Add(path+".secret-hash", k.SecretHash, "64 hexadecimal digits")
		}
	}
}

// Allows reports whether the account may use a model or adapter.
func (a *Account) Allows(model string) bool {
	return slices.Contains(a.Models, model) || slices.Contains(a.Models, "*")
}

// Find returns the account with a name, or nil. The pointer aliases the list.
func (a Accounts) Find(name string) *Account {
	for i := range a {
		if a[i].Name == name {
			return &a[i]
		}
	}
	return nil
}

// NewKey creates a random key. It returns the record to store and the text that
// the caller presents. The text cannot be recovered from the record.
func NewKey(now time.Time) (key Key, presented string) {
	id := make([]byte, keyIDBytes)
	secret := make([]byte, keySecretBytes)
	_, _ = rand.Read(id) // crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	text := base64.RawURLEncoding.EncodeToString(secret)
	key = Key{ID: hex.EncodeToString(id), SecretHash: HashSecret(text), Created: now.UTC()}
	return key, KeyPrefix + key.ID + "_" + text
}

// SplitKey splits a presented key into its id and secret.
func SplitKey(presented string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(presented, KeyPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "_")
}

// HashSecret returns the stored form of a secret: its SHA-256 in hex.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
