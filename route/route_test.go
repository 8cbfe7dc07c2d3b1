package route_test

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/route"
	"kumquathitch.example/kumquathitch/upstream"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func drawLoads(t *rapid.T) route.AccountLoads {
	loads := make(route.AccountLoads, rapid.IntRange(1, 8).Draw(t, "accounts"))
	for i := range loads {
		loads[i] = route.AccountLoad{
			Account: fmt.Sprintf("a%d", i), Weight: rapid.Float64Range(1, 1000).Draw(t, "weight"),
			Tokens: rapid.Float64Range(0, 10_000).Draw(t, "tokens"), Requests: rapid.IntRange(1, 50).Draw(t, "requests"),
			Admitted: rapid.Float64Range(0, 50).Draw(t, "served"), Shed: rapid.Float64Range(0, 50).Draw(t, "shed"),
		}
	}
	return loads
}

// The shares must add up to exactly the capacity, unless the capacity covers
// all loads. No account may be cut below its share while others get more.
func TestFairLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := drawLoads(t)
		total := 0.0
		for _, load := range loads {
			total += load.Tokens
		}
		capacity := rapid.Float64Range(0, 1.2).Draw(t, "part") * total
		level := loads.FairLevel(capacity)
		if math.IsInf(level, 1) {
			must.GreaterEq(t, total*(1-1e-9), capacity+1e-9)
			return
		}
		granted := 0.0
		for _, load := range loads {
			granted += min(load.Tokens, level*load.Weight)
		}
		must.InDelta(t, capacity, granted, 1e-6*(1+total))
	})
}

// Load must be shed only from an account over its share, and only from the one
// that exceeds its share by the most, except for ties.
func TestShedsOnlyOverShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := drawLoads(t)
		total := 0.0
		for _, load := range loads {
			total += load.Tokens
		}
		capacity := rapid.Float64Range(0, 1.2).Draw(t, "part") * total
		measure := rapid.SampledFrom([]string{kumquathitch.MeasureWorstServed, kumquathitch.MeasureRefusals}).Draw(t, "measure")
		level := loads.FairLevel(capacity)
		most := loads.MostOverShare(capacity, measure)
		for _, load := range loads {
			excess := load.Tokens/load.Weight - level
			if load.Account == most {
				must.Greater(t, 0, excess)
				continue
			}
			for _, other := range loads {
				if other.Account == most {
					must.GreaterEq(t, excess*0.97, other.Tokens/other.Weight-level)
				}
			}
		}
		if capacity < total*(1-1e-9) {
			must.NotEq(t, "", most)
		}
	})
}

// An account that offers clearly less than its part of the load must not be shed for
// the burst of another one. Two accounts that offer about the same must both be
// candidates, or the one that offers slightly more would be refused alone.
func TestOffersLittle(t *testing.T) {
	loads := route.AccountLoads{{Account: "modest", Weight: 2, Offered: 100}, {Account: "burst", Weight: 1, Offered: 500}}
	must.True(t, loads.OffersLittle("modest"))
	must.False(t, loads.OffersLittle("burst"))
	even := route.AccountLoads{{Account: "a", Weight: 1, Offered: 100}, {Account: "b", Weight: 1, Offered: 110}}
	must.False(t, even.OffersLittle("a"))
	must.False(t, even.OffersLittle("b"))
	must.False(t, even[:1].OffersLittle("a"))
}

// The measure of the configuration must decide which of two accounts that are
// equally far over their shares is shed.
func TestMeasureDecidesTies(t *testing.T) {
	loads := route.AccountLoads{
		{Account: "many-small", Weight: 1, Tokens: 100, Requests: 20, Admitted: 10},
		{Account: "few-large", Weight: 1, Tokens: 100, Requests: 2, Admitted: 10, Shed: 10},
	}
	must.Eq(t, "few-large", loads.MostOverShare(100, kumquathitch.MeasureRefusals))
	must.Eq(t, "many-small", loads.MostOverShare(100, kumquathitch.MeasureWorstServed))
}

