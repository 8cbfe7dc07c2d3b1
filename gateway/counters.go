package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kumquathitch.example/kumquathitch"
)

const (
	// firstTokenTarget and betweenTokensTarget are the latency targets that a
	// stream must meet to count as attained.
	firstTokenTarget    = 330 * time.Millisecond
	betweenTokensTarget = 45 * time.Millisecond
	// maxLabelledAccounts bounds the number of account labels in metrics. Further
	// accounts share the label otherAccounts.
	maxLabelledAccounts = 500
	otherAccounts       = "other"
)

// counters holds the metric counters for the accounts of one configuration.
// Accounts that remain in the next configuration keep their counters.
type counters struct {
	set      *metrics.Set
	accounts map[string]*accountCounters
	other    *accountCounters
}

type accountCounters struct {
	name              string
	attained          *metrics.Counter
	lateFirstToken    *metrics.Counter
	lateBetweenTokens *metrics.Counter
	aborted           *metrics.Counter
	eventsRelayed     *metrics.Counter
}

func newCounters(set *metrics.Set, accounts kumquathitch.Accounts) *counters {
	c := &counters{set: set, accounts: map[string]*accountCounters{}, other: newAccountCounters(set, otherAccounts)}
	for _, a := range accounts[:min(maxLabelledAccounts, len(accounts))] {
		c.accounts[a.Name] = newAccountCounters(set, a.Name)
	}
	return c
}

func newAccountCounters(set *metrics.Set, name string) *accountCounters {
	counter := func(metric, labels string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("%s{account=%q%s}", metric, name, labels))
	}
	return &accountCounters{
		name:              name,
		attained:          counter("kumquathitch_attained_answers_total", ""),
		lateFirstToken:    counter("kumquathitch_late_answers_total", `,part="first-token"`),
		lateBetweenTokens: counter("kumquathitch_late_answers_total", `,part="between-tokens"`),
		aborted:           counter("kumquathitch_aborted_answers_total", ""),
		eventsRelayed:     counter("kumquathitch_events_relayed_total", ""),
	}
}

func (c *counters) forAccount(account string) *accountCounters {
	if found := c.accounts[account]; found != nil {
		return found
	}
	return c.other
}

// countRefusal counts a refusal. The number of label values is bounded, since
// codes are constants of this program.
func (c *counters) countRefusal(account, code string) {
	name := c.forAccount(account).name
	c.set.GetOrCreateCounter(fmt.Sprintf("kumquathitch_refusals_total{account=%q,reason=%q}", name, code)).Inc()
}

// Kinds of attempts after the first one.
const (
	kindRetry  = "retry"
	kindHedge  = "hedge"
	kindResume = "resume"
)

func (c *counters) countRepeat(kind string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("kumquathitch_repeated_attempts_total{kind=%q}", kind)).Inc()
}

func (c *counters) countUpstreamFailure(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("kumquathitch_upstream_failures_total{reason=%q}", reason)).Inc()
}

// observeLatency counts whether a stream met its targets for the time from the
// arrival of the request to the first token and for the mean time between tokens.
func (s *Server) observeLatency(c *chatCall, received time.Time) {
	r := &c.relay
	counters := s.counters.Load().forAccount(c.info.caller.Account)
	counters.eventsRelayed.Add(r.scanner.Events)
	switch {
	case r.firstEventAt.IsZero():
	case r.firstEventAt.Sub(received) > firstTokenTarget:
		counters.lateFirstToken.Inc()
	case r.lastEventAt.Sub(r.firstEventAt) > betweenTokensTarget*time.Duration(max(0, r.scanner.contentEvents-1)):
		counters.lateBetweenTokens.Inc()
	default:
		counters.attained.Inc()
	}
}
