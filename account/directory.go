// Package account is the aggregate of client accounts and their API keys. It
// authenticates callers and cancels the active requests of a withdrawn key.
//
// # Usage
//
//	directory := account.NewDirectory()
//	directory.Apply(config)
//	caller, err := directory.Authenticate(presented)
//	if err != nil {
//		return err // *kumquathitch.RefusalError, status 401
//	}
//	ctx, release := directory.Track(ctx, caller)
//	defer release()
//
// Directory implements kumquathitch.Authenticator. Each configuration generation
// replaces the snapshot of accounts and keys as a whole. Active requests are kept
// in shards by key id, each under its own lock.
package account

import (
	"context"
	"crypto/subtle"
	"sync"
	"sync/atomic"

	"kumquathitch.example/kumquathitch"
)

const shardCount = 32

// Directory finds accounts by key and tracks active requests by key. It is safe for
// concurrent use.
type Directory struct {
	snapshot atomic.Pointer[snapshot]
	shards   [shardCount]shard
}

// snapshot holds the keys, accounts and models of one configuration generation. It
// is immutable.
type snapshot struct {
	generation uint64
	keys       map[string]storedKey // Keys that are not withdrawn, by id.
	accounts   map[string]*kumquathitch.Account
	models     map[string]bool // Names of models and adapters.
}

type storedKey struct {
	account    string
	secretHash string
}

// shard holds the active requests of the keys that hash to it: for each key id the
// cancel functions by request number.
type shard struct {
	mutex  sync.Mutex
	next   uint64
	active map[string]map[uint64]context.CancelCauseFunc
}

// NewDirectory returns a directory without accounts.
func NewDirectory() *Directory {
	d := &Directory{}
	d.snapshot.Store(&snapshot{})
	for i := range d.shards {
		d.shards[i].active = map[string]map[uint64]context.CancelCauseFunc{}
	}
	return d
}

// Apply puts a configuration in force and cancels the active requests of keys
// that it withdraws. It ignores a generation that is not higher than the one in
// force; a peer with an old generation therefore cannot restore a withdrawn key.
func (d *Directory) Apply(config kumquathitch.Configuration) {
	fresh := newSnapshot(config)
	for {
		old := d.snapshot.Load()
		if old.generation >= fresh.generation {
			return
		}
		if d.snapshot.CompareAndSwap(old, fresh) {
			break
		}
	}
	d.cancelWithdrawn()
}

func newSnapshot(config kumquathitch.Configuration) *snapshot {
	snap := &snapshot{
		generation: config.Generation,
		keys:       map[string]storedKey{},
		accounts:   map[string]*kumquathitch.Account{},
		models:     map[string]bool{},
	}
	for i := range config.Accounts {
		a := config.Accounts[i]
		snap.accounts[a.Name] = &a
		for _, k := range a.Keys {
			if !k.Withdrawn {
				snap.keys[k.ID] = storedKey{account: a.Name, secretHash: k.SecretHash}
			}
		}
	}
	for _, m := range config.Models {
		snap.models[m.Name] = true
	}
	for _, a := range config.Adapters {
		snap.models[a.Name] = true
	}
	return snap
}

func (d *Directory) cancelWithdrawn() {
	for i := range d.shards {
		s := &d.shards[i]
		s.mutex.Lock()
		for keyID, requests := range s.active {
			if _, ok := d.snapshot.Load().keys[keyID]; ok {
				continue
			}
			for _, cancel := range requests {
				cancel(keyWithdrawn())
			}
		}
		s.mutex.Unlock()
	}
}

// Authenticate returns the caller of a presented key, or a *RefusalError with
// status 401. Secrets are compared in constant time.
func (d *Directory) Authenticate(presented string) (kumquathitch.Caller, error) {
	id, secret, ok := kumquathitch.SplitKey(presented)
	if !ok {
		return kumquathitch.Caller{}, invalidKey()
	}
	stored, known := d.snapshot.Load().keys[id]
	// An unknown id is compared too. Otherwise the response time would show which ids exist.
	same := subtle.ConstantTimeCompare([]byte(kumquathitch.HashSecret(secret)), []byte(stored.secretHash)) == 1
	if !known || !same {
		return kumquathitch.Caller{}, invalidKey()
	}
	return kumquathitch.Caller{Account: stored.account, KeyID: id}, nil
}

// Authorize returns a *RefusalError with status 404 for a model or adapter that is
// not configured, and with status 403 for one that the account may not use.
func (d *Directory) Authorize(caller kumquathitch.Caller, model string) error {
	snap := d.snapshot.Load()
	if !snap.models[model] {
		return kumquathitch.NewRefusal(404, "model-not-found", "The model "+model+" does not exist.")
	}
	a := snap.accounts[caller.Account]
	if a == nil || !a.Allows(model) {
		return kumquathitch.NewRefusal(403, "model-not-allowed", "The account may not use the model "+model+".")
	}
	return nil
}

// Track registers an active request of a caller. When the key is withdrawn, the
// returned context is cancelled with a *RefusalError as its cause. The returned
// function ends the registration. A caller without a key, on an open route, is not
// tracked.
func (d *Directory) Track(ctx context.Context, caller kumquathitch.Caller) (context.Context, func()) {
	tracked, cancel := context.WithCancelCause(ctx)
	if caller.KeyID == "" {
		return tracked, func() { cancel(nil) }
	}
	s := &d.shards[kumquathitch.ShardOf(caller.KeyID, shardCount)]
	s.mutex.Lock()
	s.next++
	number := s.next
	if s.active[caller.KeyID] == nil {
		s.active[caller.KeyID] = map[uint64]context.CancelCauseFunc{}
	}
	s.active[caller.KeyID][number] = cancel
	// The key may have been withdrawn after the caller was authenticated, and
	// cancelWithdrawn may have processed this shard already.
	if _, ok := d.snapshot.Load().keys[caller.KeyID]; !ok {
		cancel(keyWithdrawn())
	}
	s.mutex.Unlock()
	return tracked, func() {
		s.mutex.Lock()
		delete(s.active[caller.KeyID], number)
		if len(s.active[caller.KeyID]) == 0 {
			delete(s.active, caller.KeyID)
		}
		s.mutex.Unlock()
		cancel(nil)
	}
}

func invalidKey() error {
	return kumquathitch.NewRefusal(401, "invalid-key", "The API key is missing, unknown or withdrawn.")
}

func keyWithdrawn() error {
	return kumquathitch.NewFailure(401, "key-withdrawn", "The API key was withdrawn while the request ran.")
}

// ActiveRequests returns the number of tracked requests.
func (d *Directory) ActiveRequests() int {
	active := 0
	for i := range d.shards {
		s := &d.shards[i]
		s.mutex.Lock()
		for _, requests := range s.active {
			active += len(requests)
		}
		s.mutex.Unlock()
	}
	return active
}
