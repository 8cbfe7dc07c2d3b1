package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kumquathitch.example/kumquathitch"
)

const (
	// firstTokenTarget and betweenTokensTarget are the latencies that an answer
	// has to keep to count as attained.
	firstTokenTarget    = 330 * time.Millisecond
	betweenTokensTarget = 45 * time.Millisecond
	// maxLabelledAccounts bounds the label values of metrics; further accounts
	// are counted together as otherAccounts.
	maxLabelledAccounts = 500
	otherAccounts       = "other"
)

// measures are the counters of one configuration. Counters of accounts that
// stay are the same in the next one.
type measures struct {
	set      *metrics.Set
	accounts map[string]*accountMeasures
	other    *accountMeasures
}

type accountMeasures struct {
	name          string
	attained      *metrics.Counter
	lateFirst     *metrics.Counter
	lateBetween   *metrics.Counter
	aborted       *metrics.Counter
	eventsRelayed *metrics.Counter
}

func newMeasures(set *metrics.Set, accounts kumquathitch.Accounts) *measures {
	m := &measures{set: set, accounts: map[string]*accountMeasures{}, other: newAccountMeasures(set, otherAccounts)}
	for _, a := range accounts[:min(maxLabelledAccounts, len(accounts))] {
		m.accounts[a.Name] = newAccountMeasures(set, a.Name)
	}
	return m
}

func newAccountMeasures(set *metrics.Set, name string) *accountMeasures {
	counter := func(metric, labels string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("%s{account=%q%s}", metric, name, labels))
	}
	return &accountMeasures{
		name:          name,
		attained:      counter("kumquathitch_attained_answers_total", ""),
		lateFirst:     counter("kumquathitch_late_answers_total", `,part="first-token"`),
		lateBetween:   counter("kumquathitch_late_answers_total", `,part="between-tokens"`),
		aborted:       counter("kumquathitch_aborted_answers_total", ""),
		eventsRelayed: counter("kumquathitch_events_relayed_total", ""),
	}
}

func (m *measures) of(account string) *accountMeasures {
	if found := m.accounts[account]; found != nil {
		return found
	}
	return m.other
}

// refused counts a refusal. Codes are constants of this program.
func (m *measures) refused(account, code string) {
	name := m.of(account).name
	m.set.GetOrCreateCounter(fmt.Sprintf("kumquathitch_refusals_total{account=%q,reason=%q}", name, code)).Inc()
}

// Kinds of further attempts.
const (
	kindRetry  = "retry"
	kindHedge  = "hedge"
	kindResume = "resume"
)

func (m *measures) repeated(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("kumquathitch_repeated_attempts_total{kind=%q}", kind)).Inc()
}

func (m *measures) upstreamFailed(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("kumquathitch_upstream_failures_total{reason=%q}", reason)).Inc()
}

// observe counts whether a stream kept the targets: the time to the first token
// from the arrival of the request, and the mean time between tokens.
func (s *Server) observe(c *chatCall, began time.Time) {
	r := &c.relay
	a := s.measures.Load().of(c.x.caller.Account)
	a.eventsRelayed.Add(r.scanner.Events)
	switch {
	case r.first.IsZero():
	case r.first.Sub(began) > firstTokenTarget:
		a.lateFirst.Inc()
	case r.last.Sub(r.first) > betweenTokensTarget*time.Duration(max(0, r.scanner.content-1)):
		a.lateBetween.Inc()
	default:
		a.attained.Inc()
	}
}
