package fleet

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// prefillShare is the fraction of an engine's time for prefill in the long run.
	// Engines interleave prefill with the decoding of their streams.
	prefillShare = 0.5
	// prefillBurstFraction is the prefill allowed beyond that at once, as a fraction
	// of the route's GapLimit. A stream then pauses for at most (burst + own tokens) /
	// (1 - prefillShare), which leaves a seventh of GapLimit for the tokens of one event.
	prefillBurstFraction = 0.35
	// delayedStreamCost is the cost of each stream that is paused for longer than its
	// GapLimit, as a fraction of the objective. A late stream is worth a tenth to a
	// third of a timely one.
	delayedStreamCost = 0.3
	// runTimeWeight is the weight of one reported run time in the moving average over
	// all VMs. Each VM reports its own average with every request.
	runTimeWeight = 0.02
	// vmLoadTTL is how long the load reported by a VM counts. VMs report at least twice a second.
	vmLoadTTL = 2 * time.Second
)

// GlobalScheduler assigns the calls of all VMs to engines. Only the leader's
// instance is used. It tracks the calls that VMs report, and the prompts that it
// assigned to each engine. It does not judge the health of engines: each VM names
// the engines that failed for it. It is safe for concurrent use.
type GlobalScheduler struct {
	fleet      *Fleet
	vms        [shardCount]vmShard
	engines    [shardCount]engineShard
	runTimes   [shardCount]runTimeShard
	limits     *CallLimits
	paces      *paceBook
	turns      *turnQueues
	rules      atomic.Pointer[admissionRules]
	counts     scheduleCounter
	coldCounts coldCounter
}

// runTimeShard holds the average run time on full engines in milliseconds, by service.
type runTimeShard struct {
	mutex      sync.Mutex
	fullEngine map[string]float64
}

// vmShard holds the loads that VMs reported, by VM.
type vmShard struct {
	mutex sync.Mutex
	loads map[string]*vmLoads
}

type vmLoads struct {
	byInstance map[string]int
	expiresAt  time.Time
}

// engineShard holds the scheduler's state of engines, by ID.
type engineShard struct {
	mutex   sync.Mutex
	engines map[string]*engineState
}

// engineState is the scheduler's view of one engine.
type engineState struct {
	inFlight     int // Calls of all VMs.
	calls        engineCalls
	slots        float64   // Of the engine, as last described; 0 before the first call.
	prefillUntil time.Time // Estimated end of the assigned prefill, which gets prefillShare of the time.
	started      time.Time // Start of the engine; a restart discards the assigned prefill and the cached prompts.
	prompts      prefixCache
}

// NewGlobalScheduler returns a scheduler over the engines of a fleet.
func NewGlobalScheduler(f *Fleet) *GlobalScheduler {
	gs := &GlobalScheduler{fleet: f, limits: NewCallLimits(), paces: newPaceBook(), turns: newTurnQueues()}
	gs.rules.Store(&admissionRules{})
	for i := range shardCount {
		gs.vms[i].loads = map[string]*vmLoads{}
		gs.engines[i].engines = map[string]*engineState{}
		gs.runTimes[i].fullEngine = map[string]float64{}
	}
	return gs
}

