package fleet

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// remoteLoadHalfLife discounts a reported count of other VMs' calls by its age.
	// Streams last about a second, so older counts say little.
	remoteLoadHalfLife = 1500 * time.Millisecond
	// failureRateWeight is the weight of one outcome in the failure rate of an instance.
	failureRateWeight = 0.15
	// minOpenTime is how long a circuit stays open after the first failure. It
	// doubles with each failed probe. A restart takes some seconds, and one probe in
	// half a second costs little.
	minOpenTime = 400 * time.Millisecond
	// maxOpenTime bounds the doubling, so that a recovered instance is soon used again.
	maxOpenTime = 5 * time.Second
	// breaksToOpen is the number of consecutive broken sends that opens the circuit.
	// A single one can be the fault of the request.
	breaksToOpen = 2
	// busyAvoidTime is how long an instance is avoided after it refused a call.
	busyAvoidTime = 150 * time.Millisecond
	// maxFailureExcess is how far the failure rate of an instance may exceed that of
	// its service before the circuit opens. Services answer some calls with failures
	// on all instances.
	maxFailureExcess = 0.3
	// placedAdapterTTL is how long a placed adapter counts as resident before the
	// description lists it. Descriptions are updated about once a second.
	placedAdapterTTL = 4 * time.Second
	// leavingCarryTime is how long an instance is taken to leave by a response that came
	// before this VM knew of its present start. Instances exit seconds after they leave.
	leavingCarryTime = 30 * time.Second
	// unloadingTTL is how long the leader's list of models being unloaded counts. It
	// is repeated twice a second.
	unloadingTTL = 1500 * time.Millisecond
	// averageWeight is the weight of one response in moving averages of times and rates.
	averageWeight = 0.2
	// slowerResponseWeight is the weight of a slower response in the unqueued prefill
	// rate. Most slower responses waited for a slot or for other prompts.
	slowerResponseWeight = 0.02
	// initialTokensPerMS is the prefill rate assumed before the first response, in
	// prompt tokens per millisecond.
	initialTokensPerMS = 20.0
	// minTokensPerMS is the lower limit of the measured prefill rate.
	minTokensPerMS = 0.1
	// initialRunTime is the time from first to last event assumed before the first response.
	initialRunTime = time.Second
	// initialLatency is the latency of a plain service assumed before the first response.
	initialLatency = 20 * time.Millisecond
)

// withdrawal is what the responses of an instance say of calls from this VM.
type withdrawal struct {
	leaving     bool      // The instance leaves.
	pausedUntil time.Time // Until when it takes no calls.
	at          time.Time // Last response that said either.
}

func (w withdrawal) empty() bool {
	return !w.leaving && w.pausedUntil.IsZero()
}

// carriedTo returns what still holds after a new description. After another start of the
// instance, a response counts if it came later than that start and from its address: the
// VM then had not known of the start yet. The times are those of two clocks, so that it
// counts only for a while that the instance leaves.
func (w withdrawal) carriedTo(from, to *kumquathitch.Instance) withdrawal {
	if from.SameIncarnation(to) {
		return w
	}
	if from.Address != to.Address || !w.at.After(to.Started) {
		return withdrawal{}
	}
	if end := w.at.Add(leavingCarryTime); w.leaving && end.After(w.pausedUntil) {
		w.pausedUntil = end
	}
	w.leaving = false
	return w
}

// instanceState is the description of an instance, and what this VM has observed of it.
type instanceState struct {
	id          string // Immutable, so read without the lock.
	mutex       sync.Mutex
	description kumquathitch.Instance

	inFlight        int   // Calls of this VM that have not ended.
	pendingPrefill  int64 // Prompt tokens of those that have no first event yet.
	remoteInFlight  int   // Calls of other VMs, as last reported by the instance or the leader.
	remoteCountedAt time.Time

	prefillRate         float64       // Prompt tokens per millisecond, including time in queues.
	unqueuedPrefillRate float64       // Prompt tokens per millisecond without time in queues.
	latency             time.Duration // Until the response to a call of a plain service, at the usual speed.
	runTime             time.Duration // From first to last event.
	slowness            slowness

	failureRate       float64 // Moving average of failed sends, 0 to 1.
	consecutiveBreaks int     // Consecutive sends with outcome SendBroken.
	consecutiveOpens  int     // How often the circuit opened since the last response.
	openUntil         time.Time
	probeInFlight     bool
	busyUntil         time.Time

	withdrawal withdrawal
	limit      instanceLimit
	cold       coldState

	placedAdapters map[string]time.Time // Expiry of adapters that the description does not list yet, by model/adapter.
	unloading      []string             // Models that are being unloaded, valid until unloadingUntil.
	unloadingUntil time.Time
	prompts        prefixCache
}

