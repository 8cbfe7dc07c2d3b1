// Package accelerator is the aggregate of a server's accelerator memory. It
// plans what may be resident on each accelerator, so that an accelerator's
// memory is never exceeded.
//
// # Usage
//
//	plans := &accelerator.PlanStore{Store: store, NewID: uuid}
//	plan, err := plans.Update(ctx, server, func(p accelerator.Plan) (accelerator.Plan, error) {
//		p = p.ApplyReport(report, server)
//		return p.Reserve(server, startup, request, timing, now)
//	})
//	if err != nil {
//		return err // *accelerator.InsufficientMemoryError, *accelerator.UnsettledError, or an error of the store
//	}
//	err = engines.Order(ctx, server.Address, plan.LoadOrder(request.Key))
//
// Decisions are pure functions: they take a plan and return the changed one. A
// change takes effect when the record has been replaced by compare-and-swap.
// Only then may the order be sent.
//
// # What is counted
//
// An allocation is counted from its reservation until it is settled and a report
// shows that its weights are gone. It is settled when no order to load the
// weights can still be executed:
//
//   - A load order can be executed until Order.ExecutableUntil by the engine's clock.
//   - On an engine that checks fencing tokens, a report with a higher token
//     also settles a load order. An equal token does not, because adapter orders
//     carry the plan's version too.
//   - The execution of an order does not settle it, because a second copy may
//     arrive after a later unload.
//   - Time alone releases no memory, because a load that was executed leaves its
//     weights resident.
//
// An engine may restart with its startup models at any moment, before any VM
// notices. The startup models and every load that can still be executed must
// therefore fit together. As a consequence, startup models that fill an
// accelerator cannot be replaced. Those that leave room for one load can be
// replaced one at a time.
//
// # Assumptions
//
//   - The clocks of VMs and engines differ by at most Timing.ClockError.
//   - An order arrives within Timing.MessageDelay of the last check of the clock
//     before it was sent.
//   - Reports list weights that are being loaded, from the first allocated byte on.
//   - An engine that checks fencing tokens keeps its highest token across
//     restarts and refuses expired orders. An engine that forgets the token
//     must be configured as one that ignores it.
package accelerator

import (
	"time"

	"kumquathitch.example/kumquathitch"
)

// Timing holds the assumed time bounds and the lease TTL that deadlines are
// computed from.
type Timing struct {
	ClockError   time.Duration // Largest difference between two clocks.
	MessageDelay time.Duration // Longest time between sending an order and its arrival.
	PoolLeaseTTL time.Duration // TTL of the lease of an adapter pool.
}

// executableUntil returns the latest time, by the engine's clock, at which an
// order with the given expiry can be executed.
func (t Timing) executableUntil(server kumquathitch.Upstream, expiry time.Time) time.Time {
	if server.ChecksFencing { // The engine refuses expired orders; the margin covers a clock set back by a restart.
		return expiry.Add(t.ClockError)
	}
	return expiry.Add(t.ClockError + t.MessageDelay)
}

// Key identifies weights on one accelerator of a server.
type Key struct {
	Accelerator int    `json:"accelerator"`
	Name        string `json:"name"`
	Version     string `json:"version,omitempty"`
}

// Order is an order to load or unload weights or to change the role, which may
// not have been executed yet.
type Order struct {
	ID              string    `json:"id"`
	Fence           uint64    `json:"fence,omitempty"` // Fencing token: the version of the plan; 0 in the write that adds the order.
	Expiry          time.Time `json:"expiry"`
	ExecutableUntil time.Time `json:"until"` // Latest time at which the order can be executed, by the engine's clock.
}

// Allocation is accelerator memory that weights take or may take.
type Allocation struct {
	Key
	Bytes     int64 `json:"bytes"`               // Weights and KV-cache reserve.
	Confirmed bool  `json:"confirmed,omitempty"` // The last report showed the weights ready to serve.
	Loading   bool  `json:"loading,omitempty"`   // The last report showed the weights being loaded.
	Settled   bool  `json:"settled,omitempty"`   // No order to load the weights can still be executed.
	Load      Order `json:"load,omitzero"`       // Last order to load the weights.
	Unload    Order `json:"unload,omitzero"`     // Order to unload the weights that may still be executed.
}

// Serving reports whether the weights are ready and no order to unload them may
// still be executed.
func (a *Allocation) Serving() bool {
	return a.Confirmed && a.Unload.ID == ""
}

// Allocations is a list of allocations, at most one for each key.
type Allocations []Allocation

// Find returns the allocation with a key, or nil. The pointer aliases the list.
func (a Allocations) Find(key Key) *Allocation {
	for i := range a {
		if a[i].Key == key {
			return &a[i]
		}
	}
	return nil
}

