package accelerator

import (
	"time"

	"kumquathitch.example/kumquathitch"
)

// Pool is the adapter pool of a server as its lease holder sees it. It is kept
// in the holder's memory only. Adapter orders share one fencing token, so only
// time settles them.
type Pool struct {
	Server       string
	Lease        PoolLease
	Fence        uint64    // Fencing token that adapter orders carry: the version of the plan.
	LastReportAt time.Time // When the last applied report was taken, by the engine's clock.
	Allocations  Allocations
}

// WithLease returns the pool with the lease in a plan. Allocations made under
// another lease are discarded. A pool that is leased to another holder is empty
// and refuses every order.
func (p Pool) WithLease(plan Plan, holder string) Pool {
	if plan.Version < p.Fence {
		return p // The plan is older than the one that the pool was leased with.
	}
	if plan.Pool.Holder != holder {
		return Pool{Server: plan.Server}
	}
	if !p.Lease.Since.Equal(plan.Pool.Since) {
		p = Pool{Server: plan.Server}
	}
	p.Lease = plan.Pool
	p.Fence = max(p.Fence, plan.Version)
	return p
}

// ApplyReport updates the pool from a load report. A report that is not newer
// than the last one, or that may be older than the last order of an earlier
// holder, changes nothing.
func (p Pool) ApplyReport(report kumquathitch.LoadReport) Pool {
	if p.Lease.Holder == "" || !report.TakenAt.After(p.Lease.PriorOrdersUntil) || !report.TakenAt.After(p.LastReportAt) {
		return p
	}
	p.Allocations = p.Allocations.applyReport(report, 0, true)
	p.LastReportAt = report.TakenAt
	return p
}

// Reserve adds a load order for an adapter. Startup lists the adapters that the
// engine loads when it starts. Reserve returns an *InsufficientMemoryError, an
// *UnsettledError, or an *ExpiredError when the order has expired or the lease
// ends before it.
func (p Pool) Reserve(server kumquathitch.Upstream, startup Allocations, request LoadRequest, timing Timing, now time.Time) (Pool, error) {
	if p.LastReportAt.IsZero() {
		return p, &UnsettledError{Server: p.Server, Key: request.Key, Until: p.Lease.PriorOrdersUntil}
	}
	if request.Expiry.After(p.Lease.Deadline) {
		return p, &ExpiredError{Server: p.Server, Key: request.Key, Expiry: p.Lease.Deadline}
	}
	if request.Accelerator < 0 || request.Accelerator >= len(server.Accelerators) {
		return p, &InsufficientMemoryError{Server: p.Server, Key: request.Key, Need: request.Bytes}
	}
	capacity := server.Accelerators[request.Accelerator].AdapterPool
	allocations, err := p.Allocations.reserve(p.Server, capacity, startup, request, timing.executableUntil(server, request.Expiry), now)
	p.Allocations = allocations
	return p, err
}

// Unload adds an order to unload an adapter. It returns an *UnsettledError, a
// *NotAllocatedError, or an *ExpiredError when the lease ends before the order.
func (p Pool) Unload(server kumquathitch.Upstream, key Key, orderID string, expiry time.Time, timing Timing) (Pool, error) {
	if expiry.After(p.Lease.Deadline) {
		return p, &ExpiredError{Server: p.Server, Key: key, Expiry: p.Lease.Deadline}
	}
	allocations, err := p.Allocations.unload(p.Server, key, Order{ID: orderID, Expiry: expiry, ExecutableUntil: timing.executableUntil(server, expiry)})
	p.Allocations = allocations
	return p, err
}

// ExpireUnloads removes unload orders that can no longer be executed.
func (p Pool) ExpireUnloads(now time.Time, timing Timing) Pool {
	p.Allocations = p.Allocations.expireUnloads(now, timing)
	return p
}

// LoadOrder returns the order to load an adapter of the pool.
func (p *Pool) LoadOrder(key Key) kumquathitch.Order {
	alloc := p.Allocations.Find(key)
	return kumquathitch.Order{
		ID: alloc.Load.ID, Fence: p.Fence, Action: kumquathitch.ActionLoad, Name: key.Name, Version: key.Version,
		Accelerator: key.Accelerator, Bytes: alloc.Bytes, Adapter: true, Expiry: alloc.Load.Expiry,
	}
}

// UnloadOrder returns the order to unload an adapter of the pool.
func (p *Pool) UnloadOrder(key Key) kumquathitch.Order {
	alloc := p.Allocations.Find(key)
	return kumquathitch.Order{
		ID: alloc.Unload.ID, Fence: p.Fence, Action: kumquathitch.ActionUnload, Name: key.Name, Version: key.Version,
		Accelerator: key.Accelerator, Adapter: true, Expiry: alloc.Unload.Expiry,
	}
}