func newInstanceState(instance kumquathitch.Instance) *instanceState {
	inst := &instanceState{id: instance.ID}
	inst.reset(instance)
	return inst
}

// reset discards the observations of an earlier start of the instance.
func (inst *instanceState) reset(instance kumquathitch.Instance) {
	inst.description = kumquathitch.Instance{ID: instance.ID}
	inst.remoteInFlight, inst.prefillRate, inst.unqueuedPrefillRate, inst.latency, inst.runTime = 0, initialTokensPerMS, initialTokensPerMS, initialLatency, initialRunTime
	inst.failureRate, inst.consecutiveBreaks, inst.consecutiveOpens = 0, 0, 0
	inst.openUntil, inst.busyUntil, inst.withdrawal = time.Time{}, time.Time{}, withdrawal{}
	inst.limit, inst.cold, inst.slowness = instanceLimit{}, coldState{}, slowness{}
	inst.placedAdapters = map[string]time.Time{}
	inst.prompts = newPrefixCache()
}

// update replaces the description. It returns the former groups of the instance,
// and false if the description is older than the present one.
func (inst *instanceState) update(instance kumquathitch.Instance, rate coldRate, now time.Time) ([]group, bool) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if instance.Revision < inst.description.Revision {
		return nil, false
	}
	var before []group
	if inst.description.Service != "" {
		before = groupsOf(&inst.description)
	}
	if inst.description.Service != "" && !inst.description.SameIncarnation(&instance) {
		carried := inst.withdrawal.carriedTo(&inst.description, &instance)
		inst.reset(instance)
		inst.withdrawal = carried
	}
	inst.cold.describe(&inst.description, &instance, rate, now)
	for _, r := range inst.description.Models {
		if !instance.Models.Holds(r.Name, "") {
			inst.prompts.removeModel(r.Name)
		}
	}
	maps.DeleteFunc(inst.placedAdapters, func(_ string, until time.Time) bool { return !now.Before(until) })
	instance.Leaving = instance.Leaving || inst.withdrawal.leaving // The description may be older than the response.
	inst.description = instance
	return before, true
}

// addPlacedAdapter records an adapter that the description does not list yet. The
// description itself is left unchanged, since orders are planned from it.
func (inst *instanceState) addPlacedAdapter(target string, until time.Time) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	inst.placedAdapters[target] = until
}

func (inst *instanceState) setUnloading(models []string, until time.Time) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	inst.unloading, inst.unloadingUntil = models, until
}

// serves reports whether the instance takes calls for a model and an adapter,
// either of which may be empty. The caller holds the lock.
func (inst *instanceState) serves(model, adapter string, now time.Time) bool {
	switch {
	case inst.description.Leaving, adapter != "" && !inst.holds(model, adapter, now):
		return false
	}
	return model == "" || !now.Before(inst.unloadingUntil) || !slices.Contains(inst.unloading, model)
}

// holds reports whether a model and its adapter are resident. The caller holds the lock.
func (inst *instanceState) holds(model, adapter string, now time.Time) bool {
	return inst.description.Models.Holds(model, adapter) || now.Before(inst.placedAdapters[model+"/"+adapter])
}

func (inst *instanceState) currentGroups() []group {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return groupsOf(&inst.description)
}

func (inst *instanceState) snapshot() kumquathitch.Instance {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.description
}

func (inst *instanceState) localLoad() int {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.inFlight
}

