// Package request is the aggregate of requests that must not run again: claims
// and outcomes of non-idempotent calls, and crash histories of requests that may
// crash upstreams.
//
// # Usage
//
//	coordinator := request.NewCoordinator(store, clock, members, peers, settings)
//	go func() { end <- coordinator.Run(ctx) }()
//	claim := kumquathitch.NewClaim("crew-a", idempotencyKey, fingerprint, deadline)
//	first, err := coordinator.Claim(ctx, claim)
//	if err != nil {
//		return err // *kumquathitch.RefusalError
//	}
//	if first != nil {
//		return repeat(first)
//	}
//	outcome := call() // Runs at most once for each account and key.
//	coordinator.Complete(claim, outcome)
//
// Record holds the decisions as plain functions of a decoded record, a claim
// and the time. Coordinator applies them to the store and implements
// kumquathitch.OutcomeStore. CrashTracker implements kumquathitch.Quarantine.
package request

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kumquathitch.example/kumquathitch"
)

// PartitionCount is the number of records that claims are distributed over by
// the hash of their idempotency key.
const PartitionCount = 256

const (
	partitionPrefix = "outcomes/"
	// maxWriteAttempts bounds the writes for one batch. Even when ten data centres
	// write a partition at the same time, more conflicts in a row are unlikely.
	maxWriteAttempts = 16
	// maxCachedBytes bounds the encoded size of the records that a writer VM
	// caches between writes. In memory they take up to three times this size, of
	// the 64 MB that a daemon has for all control work.
	maxCachedBytes = 8 << 20
)

// PartitionOf returns the partition, in [0, PartitionCount), of an account's idempotency key.
func PartitionOf(hash kumquathitch.KeyHash) int {
	return int(binary.LittleEndian.Uint64(hash[:]) % PartitionCount)
}

// PartitionKey returns the store key of a partition's record.
func PartitionKey(index int) string {
	return fmt.Sprintf("%s%02x", partitionPrefix, index)
}

// Settings are the periods and limits of a coordinator.
type Settings struct {
	Record       RecordSettings
	StoreTimeout time.Duration // Timeout of one store call.
	Linger       time.Duration // Longest time that an outcome waits to share a write with a claim.
	RetryDelay   time.Duration // Mean delay before the first retry of a failed write.
	MaxBatch     int           // Largest number of operations in one write; 0 for no limit.
}

// SetDefaults sets empty fields to their defaults, except Linger and MaxBatch, whose zero values are valid.
func (s *Settings) SetDefaults() {
	if s.Record.MaxBytes == 0 {
		s.Record.MaxBytes = kumquathitch.MaxRecordBytes
	}
	if s.Record.TTL == 0 {
		s.Record.TTL = time.Hour
	}
	if s.Record.ClockError == 0 {
		s.Record.ClockError = time.Second
	}
	if s.StoreTimeout == 0 {
		s.StoreTimeout = 500 * time.Millisecond
	}
	if s.RetryDelay == 0 {
		s.RetryDelay = 500 * time.Millisecond
	}
}

// Coordinator records claims and outcomes in the store, in batches for each
// partition. It is safe for concurrent use.
type Coordinator struct {
	Store    kumquathitch.Store
	Clock    kumquathitch.Clock
	Members  kumquathitch.Membership
	Peers    kumquathitch.Peers // Nil if this VM writes all its claims itself.
	Settings Settings
	Counters *Counters

	partitions  [PartitionCount]queue
	cachedBytes atomic.Int64 // Encoded size of the cached records of all partitions.
	ready       chan int     // Partitions whose queue has become non-empty, each at most once.
	ended       chan int     // Partitions whose queue has been drained.
}

// NewCoordinator returns a coordinator that performs no operations before Run is called.
func NewCoordinator(store kumquathitch.Store, clock kumquathitch.Clock, members kumquathitch.Membership,
	peers kumquathitch.Peers, settings Settings,
) *Coordinator {
	settings.SetDefaults()
	c := &Coordinator{
		Store: store, Clock: clock, Members: members, Peers: peers, Settings: settings,
		Counters: NewCounters(metrics.NewSet()),
		ready:    make(chan int, PartitionCount), ended: make(chan int),
	}
	for i := range c.partitions {
		c.partitions[i].wake = make(chan struct{}, 1)
	}
	return c
}

