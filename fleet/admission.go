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
	// minSlack is the time that a call must have left beside its start to be patient. Room
	// becomes free within a run, which takes a second or two.
	minSlack = time.Second
	// slackFraction is the same as a fraction of its objective. The greater one applies.
	slackFraction = 0.25
	// slotWaitMargin is added to the wait for a slot, as a fraction of it. Runs differ in length,
	// so that without it two of five calls that wait at an engine until the last moment are late.
	slotWaitMargin = 0.5
	// crowdFraction is the part of their objective for which more urgent calls can wait
	// for a slot. The rest is left for their prompts.
	crowdFraction = 0.5
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
	minPoll, maxPoll = 150 * time.Millisecond, time.Second
	// maxLatePoll is the longest pause of a call that is late in any case.
	maxLatePoll = 400 * time.Millisecond
	// promisedShare is the fraction of the calls a second that refused callers are promised
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
	free := slots - float64(engine.inFlight)
	if r.memory > 0 {
		// Memory that is short makes the call wait for the end of a run, as a slot does.
		need := max(1, request.Tokens+request.OutputTokens)
		free = min(free, math.Floor(float64(r.memory-load.tokens)/float64(need)))
	}
	option.slots, option.runMS = int(slots), pace.runMS
	freed := slots * 1000 / pace.runMS
	option.perSecond = min(freed, prefillShare*1000/max(1, option.prefillMS)) // As many prompts can be read.
	// Runs differ so much in length that the ends of single ones say little: half of them take less
	// than half of the mean.
	option.slotWaitMS = max(0, 0.5-free) * pace.runMS / slots
	shared := free >= 1 && float64(load.patient) < max(1, math.Floor(patientShare*slots))
	margin := r.margin(engine, pace, freed, rank+1, load.urgentOrSame, now)
	option.room = int(max(0, math.Floor(free+min(0, margin))))
	if option.room == 0 && shared {
		option.room = 1
	}
	option.reserved = option.room == 0 && free >= 1
	if option.pacedMS > 0 { // One more prompt would delay the streams and the more urgent calls.
		option.room = 0
	}
	option.contended = r.objectives[rank+1] < request.LatencyObjective && engine.calls.arrivalRate(rank+1, now) > crowdRate
	margin = r.margin(engine, pace, freed, rank, load.urgent, now)
	option.crowds = !shared && free+margin < 1 && engine.calls.arrivalRate(rank, now) > crowdRate
	option.spare = max(0, option.perSecond-engine.calls.arrivalRate(rank+1, now))
}

// margin returns the slots, freed per second, that become free while calls of ranks below a limit can wait for
// them, less those that such calls are expected to need beside the ones that they have.
func (r *serviceRules) margin(engine *engineState, pace estimatedPace, freed float64, below, present int, now time.Time) float64 {
	needed := 0.0
	for rank := range below {
		needed += engine.calls.rate(rank, now) * pace.rankMS[rank] / 1000
	}
	return freed*crowdFraction*r.objectives[below].Seconds() - max(0, needed+math.Sqrt(needed)-float64(present))
}

// assessment is what decides on a call to a ranked service with at least one engine.
type assessment struct {
	key      group
	rank     int
	limit    time.Duration // Time within which the response must start; 0 if it is not bounded.
	start    time.Duration // Time to the first event at the best engine.
	slack    time.Duration // Time that a patient call has left beside its start.
	returned bool          // The caller comes back for a promised turn.
	inTime   bool          // The best engine starts the response in time, and more urgent calls do not need the slot.
	patient  bool          // So it will for a while, and there are calls that cannot wait.
}

