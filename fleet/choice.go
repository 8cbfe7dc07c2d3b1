package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxCandidates bounds the instances that are evaluated for one choice.
	maxCandidates = 48
	// remoteCostMS is added for an instance in another data centre: its latency is a
	// millisecond higher, and traffic between data centres is charged.
	remoteCostMS = 1.5
	// nonPreferredEngineCostMS is added if this VM prefers another instance for the
	// model. Each instance then gets most calls from few VMs, which can pace them.
	nonPreferredEngineCostMS = 5.0
	// nonPreferredPlainCostMS is the same for a plain service. There the preferred
	// instance is the one with a recently used connection.
	nonPreferredPlainCostMS = 2.0
	// pacedPrefillFraction is the fraction of the route's GapLimit that concurrent
	// prefill may take. An event holds several tokens, and a chunk of a prompt is
	// read before each of them.
	pacedPrefillFraction = 0.6
	// fullBatchCostFraction is the cost of a full batch as a fraction of the
	// objective. Tokens come more slowly the more calls run.
	fullBatchCostFraction = 0.1
	// serviceFailureWeight is the weight of one send in the failure rate of a service.
	serviceFailureWeight = 0.02
)

// serviceStats holds moving averages over all instances of a service.
type serviceStats struct {
	failureRate float64
	fullRunTime time.Duration // Time that a call holds a slot: from first to last event on an engine with all slots taken, or the work time of a plain service; 0 if unknown.
	slownessAt  time.Time     // When an instance of a plain service last stated its slowness.
}

// Choose returns the instance with the least cost, which is mainly the expected
// time to the response. It returns a *NoInstanceError if no instance can take the call.
func (f *Fleet) Choose(criteria kumquathitch.InstanceCriteria, now time.Time) (kumquathitch.InstanceChoice, error) {
	candidates := f.restrictions.allowed(f.instancesIn(group{service: criteria.Service, model: criteria.Model}), criteria.Homes, now)
	all := candidates
	candidates = f.subset(candidates, criteria, now)
	chain := newPromptChain(criteria.Model+"/"+criteria.Adapter, criteria.Prompt)
	prefillBudgetMS := f.prefillBudget(criteria, len(candidates))
	best := candidate{costMS: math.Inf(1)}
	fallback := candidate{costMS: math.Inf(1)} // Best instance with an open circuit, or in an unreachable data centre.
	saturated := false
	offset := 0
	if len(candidates) > maxCandidates {
		offset = rand.IntN(len(candidates)) //nolint:gosec // Spreads load; nothing depends on secrecy.
	}
	preferred, rate := f.preferred(candidates, criteria.Model), f.coldRate(criteria.Service)
	for i := range min(maxCandidates, len(candidates)) {
		inst := candidates[(offset+i)%len(candidates)]
		found, usable := inst.estimate(criteria, chain, f.dataCentre, prefillBudgetMS, rate, now)
		if !usable {
			continue
		}
		found.lastResort = found.lastResort || f.isUnreachable(found.dataCentre)
		if inst != preferred {
			found.costMS += nonPreferredCost(criteria)
		}
		switch {
		case found.lastResort:
			if found.costMS < fallback.costMS {
				fallback = found
			}
		case found.saturated && now.Before(criteria.HoldUntil):
			saturated = true
		case found.costMS < best.costMS:
			best = found
		}
	}
	if best.instance == nil && saturated {
		return kumquathitch.InstanceChoice{}, &kumquathitch.NoInstanceError{
			Service: criteria.Service, Model: criteria.Model, Adapter: criteria.Adapter, Saturated: true,
		}
	}
	if best.instance == nil {
		best = fallback
	}
	if best.instance == nil {
		return kumquathitch.InstanceChoice{}, f.noInstanceError(criteria, all, now)
	}
	best.instance.startSend(chain, best.prefillTokens, best.probe)
	return kumquathitch.InstanceChoice{
		Instance: best.instance.snapshot(), PrefillTokens: best.prefillTokens, Probe: best.probe, Limited: best.limited, Sent: now,
		SendBy: best.sendBy(now), ExpectedTTFB: time.Duration(best.ttfbMS * float64(time.Millisecond)),
	}, nil
}