// SetVMLoads replaces the calls in flight of a VM, by instance.
func (gs *GlobalScheduler) SetVMLoads(vm string, loads map[string]int, now time.Time) {
	s := &gs.vms[kumquathitch.ShardOf(vm, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reported := s.loads[vm]
	if reported == nil {
		reported = &vmLoads{}
		s.loads[vm] = reported
	}
	reported.byInstance, reported.expiresAt = gs.replaceLoads(vm, reported.byInstance, loads, now), now.Add(vmLoadTTL)
}

// ExpireVMs drops the loads of VMs that have not reported for vmLoadTTL.
func (gs *GlobalScheduler) ExpireVMs(now time.Time) {
	for i := range gs.vms {
		s := &gs.vms[i]
		s.mutex.Lock()
		for name, reported := range s.loads {
			if now.After(reported.expiresAt) {
				gs.replaceLoads(name, reported.byInstance, nil, now)
				delete(s.loads, name)
			}
		}
		s.mutex.Unlock()
	}
}

// replaceLoads applies the difference between two loads of one VM to the engines, and
// returns the load that counts: calls that were just assigned may not be reported yet.
func (gs *GlobalScheduler) replaceLoads(vm string, before, after map[string]int, now time.Time) map[string]int {
	counted := make(map[string]int, len(after))
	for id, count := range before {
		if after[id] == count {
			counted[id] = count
		} else if settled := gs.settleCalls(vm, id, count, after[id], now); settled > 0 {
			counted[id] = settled
		}
	}
	for id, count := range after {
		if _, ok := before[id]; !ok {
			counted[id] = gs.settleCalls(vm, id, 0, count, now)
		}
	}
	return counted
}

// settleCalls replaces the number of a VM's calls on an engine by the reported one, and
// returns the number that counts.
func (gs *GlobalScheduler) settleCalls(vm, id string, before, reported int, now time.Time) int {
	s := gs.shard(id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	engine := s.engine(id)
	counted := engine.calls.settle(vm, reported, now)
	if engine.inFlight += counted - before; engine.inFlight <= 0 && gs.fleet.instanceState(id) == nil {
		delete(s.engines, id)
	}
	return counted
}

func (gs *GlobalScheduler) shard(id string) *engineShard {
	return &gs.engines[kumquathitch.ShardOf(id, shardCount)]
}

// engine returns the state of an engine, which it creates if necessary. The caller holds the lock.
func (s *engineShard) engine(id string) *engineState {
	engine := s.engines[id]
	if engine == nil {
		engine = &engineState{prompts: newPrefixCache()}
		s.engines[id] = engine
	}
	return engine
}

// Admit counts a call of a VM against the limit of an instance that the VM chose itself.
func (gs *GlobalScheduler) Admit(request *kumquathitch.AdmitRequest, now time.Time) kumquathitch.AdmitResponse {
	gs.limits.Learn(request.Limits, now)
	gs.fleet.learnCold(request.Limits, now)
	coldPerSecond := 0.0
	if rate := gs.fleet.coldRate(request.Service); rate.applies() && (request.Cold || gs.fleet.isCold(request.ID, request.Incarnation, rate, now)) {
		coldPerSecond = rate.perSecond
	}
	until, _, admitted := gs.limits.Admit(request.Incarnation, coldPerSecond, 0, now)
	switch {
	case coldPerSecond > 0 && admitted:
		gs.coldCounts.add(ColdCounts{Admitted: 1})
	case coldPerSecond > 0:
		gs.coldCounts.add(ColdCounts{Deferred: 1})
	}
	return kumquathitch.AdmitResponse{Admitted: admitted, Wait: max(0, until.Sub(now))}
}

// Schedule assigns a call to the engine with the least cost, which is mainly the
// expected time to the first event. The result names no instance if none can take
// the call, and sets EnginesFull if the first event would come later than
// request.FirstByteLimit, or if all engines have reached their limits. On a service whose
// calls differ in priority, see admission.go, it sets Deferred for a call that waits for its turn.
func (gs *GlobalScheduler) Schedule(request *kumquathitch.ScheduleRequest, now time.Time) kumquathitch.ScheduleResponse {
	scoped := *request
	scoped.From = loadReporter(request)
	request = &scoped
	gs.SetVMLoads(request.From, request.InFlight, now)
	gs.limits.Learn(request.Limits, now)
	gs.fleet.learnCold(request.Limits, now)
	for i := range request.Observed {
		gs.paces.observe(&request.Observed[i], now)
	}
	chain := newPromptChain(request.Model+"/"+request.Adapter, request.Prompt)
	runTimeMS := gs.updateRunTime(request)
	rules := gs.rules.Load().services[request.Service]
	for {
		found := gs.choose(request, chain, rules, runTimeMS, now)
		response, option := gs.decide(request, &found, rules, now)
		if option == nil {
			return response
		}
		// Another call may have been counted against the limit since the engine was chosen.
		sendAt, limited, admitted := gs.limits.Admit(option.incarnation, option.coldPerSecond, coldHold(request), now)
		if !admitted {
			continue
		}
		counts := ScheduleCounts{Assigned: 1, Waited: request.Waited}
		if option.late {
			counts.Late = 1
		}
		gs.counts.add(request.Priority, counts)
		gs.assign(request, option, chain, now)
		response.Instance, response.PrefillTokens, response.Limited = option.instance.id, option.prefillTokens, limited
		response.Wait, response.ExpectedTTFB = max(duration(option.waitMS), sendAt.Sub(now)), duration(option.ttfbMS)
		if option.coldPerSecond > 0 {
			response.SendWithin = admissionTTL
			gs.coldCounts.add(ColdCounts{Assigned: 1, Held: oneIf(sendAt.After(now))})
		}
		return response
	}
}

// loadReporter returns the name under which the loads of a request are kept. A VM reports
// those of each partition separately.
func loadReporter(request *kumquathitch.ScheduleRequest) string {
	if request.Partition.Count <= 1 {
		return request.From
	}
	return request.From + "#" + strconv.Itoa(request.Partition.Index)
}

func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// inPartition returns the instances of a list that belong to a partition. The result may be
// the list itself, and must not be changed.
func inPartition(instances []*instanceState, partition kumquathitch.Partition) []*instanceState {
	if partition.Count <= 1 {
		return instances
	}
	var part []*instanceState
	for _, inst := range instances {
		if partition.Contains(inst.id) {
			part = append(part, inst)
		}
	}
	return part
}

// survey is what the engines with the model of a call offer to it.
type survey struct {
	best       engineOption // Least cost.
	free       engineOption // Least cost of those with room that no more urgent call needs.
	room       int          // Calls that have such room, on all engines.
	slots      int
	perSecond  float64   // Calls that the engines can take.
	spare      float64   // The same without those that more urgent calls need.
	reserved   bool      // An engine has a free slot that is kept for more urgent calls.
	admittedAt time.Time // Earliest time at which the limit of an engine admits a call, if none does now.
}

// choose evaluates the engines with the model of a call whose limits admit it.
func (gs *GlobalScheduler) choose(request *kumquathitch.ScheduleRequest, chain promptChain, rules *serviceRules, runTimeMS float64, now time.Time) survey {
	found := survey{best: engineOption{costMS: math.Inf(1)}, free: engineOption{costMS: math.Inf(1)}}
	rate := gs.fleet.coldRate(request.Service)
	engines := inPartition(gs.fleet.instancesIn(group{service: request.Service, model: request.Model}), request.Partition)
	var paces []estimatedPace
	if rules != nil {
		paces = gs.paces.estimates(request.Service, request.Model, engines, make([]estimatedPace, 0, len(engines)))
	}
	for i, inst := range engines {
		if slices.Contains(request.Exclude, inst.id) {
			continue
		}
		pace := estimatedPace{runMS: runTimeMS}
		if rules != nil {
			pace = paces[i]
		}
		option, ok := gs.evaluate(inst, request, chain, rules, pace, rate, now)
		if !ok {
			continue
		}
		found.slots, found.perSecond, found.spare = found.slots+option.slots, found.perSecond+option.perSecond, found.spare+option.spare
		found.room, found.reserved = found.room+option.room, found.reserved || option.reserved
		if option.costMS >= found.best.costMS && (option.room <= 0 || option.costMS >= found.free.costMS) {
			continue
		}
		at, admits := option.holdForLimit(gs.limits.AdmitsAt(option.incarnation, option.coldPerSecond, now), coldHold(request), now)
		if !admits {
			if found.admittedAt.IsZero() || at.Before(found.admittedAt) {
				found.admittedAt = at
			}
			continue
		}
		if option.costMS < found.best.costMS {
			found.best = option
		}
		if option.room > 0 && option.costMS < found.free.costMS {
			found.free = option
		}
	}
	return found
}

// decide returns the option for a call, or none and the response. The response to a call
// that gets an option has only the fields that depend on more than the option.
func (gs *GlobalScheduler) decide(request *kumquathitch.ScheduleRequest, found *survey, rules *serviceRules, now time.Time) (kumquathitch.ScheduleResponse, *engineOption) {
	best := &found.best
	if best.instance == nil && !found.admittedAt.IsZero() {
		if gs.fleet.coldRate(request.Service).applies() {
			gs.coldCounts.add(ColdCounts{Refused: 1})
		}
		gs.counts.add(request.Priority, ScheduleCounts{Limited: 1})
		return kumquathitch.ScheduleResponse{EnginesFull: true, Wait: found.admittedAt.Sub(now)}, nil
	}
	if best.instance == nil {
		gs.counts.add(request.Priority, ScheduleCounts{NoEngine: 1})
		return kumquathitch.ScheduleResponse{}, nil
	}
	if rules != nil {
		return gs.admit(request, found, now)
	}
	if late := duration(best.waitMS+best.ttfbMS) - request.FirstByteLimit; request.FirstByteLimit > 0 && late > 0 {
		gs.countFull(request.Priority, best, late)
		return kumquathitch.ScheduleResponse{EnginesFull: true, Wait: late}, nil
	}
	return kumquathitch.ScheduleResponse{}, best
}

// countFull counts a refused call by what makes it late.
func (gs *GlobalScheduler) countFull(priority int, best *engineOption, late time.Duration) {
	if duration(best.slotWaitMS) >= late {
		gs.counts.add(priority, ScheduleCounts{FullSlots: 1})
	} else {
		gs.counts.add(priority, ScheduleCounts{FullPrefill: 1})
	}
}

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

// updateRunTime adds the run time on full engines that a VM reported to the moving
// average of all VMs for the service, and returns the average. A report of 0 is ignored. The
// first report of a plain service is its start: its calls take milliseconds.
func (gs *GlobalScheduler) updateRunTime(request *kumquathitch.ScheduleRequest) float64 {
	reportedMS := milliseconds(request.FullEngineRunTime)
	s := &gs.runTimes[kumquathitch.ShardOf(request.Service, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	meanMS, known := s.fullEngine[request.Service]
	switch {
	case !known && request.Model == "" && reportedMS > 0:
		meanMS = reportedMS
	case !known:
		meanMS = milliseconds(initialRunTime)
	}
	if reportedMS > 0 {
		meanMS += runTimeWeight * (reportedMS - meanMS)
		s.fullEngine[request.Service] = meanMS
	}
	return meanMS
}

// assign adds a call to the load of its VM, and its prompt to the prefill and the
// prefix cache of the engine.
func (gs *GlobalScheduler) assign(request *kumquathitch.ScheduleRequest, option *engineOption, chain promptChain, now time.Time) {
	v := &gs.vms[kumquathitch.ShardOf(request.From, shardCount)]
	v.mutex.Lock()
	defer v.mutex.Unlock()
	s := gs.shard(option.instance.id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	engine := s.engine(option.instance.id)
	if reported := v.loads[request.From]; reported != nil {
		if reported.byInstance == nil {
			reported.byInstance = map[string]int{}
		}
		reported.byInstance[option.instance.id]++
		engine.inFlight++
	}
	if v.loads[request.From] != nil && gs.rules.Load().services[request.Service] != nil {
		engine.calls.add(engineCall{
			vm: request.From, rank: rankOf(request), tokens: request.Tokens + request.OutputTokens, late: option.late,
			assigned: now, endsAt: now.Add(duration(option.waitMS + option.ttfbMS + option.runMS)),
		})
	}
	begin := now.Add(duration(option.waitMS))
	if engine.prefillUntil.Before(begin) {
		engine.prefillUntil = begin
	}
	engine.prefillUntil = engine.prefillUntil.Add(duration(option.prefillMS / prefillShare))
	engine.prompts.add(chain)
}

func duration(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
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
