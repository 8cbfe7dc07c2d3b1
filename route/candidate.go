package route

import (
	"time"

	"kumquathitch.example/kumquathitch/upstream"
)

const (
	// adapterLoadPenalty is the time that loading an adapter adds to the first
	// token. The weight store takes a little over 10 ms under normal load.
	adapterLoadPenalty = 12 * time.Millisecond
	// prefixMissPenalty is the time to prefill a prompt prefix of 1 KiB that is
	// not cached: 256 tokens at about 10,000 tokens per second.
	prefixMissPenalty = 25 * time.Millisecond
	// batchTargetFraction is the fraction of a batch up to which the time between
	// tokens meets its target. fullBatchPenalty is the penalty of a full batch,
	// which is larger than that of a prefix miss.
	batchTargetFraction = 0.7
	fullBatchPenalty    = 100 * time.Millisecond
	// sameRegionRTT and otherRegionRTT are round-trip times between data centres.
	sameRegionRTT  = 2 * time.Millisecond
	otherRegionRTT = 30 * time.Millisecond
)

// Candidate is a replica with the estimates by which replicas are compared.
type Candidate struct {
	Replica    *upstream.Replica
	Wait       time.Duration // Estimated wait for the queue, including requests that this VM sent.
	Penalty    time.Duration // Time added by adapter loading, a prefix miss, a full batch and the network.
	LastResort bool          // The replica is leaving and is chosen only if there is no other.
}

// Estimate returns the estimated time to the first token.
func (c *Candidate) Estimate() time.Duration {
	return c.Wait + c.Penalty
}

// Better reports whether c is preferred to other. The criteria are, in order:
//
//   - It is not a last resort.
//   - Its estimate is at most allowed; 0 means that there is no limit.
//   - If both are within the limit, it has the lower cost, which is the wait
//     divided by slack plus the penalty. A larger slack thus favours replicas
//     with a warm cache over short queues.
//   - If neither is within the limit, it has the lower estimate.
func (c *Candidate) Better(other *Candidate, allowed time.Duration, slack float64) bool {
	if c.LastResort != other.LastResort {
		return other.LastResort
	}
	meets := allowed == 0 || c.Estimate() <= allowed
	if otherMeets := allowed == 0 || other.Estimate() <= allowed; meets != otherMeets {
		return meets
	}
	if !meets {
		return c.Estimate() < other.Estimate()
	}
	return c.cost(slack) < other.cost(slack)
}

func (c *Candidate) cost(slack float64) time.Duration {
	return time.Duration(float64(c.Wait)/slack) + c.Penalty
}

// batchPenalty returns the penalty of a batch that is filled to the given
// fraction. The time between tokens grows with the batch and exceeds its target
// before requests queue.
func batchPenalty(fill float64) time.Duration {
	return time.Duration(max(0, fill-batchTargetFraction) / (1 - batchTargetFraction) * float64(fullBatchPenalty))
}

func prefixPenalty(state upstream.PrefixState) time.Duration {
	switch state {
	case upstream.PrefixCached:
		return 0
	case upstream.PrefixUncertain:
		return prefixMissPenalty / 2 // Both cases are taken as equally likely.
	}
	return prefixMissPenalty
}