// Run performs operations until ctx ends. It then tries once to record the
// pending outcomes, refuses later claims and returns nil.
func (c *Coordinator) Run(ctx context.Context) error {
	active := 0
	start := func(index int) {
		active++
		go func() {
			c.drain(ctx, index)
			c.ended <- index
		}()
	}
	for ctx.Err() == nil {
		select {
		case index := <-c.ready:
			start(index)
		case <-c.ended:
			active--
		case <-ctx.Done():
		}
	}
	for i := range c.partitions {
		c.partitions[i].close()
	}
	for len(c.ready) > 0 {
		start(<-c.ready)
	}
	for ; active > 0; active-- {
		<-c.ended
	}
	for i := range c.partitions {
		c.partitions[i].abort()
	}
	return nil
}

// Claim returns the outcome of the first run, or nil if the caller has to run
// the call now. Its errors are those of kumquathitch.OutcomeStore.
func (c *Coordinator) Claim(ctx context.Context, claim kumquathitch.Claim) (*kumquathitch.Outcome, error) {
	claim.Holder = c.Members.Self().Name
	op := newOperation(kindClaim, claim, c.Clock.Now())
	if !c.submit(op) {
		return nil, claimNotRecorded()
	}
	select {
	case <-ctx.Done():
		c.withdrawFenced(claim)
		return nil, kumquathitch.NewRefusal(503, "claim-interrupted", "The request ended before its idempotency key was recorded.")
	case result := <-op.result:
		return c.answer(claim, result)
	}
}

func (c *Coordinator) answer(claim kumquathitch.Claim, result Result) (*kumquathitch.Outcome, error) {
	if result.Failed {
		return nil, claimNotRecorded()
	}
	switch result.Decision {
	case Run:
		if !c.Clock.Now().Before(claim.Deadline) {
			c.Withdraw(claim)
			return nil, claimLate()
		}
		return nil, nil
	case Repeat:
		return &result.Outcome, nil
	case StillRunning:
		refusal := kumquathitch.NewFailure(409, "still-running", "The first request with this idempotency key has not ended.")
		refusal.RetryAfter = c.Clock.Now().Add(time.Second)
		return nil, refusal
	case OutcomeUnknown:
		return nil, kumquathitch.NewFailure(409, "outcome-unknown",
			"The first request with this idempotency key may have run; it will not be run again.")
	case OtherBody:
		return nil, kumquathitch.NewRefusal(422, "idempotency-key-reused", "The idempotency key was used with another request.")
	case Full:
		return nil, kumquathitch.NewRefusal(503, "outcomes-full", "There is no room to record the idempotency key.")
	}
	return nil, claimLate()
}

func claimNotRecorded() error {
	return kumquathitch.NewRefusal(503, "claim-not-recorded", "The idempotency key could not be recorded; the request was not run.")
}

func claimLate() error {
	return kumquathitch.NewRefusal(503, "claim-late", "The idempotency key was not recorded before the request's deadline.")
}

// Complete records the outcome of the run.
func (c *Coordinator) Complete(claim kumquathitch.Claim, outcome kumquathitch.Outcome) {
	if len(outcome.Body) > kumquathitch.MaxOutcomeBodyBytes {
		outcome.Body, outcome.BodyDropped = nil, true
	}
	op := newOperation(kindComplete, claim, c.outcomeDue(claim))
	op.Outcome = outcome
	c.submit(op)
}

// Abandon records that the outcome of the run is unknown.
func (c *Coordinator) Abandon(claim kumquathitch.Claim) {
	c.submit(newOperation(kindAbandon, claim, c.outcomeDue(claim)))
}

// Withdraw removes the claim of a call of which no byte was sent.
func (c *Coordinator) Withdraw(claim kumquathitch.Claim) {
	c.submit(newOperation(kindWithdraw, claim, c.Clock.Now()))
}

// withdrawFenced removes a claim whose write may still be in progress, and
// fences off that write.
func (c *Coordinator) withdrawFenced(claim kumquathitch.Claim) {
	op := newOperation(kindWithdraw, claim, c.Clock.Now())
	op.Fence = true
	c.submit(op)
}

