package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// maxLastOrders bounds the ids of executed orders in a load report.
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

// Execute executes an order. An engine that checks fencing tokens returns a
// *kumquathitch.FenceError for a token older than the last one and ignores expired
// orders; any other engine executes both.
func (e *Engine) Execute(order kumquathitch.Order) *kumquathitch.FenceError {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.settings.ChecksFencing && order.Fence < e.lastFence {
		return &kumquathitch.FenceError{Sent: order.Fence, Current: e.lastFence}
	}
	if e.faults.DropOrders || (e.settings.ChecksFencing && e.clock.Now().After(order.Expiry)) {
		return nil
	}
	key := weightsKey{order.Accelerator, order.Name, order.Version}
	switch order.Action {
	case kumquathitch.ActionLoad:
		if _, ok := e.resident[key]; !ok {
			e.resident[key] = loadedWeights{Bytes: order.Bytes, Adapter: order.Adapter, Ready: e.clock.Now().Add(e.loadTime(order))}
		}
	case kumquathitch.ActionUnload:
		delete(e.resident, key)
	case kumquathitch.ActionRole:
		e.role, e.roleBytes = order.Name, order.Bytes
	}
	e.lastFence = max(e.lastFence, order.Fence)
	e.lastOrders = append(e.lastOrders, order.ID)
	if len(e.lastOrders) > maxLastOrders {
		e.lastOrders = e.lastOrders[1:]
	}
	e.countOvercommits()
	return nil
}

func (e *Engine) countOvercommits() {
	for i := range e.settings.Accelerators {
		if e.freeBytes(i) < 0 || e.isPoolOverfull(i) {
			e.overcommits++
			return
		}
	}
}

func (e *Engine) loadTime(order kumquathitch.Order) time.Duration {
	if order.Adapter {
		return 0
	}
	return e.settings.LoadTime
}

// LoadingModels returns the number of models that are being loaded from the weight store.
func (e *Engine) LoadingModels() int {
	loading := 0
	for _, w := range e.Report().Weights {
		if w.Loading {
			loading++
		}
	}
	return loading
}

// EngineControl implements kumquathitch.Engine in memory. Its faults delay,
// duplicate or lose orders; the sender of an order without an immediate delivery
// gets an error. It is safe for concurrent use.
type EngineControl struct {
	Clock   kumquathitch.Clock
	Engines map[string]*Engine // By address.

	mutex        sync.Mutex
	disconnected map[string]bool
	faults       []OrderFault
	delayed      []delayedOrder
}

// OrderFault is a fault of one order: the order is delivered once after each
// delay, 0 being immediate, and is lost when there is no delay.
type OrderFault struct {
	Delays []time.Duration
}

type delayedOrder struct {
	address   string
	order     kumquathitch.Order
	arrivesAt time.Time
}

// AddFault adds a fault to the queue; each order takes the first.
func (c *EngineControl) AddFault(fault OrderFault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults = append(c.faults, fault)
}

// Disconnect makes an engine permanently unreachable.
func (c *EngineControl) Disconnect(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.disconnected == nil {
		c.disconnected = map[string]bool{}
	}
	c.disconnected[address] = true
}

// Load fetches an engine's load report.
func (c *EngineControl) Load(_ context.Context, address string) (kumquathitch.LoadReport, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.disconnected[address] {
		return kumquathitch.LoadReport{}, eris.New("the engine does not respond")
	}
	return c.Engines[address].Report(), nil
}

// Order sends an order to the engine at an address.
func (c *EngineControl) Order(_ context.Context, address string, order kumquathitch.Order) error {
	fault := OrderFault{Delays: []time.Duration{0}}
	c.mutex.Lock()
	if len(c.faults) > 0 {
		fault, c.faults = c.faults[0], c.faults[1:]
	}
	if c.disconnected[address] {
		fault = OrderFault{}
	}
	now := c.Clock.Now()
	for _, delay := range fault.Delays {
		if delay > 0 {
			c.delayed = append(c.delayed, delayedOrder{address, order, now.Add(delay)})
		}
	}
	c.mutex.Unlock()
	if !slices.Contains(fault.Delays, 0) {
		return eris.New("the order got no response")
	}
	if err := c.Engines[address].Execute(order); err != nil {
		return err
	}
	return nil
}

// DeliverDue delivers the delayed orders that are due, in order of arrival.
func (c *EngineControl) DeliverDue() {
	c.mutex.Lock()
	now := c.Clock.Now()
	var due []delayedOrder
	c.delayed = slices.DeleteFunc(c.delayed, func(d delayedOrder) bool {
		if d.arrivesAt.After(now) {
			return false
		}
		due = append(due, d)
		return true
	})
	c.mutex.Unlock()
	slices.SortStableFunc(due, func(a, b delayedOrder) int { return a.arrivesAt.Compare(b.arrivesAt) })
	for _, d := range due {
		_ = c.Engines[d.address].Execute(d.order) // The sender of a delayed order no longer waits for the response.
	}
}
