// Package route is the aggregate of routes: it chooses an upstream for each request.
//
// # Usage
//
//	table := route.NewTable(fleet, clock, "montreal-1")
//	table.Apply(config)
//	choice, err := table.Pick(demand)
//	if err != nil {
//		return err // *kumquathitch.RefusalError
//	}
//	defer table.Done(choice, result)
//
// Table implements kumquathitch.Picker. The candidates of each model are
// replaced as a whole by each configuration, so that a choice takes no lock on
// them; its cost does not grow with the number of servers, because it samples.
package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/upstream"
)

// sampleSize is the number of random candidates that a choice compares. Two
// random choices avoid herding on the upstream that an old report shows as idle.
const sampleSize = 2

// Table chooses among the upstreams of a fleet.
type Table struct {
	Fleet      *upstream.Fleet
	Clock      kumquathitch.Clock
	DataCentre string

	candidates atomic.Pointer[candidates]
}

// candidates lists upstream names by what they serve.
type candidates struct {
	models   map[string][]string
	services map[string][]string
}

// NewTable returns a table without candidates for a VM in a data centre.
func NewTable(fleet *upstream.Fleet, clock kumquathitch.Clock, dataCentre string) *Table {
	t := &Table{Fleet: fleet, Clock: clock, DataCentre: dataCentre}
	t.candidates.Store(&candidates{})
	return t
}

// Apply replaces the candidates by those of a configuration.
func (t *Table) Apply(config kumquathitch.Configuration) {
	fresh := &candidates{models: map[string][]string{}, services: map[string][]string{}}
	for _, u := range config.Upstreams {
		if u.Kind == kumquathitch.KindService {
			fresh.services[u.Service] = append(fresh.services[u.Service], u.Name)
		}
		for _, m := range u.Models {
			fresh.models[m] = append(fresh.models[m], u.Name)
		}
	}
	t.candidates.Store(fresh)
}

// Pick chooses an upstream: the cheapest of a small random sample, or, when
// none of the sample is available, the first available one from a random start.
func (t *Table) Pick(demand kumquathitch.Demand) (kumquathitch.Choice, error) {
	c := t.candidates.Load()
	names := c.models[demand.Model]
	if demand.Service != "" {
		names = c.services[demand.Service]
	}
	best, ok := t.sample(names, demand)
	if !ok {
		best, ok = t.scan(names, demand)
	}
	if !ok {
		return kumquathitch.Choice{}, kumquathitch.NotRun(503, "no-upstream", "No upstream is available for this request.")
	}
	t.Fleet.Begin(best.Upstream.Name, demand.Tokens)
	return kumquathitch.Choice{Upstream: best.Upstream, Demand: demand, Sent: t.Clock.Now()}, nil
}

// Done ends a choice.
func (t *Table) Done(choice kumquathitch.Choice, result kumquathitch.Result) {
	t.Fleet.End(choice.Upstream.Name, choice.Demand.Tokens, result, t.Clock.Now())
}

func (t *Table) sample(names []string, demand kumquathitch.Demand) (best upstream.State, ok bool) {
	if len(names) == 0 {
		return best, false
	}
	for range sampleSize {
		state, usable := t.usable(names[rand.IntN(len(names))], demand) //nolint:gosec // Load balancing needs no secrecy.
		if usable && (!ok || t.cost(&state) < t.cost(&best)) {
			best, ok = state, true
		}
	}
	return best, ok
}

func (t *Table) scan(names []string, demand kumquathitch.Demand) (upstream.State, bool) {
	if len(names) == 0 {
		return upstream.State{}, false
	}
	start := rand.IntN(len(names)) //nolint:gosec // Load balancing needs no secrecy.
	for i := range names {
		if state, usable := t.usable(names[(start+i)%len(names)], demand); usable {
			return state, true
		}
	}
	return upstream.State{}, false
}

func (t *Table) usable(name string, demand kumquathitch.Demand) (upstream.State, bool) {
	if slices.Contains(demand.Exclude, name) {
		return upstream.State{}, false
	}
	state, ok := t.Fleet.State(name)
	return state, ok && state.Available(t.Clock.Now())
}

// remotePenalty is the cost, in queued requests, of an upstream in another data centre.
const remotePenalty = 4

// cost estimates the wait at an upstream in queued requests: what its last
// report showed plus what this VM has sent since, but at least what this VM has outstanding.
func (t *Table) cost(s *upstream.State) int {
	cost := max(s.Report.Queued+s.Report.Running+s.SentSince, s.Outstanding)
	if s.Upstream.DataCentre != t.DataCentre {
		cost += remotePenalty
	}
	return cost
}