// ChooseAssigned is Choose for an instance that the leader assigned. It reports false if this
// VM has seen the instance fail, or may not use it for the call.
func (f *Fleet) ChooseAssigned(criteria kumquathitch.InstanceCriteria, assignment kumquathitch.Assignment, now time.Time) (kumquathitch.InstanceChoice, bool) {
	inst := f.instanceState(assignment.InstanceID)
	if inst == nil {
		return kumquathitch.InstanceChoice{}, false
	}
	if assignment.Limited {
		inst.endDeferral()
	}
	chain := newPromptChain(criteria.Model+"/"+criteria.Adapter, criteria.Prompt)
	found, usable := inst.estimate(criteria, chain, f.dataCentre, math.Inf(1), f.coldRate(criteria.Service), now)
	if !usable || found.lastResort || f.isUnreachable(found.dataCentre) || !f.restrictions.allow(found.dataCentre, criteria.Homes, now) {
		return kumquathitch.InstanceChoice{}, false
	}
	inst.startSend(chain, assignment.PrefillTokens, found.probe)
	sendBy := assignment.SendBy
	if sendBy.IsZero() {
		sendBy = found.sendBy(assignment.SendAt)
	}
	return kumquathitch.InstanceChoice{
		Instance: inst.snapshot(), SendBy: sendBy, PrefillTokens: assignment.PrefillTokens, Probe: found.probe, Limited: found.limited && !assignment.Limited,
		Sent: assignment.SendAt, ExpectedTTFB: assignment.ExpectedTTFB,
	}, true
}

// AvoidedInstances returns the IDs of the instances that this VM would not accept
// from the leader for a call: those already tried, those that failed for this VM,
// and those that it cannot reach.
func (f *Fleet) AvoidedInstances(criteria kumquathitch.InstanceCriteria, now time.Time) []string {
	avoided := append([]string(nil), criteria.Exclude...)
	for _, inst := range f.instancesIn(group{service: criteria.Service, model: criteria.Model}) {
		if inst.avoided(criteria.NoRetry, now) || f.isUnreachable(inst.snapshot().DataCentre) {
			avoided = append(avoided, inst.id)
		}
	}
	return avoided
}

// HasAlternative reports whether an instance other than the chosen one could take the call now.
func (f *Fleet) HasAlternative(criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice, now time.Time) bool {
	chain, rate := newPromptChain(criteria.Model+"/"+criteria.Adapter, criteria.Prompt), f.coldRate(criteria.Service)
	for _, inst := range f.restrictions.allowed(f.instancesIn(group{service: criteria.Service, model: criteria.Model}), criteria.Homes, now) {
		if inst.id == choice.Instance.ID {
			continue
		}
		if found, usable := inst.estimate(criteria, chain, f.dataCentre, math.Inf(1), rate, now); usable && !found.lastResort && !f.isUnreachable(found.dataCentre) {
			return true
		}
	}
	return false
}

// nonPreferredCost returns the additional cost of all instances but the preferred
// one, in milliseconds.
func nonPreferredCost(criteria kumquathitch.InstanceCriteria) float64 {
	if criteria.Model == "" {
		return nonPreferredPlainCostMS
	}
	return nonPreferredEngineCostMS
}

// prefillBudget returns this VM's share of the prefill that an instance may have
// pending, in milliseconds.
func (f *Fleet) prefillBudget(criteria kumquathitch.InstanceCriteria, replicas int) float64 {
	if criteria.Model == "" || criteria.GapLimit <= 0 {
		return math.Inf(1)
	}
	share := min(1, float64(replicas)/float64(f.memberCount.Load()))
	return pacedPrefillFraction * milliseconds(criteria.GapLimit) * share
}

// Accepts reports whether the chosen instance still takes calls from this VM.
func (f *Fleet) Accepts(choice kumquathitch.InstanceChoice, now time.Time) bool {
	inst := f.instanceState(choice.Instance.ID)
	return inst != nil && inst.accepts(choice, now) && !f.restrictions.closed(choice.Instance.DataCentre, now)
}