func (gs *GlobalScheduler) assess(request *kumquathitch.ScheduleRequest, best *engineOption, now time.Time) assessment {
	a := assessment{
		key: group{service: request.Service, model: request.Model}, rank: rankOf(request), limit: request.FirstByteLimit,
		start: duration(best.waitMS + best.ttfbMS + slotWaitMargin*best.slotWaitMS),
		slack: max(minSlack, duration(slackFraction*milliseconds(request.LatencyObjective))),
	}
	var refused bool
	if a.limit > 0 && request.Content != 0 {
		refused, a.returned = gs.turns.returned(a.key, request.Content, now)
	}
	switch {
	case a.returned && request.Patience > 0:
		a.limit = max(a.limit, request.Patience/2) // Late in any case, and served before new callers.
	case refused && request.LatencyObjective < minPromiseDelay:
		a.limit = min(a.limit, time.Millisecond) // Late in any case, and yields to new callers.
	}
	a.inTime = a.limit <= 0 || (a.start <= a.limit && !best.crowds)
	a.patient = a.inTime && best.contended && a.limit > 0 && !a.returned && request.Ticket != 0 && a.limit-a.start > a.slack
	return a
}

// admit decides on a call to a ranked service with at least one engine. It returns the option
// for the call, which may be late in any case, or none and the response.
func (gs *GlobalScheduler) admit(request *kumquathitch.ScheduleRequest, found *survey, now time.Time) (kumquathitch.ScheduleResponse, *engineOption) {
	best := &found.best
	a := gs.assess(request, best, now)
	if a.inTime && !a.patient {
		gs.recordArrival(best, a.rank, now)
		gs.turns.leave(a.key, request.Ticket)
		if a.returned {
			gs.counts.add(request.Priority, ScheduleCounts{Returned: 1})
			gs.turns.forget(a.key, request.Content)
		}
		return kumquathitch.ScheduleResponse{}, best
	}
	ahead, waits := gs.turns.ahead(a.key, request.Ticket, a.rank, now.Add(-request.Waited), now)
	if !a.patient && !waits {
		gs.recordArrival(best, a.rank, now)
	}
	if found.free.instance != nil && found.room > ahead {
		gs.turns.leave(a.key, request.Ticket)
		found.free.late = !a.patient
		return kumquathitch.ScheduleResponse{}, &found.free
	}
	if found.reserved {
		gs.counts.add(request.Priority, ScheduleCounts{Reserved: 1})
	}
	if poll, ok := gs.enqueue(request, found, &a, ahead, now); ok {
		gs.counts.add(request.Priority, ScheduleCounts{Deferred: 1})
		return kumquathitch.ScheduleResponse{Deferred: true, Wait: poll}, nil
	}
	if a.patient { // The queue is full, but an engine can still start the call in time.
		return kumquathitch.ScheduleResponse{}, best
	}
	gs.turns.leave(a.key, request.Ticket)
	gs.countFull(request.Priority, best, a.start-a.limit)
	at := gs.turns.promise(a.key, request.Content, max(found.spare, promisedShare*found.perSecond), request.ReturnIn, now)
	return kumquathitch.ScheduleResponse{EnginesFull: true, Wait: at.Sub(now)}, nil
}

// enqueue has a call wait at its VM, and returns when it asks again. It reports false if the
// queue is full, or if the caller leaves before its turn.
func (gs *GlobalScheduler) enqueue(request *kumquathitch.ScheduleRequest, found *survey, a *assessment, ahead int, now time.Time) (time.Duration, bool) {
	// Bursts end, and waiting calls get a share of the slots until then.
	turn := duration(float64(ahead+1) * 1000 / max(found.spare, patientShare*found.perSecond))
	if request.Ticket == 0 || (!a.patient && turn+a.start >= request.Patience) {
		return 0, false
	}
	poll := min(maxPoll, max(minPoll, duration(pollFraction*milliseconds(request.LatencyObjective))))
	if a.patient {
		poll = min(poll, max(minPoll, a.limit-a.start-a.slack))
	} else {
		poll = max(poll, min(maxLatePoll, turn/2), min(maxPoll, duration(found.best.pacedMS)))
	}
	call := waitingCall{rank: a.rank, arrivedAt: now.Add(-request.Waited), expiresAt: now.Add(poll + ticketGrace)}
	return poll, gs.turns.wait(a.key, request.Ticket, call, max(1, int(queueFraction*float64(found.slots))))
}

// recordArrival counts a call that cannot wait for the forecast of its engine.
func (gs *GlobalScheduler) recordArrival(option *engineOption, rank int, now time.Time) {
	s := gs.shard(option.instance.id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.engine(option.instance.id).calls.recordArrival(rank, now)
}
