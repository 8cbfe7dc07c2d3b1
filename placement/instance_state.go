package placement

import (
	"maps"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// describeDelay is how long after an order a description may still predate
	// it: instances write one about once a second, and the store's notification
	// adds to that.
	describeDelay = 4 * time.Second
	// reportDelay is the largest age of the state in an instance's own report.
	reportDelay = 700 * time.Millisecond
	// orderTimeout is how long the effect of an accepted model order may take to
	// show, in addition to loadSlowdown times the load time.
	orderTimeout = 6 * time.Second
	// loadSlowdown is the factor by which concurrent loads may slow each other down.
	loadSlowdown = 4
	// retryPause is the wait after a refused or unanswered order and after a report
	// that could not be used. Reports are some hundred milliseconds old.
	retryPause = 400 * time.Millisecond
	// recentAdapterTime is how long a newly ordered adapter is protected from
	// eviction: it may still be loading, and the call that needs it has not run yet.
	recentAdapterTime = 4 * time.Second
	// pollDelay is the time from a model order to the first request for a report.
	// An unload ends with the last call, and a load from a local copy takes a second.
	pollDelay = 600 * time.Millisecond
	// minResidence is the shortest time from the start of a model's load to its unload.
	minResidence = 8 * time.Second
	// moveTimeout is the time after which the remaining orders of a move are dropped.
	moveTimeout = 8 * time.Second
)

// instanceState is the leader's estimate of what an instance holds. For
// describeDelay after an order, the response to the order is more recent than the
// instance's description; after that the description is.
type instanceState struct {
	instance kumquathitch.Instance
	models   kumquathitch.ResidentModels

	acceptedOrders uint64
	uncertain      bool                      // acceptedOrders and models need confirmation by a report.
	firstReport    *kumquathitch.EngineState // Waits for a second report with the same order count.
	reportedAt     time.Time                 // Arrival of firstReport.
	listedAt       time.Time                 // When the instance was last in the list of instances.

	pending      *openOrder // Accepted model order whose effect has not been seen yet.
	queue        []Action   // Remaining orders of a move, dropped at queueExpires.
	queueExpires time.Time
	unanswered   *openOrder // Order without a response; no other order is sent until its outcome is known.

	lastResponse     time.Time // When the last order or report was answered.
	responseRevision uint64    // Revision of the description at lastResponse; only later ones are merged.
	pausedUntil      time.Time // No order or report request is sent before.

	loadStarted    map[string]time.Time // Start of recent loads, by model.
	orderedAt      map[string]time.Time // When the loads of the held models were ordered, as far as this VM ordered them.
	sending        bool                 // A request with an order is in flight.
	sendingSince   time.Time            // When that request began.
	recentAdapters map[string]time.Time // End of the eviction protection, by model, a slash, and adapter.
}

// openOrder is an order whose effect has not been observed yet.
type openOrder struct {
	action   Action
	expected uint64    // Count of accepted orders that the order was conditional on.
	revision uint64    // Revision of the description when the order was sent.
	until    time.Time // After this the effect is taken as given, subject to a report.
}

// applyDescription updates the estimate from the instance's description. A new start of
// the instance resets it. A start that was first listed within the present term has had no
// order yet. If it has had one after all, it refuses the first order of this VM, whose
// expected count is zero.
func (st *instanceState) applyDescription(instance kumquathitch.Instance, firstListedInTerm bool, now time.Time) {
	if !st.instance.SameIncarnation(&instance) {
		*st = instanceState{instance: instance, models: cloneResidents(instance.Models), uncertain: !firstListedInTerm, listedAt: now}
		return
	}
	st.instance, st.listedAt = instance, now
	if p := st.pending; p != nil {
		shown := instance.Revision > p.revision && instance.Models.Holds(p.action.Model, "") != p.action.Unload
		if shown || !now.Before(p.until) {
			st.uncertain = st.uncertain || !shown
			st.pending = nil
			st.setHeld(p.action.Model, "", !p.action.Unload)
		}
	}
	if st.pending == nil && st.unanswered == nil && now.Sub(st.lastResponse) > describeDelay && instance.Revision > st.responseRevision {
		st.mergeDescription(instance.Models)
		st.responseRevision = instance.Revision
	}
}

// mergeDescription adds the models and adapters that a description lists. Those
// that it does not list stay until a report confirms their absence, since a
// description can be older than an order.
func (st *instanceState) mergeDescription(described kumquathitch.ResidentModels) {
	for _, r := range st.models {
		listed := described.Find(r.Name)
		if listed == nil || slices.ContainsFunc(r.Adapters, func(name string) bool { return !slices.Contains(listed.Adapters, name) }) {
			st.uncertain = true
		}
	}
	for _, r := range described {
		st.setHeld(r.Name, "", true)
		for _, adapter := range r.Adapters {
			st.setHeld(r.Name, adapter, true)
		}
	}
}