// Role is a role that an engine may be in, with the memory it takes on each accelerator.
type Role struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
	Order Order  `json:"order,omitzero"`
}

// PoolLease is one VM's exclusive right to send adapter orders to a server.
type PoolLease struct {
	Holder           string    `json:"holder"`   // Process of a VM; a restarted process is another holder.
	Since            time.Time `json:"since"`    // Start of the lease; a renewal keeps it.
	Deadline         time.Time `json:"deadline"` // Latest expiry of adapter orders under the lease.
	PriorOrdersUntil time.Time `json:"clear"`    // Latest execution of orders of earlier holders, by the engine's clock.
}

// Plan is the memory plan of one server.
type Plan struct {
	Server       string      `json:"server"`
	Version      uint64      `json:"-"`       // Version of the record, used as the fencing token.
	LastReportAt time.Time   `json:"settled"` // When the last applied report was taken, by the engine's clock.
	Allocations  Allocations `json:"holdings,omitempty"`
	Roles        []Role      `json:"roles,omitempty"` // Roles that the engine may have besides its initial one, which takes no memory.
	Pool         PoolLease   `json:"pool,omitzero"`
	// Unreachable is set when the engine has not answered for a while. Its
	// allocations stay counted, because only the network may have failed.
	Unreachable bool `json:"unreachable,omitempty"`
}

// LoadRequest requests memory for one load of a model or adapter.
type LoadRequest struct {
	Key
	Bytes   int64     // Weights and KV-cache reserve.
	OrderID string    // Unique id of the order.
	Expiry  time.Time // Expiry of the order.
}

// Reserve adds a load order to the plan. Startup lists the models that the
// engine loads when it starts. Reserve returns an *InsufficientMemoryError, an
// *ExpiredError, or an *UnsettledError when no report has been applied yet or an
// unload of the same weights may still be executed.
func (p Plan) Reserve(server kumquathitch.Upstream, startup Allocations, request LoadRequest, timing Timing, now time.Time) (Plan, error) {
	if p.LastReportAt.IsZero() {
		return p, &UnsettledError{Server: p.Server, Key: request.Key}
	}
	if request.Accelerator < 0 || request.Accelerator >= len(server.Accelerators) {
		return p, &InsufficientMemoryError{Server: p.Server, Key: request.Key, Need: request.Bytes}
	}
	accelerator := server.Accelerators[request.Accelerator]
	capacity := accelerator.Bytes - accelerator.AdapterPool - p.maxRoleBytes()
	allocations, err := p.Allocations.reserve(p.Server, capacity, startup, request, timing.executableUntil(server, request.Expiry), now)
	p.Allocations = allocations
	return p, err
}

// Unload adds an order to unload weights. Their memory stays counted until a
// report shows that they are gone. It returns an *UnsettledError when a load of
// them may still be executed, and a *NotAllocatedError when the plan has no
// allocation for them.
func (p Plan) Unload(server kumquathitch.Upstream, key Key, orderID string, expiry time.Time, timing Timing) (Plan, error) {
	allocations, err := p.Allocations.unload(p.Server, key, Order{ID: orderID, Expiry: expiry, ExecutableUntil: timing.executableUntil(server, expiry)})
	p.Allocations = allocations
	return p, err
}

// ChangeRole adds an order to change the engine's role. Startup is the same as
// for Reserve. Until a report settles the order, the memory of the largest role
// that the engine may have is counted. ChangeRole returns an *UnsettledError
// when no report has been applied yet, or an *InsufficientMemoryError.
func (p Plan) ChangeRole(server kumquathitch.Upstream, startup Allocations, role Role, timing Timing) (Plan, error) {
	if p.LastReportAt.IsZero() {
		return p, &UnsettledError{Server: p.Server, Key: Key{Name: role.Name}}
	}
	role.Order.ExecutableUntil = timing.executableUntil(server, role.Order.Expiry)
	before := p.Roles
	p.Roles = nil
	for _, r := range before {
		if r.Name != role.Name {
			p.Roles = append(p.Roles, r)
			continue
		}
		role.Bytes = max(role.Bytes, r.Bytes)
		if r.Order.ExecutableUntil.After(role.Order.ExecutableUntil) {
			role.Order.ExecutableUntil = r.Order.ExecutableUntil
		}
	}
	p.Roles = append(p.Roles, role)
	for i, a := range server.Accelerators {
		used := p.Allocations.maxUsed(startup, i)
		if free := a.Bytes - a.AdapterPool - used; free < p.maxRoleBytes() {
			p.Roles = before
			return p, &InsufficientMemoryError{Server: p.Server, Key: Key{Accelerator: i, Name: role.Name}, Need: role.Bytes, Free: free}
		}
	}
	return p, nil
}