// setRemoteLoad sets the calls of other VMs, as the leader reported them.
func (inst *instanceState) setRemoteLoad(count int, now time.Time) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	inst.remoteInFlight, inst.remoteCountedAt = count, now
}

// load estimates the calls on the instance, of all VMs. The caller holds the lock.
func (inst *instanceState) load(now time.Time) float64 {
	remote := 0.0
	if inst.remoteInFlight > 0 {
		halfLives := now.Sub(inst.remoteCountedAt).Seconds() / remoteLoadHalfLife.Seconds()
		remote = float64(inst.remoteInFlight) * math.Exp2(-halfLives)
	}
	return float64(inst.inFlight) + remote
}

// startSend records the start of a send. The parts of its prompt count as cached
// from then on.
func (inst *instanceState) startSend(chain promptChain, prefillTokens int64, probe bool) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	inst.prompts.add(chain)
	inst.inFlight++
	inst.pendingPrefill += prefillTokens
	if probe {
		inst.probeInFlight = true
	}
}

// startResponse records the head of a response: the prompt has been read, and the
// instance may leave, ask for a pause, or name a limit. The latest end of several pauses
// applies.
func (inst *instanceState) startResponse(choice kumquathitch.InstanceChoice, head kumquathitch.ResponseHead) kumquathitch.ResponseNews {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	inst.pendingPrefill -= choice.PrefillTokens
	var news kumquathitch.ResponseNews
	if inst.description.SameIncarnation(&choice.Instance) {
		news.LimitChanged = inst.limit.observe(&head)
		inst.slowness.observe(&head.Load)
		if head.ColdStated && inst.cold.respond(head.ColdUntil, head.Received) {
			inst.limit.reportedTo = ""
		}
	}
	said := withdrawal{leaving: head.Leaving, pausedUntil: head.PausedUntil, at: head.Received}
	said = said.carriedTo(&choice.Instance, &inst.description)
	if said.empty() {
		return news
	}
	before := inst.withdrawal
	inst.withdrawal.at = said.at
	inst.withdrawal.leaving = before.leaving || said.leaving
	inst.description.Leaving = inst.description.Leaving || said.leaving
	if said.pausedUntil.After(before.pausedUntil) {
		inst.withdrawal.pausedUntil = said.pausedUntil
	}
	news.Withdrawn = inst.withdrawal.leaving != before.leaving || !inst.withdrawal.pausedUntil.Equal(before.pausedUntil)
	return news
}

// accepts reports whether the instance of a choice takes calls from this VM.
func (inst *instanceState) accepts(choice kumquathitch.InstanceChoice, now time.Time) bool {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	admitted := choice.SendBy.IsZero() || !now.After(choice.SendBy)
	return admitted && inst.description.SameIncarnation(&choice.Instance) && !inst.description.Leaving && !now.Before(inst.withdrawal.pausedUntil)
}

// pauseEnd returns the end of the pause of an instance that would serve the call without
// it. Otherwise the time is zero.
func (inst *instanceState) pauseEnd(criteria kumquathitch.InstanceCriteria, now time.Time) time.Time {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if slices.Contains(criteria.Exclude, inst.id) || !inst.serves(criteria.Model, criteria.Adapter, now) || !now.Before(inst.unavailableUntil()) {
		return time.Time{}
	}
	return inst.unavailableUntil()
}

// endSend records the result of a send.
func (inst *instanceState) endSend(choice kumquathitch.InstanceChoice, result kumquathitch.SendResult, isEngine bool, serviceFailureRate float64, rate coldRate) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	inst.inFlight--
	if result.FirstByte.IsZero() {
		inst.pendingPrefill -= choice.PrefillTokens // Otherwise startResponse has subtracted it.
	}
	if choice.Probe {
		inst.probeInFlight = false
	}
	if result.HasLoad {
		inst.remoteInFlight = max(0, result.Load.Running+result.Load.Waiting-inst.inFlight-1)
		inst.remoteCountedAt = result.FirstByte
	}
	if !inst.description.SameIncarnation(&choice.Instance) {
		return
	}
	if rate.applies() && !isEngine { // An engine comes back without models, and runs no call before its entry lists one.
		inst.cold.observe(&result, rate)
	}
	inst.updateCircuit(choice, result, serviceFailureRate)
	if result.Outcome == kumquathitch.SendAnswered {
		inst.updateAverages(choice, result, isEngine)
	}
}

