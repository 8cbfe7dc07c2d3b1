package model

import (
	"context"
	"errors"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/accelerator"
)

// adapterQuota counts the adapter loads that one Reconcile may still start.
type adapterQuota struct {
	mutex     sync.Mutex
	remaining int
}

func newAdapterQuota(loads int) *adapterQuota {
	return &adapterQuota{remaining: loads}
}

func (q *adapterQuota) acquire() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.remaining <= 0 {
		return false
	}
	q.remaining--
	return true
}

// adaptersInFlight counts the adapter loads of this VM that may still be running.
func (c *Controller) adaptersInFlight() int {
	count := 0
	now := c.Clock.Now()
	for i := range c.shards {
		s := &c.shards[i]
		s.mutex.Lock()
		for _, state := range s.servers {
			for _, alloc := range state.Pool.Allocations {
				if alloc.Load.ID != "" && !alloc.Confirmed && !now.After(alloc.Load.ExecutableUntil) {
					count++
				}
			}
		}
		s.mutex.Unlock()
	}
	return count
}

// reconcileAdapters acquires or renews the lease of a server's adapter pool and
// sends adapter orders under it. Only the lease needs the store.
func (c *Controller) reconcileAdapters(ctx context.Context, config kumquathitch.Configuration, u kumquathitch.Upstream, report kumquathitch.LoadReport,
	record PlacementRecord, state *serverState, quota *adapterQuota,
) error {
	now := c.Clock.Now()
	var failure error
	if state.Plan.Version != 0 && now.After(state.Pool.Lease.Deadline.Add(-c.Timing.PoolLeaseTTL/2)) {
		failure = c.acquirePool(ctx, u, state, now)
	}
	state.Pool = state.Pool.WithLease(state.Plan, c.Holder) // Another write may have raised the fencing token or changed the lease.
	if state.Pool.Lease.Holder != c.Holder {
		return failure
	}
	state.Pool = state.Pool.ApplyReport(report).ExpireUnloads(now, c.Timing)
	demand := c.Demand.Local(now)
	for name, rate := range record.AdapterDemand {
		demand[name] = max(demand[name], rate)
	}
	server := c.server(config, u, state.Plan)
	for _, m := range PlanAdapters(server, state.Pool, config.Adapters, demand, now) {
		if m.Action == kumquathitch.ActionLoad && !quota.acquire() {
			continue
		}
		if err := c.startAdapterMove(ctx, server, m, state); err != nil {
			failure = errors.Join(failure, err)
		}
	}
	return failure
}

func (c *Controller) acquirePool(ctx context.Context, u kumquathitch.Upstream, state *serverState, now time.Time) error {
	written, err := accelerator.NewPlanStore(c.Store, c.NewID).UpdateFrom(ctx, u, state.Plan,
		func(p accelerator.Plan) (accelerator.Plan, error) {
			return p.AcquirePool(u, c.Holder, state.ReleasedLease, c.Timing, now)
		})
	var leased *accelerator.PoolLeasedError
	if errors.As(err, &leased) {
		return nil // Its holder may send orders until the deadline.
	}
	if err != nil {
		return err
	}
	state.Plan = written
	return nil
}

func (c *Controller) startAdapterMove(ctx context.Context, server Server, m AdapterMove, state *serverState) error {
	now := c.Clock.Now()
	expiry := now.Add(adapterOrderTTL)
	var pool accelerator.Pool
	var order kumquathitch.Order
	var err error
	if m.Action == kumquathitch.ActionLoad {
		request := accelerator.LoadRequest{Key: m.Key, Bytes: m.Bytes, OrderID: c.NewID(), Expiry: expiry}
		if pool, err = state.Pool.Reserve(server.Upstream, server.StartupAdapters, request, c.Timing, now); err == nil {
			order = pool.LoadOrder(m.Key)
		}
	} else if pool, err = state.Pool.Unload(server.Upstream, m.Key, c.NewID(), expiry, c.Timing); err == nil {
		order = pool.UnloadOrder(m.Key)
	}
	var unsettled *accelerator.UnsettledError
	var full *accelerator.InsufficientMemoryError
	if errors.As(err, &unsettled) || errors.As(err, &full) {
		return nil // A later report settles the order or shows free memory.
	}
	if err != nil {
		return err
	}
	state.Pool, state.LatestExpiry = pool, expiry
	return c.send(ctx, server.Upstream, order)
}

// releasePool releases the adapter pool of a server that another VM is now responsible for.
func (c *Controller) releasePool(ctx context.Context, u kumquathitch.Upstream) {
	state := c.state(u.Name)
	if state.Pool.Lease.Holder != c.Holder {
		return
	}
	// The pool is discarded before the write, because the response to it may be lost.
	state.ReleasedLease, state.Pool = state.Pool.Lease.Since, accelerator.Pool{}
	latest := state.LatestExpiry
	if now := c.Clock.Now(); latest.Before(now) {
		latest = now
	}
	_, err := accelerator.NewPlanStore(c.Store, c.NewID).Update(ctx, u, func(p accelerator.Plan) (accelerator.Plan, error) {
		return p.ReleasePool(c.Holder, latest), nil
	})
	state.Plan = accelerator.Plan{}
	c.setState(u.Name, state)
	if err != nil {
		c.OnError(u.Name, err)
	}
}

// Close releases the adapter pools of all servers, so that other VMs need not
// wait for the leases to expire.
func (c *Controller) Close(ctx context.Context, config kumquathitch.Configuration) {
	for _, u := range config.Upstreams {
		c.releasePool(ctx, u)
	}
}
