package route_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
)

// Parameters of the simulation. An engine starts a request when one of its slots
// is free; its load reports arrive late.
const (
	simServers        = 12
	simSlots          = 8
	simPrefillMiss    = 80 * time.Millisecond // Prefill time when the prompt prefix is not cached.
	simPrefillHit     = 40 * time.Millisecond // Prefill time when the prompt prefix is cached.
	simGeneration     = 400 * time.Millisecond
	simReportLag      = 500 * time.Millisecond
	simStep           = 5 * time.Millisecond
	simPeriod         = 60 * time.Second
	simCachedPrefixes = 8 // Prompt prefixes that the cache of an engine holds.
)

// simPicker is a routing policy under comparison.
type simPicker interface {
	pick(s *simulation, account string, prefix uint64, now time.Time) (server int, choice kumquathitch.UpstreamChoice, ok bool)
	done(choice kumquathitch.UpstreamChoice, result kumquathitch.UpstreamResult)
}

type simRequest struct {
	account    string
	prefix     uint64
	arrived    time.Time
	firstToken time.Time
	end        time.Time
	choice     kumquathitch.UpstreamChoice
}

type simServer struct {
	queue            []*simRequest
	running          []*simRequest
	cache            []uint64
	reportsInTransit []kumquathitch.LoadReport // Load reports that have not arrived yet.
	slots            int
}

type simulation struct {
	servers  [simServers]simServer
	offered  map[string]int
	attained map[string]int
	refused  map[string]int
	sequence uint64
	random   *rand.Rand
}

// run simulates one minute with two accounts of equal rates. In the middle third,
// crew-b sends burst times its rate.
func (s *simulation) run(f *fixture, p simPicker, burst float64) {
	s.offered, s.attained, s.refused = map[string]int{}, map[string]int{}, map[string]int{}
	s.random = rand.New(rand.NewPCG(1, 2)) // The fixed seed gives each policy the same load.
	for i := range s.servers {
		s.servers[i].slots = simSlots
	}
	s.servers[0].slots = 2 // One server is slow.
	for elapsed := time.Duration(0); elapsed < simPeriod; elapsed += simStep {
		now := f.clock.Now()
		rates := map[string]float64{"crew-a": 60, "crew-b": 60}
		if elapsed > simPeriod/3 && elapsed < 2*simPeriod/3 {
			rates["crew-b"] *= burst
		}
		for _, account := range []string{"crew-a", "crew-b"} {
			if s.random.Float64() < rates[account]*simStep.Seconds() {
				s.arrive(p, account, now)
			}
			if s.random.Float64() < max(0, rates[account]*simStep.Seconds()-1) {
				s.arrive(p, account, now)
			}
		}
		for i := range s.servers {
			s.step(f, p, i, now)
		}
		f.clock.Advance(simStep)
	}
}

func (s *simulation) arrive(p simPicker, account string, now time.Time) {
	s.offered[account]++
	prefix := s.random.Uint64N(40) + 1
	server, choice, ok := p.pick(s, account, prefix, now)
	if !ok {
		s.refused[account]++
		return
	}
	s.servers[server].queue = append(s.servers[server].queue,
		&simRequest{account: account, prefix: prefix, arrived: now, choice: choice})
}

func (s *simulation) step(f *fixture, p simPicker, i int, now time.Time) {
	server := &s.servers[i]
	server.running = slices.DeleteFunc(server.running, func(r *simRequest) bool {
		if now.Before(r.end) {
			return false
		}
		if r.firstToken.Sub(r.arrived) <= 330*time.Millisecond {
			s.attained[r.account]++
		}
		p.done(r.choice, kumquathitch.UpstreamResult{FirstByte: r.firstToken, Stream: true})
		return true
	})
	for len(server.running) < server.slots && len(server.queue) > 0 {
		r := server.queue[0]
		server.queue = server.queue[1:]
		r.firstToken = now.Add(server.prefill(r.prefix))
		r.end = r.firstToken.Add(simGeneration)
		server.running = append(server.running, r)
	}
	s.report(f, i, now)
}

func (server *simServer) prefill(prefix uint64) time.Duration {
	index := slices.Index(server.cache, prefix)
	if index >= 0 {
		server.cache = append(slices.Delete(server.cache, index, index+1), prefix)
		return simPrefillHit
	}
	server.cache = append(server.cache, prefix)
	if len(server.cache) > simCachedPrefixes {
		server.cache = server.cache[1:]
	}
	return simPrefillMiss
}

