package placement

import (
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// doubtTime is how long an order without an answer may still be carried out.
	doubtTime = 15 * time.Second
	// settleTime is how long an accepted order may take before its effect shows
	// in the instance's description, beyond the time of the load itself.
	settleTime = 6 * time.Second
	// slowdown is how much longer a load may take while many run.
	slowdown = 4
	// conflictPause is the wait after an instance refused an order because
	// another one is under way.
	conflictPause = 700 * time.Millisecond
)

// holding is what may be in the memory of one instance.
type holding struct {
	instance kumquathitch.Instance
	orders   uint64 // Orders accepted, by the last word of the instance or of its answers.
	open     []openOrder
	pausedTo time.Time
	unsure   bool // The count of orders has to be asked for.
}

// openOrder is an order whose effect has not shown yet.
type openOrder struct {
	action   Action
	accepted bool
	expected uint64
	until    time.Time
}

// describe takes in the instance's description.
func (h *holding) describe(instance kumquathitch.Instance, now time.Time) {
	if !h.instance.SameStart(&instance) {
		*h = holding{unsure: true}
	}
	h.instance = instance
	h.open = slices.DeleteFunc(h.open, func(o openOrder) bool { return h.settled(&o, now) })
}

// settled reports whether an order's effect has shown, or can come no more.
func (h *holding) settled(o *openOrder, now time.Time) bool {
	if !now.Before(o.until) {
		return true
	}
	shown := h.instance.Models.Holds(o.action.Model, o.action.Adapter) != o.action.Unload
	// An order in doubt can show its effect before it is known to be accepted.
	return shown && (o.accepted || h.orders > o.expected)
}

// engine returns what the plan needs to know.
func (h *holding) engine(class *kumquathitch.EngineClass, now time.Time) Engine {
	e := Engine{Instance: h.instance, Busy: now.Before(h.pausedTo)}
	for _, r := range h.instance.Models {
		e.Models = append(e.Models, kumquathitch.Resident{Name: r.Name, Version: r.Version, Adapters: slices.Clone(r.Adapters)})
	}
	for i := range h.open {
		e.count(&h.open[i])
	}
	for _, r := range e.Models {
		if m := class.Models.Find(r.Name); m != nil {
			e.UsedMB += m.MemoryMB
		}
		e.Adapters += len(r.Adapters)
	}
	return e
}

// count adds what an open order may make resident. What an open unload may
// have removed still counts as memory.
func (e *Engine) count(o *openOrder) {
	if o.action.Adapter == "" {
		e.Busy = true
		if !o.action.Unload && !e.Models.Holds(o.action.Model, "") {
			e.Models = append(e.Models, kumquathitch.Resident{Name: o.action.Model})
		}
		return
	}
	e.InFlight++
	if o.action.Unload {
		return
	}
	if r := e.Models.Find(o.action.Model); r != nil && !slices.Contains(r.Adapters, o.action.Adapter) {
		r.Adapters = append(r.Adapters, o.action.Adapter)
	}
}

// answered takes in the outcome of an order.
func (h *holding) answered(action Action, expected uint64, outcome kumquathitch.OrderOutcome, load time.Duration, now time.Time) {
	switch outcome {
	case kumquathitch.OrderAccepted:
		h.orders = max(h.orders, expected+1)
		// An order in doubt that expected the same count did not come first, and holds no more.
		h.open = slices.DeleteFunc(h.open, func(o openOrder) bool { return !o.accepted && o.expected <= expected })
		h.open = append(h.open, openOrder{
			action: action, accepted: true, expected: expected, until: now.Add(settleTime + slowdown*load),
		})
	case kumquathitch.OrderHolds:
		h.unsure = true // The answer does not say whether the order was counted.
		if action.Adapter != "" {
			h.open = append(h.open, openOrder{action: action, accepted: true, expected: expected, until: now.Add(settleTime)})
		}
	case kumquathitch.OrderUnknown:
		h.open = append(h.open, openOrder{action: action, expected: expected, until: now.Add(doubtTime)})
		h.unsure = true
	case kumquathitch.OrderConflict:
		h.unsure = true
		h.pausedTo = now.Add(conflictPause)
	default:
		h.pausedTo = now.Add(conflictPause)
	}
}

// reported takes in the instance's own report.
func (h *holding) reported(state kumquathitch.EngineState, now time.Time) {
	h.unsure = false
	h.orders = max(h.orders, state.Orders)
	if state.Busy {
		h.pausedTo = now.Add(conflictPause)
	}
}
