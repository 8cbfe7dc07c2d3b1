package fleet

import (
	"math"
	"slices"
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

// GlobalScheduler assigns the calls of all VMs to engines. Only those of the VMs that are
// schedulers are used. It tracks the calls that VMs report, and the prompts that it
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