// ApplyReport updates the plan from an engine's load report. A report that is not
// newer than the last one changes nothing. Weights without an allocation get one.
func (p Plan) ApplyReport(report kumquathitch.LoadReport, server kumquathitch.Upstream) Plan {
	if !report.TakenAt.After(p.LastReportAt) {
		return p
	}
	fence := uint64(0)
	if server.ChecksFencing {
		fence = report.LastFence
	}
	p.Allocations = p.Allocations.applyReport(report, fence, false)
	p.Roles = possibleRoles(p.Roles, report)
	p.LastReportAt, p.Unreachable = report.TakenAt, false
	return p
}

func possibleRoles(roles []Role, report kumquathitch.LoadReport) []Role {
	var possible []Role
	for _, r := range roles {
		if r.Name == report.Role || !report.TakenAt.After(r.Order.ExecutableUntil) {
			possible = append(possible, r)
		}
	}
	return possible
}

// ExpireUnloads removes unload orders that can no longer be executed. It
// releases no memory.
func (p Plan) ExpireUnloads(now time.Time, timing Timing) Plan {
	p.Allocations = p.Allocations.expireUnloads(now, timing)
	return p
}

func (p *Plan) maxRoleBytes() int64 {
	var most int64
	for _, r := range p.Roles {
		most = max(most, r.Bytes)
	}
	return most
}

// AcquirePool leases the adapter pool to a holder or renews its lease. It
// returns a *PoolLeasedError while the lease of another holder runs. A new holder
// may order adapters only after a report taken after the lease's
// PriorOrdersUntil, which shows everything that earlier holders ordered.
// Released is the start of the last lease that the holder released. The holder
// no longer knows its orders under that lease, so it must wait for the end of
// the lease like any other VM.
func (p Plan) AcquirePool(server kumquathitch.Upstream, holder string, released time.Time, timing Timing, now time.Time) (Plan, error) {
	lease := p.Pool
	switch {
	case lease.Holder == holder && lease.Since.After(released):
		p.Pool.Deadline = now.Add(timing.PoolLeaseTTL)
		return p, nil
	case lease.Holder != "" && !now.After(lease.Deadline):
		return p, &PoolLeasedError{Server: p.Server, Holder: lease.Holder, Deadline: lease.Deadline}
	}
	p.Pool = PoolLease{Holder: holder, Since: now, Deadline: now.Add(timing.PoolLeaseTTL), PriorOrdersUntil: lease.PriorOrdersUntil}
	if lease.Holder != "" {
		p.Pool.PriorOrdersUntil = timing.executableUntil(server, lease.Deadline)
	}
	return p, nil
}

// ReleasePool ends the lease of a holder at latest, the latest expiry of its
// adapter orders. The holder must have discarded its Pool before and send no
// more adapter orders, because the response to the write may be lost.
func (p Plan) ReleasePool(holder string, latest time.Time) Plan {
	if p.Pool.Holder == holder && latest.Before(p.Pool.Deadline) {
		p.Pool.Deadline = latest
	}
	return p
}

// LoadOrder returns the order to load the weights of an allocation, with its fencing token.
func (p *Plan) LoadOrder(key Key) kumquathitch.Order {
	alloc := p.Allocations.Find(key)
	return kumquathitch.Order{
		ID: alloc.Load.ID, Fence: alloc.Load.Fence, Action: kumquathitch.ActionLoad, Name: key.Name, Version: key.Version,
		Accelerator: key.Accelerator, Bytes: alloc.Bytes, Expiry: alloc.Load.Expiry,
	}
}

// UnloadOrder returns the order to unload the weights of an allocation, with its fencing token.
func (p *Plan) UnloadOrder(key Key) kumquathitch.Order {
	alloc := p.Allocations.Find(key)
	return kumquathitch.Order{
		ID: alloc.Unload.ID, Fence: alloc.Unload.Fence, Action: kumquathitch.ActionUnload, Name: key.Name, Version: key.Version,
		Accelerator: key.Accelerator, Expiry: alloc.Unload.Expiry,
	}
}

// RoleOrder returns the order to change to the role that was added last.
func (p *Plan) RoleOrder() kumquathitch.Order {
	r := p.Roles[len(p.Roles)-1]
	return kumquathitch.Order{
		ID: r.Order.ID, Fence: r.Order.Fence, Action: kumquathitch.ActionRole, Name: r.Name, Bytes: r.Bytes, Expiry: r.Order.Expiry,
	}
}