// updateCircuit opens or closes the circuit after a result. The caller holds the lock.
func (inst *instanceState) updateCircuit(choice kumquathitch.InstanceChoice, result kumquathitch.SendResult, serviceFailureRate float64) {
	now := result.Ended
	failed := 0.0
	switch result.Outcome {
	case kumquathitch.SendAnswered:
		inst.consecutiveBreaks, inst.consecutiveOpens = 0, 0
		inst.openUntil = time.Time{}
	case kumquathitch.SendCancelled, kumquathitch.SendStale:
		return
	case kumquathitch.SendNotExecuted:
		inst.busyUntil = now.Add(busyAvoidTime)
		failed = 1
	case kumquathitch.SendMoved:
		inst.busyUntil = now.Add(busyAvoidTime)
		return
	case kumquathitch.SendUnreachable:
		inst.openCircuit(now)
		failed = 1
	case kumquathitch.SendTimedOut: // The circuit has been opened by recordSilence.
		failed = 1
	case kumquathitch.SendBroken:
		inst.consecutiveBreaks++
		if inst.consecutiveBreaks >= breaksToOpen || choice.Probe {
			inst.openCircuit(now)
		}
		failed = 1
	case kumquathitch.SendFailed:
		failed = 1
	}
	inst.failureRate += failureRateWeight * (failed - inst.failureRate)
	if failed == 1 && inst.failureRate > serviceFailureRate+maxFailureExcess && !now.Before(inst.openUntil) {
		inst.openCircuit(now)
	}
}

// recordSilence opens the circuit of an instance that has sent nothing for too long.
func (inst *instanceState) recordSilence(choice kumquathitch.InstanceChoice, now time.Time) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if inst.description.SameIncarnation(&choice.Instance) {
		inst.openCircuit(now)
	}
}

// circuitOpen reports whether the instance should get no calls. After the open time,
// one probe at a time is allowed; at-most-once calls are never used as probes. The
// caller holds the lock.
func (inst *instanceState) circuitOpen(noRetry bool, now time.Time) bool {
	return inst.consecutiveOpens > 0 && (inst.probeInFlight || noRetry || now.Before(inst.openUntil))
}

// avoided reports whether other instances should be preferred to this one.
func (inst *instanceState) avoided(noRetry bool, now time.Time) bool {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.circuitOpen(noRetry, now) || now.Before(inst.busyUntil) || now.Before(inst.withdrawal.pausedUntil) || inst.description.Leaving
}

// openCircuit opens the circuit, for twice as long each time. The caller holds the lock.
func (inst *instanceState) openCircuit(now time.Time) {
	openTime := min(maxOpenTime, minOpenTime<<min(inst.consecutiveOpens, 8))
	inst.consecutiveOpens++
	if until := now.Add(openTime); until.After(inst.openUntil) {
		inst.openUntil = until
	}
}

// updateAverages adds the times of a complete response. The caller holds the lock.
func (inst *instanceState) updateAverages(choice kumquathitch.InstanceChoice, result kumquathitch.SendResult, isEngine bool) {
	latency := result.FirstByte.Sub(choice.Sent)
	if !isEngine {
		inst.latency += time.Duration(averageWeight * float64(withoutSlowness(latency, &result.Load)-inst.latency))
		return
	}
	if prefillMS := float64(latency.Microseconds()) / 1000; prefillMS > 0 && choice.PrefillTokens > 0 {
		rate := float64(choice.PrefillTokens) / prefillMS
		inst.prefillRate += averageWeight * (rate - inst.prefillRate)
		weight := slowerResponseWeight
		if rate > inst.unqueuedPrefillRate {
			weight = averageWeight
		}
		inst.unqueuedPrefillRate += weight * (rate - inst.unqueuedPrefillRate)
	}
	inst.runTime += time.Duration(averageWeight * float64(result.Ended.Sub(result.FirstByte)-inst.runTime))
}