// outcomeDue returns the latest time at which to write an outcome. An outcome
// that another VM writes is forwarded at once and lingers there.
func (c *Coordinator) outcomeDue(claim kumquathitch.Claim) time.Time {
	now := c.Clock.Now()
	if _, other := c.writerVM(PartitionOf(claim.KeyHash), now); other {
		return now
	}
	return now.Add(c.Settings.Linger)
}

// submit adds an operation to the queue of its partition. It returns false after the end of Run.
func (c *Coordinator) submit(op *operation) bool {
	index := PartitionOf(op.Claim.KeyHash)
	added, start := c.partitions[index].add(op)
	if start {
		c.ready <- index // Never blocks: the channel holds each partition at most once.
	}
	return added
}

// drain performs the operations of one partition, one batch at a time, until its queue is empty.
func (c *Coordinator) drain(ctx context.Context, index int) {
	q := &c.partitions[index]
	for {
		batch, wait := q.take(c.Clock.Now(), c.Settings.MaxBatch, ctx.Err() != nil)
		switch {
		case len(batch) > 0:
			c.perform(ctx, index, batch)
		case wait > 0:
			q.wait(ctx, wait)
		default:
			return
		}
	}
}

// perform forwards a batch to the writer VM of its partition. If that fails, or
// this VM is the writer VM, it writes the record itself.
func (c *Coordinator) perform(ctx context.Context, index int, batch []*operation) {
	stopping := ctx.Err() != nil
	ctx = context.WithoutCancel(ctx) // Cancellation does not interrupt a write in progress.
	forwarded := forwardNotSent
	if !stopping {
		forwarded = c.forward(ctx, index, batch)
	}
	if forwarded == forwardAnswered {
		return
	}
	uncertain, err := c.write(ctx, index, batch)
	if err == nil {
		return
	}
	uncertain = uncertain || forwarded == forwardUnknown
	c.evict(index)
	var retries []*operation
	for _, op := range batch {
		if op.Kind == kindClaim {
			c.finishClaim(op, Result{Failed: true, Uncertain: uncertain})
			continue
		}
		op.due = c.Clock.Now().Add(c.retryDelay(op.retries))
		op.retries++
		c.Counters.Retried.Inc()
		retries = append(retries, op)
	}
	if !stopping {
		c.partitions[index].requeue(retries)
	}
}

// maxDoublings limits the mean delay between retries to 8 times Settings.RetryDelay.
// When 390 VMs each hold outcomes of three partitions, a store that is down
// then gets about 300 calls per second.
const maxDoublings = 3

// retryDelay returns an exponential backoff with a jitter of ±50%, which keeps
// the VMs from overloading a store that has just recovered.
func (c *Coordinator) retryDelay(retries int) time.Duration {
	delay := c.Settings.RetryDelay << min(retries, maxDoublings)
	return delay/2 + rand.N(delay) //nolint:gosec // Spreading calls needs no secrecy.
}

// finishClaim finishes an operation. It withdraws a claim that is refused but
// may have been recorded. Only the claim's holder does so, because another VM
// cannot know whether the holder found the claim recorded and is running the call.
func (c *Coordinator) finishClaim(op *operation, result Result) {
	op.finish(result)
	if result.Failed {
		c.Counters.Refused.Inc()
	}
	refused := result.Failed || result.Decision == Late
	if refused && result.Uncertain && !op.forwarded {
		c.withdrawFenced(op.Claim)
	}
}

// write applies a batch to the record by compare-and-swap and finishes its
// operations. If it returns an error, no operation is finished; uncertain then
// reports whether a write may have taken effect nevertheless.
func (c *Coordinator) write(ctx context.Context, index int, batch []*operation) (uncertain bool, err error) {
	q := &c.partitions[index]
	key := PartitionKey(index)
	current := q.cached()
	fresh := current == nil
	if fresh {
		if current, err = c.read(ctx, key); err != nil {
			return false, err
		}
	}
	for range maxWriteAttempts {
		changed := apply(current.Record, batch, c.Settings.Record, c.Clock.Now())
		if !changed && fresh {
			c.finishBatch(index, current, batch, uncertain)
			return uncertain, nil
		}
		if changed {
			current, err = c.swap(ctx, key, current)
			if err == nil {
				c.finishBatch(index, current, batch, uncertain)
				return uncertain, nil
			}
		}
		current, err = c.recordAfterFailure(ctx, key, current, err, &uncertain)
		if err != nil {
			return uncertain, err
		}
		fresh = true
	}
	return uncertain, &kumquathitch.ConflictError{Key: key, Expected: current.Version}
}