// ResponseStarted records the head of a response, and returns what is news in it.
func (f *Fleet) ResponseStarted(choice kumquathitch.InstanceChoice, head kumquathitch.ResponseHead) kumquathitch.ResponseNews {
	defer f.notifyCapacity()
	inst := f.observedState(choice.Instance.ID)
	if inst == nil {
		return kumquathitch.ResponseNews{}
	}
	return inst.startResponse(choice, head)
}

// instanceState returns the state of an instance, or nil if it is not in the fleet.
func (f *Fleet) instanceState(id string) *instanceState {
	s := f.shard(id)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.instances[id]
}

// observedState is instanceState, also for an instance that was removed: calls on it end
// later, and their responses may say something of it.
func (f *Fleet) observedState(id string) *instanceState {
	s := f.shard(id)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if inst := s.instances[id]; inst != nil {
		return inst
	}
	former, _ := s.removed.Peek(id)
	return former.state
}

func (f *Fleet) noInstanceError(criteria kumquathitch.InstanceCriteria, candidates []*instanceState, now time.Time) error {
	holders := 0
	var pausedUntil time.Time
	for _, inst := range candidates {
		if end := inst.pauseEnd(criteria, now); !end.IsZero() && (pausedUntil.IsZero() || end.Before(pausedUntil)) {
			pausedUntil = end
		}
		if _, ok := inst.engineSnapshot(criteria.Model, "", coldRate{}, now); ok {
			holders++
		}
	}
	all := f.instancesIn(group{service: criteria.Service})
	usable := len(f.restrictions.allowed(all, criteria.Homes, now)) > 0
	evacuated, outsideHomes := f.restrictions.exclusion(all, criteria.Homes, now)
	if usable {
		evacuated, _ = f.restrictions.exclusion(f.instancesIn(group{service: criteria.Service, model: criteria.Model}), criteria.Homes, now)
	}
	return &kumquathitch.NoInstanceError{
		Evacuated: evacuated && len(candidates) == 0, OutsideHomes: outsideHomes,
		Service: criteria.Service, Model: criteria.Model, Adapter: criteria.Adapter,
		AdapterNotResident: criteria.Adapter != "" && holders > 0 && len(criteria.Exclude) == 0,
		ModelNotResident:   criteria.Model != "" && holders == 0 && usable,
		PausedUntil:        pausedUntil,
	}
}

// preferred returns the instance that this VM prefers for a model, or for a plain
// service, by rendezvous hashing.
func (f *Fleet) preferred(candidates []*instanceState, model string) *instanceState {
	key := f.vm + "/" + model
	var best *instanceState
	var highest uint64
	for _, inst := range candidates {
		if weight := kumquathitch.RendezvousWeight(key, inst.id); best == nil || weight > highest {
			best, highest = inst, weight
		}
	}
	return best
}

// candidate is an instance that can take a call, with its estimated cost.
type candidate struct {
	instance      *instanceState
	dataCentre    string
	costMS        float64
	ttfbMS        float64
	prefillTokens int64
	lastResort    bool
	saturated     bool
	probe         bool
	limited       bool
	cold          bool // Or suspected to be.
}

// sendBy returns when the admission of the call ends that is to be sent at a time, or zero.
func (c *candidate) sendBy(sendAt time.Time) time.Time {
	if !c.cold {
		return time.Time{}
	}
	return sendAt.Add(admissionTTL)
}

