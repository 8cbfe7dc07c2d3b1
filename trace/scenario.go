package trace

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"kumquathitch.example/kumquathitch"
)

// Scenarios lists the valid values of Settings.Scenario.
var Scenarios = []string{"quiet-day", "noisy-tenant", "demand-move", "upstream-lost", "data-centre-cut"}

// Settings are the parameters of Generate.
type Settings struct {
	Scenario string
	Seconds  int     // Duration of the trace.
	Load     float64 // Fraction of its rate that each account uses on a quiet day, in (0, 1].
	Seed     uint64
}

const (
	// noisyTenantFactor is the load of the noisy tenant as a multiple of its rate.
	noisyTenantFactor = 5
	// demandGrowth is the factor by which demand for a model grows in a demand move.
	demandGrowth = 10
	// meanPromptTokens and meanOutputTokens are the mean sizes of a request.
	meanPromptTokens = 240
	meanOutputTokens = 120
	// prefixesPerModel is the number of distinct prompt prefixes of a model.
	prefixesPerModel = 12
	// homeDataCentreShare is the fraction of an account's requests that enter at its home
	// data centre, as if most of its users worked in one city. The others enter at a random
	// data centre.
	homeDataCentreShare = 0.7
	// zipfExponent is the exponent of the Zipf distribution of requests over models.
	zipfExponent = 0.9
)

// Generate returns a synthetic trace for a configuration. The requests of each account
// arrive as a Poisson process. Models follow a Zipf distribution in the order of the
// configuration. The same settings result in the same trace.
func Generate(config *kumquathitch.Configuration, settings Settings) Events {
	g := generator{config: config, settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0))} //nolint:gosec // Repeatable on purpose.
	for i, a := range config.Accounts {
		g.addRequests(i, a)
	}
	g.addFaults()
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return g.events
}

type generator struct {
	config   *kumquathitch.Configuration
	settings Settings
	random   *rand.Rand
	events   Events
}

// addRequests adds the requests of one account.
func (g *generator) addRequests(index int, account kumquathitch.Account) {
	end := float64(g.settings.Seconds)
	for atSeconds := 0.0; ; {
		rate := account.Rate * g.settings.Load * g.rateFactor(index, atSeconds) / (meanPromptTokens + meanOutputTokens)
		atSeconds += g.random.ExpFloat64() / rate
		if atSeconds >= end {
			return
		}
		g.events = append(g.events, g.request(account.Name, g.dataCentre(index), atSeconds))
	}
}

// rateFactor returns the request rate of an account at a time, relative to a quiet day.
func (g *generator) rateFactor(account int, atSeconds float64) float64 {
	if g.settings.Scenario == "noisy-tenant" && account == 0 && g.inMiddleThird(atSeconds) {
		return noisyTenantFactor / g.settings.Load
	}
	return 1
}

// inMiddleThird reports whether a time lies in the middle third of the trace.
func (g *generator) inMiddleThird(atSeconds float64) bool {
	third := float64(g.settings.Seconds) / 3
	return atSeconds >= third && atSeconds < 2*third
}

// dataCentre returns a random data centre at which a request of an account enters.
func (g *generator) dataCentre(account int) string {
	centres := g.config.DataCentres
	if g.random.Float64() < homeDataCentreShare {
		return centres[account%len(centres)].Name
	}
	return centres[g.random.IntN(len(centres))].Name
}

func (g *generator) request(account, dataCentre string, atSeconds float64) Event {
	model := g.model(atSeconds)
	return Event{
		AtMS: int64(atSeconds * 1000), Kind: KindRequest, Account: account, Model: model, DataCentre: dataCentre,
		PromptTokens: 1 + int64(g.random.ExpFloat64()*meanPromptTokens),
		OutputTokens: 1 + int64(g.random.ExpFloat64()*meanOutputTokens),
		Prefix:       1 + g.random.Uint64N(prefixesPerModel),
	}
}

// model returns a random model for a request. In a demand move, demand for the least
// popular model grows by the factor demandGrowth during the middle third, and then stays
// at that level.
func (g *generator) model(atSeconds float64) string {
	models := g.config.Models
	last := len(models) - 1
	weights := make([]float64, len(models))
	total := 0.0
	for i := range models {
		weights[i] = math.Pow(float64(i+1), -zipfExponent)
		if i == last && g.settings.Scenario == "demand-move" {
			weights[i] *= g.demandFactor(atSeconds)
		}
		total += weights[i]
	}
	draw := g.random.Float64() * total
	for i, weight := range weights {
		if draw -= weight; draw < 0 {
			return models[i].Name
		}
	}
	return models[last].Name
}

func (g *generator) demandFactor(atSeconds float64) float64 {
	third := float64(g.settings.Seconds) / 3
	progress := min(1, max(0, (atSeconds-third)/third))
	return math.Pow(demandGrowth, progress)
}

// addFaults adds the failures of the scenario, which last for the middle third.
func (g *generator) addFaults() {
	third := int64(g.settings.Seconds) * 1000 / 3
	switch g.settings.Scenario {
	case "upstream-lost":
		name := g.config.Upstreams[0].Name
		g.events = append(g.events,
			Event{AtMS: third, Kind: KindUpstreamLost, Upstream: name},
			Event{AtMS: 2 * third, Kind: KindUpstreamBack, Upstream: name})
	case "data-centre-cut":
		name := g.config.DataCentres[len(g.config.DataCentres)-1].Name
		g.events = append(g.events,
			Event{AtMS: third, Kind: KindDataCentreCut, DataCentre: name},
			Event{AtMS: 2 * third, Kind: KindDataCentreHealed, DataCentre: name})
	}
}