// recordAfterFailure returns the record for the next attempt: the current one
// that a conflict reports, or the one that it reads after a lost response or when
// the cached copy may be stale. It sets uncertain after a lost response.
func (c *Coordinator) recordAfterFailure(ctx context.Context, key string, current *versionedRecord, err error, uncertain *bool,
) (*versionedRecord, error) {
	var conflict *kumquathitch.ConflictError
	if errors.As(err, &conflict) {
		c.Counters.Conflicts.Inc()
		return decodeVersionedRecord(conflict.Current)
	}
	var failure *kumquathitch.StoreError
	if errors.As(err, &failure) && failure.Unknown {
		c.Counters.LostResponses.Inc()
		*uncertain = true
		return c.read(ctx, key)
	}
	if err != nil {
		return current, err
	}
	return c.read(ctx, key)
}

// finishBatch finishes the operations of a recorded batch.
func (c *Coordinator) finishBatch(index int, current *versionedRecord, batch []*operation, uncertain bool) {
	if _, other := c.writerVM(index, c.Clock.Now()); other {
		c.evict(index)
	} else {
		c.cache(index, current)
	}
	for _, op := range batch {
		op.decided.Uncertain = uncertain
		if op.Kind == kindClaim {
			c.Counters.Decisions[op.decided.Decision].Inc()
		}
		c.finishClaim(op, op.decided)
	}
}

// cache keeps a record for the next write of its partition, unless the cached records exceed maxCachedBytes.
func (c *Coordinator) cache(index int, current *versionedRecord) {
	growth := c.partitions[index].setCached(current)
	if c.cachedBytes.Add(int64(growth)) > maxCachedBytes {
		c.evict(index)
	}
}

func (c *Coordinator) evict(index int) {
	c.cachedBytes.Add(int64(c.partitions[index].setCached(nil)))
}

// apply applies a batch of operations to a record in order and stores the
// decisions in them. It reports whether the record has to be written.
func apply(record *Record, batch []*operation, settings RecordSettings, now time.Time) bool {
	changed := false
	record.Prune(settings, now)
	for _, op := range batch {
		switch op.Kind {
		case kindClaim:
			decision, outcome, added := record.Claim(op.Claim, settings, now)
			op.decided = Result{Decision: decision, Outcome: outcome}
			changed = added || changed
		case kindComplete:
			changed = record.Complete(op.Claim, op.Outcome, settings) || changed
		case kindAbandon:
			changed = record.Abandon(op.Claim) || changed
		case kindWithdraw:
			// A fencing write changes the version, which makes a delayed write of the claim conflict.
			changed = record.Withdraw(op.Claim) || op.Fence || changed
		}
	}
	return changed
}

// versionedRecord is a decoded record and its version in the store.
type versionedRecord struct {
	Version uint64
	Record  *Record
}

func decodeVersionedRecord(stored kumquathitch.Record) (*versionedRecord, error) {
	record, err := Decode(stored.Value)
	return &versionedRecord{Version: stored.Version, Record: record}, err
}

func (c *Coordinator) read(ctx context.Context, key string) (*versionedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Settings.StoreTimeout)
	defer cancel()
	stored, err := c.Store.Get(ctx, key)
	var missing *kumquathitch.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return nil, err
	}
	return decodeVersionedRecord(stored)
}

func (c *Coordinator) swap(ctx context.Context, key string, current *versionedRecord) (*versionedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Settings.StoreTimeout)
	defer cancel()
	c.Counters.Writes.Inc()
	written, err := c.Store.CompareAndSwap(ctx, kumquathitch.Record{
		Key: key, Version: current.Version, Value: Encode(current.Record),
	})
	if err != nil {
		return current, err
	}
	return &versionedRecord{Version: written.Version, Record: current.Record}, nil
}
