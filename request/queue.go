package request

import (
	"context"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

// Kinds of operations on a record.
const (
	kindClaim    = "claim"
	kindComplete = "complete"
	kindAbandon  = "abandon"
	kindWithdraw = "withdraw"
)

// Operation is a change of a record, in the form that VMs send to each other.
type Operation struct {
	Kind    string               `json:"kind"`
	Claim   kumquathitch.Claim   `json:"claim"`
	Outcome kumquathitch.Outcome `json:"outcome,omitzero"`
	Fence   bool                 `json:"fence,omitempty"` // Write the record even if it does not change, to fence off delayed writes.
}

// Result is the result of an operation.
type Result struct {
	Decision  Decision             `json:"decision"`
	Outcome   kumquathitch.Outcome `json:"outcome,omitzero"`
	Failed    bool                 `json:"failed,omitempty"`    // No decision could be recorded.
	Uncertain bool                 `json:"uncertain,omitempty"` // A write of the claim may have taken effect, or may do so later.
}

// operation is a queued Operation.
type operation struct {
	Operation
	due       time.Time   // Latest time to start writing it.
	forwarded bool        // Received from another VM, so that this VM must write it.
	retries   int         // Number of failed writes.
	decided   Result      // Result to deliver once the batch is recorded.
	result    chan Result // Receives one value when the operation is recorded or, for a claim, refused.
}

func newOperation(kind string, claim kumquathitch.Claim, due time.Time) *operation {
	return &operation{Operation: Operation{Kind: kind, Claim: claim}, due: due, result: make(chan Result, 1)}
}

func (o *operation) isOutcome() bool {
	return o.Kind == kindComplete || o.Kind == kindAbandon
}

func (o *operation) finish(result Result) {
	o.result <- result // Never blocks: an operation is finished once.
}

// queue holds the pending operations of one partition and its cached record.
type queue struct {
	mutex      sync.Mutex
	pending    []*operation
	draining   bool // A goroutine drains the queue.
	closed     bool
	latest     *versionedRecord // Last known record, or nil; only the draining goroutine may modify the pointed-to value.
	latestSize int              // Encoded size of latest when it was cached.
	wake       chan struct{}    // Signals new operations to the draining goroutine.
}

// add appends an operation, unless the queue is closed. If start is set, the
// caller has to start a goroutine that drains the queue.
func (q *queue) add(op *operation) (added, start bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return false, false
	}
	q.pending = append(q.pending, op)
	if !q.draining {
		q.draining = true
		return true, true
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true, false
}

// requeue puts operations that could not be written back at the front of the queue.
func (q *queue) requeue(batch []*operation) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pending = append(batch, q.pending...)
}

// take returns the next batch, or the time until one is due. It returns neither
// when the queue is empty; the draining goroutine then has to end. While
// stopping, all operations are due.
func (q *queue) take(now time.Time, limit int, stopping bool) ([]*operation, time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.pending) == 0 {
		q.draining = false
		return nil, 0
	}
	wait := time.Duration(1<<63 - 1)
	for _, op := range q.pending {
		wait = min(wait, op.due.Sub(now))
	}
	if wait > 0 && !stopping {
		return nil, wait
	}
	size := len(q.pending)
	if limit > 0 {
		size = min(size, limit)
	}
	batch := q.pending[:size:size]
	q.pending = q.pending[size:]
	return batch, 0
}

// wait waits for a period, a new operation or the end of ctx.
func (q *queue) wait(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-q.wake:
	case <-ctx.Done():
	}
}

func (q *queue) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
}

// abort fails the operations that were added too late to be drained.
func (q *queue) abort() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, op := range q.pending {
		op.finish(Result{Failed: true})
	}
	q.pending = nil
}

func (q *queue) cached() *versionedRecord {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.latest
}

// setCached replaces the cached record, nil for none, and returns the change of
// its encoded size in bytes.
func (q *queue) setCached(current *versionedRecord) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before := q.latestSize
	q.latest, q.latestSize = current, 0
	if current != nil {
		q.latestSize = current.Record.SizeBound()
	}
	return q.latestSize - before
}