// setHeld records whether a model, or an adapter when that is not empty, is held.
func (st *instanceState) setHeld(model, adapter string, held bool) {
	r := st.models.Find(model)
	switch {
	case adapter == "" && held && r == nil:
		st.models = append(st.models, kumquathitch.ResidentModel{Name: model})
	case adapter == "" && !held:
		delete(st.orderedAt, model)
		st.models = slices.DeleteFunc(st.models, func(r kumquathitch.ResidentModel) bool { return r.Name == model })
	case adapter != "" && r != nil && held && !slices.Contains(r.Adapters, adapter):
		r.Adapters = append(r.Adapters, adapter)
	case adapter != "" && r != nil && !held:
		r.Adapters = slices.DeleteFunc(r.Adapters, func(name string) bool { return name == adapter })
	}
}

// engine returns the planner's view of the instance. A model that is being
// unloaded still counts towards the used memory.
func (st *instanceState) engine(sizes modelSizes, now time.Time) Engine {
	e := Engine{Instance: st.instance, Models: cloneResidents(st.models)}
	if !now.Before(st.queueExpires) {
		st.queue = nil
	}
	e.Busy = now.Before(st.pausedUntil) || st.pending != nil || st.unanswered != nil || st.sending || len(st.queue) > 0
	e.RecentModels = map[string]bool{}
	for model, since := range st.loadStarted {
		if now.Sub(since) < minResidence {
			e.RecentModels[model] = true
		}
	}
	e.RecentAdapters = map[string]bool{}
	for target, until := range st.recentAdapters {
		if now.Before(until) {
			e.RecentAdapters[target] = true
		} else {
			delete(st.recentAdapters, target)
		}
	}
	if e.Busy {
		e.AdaptersInFlight = maxAdaptersInFlight
	}
	for _, open := range []*openOrder{st.pending, st.unanswered} {
		if open != nil && !open.action.Unload && open.action.Adapter == "" && !e.Models.Holds(open.action.Model, "") {
			e.Models = append(e.Models, kumquathitch.ResidentModel{Name: open.action.Model})
			e.Loading = open.action.Model
		}
	}
	for _, next := range st.queue {
		if !next.Unload && !e.Models.Holds(next.Model, "") {
			e.Models = append(e.Models, kumquathitch.ResidentModel{Name: next.Model})
			e.Loading = next.Model
		}
	}
	st.addMemory(&e, sizes)
	for _, r := range e.Models {
		e.UsedAdapterSlots += len(r.Adapters)
	}
	return e
}

// addMemory sets the memory that the models and adapters of an engine take. Models of unknown
// size are taken to fill the engine, each with an equal part.
func (st *instanceState) addMemory(e *Engine, sizes modelSizes) {
	e.HeldMB = make(map[string]float64, len(e.Models))
	var unknown []string
	for _, r := range e.Models {
		size, adapter, known := sizes.memoryMB(r.Name, st.orderedAt[r.Name])
		if !known {
			unknown = append(unknown, r.Name)
		}
		if sizes.listed[r.Name] == nil {
			e.Unlisted = append(e.Unlisted, r.Name)
		}
		e.HeldMB[r.Name] = size
		e.UsedMB += size
		e.AdaptersMB += adapter * float64(len(r.Adapters))
	}
	for _, name := range unknown {
		e.HeldMB[name] = max(0, sizes.spec.MemoryMB-e.UsedMB) / float64(len(unknown))
	}
	if len(unknown) > 0 {
		e.UsedMB = max(e.UsedMB, sizes.spec.MemoryMB)
	}
}

// applyOutcome updates the estimate from the outcome of an order. load is the
// usual load time of the model, 0 for an adapter.
func (st *instanceState) applyOutcome(action Action, expected uint64, outcome kumquathitch.OrderOutcome, load time.Duration, now time.Time) {
	st.responseRevision = st.instance.Revision
	open := &openOrder{action: action, expected: expected, revision: st.instance.Revision, until: now.Add(orderTimeout + loadSlowdown*load)}
	if len(st.queue) > 0 && (outcome == kumquathitch.OrderAccepted || outcome == kumquathitch.OrderAlreadyApplied || outcome == kumquathitch.OrderUnknown) &&
		st.queue[0].Model == action.Model && st.queue[0].Unload == action.Unload && action.Adapter == "" {
		st.queue = st.queue[1:]
	}
	switch outcome {
	case kumquathitch.OrderAccepted:
		// The count has risen, so an unanswered order conditional on the old count can no longer run.
		st.acceptedOrders, st.unanswered, st.lastResponse = expected+1, nil, now
		if action.Adapter == "" {
			st.pending = open
			st.recordLoad(action, now)
		} else {
			st.setHeld(action.Model, action.Adapter, !action.Unload)
			st.recordAdapter(action, now)
		}
	case kumquathitch.OrderAlreadyApplied:
		st.lastResponse = now
		if action.Unload && action.Adapter != "" {
			st.acceptedOrders = expected + 1 // An adapter unload completes at once and raises the count.
		}
		st.setHeld(action.Model, action.Adapter, !action.Unload)
	case kumquathitch.OrderUnknown:
		st.unanswered, st.lastResponse = open, now
		st.pausedUntil = now.Add(retryPause)
	case kumquathitch.OrderConflict:
		st.acceptedOrders, st.uncertain, st.firstReport = 0, true, nil
		st.pausedUntil = now.Add(retryPause)
	default:
		st.pausedUntil = now.Add(retryPause)
	}
}

