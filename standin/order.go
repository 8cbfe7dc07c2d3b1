package standin

import (
	"net/http"

	"kumquathitch.example/kumquathitch"
)

// maxLastOrders bounds the executed orders that a report names.
const maxLastOrders = 16

type fenceRefusal struct {
	CurrentFence uint64 `json:"current-fence"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order kumquathitch.Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.Execute(order); err != nil {
		writeJSON(w, http.StatusConflict, fenceRefusal{CurrentFence: err.Current})
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// Execute carries out an order. An engine that checks fencing numbers returns
// a *FenceError for one older than the last; any other executes it all the same.
func (e *Engine) Execute(order kumquathitch.Order) *kumquathitch.FenceError {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.settings.ChecksFencing && order.Fence < e.lastFence {
		return &kumquathitch.FenceError{Sent: order.Fence, Current: e.lastFence}
	}
	if e.faults.DropOrders || (e.settings.ChecksFencing && e.clock.Now().After(order.Expiry)) {
		return nil
	}
	switch order.Action {
	case kumquathitch.ActionLoad:
		e.resident[order.Name] = resident{Accelerator: order.Accelerator, Bytes: order.Bytes}
	case kumquathitch.ActionUnload:
		delete(e.resident, order.Name)
	}
	e.lastFence = max(e.lastFence, order.Fence)
	e.lastOrders = append(e.lastOrders, order.ID)
	if len(e.lastOrders) > maxLastOrders {
		e.lastOrders = e.lastOrders[1:]
	}
	if order.Accelerator < len(e.settings.Accelerators) && e.freeBytes(order.Accelerator) < 0 {
		e.overcommits++
	}
	return nil
}
