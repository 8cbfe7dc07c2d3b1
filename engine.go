package kumquathitch

import (
	"context"
	"fmt"
	"time"
)

// Actions of orders to engines.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
	ActionRole   = "role"
)

// Order instructs an engine to load or unload weights on an accelerator, or to
// change its role.
type Order struct {
	ID          string    `json:"id"`
	Fence       uint64    `json:"fence"` // Fencing token: the version of the server's memory plan.
	Action      string    `json:"action"`
	Name        string    `json:"name"` // Name of the model, adapter or role.
	Version     string    `json:"version,omitempty"`
	Accelerator int       `json:"accelerator"`
	Bytes       int64     `json:"bytes"`             // Memory of the weights; for a role, the memory that it takes on each accelerator.
	Adapter     bool      `json:"adapter,omitempty"` // The weights are in the adapter pool.
	Expiry      time.Time `json:"expiry"`            // The engine must not start to execute the order after this time.
}

// ResidentWeights is a model or adapter that occupies memory of an accelerator.
type ResidentWeights struct {
	Accelerator int    `json:"accelerator"`
	Name        string `json:"name"`
	Version     string `json:"version,omitempty"`
	Bytes       int64  `json:"bytes"`
	Adapter     bool   `json:"adapter,omitempty"`
	Loading     bool   `json:"loading,omitempty"` // Occupies memory but cannot serve requests yet.
}

// LoadReport is an engine's report on its own state. It is out of date when it arrives.
type LoadReport struct {
	Sequence        uint64            `json:"sequence"`
	TakenAt         time.Time         `json:"taken"` // By the engine's clock.
	Queued          int               `json:"queued"`
	Running         int               `json:"running"`
	Slots           int               `json:"slots,omitempty"` // Requests that can run at once; 0 when the engine does not report it.
	RemainingTokens int64             `json:"tokens"`          // Tokens that are still to be generated.
	Leaving         bool              `json:"leaving,omitempty"`
	LastFence       uint64            `json:"last-fence"`            // Highest fencing token of an executed order.
	LastOrders      []string          `json:"last-orders,omitempty"` // Ids of recently executed orders, newest last.
	Resident        []string          `json:"resident,omitempty"`    // Models and adapters.
	Weights         []ResidentWeights `json:"weights,omitempty"`     // All weights that occupy memory, sorted by accelerator.
	Role            string            `json:"role,omitempty"`        // Current role.
	FreeBytes       []int64           `json:"free-bytes,omitempty"`  // Free memory of each accelerator.
	CacheEvent      uint64            `json:"cache-event,omitempty"` // Sequence number of the last prefix-cache event.
}

// Engine is the control interface of model engines.
type Engine interface {
	// Load fetches an engine's load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// Order sends an order. After a *FenceError the order was not executed. After
	// any other error it may still be executed until its expiry plus the largest
	// message delay.
	Order(ctx context.Context, address string, order Order) error
}

// FenceError reports that an engine refused an order with an old fencing token.
type FenceError struct {
	Sent    uint64
	Current uint64
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("Engine.Order: fencing token %d is older than %d", e.Sent, e.Current)
}