// estimate estimates the cost of a send to the instance. It reports false if the
// instance must not be used for the call.
func (inst *instanceState) estimate(criteria kumquathitch.InstanceCriteria, chain promptChain, dataCentre string, prefillBudgetMS float64, rate coldRate, now time.Time) (candidate, bool) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	found := candidate{instance: inst, dataCentre: inst.description.DataCentre}
	for _, tried := range criteria.Exclude {
		if tried == inst.id {
			return found, false
		}
	}
	if !inst.serves(criteria.Model, criteria.Adapter, now) || now.Before(inst.unavailableUntil()) {
		return found, false
	}
	load, slots := inst.load(now), float64(max(1, inst.description.Slots))
	excess := max(0, load+1-slots)
	if criteria.Model == "" {
		found.ttfbMS = milliseconds(inst.latency) * inst.slowness.at(now) * (1 + 0.5*load/slots + excess/slots)
	} else {
		found.prefillTokens = max(0, criteria.Tokens-inst.prompts.cachedTokens(chain))
		found.saturated = inst.pendingPrefill > 0 && float64(inst.pendingPrefill+found.prefillTokens)/max(inst.prefillRate, minTokensPerMS) > prefillBudgetMS
		found.ttfbMS = float64(inst.pendingPrefill+found.prefillTokens)/max(inst.prefillRate, minTokensPerMS) + excess*milliseconds(inst.runTime)/slots
	}
	found.costMS = found.ttfbMS + fullBatchCostFraction*milliseconds(criteria.LatencyObjective)*load/slots
	if inst.description.DataCentre != dataCentre {
		found.costMS += remoteCostMS
	}
	// The failed fraction of an instance's calls costs that fraction of the objective.
	found.costMS += inst.failureRate * milliseconds(criteria.LatencyObjective)
	if now.Before(inst.busyUntil) {
		found.costMS += milliseconds(criteria.LatencyObjective)
	}
	found.cold = inst.cold.mayBeCold(rate, now)
	found.probe, found.limited = inst.consecutiveOpens > 0, inst.limit.named || found.cold
	found.lastResort = inst.circuitOpen(criteria.NoRetry, now)
	return found, true
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Silent records that the chosen instance has sent nothing for too long, so that other calls avoid it.
func (f *Fleet) Silent(choice kumquathitch.InstanceChoice, now time.Time) {
	if inst := f.observedState(choice.Instance.ID); inst != nil {
		inst.recordSilence(choice, now)
	}
}

// Done records the result of a choice. It is called exactly once for each choice.
func (f *Fleet) Done(criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice, result kumquathitch.SendResult) {
	serviceFailureRate := f.recordResult(criteria, choice, result)
	f.recordResponse(&criteria, &choice, &result)
	defer f.notifyCapacity()
	inst := f.observedState(choice.Instance.ID)
	if inst == nil {
		return
	}
	inst.endSend(choice, result, criteria.Model != "", serviceFailureRate, f.coldRate(criteria.Service))
}

// recordResult adds a result to the averages of the service, and returns its failure rate.
func (f *Fleet) recordResult(criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice, result kumquathitch.SendResult) float64 {
	s := &f.services[kumquathitch.ShardOf(criteria.Service, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stats := s.services[criteria.Service]
	if stats == nil {
		stats = &serviceStats{}
		s.services[criteria.Service] = stats
	}
	failed := 0.0
	if result.Outcome != kumquathitch.SendAnswered && result.Outcome != kumquathitch.SendCancelled {
		failed = 1
	}
	stats.failureRate += serviceFailureWeight * (failed - stats.failureRate)
	if criteria.Model == "" {
		stats.addPlain(choice, result)
		return stats.failureRate
	}
	if result.Outcome == kumquathitch.SendAnswered && result.HasLoad && result.Load.Running >= choice.Instance.Slots {
		runTime := result.Ended.Sub(result.FirstByte)
		if stats.fullRunTime == 0 {
			stats.fullRunTime = runTime
		}
		stats.fullRunTime += time.Duration(averageWeight * float64(runTime-stats.fullRunTime))
	}
	return stats.failureRate
}

// FullEngineRunTime returns the average time from the first event to the last of
// this VM's calls on engines with all slots taken, or the average work time of a plain
// service whose calls are scheduled. It is 0 if there were none.
func (f *Fleet) FullEngineRunTime(service string) time.Duration {
	s := &f.services[kumquathitch.ShardOf(service, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stats := s.services[service]; stats != nil {
		return stats.fullRunTime
	}
	return 0
}
