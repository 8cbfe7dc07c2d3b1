package fleet

import (
	"math"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// engineWeight, modelWeight and serviceWeight are the weights of one response in
	// the logarithms of the learned factors. An engine's own speed is learned from some
	// ten responses, the usual speed of its service from all of them.
	engineWeight, modelWeight, serviceWeight = 0.1, 0.05, 0.02
	// maxPaceError bounds the factor by which one response can differ from its estimate.
	maxPaceError = 4
	// prefillQuantile and prefillStep determine how the prefill rate is learned.
	prefillQuantile, prefillStep = 0.2, 0.02
	// minPacedTokens is the shortest prompt from which the prefill rate is learned.
	minPacedTokens = 300
)

// paceBook holds the learned run times of engines. The run of a call is estimated as the
// mean number of events of its service, times the usual time per event, a factor of its model
// and one of its engine. Both factors are 1 at first. The lengths of responses differ too much
// to learn the speed of an engine from run times alone. It is safe for concurrent use.
type paceBook struct {
	shards [shardCount]paceShard
}

// paceShard holds the paces of services by name.
type paceShard struct {
	mutex    sync.Mutex
	services map[string]*servicePace
}

// servicePace is the pace of the engines of one service.
type servicePace struct {
	eventMS    float64           // Time per event of a stream; 0 before the first response.
	events     float64           // Mean number of events.
	rankEvents [maxRanks]float64 // The same by rank; 0 before the first response.
	prefillMS  float64           // Time per token of prompt, without time in queues; 0 before the first response.
	models     map[string]float64
	engines    map[string]*enginePace
	lastPruned time.Time
}

// enginePace is the pace of one engine.
type enginePace struct {
	factor  float64 // Of run and prefill times.
	pauses  float64 // Fraction of streams with a longer pause than their route allows.
	updated time.Time
}

// paceTTL is how long the pace of an engine without responses is kept.
const paceTTL = 10 * time.Minute

// estimatedPace is the pace that is expected of a call on an engine.
type estimatedPace struct {
	runMS       float64
	rankMS      [maxRanks]float64 // Run by rank.
	tokensPerMS float64           // Prefill rate; 0 if unknown.
	pauses      float64           // Fraction of streams with long pauses.
}

func newPaceBook() *paceBook {
	b := &paceBook{}
	for i := range b.shards {
		b.shards[i].services = map[string]*servicePace{}
	}
	return b
}

// observe learns from a response.
func (b *paceBook) observe(response *kumquathitch.EngineResponse, now time.Time) {
	s := &b.shards[kumquathitch.ShardOf(response.Service, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	service := s.services[response.Service]
	if service == nil {
		service = &servicePace{models: map[string]float64{}, engines: map[string]*enginePace{}}
		s.services[response.Service] = service
	}
	engine := service.engine(response.Instance, now)
	engine.updated = now
	paused := 0.0
	if response.Paused {
		paused = 1
	}
	engine.pauses += engineWeight * (paused - engine.pauses)
	service.learnRun(engine, response)
	if first := milliseconds(response.FirstEvent); response.PrefillTokens >= minPacedTokens && first > 0 {
		service.learnPrefill(first / (float64(response.PrefillTokens) * engine.factor))
	}
}

// learnPrefill moves the time per token to the quantile prefillQuantile of the samples: most
// responses also waited for a slot or for other prompts, some of them for seconds.
func (sp *servicePace) learnPrefill(sampleMS float64) {
	if sp.prefillMS == 0 {
		sp.prefillMS = 1 / initialTokensPerMS
	}
	if sampleMS < sp.prefillMS {
		sp.prefillMS *= 1 - prefillStep*(1-prefillQuantile)
	} else {
		sp.prefillMS *= 1 + prefillStep*prefillQuantile
	}
}

func (sp *servicePace) learnRun(engine *enginePace, response *kumquathitch.EngineResponse) {
	runMS, events := milliseconds(response.Run), float64(response.Events)
	if runMS <= 0 || events < 2 {
		return
	}
	if sp.eventMS == 0 {
		sp.eventMS, sp.events = runMS/events, events
	}
	sp.events += serviceWeight * (events - sp.events)
	mean := &sp.rankEvents[min(max(0, response.Priority), maxRanks-1)]
	if *mean == 0 {
		*mean = sp.events
	}
	*mean += serviceWeight * (events - *mean)
	model := sp.modelFactor(response.Model)
	deviation := math.Log(min(maxPaceError, max(1.0/maxPaceError, runMS/(events*sp.eventMS*model*engine.factor))))
	engine.factor *= math.Exp(engineWeight * deviation)
	sp.models[response.Model] = model * math.Exp(modelWeight*deviation)
	sp.eventMS *= math.Exp(serviceWeight * deviation)
}

func (sp *servicePace) modelFactor(model string) float64 {
	if factor, ok := sp.models[model]; ok {
		return factor
	}
	return 1
}

// engine returns the pace of an engine, which starts at that of its service.
func (sp *servicePace) engine(id string, now time.Time) *enginePace {
	engine := sp.engines[id]
	if engine == nil {
		engine = &enginePace{factor: 1}
		sp.engines[id] = engine
	}
	if now.Sub(sp.lastPruned) > paceTTL {
		sp.lastPruned = now
		for other, e := range sp.engines {
			if e != engine && now.Sub(e.updated) > paceTTL {
				delete(sp.engines, other)
			}
		}
	}
	return engine
}

// estimates appends the pace of calls for a model on each engine.
func (b *paceBook) estimates(service, model string, engines []*instanceState, paces []estimatedPace) []estimatedPace {
	s := &b.shards[kumquathitch.ShardOf(service, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sp := s.services[service]
	for _, inst := range engines {
		pace := estimatedPace{runMS: milliseconds(initialRunTime)}
		if sp != nil {
			pace = sp.estimate(model, inst.id)
		}
		paces = append(paces, pace)
	}
	return paces
}

func (sp *servicePace) estimate(model, engine string) estimatedPace {
	pace := estimatedPace{runMS: milliseconds(initialRunTime)}
	factor := 1.0
	if known := sp.engines[engine]; known != nil {
		factor, pace.pauses = known.factor, known.pauses
	}
	if sp.eventMS > 0 {
		eventMS := sp.eventMS * sp.modelFactor(model) * factor
		pace.runMS = eventMS * sp.events
		for rank, events := range sp.rankEvents {
			pace.rankMS[rank] = eventMS * events
			if events == 0 {
				pace.rankMS[rank] = pace.runMS
			}
		}
	}
	if sp.prefillMS > 0 {
		pace.tokensPerMS = 1 / (sp.prefillMS * factor)
	}
	return pace
}
