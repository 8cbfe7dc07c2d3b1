package fleet

import (
	"math"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

// Admission decides which calls get the slots of the engines of a service whose calls
// differ in priority. It is made for a load that exceeds the slots for seconds.
//
// A call that has just enough time for its objective takes any free slot, or waits at an
// engine where it will still be in time. A call with time left, and one that is late in any
// case, gets only room that no more urgent call is expected to need before the slot is free
// again; until then it waits at its VM. A late call waits only if its turn comes
// before its caller leaves. Otherwise the caller is refused at once, and told when to come back.
const (
	// minSlack is the time that a call must have left beside its start to be patient.
	minSlack = 400 * time.Millisecond
	// slackFraction is the same as a fraction of its objective. The greater one applies.
	slackFraction = 0.25
	// crowdFraction is the part of their objective for which more urgent calls can wait
	// for a slot. The rest is left for their prompts.
	crowdFraction = 0.4
	// crowdRate is the least rate of more urgent calls on an engine, per second, for which
	// slots are kept.
	crowdRate = 0.2
	// patientShare is the fraction of an engine's slots that the forecast of more urgent
	// calls cannot reserve: less urgent and late calls get a free slot while they have
	// fewer, and at least one. No priority starves as long as slots become free at all.
	patientShare = 1.0 / 16
	// pollFraction is the pause before a patient call asks again, as a fraction of its objective.
	pollFraction = 0.125
	// minPoll and maxPoll bound the pause before a waiting call asks again.
	minPoll, maxPoll = 100 * time.Millisecond, time.Second
	// promisedShare is the fraction of the ends of runs that refused callers are promised
	// while no room is expected for them. A late response counts for less than one in
	// time, so that most room is left for new callers.
	promisedShare = 0.1
	// queueFraction bounds the calls that wait for a model, as a fraction of the slots of
	// the engines that hold it. A longer queue would not be served within a run.
	queueFraction = 0.5
)

// admissionRules are the rules of the services whose calls are ranked. They are immutable.
type admissionRules struct {
	version  uint64 // Of the deployment.
	services map[string]*serviceRules
}

// serviceRules are what the configuration says of the calls of one service.
type serviceRules struct {
	memory     int64                       // KV cache of an engine, in tokens; 0 if not stated.
	objectives [maxRanks + 1]time.Duration // Shortest objective of routes with a priority below the index; 0 if there are none.
}

// Configure applies a deployment, unless a later version was applied. Calls of a service
// are ranked if its engines serve calls of different priorities.
func (gs *GlobalScheduler) Configure(deployment *kumquathitch.Deployment) {
	rules := &admissionRules{version: deployment.Version, services: map[string]*serviceRules{}}
	for i := range deployment.Services {
		if service := &deployment.Services[i]; deployment.RanksCalls(service) {
			rules.services[service.Name] = rulesOf(deployment, service)
		}
	}
	for {
		current := gs.rules.Load()
		if current.version > rules.version || gs.rules.CompareAndSwap(current, rules) {
			return
		}
	}
}

// rulesOf returns the rules of a service.
func rulesOf(deployment *kumquathitch.Deployment, service *kumquathitch.Service) *serviceRules {
	rules := &serviceRules{memory: service.Engine.KVCapacityTokens}
	for i := range deployment.Routes {
		route := &deployment.Routes[i]
		if !slices.ContainsFunc(route.Shares, func(share kumquathitch.ServiceShare) bool { return share.Service == service.Name }) {
			continue
		}
		for _, priority := range deployment.Priorities(route) {
			for rank := min(max(0, priority), maxRanks-1) + 1; rank <= maxRanks; rank++ {
				if rules.objectives[rank] == 0 || route.LatencyObjective < rules.objectives[rank] {
					rules.objectives[rank] = route.LatencyObjective
				}
			}
		}
	}
	return rules
}

// weigh estimates the wait for a slot of an engine, and the room that is left for the
// call beside more urgent ones. The caller holds the lock of the engine.
func (r *serviceRules) weigh(option *engineOption, engine *engineState, request *kumquathitch.ScheduleRequest, pace estimatedPace, now time.Time) {
	rank, slots := rankOf(request), engine.slots
	load := engine.calls.load(rank, engine.inFlight)
	free := slots - float64(load.ahead)
	if r.memory > 0 {
		// Memory that is short makes the call wait for the end of a run, as a slot does.
		need := max(1, request.Tokens+request.OutputTokens)
		free = min(free, math.Floor(float64(r.memory-load.tokens)/float64(need)))
	}
	option.slots, option.runMS, option.perSecond = int(slots), pace.runMS, slots*1000/pace.runMS
	option.ownRunMS = pace.runMS
	if request.OutputTokens > 0 && pace.tokenMS > 0 {
		option.ownRunMS = pace.tokenMS * float64(request.OutputTokens)
	}
	option.slotWaitMS = engine.calls.wait(int(math.Ceil(1-free)), pace.runMS/slots, now)
	unused := min(free, slots-float64(engine.inFlight)) // Yielding calls take slots from those that are as urgent.
	shared := unused >= 1 && float64(load.patient) < max(1, math.Floor(patientShare*slots))
	option.room = int(max(0, math.Floor(unused-r.reserve(option, engine, rank+1, load.urgentOrSame, now))))
	option.crowds = free-r.reserve(option, engine, rank, load.urgent, now) < 1 && engine.calls.arrivalRate(rank, now) > crowdRate && !shared
	if option.room == 0 && shared {
		option.room = 1
	}
	option.spare = max(0, option.perSecond-engine.calls.arrivalRate(rank+1, now))
}

// reserve returns the slots that calls of ranks below a limit are expected to need
// beside those that they have. They can wait for the slots that become free
// within a part of their objective.
func (r *serviceRules) reserve(option *engineOption, engine *engineState, below, present int, now time.Time) float64 {
	needed := engine.calls.arrivalRate(below, now) * option.runMS / 1000
	freed := option.perSecond * crowdFraction * r.objectives[below].Seconds()
	return max(0, needed+math.Sqrt(needed)-float64(present)-freed)
}

// admit decides on a call to a ranked service with at least one engine.
func (gs *GlobalScheduler) admit(request *kumquathitch.ScheduleRequest, found *survey, now time.Time) (kumquathitch.ScheduleResponse, *engineOption) {
	key := group{service: request.Service, model: request.Model}
	best, rank := &found.best, rankOf(request)
	limit := request.FirstByteLimit
	var refused, returned bool
	if limit > 0 && request.Content != 0 {
		refused, returned = gs.turns.returned(key, request.Content, now)
	}
	switch {
	case returned && request.Patience > 0:
		limit = max(limit, request.Patience/2) // Late in any case, and served before new callers.
	case refused && request.LatencyObjective < minPromiseDelay:
		limit = min(limit, time.Millisecond) // Late in any case, and yields to new callers.
	}
	start := duration(best.waitMS + best.ttfbMS)
	inTime := limit <= 0 || (start <= limit && !best.crowds)
	slack := max(minSlack, duration(slackFraction*milliseconds(request.LatencyObjective)))
	patient := inTime && limit > 0 && !returned && request.Ticket != 0 && limit-start > slack
	if inTime && !patient {
		gs.recordArrival(best, rank, now)
		gs.turns.leave(key, request.Ticket)
		if returned {
			gs.counts.add(request.Priority, ScheduleCounts{Returned: 1})
			gs.turns.forget(key, request.Content)
		}
		return kumquathitch.ScheduleResponse{}, best
	}
	ahead, waits := gs.turns.ahead(key, request.Ticket, rank, now.Add(-request.Waited), now)
	if !patient && !waits {
		gs.recordArrival(best, rank, now)
	}
	if found.free.instance != nil && found.room > ahead {
		gs.turns.leave(key, request.Ticket)
		return kumquathitch.ScheduleResponse{Yields: !patient}, &found.free
	}
	poll := min(maxPoll, max(minPoll, duration(pollFraction*milliseconds(request.LatencyObjective))))
	turn := duration(float64(ahead+1) * 1000 / max(found.spare, 0.001))
	if patient {
		poll = min(poll, max(minPoll, limit-start-slack))
	}
	mayWait := request.Ticket != 0 && (patient || turn+start < request.Patience)
	call := waitingCall{rank: rank, arrivedAt: now.Add(-request.Waited), expiresAt: now.Add(poll + ticketGrace)}
	if mayWait && gs.turns.wait(key, request.Ticket, call, max(1, int(queueFraction*float64(found.slots)))) {
		gs.counts.add(request.Priority, ScheduleCounts{Deferred: 1})
		return kumquathitch.ScheduleResponse{Deferred: true, Wait: poll}, nil
	}
	if patient { // The queue is full, but an engine can still start the call in time.
		return kumquathitch.ScheduleResponse{}, best
	}
	gs.turns.leave(key, request.Ticket)
	gs.countFull(request.Priority, best, start-limit)
	at := gs.turns.promise(key, request.Content, max(found.spare, promisedShare*found.perSecond), request.ReturnIn, now)
	return kumquathitch.ScheduleResponse{EnginesFull: true, Wait: at.Sub(now)}, nil
}

// recordArrival counts a call that cannot wait for the forecast of its engine.
func (gs *GlobalScheduler) recordArrival(option *engineOption, rank int, now time.Time) {
	s := gs.shard(option.instance.id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.engine(option.instance.id).calls.recordArrival(rank, now)
}