// Retries must not multiply the load of failing upstreams, whatever the order of
// successes, retries and pauses.
func TestRetriesStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type point struct {
			at                 time.Time
			successes, retries float64
		}
		now := start
		var budget route.RetryBudget
		points := []point{{at: now}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			last := points[len(points)-1]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				budget = budget.RecordSuccess(now)
				last.successes++
			case 1:
				var allowed bool
				if budget, allowed = budget.Allow(now); allowed {
					last.retries++
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			}
			last.at = now
			points = append(points, last)
		}
		end := points[len(points)-1]
		allowed := 3 + 0.1*end.successes + 0.1*end.at.Sub(start).Seconds()
		must.LessEq(t, allowed+1e-9, end.retries)
	})
}

// fixture is a table with the replicas of a configuration, whose loads a test sets.
type fixture struct {
	fleet *upstream.Fleet
	clock *clock.Manual
	table *route.Table
	names []string // Names of the models.
}

func newFixture(config kumquathitch.Configuration) *fixture {
	f := &fixture{fleet: upstream.NewFleet(), clock: clock.NewManual(start)}
	f.table = route.NewTable(f.fleet, f.clock, "montreal-1")
	f.fleet.Apply(config)
	f.table.Apply(config)
	for _, m := range config.Models {
		f.names = append(f.names, m.Name)
	}
	return f
}

func (f *fixture) report(name string, sequence uint64, queued int) {
	f.fleet.ApplyReport(name, kumquathitch.LoadReport{Sequence: sequence, TakenAt: f.clock.Now(), Queued: queued}, f.clock.Now())
}

func testConfiguration(servers, models int) kumquathitch.Configuration {
	config := kumquathitch.Configuration{
		Generation:  1,
		DataCentres: kumquathitch.DataCentres{{Name: "montreal-1", Region: "quebec"}, {Name: "laval-1", Region: "quebec"}},
		Accounts:    kumquathitch.Accounts{{Name: "crew-a", Rate: 100}, {Name: "crew-b", Rate: 100}, {Name: "crew-c", Rate: 300}},
	}
	for m := range models {
		config.Models = append(config.Models, kumquathitch.Model{Name: fmt.Sprintf("m%d", m)})
	}
	for i := range servers {
		u := kumquathitch.Upstream{
			Name: fmt.Sprintf("u%d", i), Kind: kumquathitch.KindEngine, DataCentre: "montreal-1",
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
		}
		for k := range max(1, (models+servers-1)/servers) {
			u.Models = append(u.Models, fmt.Sprintf("m%d", (i+k*servers)%models))
		}
		config.Upstreams = append(config.Upstreams, u)
	}
	return config
}

func criteriaAt(now time.Time, account string, tokens int64) kumquathitch.UpstreamCriteria {
	return kumquathitch.UpstreamCriteria{
		Account: account, Model: "m0", Class: "interactive", Tokens: tokens,
		FirstByteDeadline: now.Add(330 * time.Millisecond), Deadline: now.Add(time.Minute),
	}
}

// Even in an overload, a choice must not refuse an account that uses less than
// its share.
func TestAccountBelowShareIsNeverShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(testConfiguration(2, 1))
		inFlight := map[string]float64{}
		weights := map[string]float64{"crew-a": 100, "crew-b": 100, "crew-c": 300}
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			queued := rapid.IntRange(0, 200).Draw(t, "queued")
			f.report("u0", uint64(i+1), queued)
			f.report("u1", uint64(i+1), queued)
			account := rapid.SampledFrom([]string{"crew-a", "crew-b", "crew-c"}).Draw(t, "account")
			choice, err := f.table.Pick(criteriaAt(f.clock.Now(), account, rapid.Int64Range(1, 500).Draw(t, "tokens")))
			if err == nil {
				inFlight[choice.Criteria.Account] += float64(choice.Criteria.Tokens)
				continue
			}
			loads, total := route.AccountLoads{}, 0.0
			for name, tokens := range inFlight {
				loads = append(loads, route.AccountLoad{Account: name, Weight: weights[name], Tokens: tokens})
				total += tokens
			}
			must.Greater(t, 0, inFlight[account])
			// No account has more tokens per weight than the account that was shed, except for ties.
			for _, load := range loads {
				must.GreaterEq(t, load.Tokens/load.Weight*0.97, inFlight[account]/weights[account])
			}
			// The account is over its share: its tokens per weight are above the mean, or it is alone.
			must.GreaterEq(t, total/totalWeight(loads)*0.97, inFlight[account]/weights[account])
		}
	})
}