func (st *instanceState) recordLoad(action Action, now time.Time) {
	if st.loadStarted == nil {
		st.loadStarted = map[string]time.Time{}
	}
	maps.DeleteFunc(st.loadStarted, func(_ string, since time.Time) bool { return now.Sub(since) >= minResidence })
	if action.Unload {
		return
	}
	st.loadStarted[action.Model] = now
	if st.orderedAt == nil {
		st.orderedAt = map[string]time.Time{}
	}
	st.orderedAt[action.Model] = st.sendingSince
}

// needsReport reports whether the instance should be asked for a report: the
// estimate is uncertain, or a pending order may have completed.
func (st *instanceState) needsReport(now time.Time) bool {
	if st.sending || now.Before(st.pausedUntil) {
		return false
	}
	return st.uncertain || (st.pending != nil && now.Sub(st.lastResponse) > pollDelay)
}

func (st *instanceState) recordAdapter(action Action, now time.Time) {
	if st.recentAdapters == nil {
		st.recentAdapters = map[string]time.Time{}
	}
	if !action.Unload {
		st.recentAdapters[action.Model+"/"+action.Adapter] = now.Add(recentAdapterTime)
	}
}

// canSend reports whether an order can be sent: the memory or adapter slot that
// it needs is free by the current estimate, and no other order is open. An
// unanswered order may be sent again.
func (st *instanceState) canSend(sizes modelSizes, a Action, now time.Time) bool {
	spec := sizes.spec
	if st.unanswered != nil {
		return st.unanswered.action.Model == a.Model && st.unanswered.action.Adapter == a.Adapter && st.unanswered.action.Unload == a.Unload
	}
	if st.pending != nil {
		return false
	}
	if a.Unload {
		return st.models.Holds(a.Model, a.Adapter)
	}
	queue := st.queue
	st.queue = nil // A queued load must not count its own memory as used.
	e := st.engine(sizes, now)
	st.queue = queue
	m := sizes.listed[a.Model]
	switch {
	case m == nil:
		return false
	case a.Adapter != "":
		return e.Models.Holds(a.Model, "") && e.UsedAdapterSlots < spec.AdapterSlots && e.freeMB(spec) >= m.AdapterMB
	}
	return !e.Models.Holds(a.Model, "") && e.freeForModelMB(spec, adapterReserveMB(spec)) >= m.MemoryMB
}

// applyReport updates the estimate from the instance's own report. The models in
// a report are older than its order count and busy flag. Without a pending order
// it is therefore used only when an earlier report, at least reportDelay before,
// had the same count.
func (st *instanceState) applyReport(state kumquathitch.EngineState, now time.Time) {
	first, firstAt := st.firstReport, st.reportedAt
	if p := st.pending; p != nil {
		if !state.Busy && state.Models.Holds(p.action.Model, "") != p.action.Unload {
			st.pending, st.lastResponse, st.responseRevision = nil, now, st.instance.Revision
			st.setHeld(p.action.Model, "", !p.action.Unload)
		} else {
			st.pausedUntil = now.Add(retryPause)
		}
		return
	}
	if state.Busy || now.Sub(st.lastResponse) < reportDelay {
		st.firstReport = nil
		st.pausedUntil = now.Add(retryPause)
		return
	}
	if first == nil || first.AcceptedOrders != state.AcceptedOrders {
		st.firstReport, st.reportedAt = &state, now
		st.pausedUntil = now.Add(reportDelay)
		return
	}
	if now.Sub(firstAt) < reportDelay {
		return
	}
	st.firstReport, st.uncertain, st.acceptedOrders = nil, false, state.AcceptedOrders
	st.lastResponse, st.responseRevision = now, st.instance.Revision
	st.models = cloneResidents(state.Models)
	if st.unanswered != nil && state.AcceptedOrders > st.unanswered.expected {
		st.unanswered = nil // The instance accepted this order or another one; in both cases it cannot run any more.
	}
}

func cloneResidents(models kumquathitch.ResidentModels) kumquathitch.ResidentModels {
	cloned := slices.Clone(models)
	for i := range cloned {
		cloned[i].Adapters = slices.Clone(cloned[i].Adapters)
	}
	return cloned
}
