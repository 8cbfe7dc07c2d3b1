package fleet

import (
	"time"

	"kumquathitch.example/kumquathitch"
)

// engineOption is an engine that can take a call, with its estimated times.
type engineOption struct {
	instance      *instanceState
	incarnation   string
	prefillTokens int64
	prefillMS     float64 // Prefill of prefillTokens.
	waitMS        float64 // From now until the call may be sent.
	slotWaitMS    float64 // Part of ttfbMS until a slot is free.
	ttfbMS        float64 // From the send to the first event.
	costMS        float64
	coldPerSecond float64 // Calls a second that the engine takes while it is cold; 0 if it is not.
	// The following are set on services whose calls differ in priority.
	slots     int
	room      int     // Calls of this rank that no more urgent call leaves without a slot.
	runMS     float64 // Expected run.
	perSecond float64 // Calls that the engine can take.
	spare     float64 // The same without those that more urgent calls need.
	late      bool    // The response starts after the objective.
	pacedMS   float64 // Until the prompts that are still to be read leave time for that of the call.
	reserved  bool    // A slot is free, and kept for more urgent calls.
	contended bool    // Calls that are as urgent and can wait for less time come to the engine.
	crowds    bool    // The call would make more urgent ones wait for too long.
}

// holdForLimit adds the wait until the limit admits the call, if the engine is cold. Otherwise,
// and if the call may not be held so long, it returns when the limit may admit it. The same
// goes for a call that would be sent long after its admission, and arrive with later ones.
func (o *engineOption) holdForLimit(at time.Time, longest time.Duration, now time.Time) (time.Time, bool) {
	if o.coldPerSecond <= 0 {
		return at, at.IsZero()
	}
	wait := max(0, at.Sub(now))
	if wait > longest {
		return at, false
	}
	if pacing := duration(o.waitMS) - wait; pacing > maxColdPacing {
		return now.Add(pacing - maxColdPacing), false
	}
	if waitMS := milliseconds(wait); waitMS > o.waitMS {
		o.costMS += waitMS - o.waitMS
		o.waitMS = waitMS
	}
	return time.Time{}, true
}

func (gs *GlobalScheduler) evaluate(inst *instanceState, request *kumquathitch.ScheduleRequest, chain promptChain, rules *serviceRules, pace estimatedPace, rate coldRate, now time.Time) (engineOption, bool) {
	snapshot, ok := inst.engineSnapshot(request.Model, request.Adapter, rate, now)
	if !ok || !gs.fleet.restrictions.allow(snapshot.dataCentre, request.Homes, now) {
		return engineOption{}, false
	}
	s := gs.shard(inst.id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	engine := s.engine(inst.id)
	if !engine.started.Equal(snapshot.started) {
		engine.started, engine.prefillUntil, engine.prompts = snapshot.started, time.Time{}, newPrefixCache()
	}
	tokensPerMS := snapshot.tokensPerMS
	if pace.tokensPerMS > 0 {
		tokensPerMS = pace.tokensPerMS
	}
	option := engineOption{instance: inst, incarnation: snapshot.incarnation, prefillTokens: max(0, request.Tokens-engine.prompts.cachedTokens(chain))}
	option.prefillMS = float64(option.prefillTokens) / max(tokensPerMS, minTokensPerMS)
	backlogMS := prefillShare * max(0, milliseconds(engine.prefillUntil.Sub(now)))
	gapLimitMS, objectiveMS := milliseconds(request.GapLimit), milliseconds(request.LatencyObjective)
	if gapLimitMS > 0 {
		option.waitMS = min(max(0, backlogMS+option.prefillMS-prefillBurstFraction*gapLimitMS), backlogMS) / prefillShare
		option.pacedMS = option.waitMS
		option.waitMS = min(option.waitMS, milliseconds(request.MaxHold))
	}
	backlogAtSendMS := max(0, backlogMS-prefillShare*option.waitMS)
	engine.slots = snapshot.slots
	if rules == nil {
		option.slotWaitMS = max(0, float64(engine.inFlight+1)-snapshot.slots) * pace.runMS / snapshot.slots
	} else {
		rules.weigh(&option, engine, request, pace, now)
	}
	option.ttfbMS = backlogAtSendMS + option.prefillMS + option.slotWaitMS
	option.costMS = option.waitMS + option.ttfbMS + fullBatchCostFraction*objectiveMS*float64(engine.inFlight)/snapshot.slots + pace.pauses*objectiveMS
	if gapLimitMS > 0 && backlogAtSendMS+option.prefillMS > (1-prefillShare)*gapLimitMS {
		option.costMS += delayedStreamCost * objectiveMS * min(float64(engine.inFlight), snapshot.slots)
	}
	if snapshot.dataCentre != request.DataCentre {
		option.costMS += remoteCostMS
	}
	if snapshot.cold {
		option.coldPerSecond = rate.perSecond
		option.costMS += coldCostFraction * objectiveMS / float64(1+max(0, request.Priority))
	}
	return option, true
}

// engineSnapshot is the part of an instance's state that the scheduler uses.
type engineSnapshot struct {
	slots       float64
	tokensPerMS float64
	started     time.Time
	incarnation string
	dataCentre  string
	cold        bool
}

// engineSnapshot returns the instance as an engine. It reports false if the
// instance takes no calls for the model and adapter.
func (inst *instanceState) engineSnapshot(model, adapter string, rate coldRate, now time.Time) (engineSnapshot, bool) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if !inst.serves(model, adapter, now) {
		return engineSnapshot{}, false
	}
	return engineSnapshot{
		slots: float64(max(1, inst.description.Slots)), tokensPerMS: inst.unqueuedPrefillRate,
		started: inst.description.Started, incarnation: inst.description.Incarnation(), dataCentre: inst.description.DataCentre,
		cold: inst.cold.isCold(rate, now),
	}, true
}
