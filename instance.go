package kumquathitch

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Instance describes one run of an upstream, as published by the upstream itself.
type Instance struct {
	ID           string // Usually new at each start.
	Service      string
	Address      string // IP address and port.
	DataCentre   string
	Slots        int // Calls that run at once.
	Leaving      bool
	GoneBy       time.Time // When a leaving instance will have stopped at the latest; zero when it does not state it.
	Started      time.Time // Distinguishes two starts under one id.
	ColdUntil    time.Time // Until when the instance takes few calls, as described; zero when it is not cold.
	ColdStated   bool      // The description states whether the instance is cold.
	Models       ResidentModels
	CachedModels []string // Models whose weights load from the instance's own memory or disk.
	Revision     uint64   // Store revision of the description.
}

// Instances is a list of instances.
type Instances []Instance

// ResidentModel is a model that is loaded in an instance's memory, with its loaded adapters.
type ResidentModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// ResidentModels is a list of resident models.
type ResidentModels []ResidentModel

// Find returns the resident model with a name, or nil.
func (r ResidentModels) Find(name string) *ResidentModel {
	for i := range r {
		if r[i].Name == name {
			return &r[i]
		}
	}
	return nil
}

// Holds reports whether a model is resident, with its adapter unless that is empty.
func (r ResidentModels) Holds(model, adapter string) bool {
	resident := r.Find(model)
	return resident != nil && (adapter == "" || slices.Contains(resident.Adapters, adapter))
}

// SameIncarnation reports whether two descriptions are of the same start of an instance.
func (i *Instance) SameIncarnation(other *Instance) bool {
	return i.ID == other.ID && i.Started.Equal(other.Started) && i.Address == other.Address
}

// Incarnation identifies one start of an instance.
func (i *Instance) Incarnation() string {
	return i.ID + "@" + strconv.FormatInt(i.Started.UnixMilli(), 10)
}

// EngineOrder instructs an instance to load or unload a model or an adapter.
type EngineOrder struct {
	Instance       string
	Address        string
	Unload         bool
	Model          string
	Adapter        string // Empty for the model itself.
	ExpectedOrders uint64 // Orders that the instance has accepted before; with another count it refuses the order.
	Holder         string // Name of the VM that holds the leader lease.
	Fence          uint64 // Fencing token: increases with each term of a leader.
}

// OrderOutcome states what an instance did with an order.
type OrderOutcome int

// Outcomes of orders.
const (
	OrderUnknown        OrderOutcome = iota // No response; the order may be executed later.
	OrderUnsent                             // No byte was sent.
	OrderAccepted                           // The instance is executing it.
	OrderAlreadyApplied                     // The instance was already in the ordered state.
	OrderConflict                           // Another order is in progress, or ExpectedOrders differs.
	OrderFenced                             // The instance has seen a higher fencing token.
	OrderMisrouted                          // Another instance has the address.
	OrderInvalid                            // The instance rejected the order as invalid.
)

// EngineState is an instance's report on itself. It is some hundred milliseconds old.
type EngineState struct {
	AcceptedOrders uint64
	Busy           bool // An order is in progress.
	Started        time.Time
	Models         ResidentModels // Includes adapters that are being loaded.
}

// EngineControl sends orders to instances. Implementations are safe for concurrent use.
type EngineControl interface {
	// Order sends an order once, without retries.
	Order(ctx context.Context, order EngineOrder) (OrderOutcome, error)
	// State asks an instance for its report. The platform charges the call as a probe.
	State(ctx context.Context, address string) (EngineState, error)
}

// String returns the name of an outcome in logs.
func (o OrderOutcome) String() string {
	names := []string{"unknown", "unsent", "accepted", "holds", "conflict", "fenced", "misrouted", "impossible"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome-%d", int(o))
}
