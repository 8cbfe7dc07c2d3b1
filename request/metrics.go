package request

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Counters are the metrics of claims and their records.
type Counters struct {
	Decisions     [Late + 1]*metrics.Counter // Decisions about claims made by this VM, by Decision.
	Refused       *metrics.Counter           // Claims that could not be recorded.
	Writes        *metrics.Counter           // Attempts of this VM to write a record.
	Conflicts     *metrics.Counter           // Writes that failed because another VM had changed the record.
	LostResponses *metrics.Counter           // Writes whose response was lost.
	Retried       *metrics.Counter           // Retries of outcomes whose write failed.
}

// String returns the label of a decision in metrics.
func (d Decision) String() string {
	return [...]string{"run", "repeat", "still-running", "outcome-unknown", "other-body", "full", "late"}[d]
}

// NewCounters registers the counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	c := &Counters{
		Refused:       set.GetOrCreateCounter("kumquathitch_claims_refused_total"),
		Writes:        set.GetOrCreateCounter("kumquathitch_outcome_writes_total"),
		Conflicts:     set.GetOrCreateCounter("kumquathitch_outcome_conflicts_total"),
		LostResponses: set.GetOrCreateCounter("kumquathitch_outcome_answers_lost_total"),
		Retried:       set.GetOrCreateCounter("kumquathitch_outcome_retries_total"),
	}
	for d := range c.Decisions {
		c.Decisions[d] = set.GetOrCreateCounter(fmt.Sprintf("kumquathitch_claims_total{decision=%q}", Decision(d)))
	}
	return c
}