func totalWeight(loads route.AccountLoads) float64 {
	total := 0.0
	for _, load := range loads {
		total += load.Weight
	}
	return total
}

// quarantine refuses one upstream and counts the open registrations.
type quarantine struct {
	refused string
	begun   int
}

func (q *quarantine) Admit(uint64, time.Time) error { return nil }

func (q *quarantine) Begin(name string, _ uint64, _ time.Time) bool {
	if name == q.refused {
		return false
	}
	q.begun++
	return true
}

func (q *quarantine) End(string, uint64, kumquathitch.UpstreamResult, time.Time) { q.begun-- }

// A choice must avoid an upstream that the quarantine refuses, and must end each
// registration with the quarantine.
func TestQuarantinedUpstreamIsAvoided(t *testing.T) {
	f := newFixture(testConfiguration(2, 1))
	q := &quarantine{refused: "u0"}
	f.table.Quarantine = q
	for range 50 {
		choice, err := f.table.Pick(criteriaAt(f.clock.Now(), "crew-a", 1))
		must.NoError(t, err)
		must.Eq(t, "u1", choice.Upstream.Name)
		f.table.Done(choice, kumquathitch.UpstreamResult{})
	}
	must.Zero(t, q.begun)
}

// A request for an adapter must be able to use any replica of the base model,
// and must prefer one on which the adapter is resident.
func TestAdapterUsesReplicasOfBaseModel(t *testing.T) {
	config := testConfiguration(3, 1)
	config.Adapters = kumquathitch.Adapters{{Name: "tent-notes", Model: "m0"}}
	f := newFixture(config)
	criteria := criteriaAt(f.clock.Now(), "crew-a", 1)
	criteria.Model = "tent-notes"
	_, err := f.table.Pick(criteria)
	must.NoError(t, err)
	f.fleet.ApplyReport("u2", kumquathitch.LoadReport{Sequence: 1, TakenAt: start, Resident: []string{"m0", "tent-notes"}}, start)
	for range 20 {
		choice, err := f.table.Pick(criteria)
		must.NoError(t, err)
		must.Eq(t, "u2", choice.Upstream.Name, must.Sprint("the adapter is loaded there"))
		f.table.Done(choice, kumquathitch.UpstreamResult{})
	}
}

// TestPausedUpstreamGetsNoRequests guards against requests to an upstream that asked for a
// pause, and against refusals that do not say when it ends.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	f := newFixture(testConfiguration(2, 1))
	pause := func(until time.Time) string {
		choice, err := f.table.Pick(criteriaAt(f.clock.Now(), "crew-a", 1))
		must.NoError(t, err)
		f.table.Done(choice, kumquathitch.UpstreamResult{Failed: true, PausedUntil: until})
		return choice.Upstream.Name
	}
	first := pause(start.Add(3 * time.Second))
	for range 20 {
		choice, err := f.table.Pick(criteriaAt(f.clock.Now(), "crew-a", 1))
		must.NoError(t, err)
		must.NotEq(t, first, choice.Upstream.Name)
		f.table.Done(choice, kumquathitch.UpstreamResult{})
	}
	pause(start.Add(5 * time.Second))
	_, err := f.table.Pick(criteriaAt(f.clock.Now(), "crew-a", 1))
	var refusal *kumquathitch.RefusalError
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, start.Add(3*time.Second), refusal.RetryAfter)
	f.clock.Advance(3 * time.Second)
	choice, err := f.table.Pick(criteriaAt(f.clock.Now(), "crew-a", 1))
	must.NoError(t, err)
	must.Eq(t, first, choice.Upstream.Name)
}

// A request must not be refused while any upstream, here one in another data
// centre, is usable.
func TestSearchFindsOnlyUsableUpstream(t *testing.T) {
	config := testConfiguration(12, 1)
	config.Upstreams[11].DataCentre = "laval-1"
	f := newFixture(config)
	for i := range 11 {
		f.fleet.PollFailed(fmt.Sprintf("u%d", i), start)
	}
	for range 50 {
		choice, err := f.table.Pick(criteriaAt(start, "crew-a", 1))
		must.NoError(t, err)
		must.Eq(t, "u11", choice.Upstream.Name)
		f.table.Done(choice, kumquathitch.UpstreamResult{})
	}
}
