package request

import (
	"context"
	"time"

	"kumquathitch.example/kumquathitch"
)

// ClaimMethod is the peer method that carries a Batch.
const ClaimMethod = "request.claim"

// Batch holds operations on one partition, in the order in which to apply them.
type Batch struct {
	Operations []Operation `json:"operations"`
}

// Results is the response to a Batch: one result for each operation, in the same order.
type Results struct {
	Results []Result `json:"results"`
}

// writerVM returns the VM that writes the batches of a partition, and whether
// that is another VM. While membership views differ, two VMs may write the same
// partition; this is safe because every write is a compare-and-swap.
func (c *Coordinator) writerVM(index int, now time.Time) (vm kumquathitch.EntryVM, other bool) {
	self := c.Members.Self()
	if c.Peers == nil {
		return self, false
	}
	ranked := c.Members.Ranked(PartitionKey(index), self.DataCentre, 1, now)
	if len(ranked) == 0 || ranked[0].Name == self.Name {
		return self, false
	}
	return ranked[0], true
}

// forwardResult is the result of forwarding a batch.
type forwardResult int

const (
	forwardNotSent  forwardResult = iota // Nothing was sent.
	forwardAnswered                      // The writer VM answered.
	forwardUnknown                       // The writer VM may write the batch.
)

// forward sends a batch to the writer VM of its partition and finishes the
// operations with the results. Unless it returns forwardAnswered, this VM still
// has to write the batch. After a lost response the writer VM may write it as well;
// both use the same write ids, so the second writer finds the claims recorded.
func (c *Coordinator) forward(ctx context.Context, index int, batch []*operation) forwardResult {
	vm, other := c.writerVM(index, c.Clock.Now())
	if !other {
		return forwardNotSent
	}
	var message Batch
	for _, op := range batch {
		if op.forwarded {
			return forwardNotSent
		}
		message.Operations = append(message.Operations, op.Operation)
	}
	ctx, cancel := context.WithTimeout(ctx, c.forwardTimeout())
	defer cancel()
	var response Results
	if err := c.Peers.Call(ctx, vm.Address, ClaimMethod, message, &response); err != nil || len(response.Results) != len(batch) {
		return forwardUnknown
	}
	for i, op := range batch {
		c.finishClaim(op, response.Results[i])
	}
	return forwardAnswered
}

// forwardTimeout is long enough for the writer VM to read and write the record once.
func (c *Coordinator) forwardTimeout() time.Duration {
	return 2 * c.Settings.StoreTimeout
}

// HandleBatch performs a batch of another VM. It returns the results of outcomes
// before they are written, which happens with the next claim or after
// Settings.Linger, so that they do not delay later claims of the sender. If this
// VM dies before the write, these outcomes are lost.
func (c *Coordinator) HandleBatch(ctx context.Context, batch Batch) (Results, error) {
	ctx, cancel := context.WithTimeout(ctx, c.forwardTimeout())
	defer cancel()
	now := c.Clock.Now()
	pending := make([]*operation, len(batch.Operations))
	for i, received := range batch.Operations {
		op := newOperation(received.Kind, received.Claim, now)
		op.Operation = received
		op.forwarded = true
		if op.isOutcome() {
			op.due = now.Add(c.Settings.Linger)
		}
		if !c.submit(op) {
			return Results{}, claimNotRecorded()
		}
		pending[i] = op
	}
	results := Results{Results: make([]Result, len(pending))}
	for i, op := range pending {
		if op.isOutcome() {
			continue
		}
		select {
		case results.Results[i] = <-op.result:
		case <-ctx.Done():
			return Results{}, ctx.Err()
		}
	}
	return results, nil
}