// report creates a load report every 100 ms and delivers it after simReportLag.
func (s *simulation) report(f *fixture, i int, now time.Time) {
	server := &s.servers[i]
	if now.Sub(start)%(100*time.Millisecond) == 0 {
		s.sequence++
		server.reportsInTransit = append(server.reportsInTransit, kumquathitch.LoadReport{
			Sequence: s.sequence, TakenAt: now, Queued: len(server.queue), Running: len(server.running),
		})
	}
	for len(server.reportsInTransit) > 0 && now.Sub(server.reportsInTransit[0].TakenAt) >= simReportLag {
		f.fleet.ApplyReport(fmt.Sprintf("u%d", i), server.reportsInTransit[0], now)
		server.reportsInTransit = server.reportsInTransit[1:]
	}
}

// attainment returns the fraction of an account's requests that met the target.
func (s *simulation) attainment(account string) float64 {
	return float64(s.attained[account]) / float64(max(1, s.offered[account]))
}

type tablePolicy struct{ fixture *fixture }

func (t tablePolicy) pick(_ *simulation, account string, prefix uint64, now time.Time) (int, kumquathitch.UpstreamChoice, bool) {
	criteria := criteriaAt(now, account, 100)
	criteria.PrefixHash = prefix
	choice, err := t.fixture.table.Pick(criteria)
	if err != nil {
		return 0, choice, false
	}
	var server int
	_, _ = fmt.Sscanf(choice.Upstream.Name, "u%d", &server)
	return server, choice, true
}

func (t tablePolicy) done(choice kumquathitch.UpstreamChoice, result kumquathitch.UpstreamResult) {
	t.fixture.table.Done(choice, result)
}

type roundRobin struct{ next int }

func (r *roundRobin) pick(*simulation, string, uint64, time.Time) (int, kumquathitch.UpstreamChoice, bool) {
	r.next++
	return r.next % simServers, kumquathitch.UpstreamChoice{}, true
}

func (*roundRobin) done(kumquathitch.UpstreamChoice, kumquathitch.UpstreamResult) {}

// leastLoaded picks the server with the lowest load in its newest report.
type leastLoaded struct{ fixture *fixture }

func (l leastLoaded) pick(*simulation, string, uint64, time.Time) (int, kumquathitch.UpstreamChoice, bool) {
	loads := make([]int, simServers)
	for i := range loads {
		state, _ := l.fixture.fleet.State(fmt.Sprintf("u%d", i))
		loads[i] = state.Report.Queued + state.Report.Running
	}
	return slices.Index(loads, slices.MinFunc(loads, cmp.Compare)), kumquathitch.UpstreamChoice{}, true
}

func (leastLoaded) done(kumquathitch.UpstreamChoice, kumquathitch.UpstreamResult) {}

// simulate runs a policy. The seed is that of its random choices, so that a run can be repeated.
func simulate(burst float64, seed uint64, policy func(*fixture) simPicker) *simulation {
	config := testConfiguration(simServers, 1)
	f := newFixture(config)
	f.table.IntN = rand.New(rand.NewPCG(seed, 5)).IntN
	sim := &simulation{}
	sim.run(f, policy(f), burst)
	return sim
}

// simSeeds is the number of seeds of random choices that the comparison of policies
// runs. With unseeded choices, about one run in twenty refused requests of crew-a.
const simSeeds = 40

// The worst-served account must fare better than with round robin and with least
// loaded, and an account within its rate must not suffer from another's burst,
// whatever the random choices of replicas are.
func TestPolicyOutperformsSimplerOnes(t *testing.T) {
	for _, burst := range []float64{1, 5} {
		simpler := max(
			simulate(burst, 1, func(*fixture) simPicker { return &roundRobin{} }).worstAttainment(),
			simulate(burst, 1, func(f *fixture) simPicker { return leastLoaded{f} }).worstAttainment(),
		)
		for seed := range uint64(simSeeds) {
			result := simulate(burst, seed, func(f *fixture) simPicker { return tablePolicy{f} })
			a, b := result.attainment("crew-a"), result.attainment("crew-b")
			t.Logf("burst %.0f, seed %d: attainment crew-a %.3f, crew-b %.3f, worst of the simpler policies %.3f, refused crew-a %d of %d, crew-b %d of %d", burst, seed,
				a, b, simpler, result.refused["crew-a"], result.offered["crew-a"], result.refused["crew-b"], result.offered["crew-b"])
			must.Zero(t, result.refused["crew-a"], must.Sprintf("burst %.0f, seed %d: crew-a stays within its rate", burst, seed))
			must.GreaterEq(t, 0.9, a)
			must.Greater(t, simpler, result.worstAttainment())
		}
	}
}

func (s *simulation) worstAttainment() float64 {
	return min(s.attainment("crew-a"), s.attainment("crew-b"))
}
