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
	// minPacedTokens is the shortest prompt from which the prefill rate is learned.
	minPacedTokens = 100
)

// paceBook holds the learned run times of engines. The run of a call is estimated as the
// usual time per token of output of its service, times a factor of its model and one of
// its engine. Both factors are 1 at first. It is safe for concurrent use.
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
	runMS      float64 // Mean run.
	tokenMS    float64 // Time per token of output; 0 before the first response.
	tokens     float64 // Mean tokens of output.
	prefillMS  float64 // Time per token of prompt, without time in queues; 0 before the first response.
	models     map[string]float64
	engines    map[string]*enginePace
	lastPruned time.Time
}

// enginePace is the pace of one engine.
type enginePace struct {
	factor    float64 // Of run times.
	prefillMS float64 // Time per token of prompt, without time in queues.
	pauses    float64 // Fraction of streams with a longer pause than their route allows.
	updated   time.Time
}

// paceTTL is how long the pace of an engine without responses is kept.
const paceTTL = 10 * time.Minute

// estimatedPace is the pace that is expected of a call on an engine.
type estimatedPace struct {
	runMS       float64 // Of a call of usual length.
	tokenMS     float64 // Time per token of output; 0 if unknown.
	tokensPerMS float64 // Prefill rate; 0 if unknown.
	pauses      float64 // Fraction of streams with long pauses.
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
		service = &servicePace{runMS: milliseconds(initialRunTime), models: map[string]float64{}, engines: map[string]*enginePace{}}
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
		service.prefillMS = unqueued(service.prefillMS, first/float64(response.PrefillTokens))
		engine.prefillMS = unqueued(engine.prefillMS, first/float64(response.PrefillTokens))
	}
}

func (sp *servicePace) learnRun(engine *enginePace, response *kumquathitch.EngineResponse) {
	runMS, tokens := milliseconds(response.Run), float64(response.OutputTokens)
	if runMS <= 0 {
		return
	}
	sp.runMS += serviceWeight * (runMS - sp.runMS)
	if tokens <= 0 {
		return
	}
	if sp.tokenMS == 0 {
		sp.tokenMS, sp.tokens = runMS/tokens, tokens
	}
	sp.tokens += serviceWeight * (tokens - sp.tokens)
	model := sp.modelFactor(response.Model)
	deviation := math.Log(min(maxPaceError, max(1.0/maxPaceError, runMS/(tokens*sp.tokenMS*model*engine.factor))))
	engine.factor *= math.Exp(engineWeight * deviation)
	sp.models[response.Model] = model * math.Exp(modelWeight*deviation)
	sp.tokenMS *= math.Exp(serviceWeight * deviation)
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
		engine = &enginePace{factor: 1, prefillMS: sp.prefillMS}
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

// unqueued adds a time per token to an average that follows the fastest ones: most slower
// responses waited for a slot or for other prompts.
func unqueued(mean, sample float64) float64 {
	switch {
	case mean == 0:
		return sample
	case sample < mean:
		return mean + averageWeight*(sample-mean)
	}
	return mean + slowerResponseWeight*(min(sample, maxPaceError*mean)-mean)
}

// estimate returns the pace of calls for a model on an engine, and what a call of usual length takes there.
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
	pace := estimatedPace{runMS: sp.runMS}
	factor, prefillMS := 1.0, sp.prefillMS
	if known := sp.engines[engine]; known != nil {
		factor, prefillMS, pace.pauses = known.factor, known.prefillMS, known.pauses
	}
	if sp.tokenMS > 0 {
		pace.tokenMS = sp.tokenMS * sp.modelFactor(model) * factor
		pace.runMS = pace.tokenMS * sp.tokens
	}
	if prefillMS > 0 {
		pace.tokensPerMS = 1 / prefillMS
	}
	return pace
}
