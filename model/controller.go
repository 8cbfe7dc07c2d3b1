package model

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/accelerator"
)

const (
	// modelOrderTTL is the time from creating an order to load or unload a model
	// to its expiry. The engine must have started it by then.
	modelOrderTTL = 10 * time.Second
	// adapterOrderTTL is the same for an adapter. On engines that ignore fencing
	// tokens, an adapter cannot be unloaded before this time and the message
	// delay have passed.
	adapterOrderTTL = 5 * time.Second
	// unreachableAfter is the time without an answer after which an engine's
	// replicas are replaced. A shorter time would move models whenever an engine's
	// process restarts.
	unreachableAfter = 15 * time.Second
	// maxLoadTime is the longest time that an engine takes to load a model. It
	// ends permits of the weight store whose load is never reported.
	maxLoadTime = 2 * time.Minute
)

// Controller carries out the placement of the servers that this VM is
// responsible for. All exported fields are set before the first call of
// Reconcile. Calls of Reconcile must not overlap.
type Controller struct {
	Store   kumquathitch.Store
	Engines kumquathitch.Engine
	Members kumquathitch.Membership
	Clock   kumquathitch.Clock
	Demand  *Demand
	Timing  accelerator.Timing
	NewID   func() string // Returns ids that are unique in the fleet.
	Holder  string        // Identifies this process as lease holder; a restarted process has another value.
	// ReplicaTokensPerSecond is the demand that one replica should carry.
	ReplicaTokensPerSecond float64
	// PlanInterval is the minimum time between two plans of the data centre.
	PlanInterval time.Duration
	// MaxParallelServers bounds how many servers Reconcile handles at a time.
	MaxParallelServers int
	// AdapterShare returns this VM's share, in [0, 1], of the adapters in flight.
	AdapterShare func() float64
	// OnReport is called with each load report that was fetched.
	OnReport func(server string, report kumquathitch.LoadReport, now time.Time)
	// Available reports whether a server may get new work.
	Available func(server string, now time.Time) bool
	// OnError is called with the error of a server; the next Reconcile tries again.
	OnError func(server string, err error)

	lastPlan time.Time // When this VM last planned.
	watched  watchedPlans
	shards   [shardCount]controllerShard
}

type controllerShard struct {
	mutex   sync.Mutex
	servers map[string]serverState
}

// serverState is what this VM keeps of a server between calls of Reconcile.
type serverState struct {
	Plan          accelerator.Plan // As last read or written. If it is outdated, the next compare-and-swap fails.
	Stale         bool             // The engine has seen a newer plan.
	Pool          accelerator.Pool
	ReleasedLease time.Time // Start of the last pool lease that was released.
	LatestExpiry  time.Time // Latest expiry of the adapter orders sent.
	Permits       []heldPermit
	DoneMoves     map[Move]bool // Moves that need no further attempt; kept until their deadline.
	FailingSince  time.Time     // When the engine stopped answering; zero while it answers.
}

// heldPermit is a permit of the weight store that a load uses.
type heldPermit struct {
	ID  string
	Key accelerator.Key
}

// Reconcile visits every server that this VM is responsible for once and starts
// the moves in the data centre's placement record. If this VM is the placement
// owner and a plan is due, it also plans. It returns an error when the record,
// or what a plan is based on, could not be read or written. Adapter orders do
// not depend on that.
func (c *Controller) Reconcile(ctx context.Context, config kumquathitch.Configuration) error {
	now := c.Clock.Now()
	record, recordErr := ReadPlacement(ctx, c.Store, c.Members.Self().DataCentre)
	c.reconcileServers(ctx, config, record)
	if recordErr != nil {
		return recordErr
	}
	if !c.isOwner(now) || now.Before(c.lastPlan.Add(c.PlanInterval)) {
		return nil
	}
	c.lastPlan = now
	return c.plan(ctx, config, record)
}

// reconcileServers releases the pools of servers that this VM is no longer
// responsible for, and reconciles the others, MaxParallelServers at a time.
func (c *Controller) reconcileServers(ctx context.Context, config kumquathitch.Configuration, record PlacementRecord) {
	for _, u := range config.Upstreams {
		if !c.isResponsible(u) {
			c.releasePool(ctx, u)
		}
	}
	slots := make(chan struct{}, max(1, c.MaxParallelServers))
	var running sync.WaitGroup
	quota := newAdapterQuota(MaxAdaptersInFlight(config.WeightStore.AdaptersInFlight, c.AdapterShare()) - c.adaptersInFlight())
	for _, u := range config.Upstreams {
		if !c.isResponsible(u) {
			continue
		}
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if err := c.reconcileServer(ctx, config, u, record, quota); err != nil {
				c.OnError(u.Name, err)
			}
		})
	}
	running.Wait()
}

// isResponsible reports whether a server is managed by placement and assigned
// to this VM by rendezvous hashing.
func (c *Controller) isResponsible(u kumquathitch.Upstream) bool {
	self := c.Members.Self()
	if u.Kind != kumquathitch.KindEngine || u.DataCentre != self.DataCentre || len(u.Accelerators) == 0 {
		return false
	}
	ranked := c.Members.Ranked("upstream/"+u.Name, u.DataCentre, 1, c.Clock.Now())
	return len(ranked) == 1 && ranked[0].Name == self.Name
}

// server returns the planner's input for one server.
func (c *Controller) server(config kumquathitch.Configuration, u kumquathitch.Upstream, plan accelerator.Plan) Server {
	models, adapters := accelerator.StartupAllocations(u, config.Models, config.Adapters)
	return Server{
		Upstream: u, Plan: plan, StartupModels: models, StartupAdapters: adapters,
		Available: !plan.Unreachable && c.Available(u.Name, c.Clock.Now()),
	}
}

// reconcileServer fetches and applies the report of one server and starts its moves.
func (c *Controller) reconcileServer(ctx context.Context, config kumquathitch.Configuration, u kumquathitch.Upstream, record PlacementRecord, quota *adapterQuota,
) error {
	report, err := c.Engines.Load(ctx, u.Address)
	now := c.Clock.Now()
	state := c.state(u.Name)
	if err != nil {
		err = errors.Join(err, c.markUnreachable(ctx, u, now, &state))
		c.setState(u.Name, state)
		return err
	}
	state.FailingSince = time.Time{}
	c.OnReport(u.Name, report, now)
	if state.Plan.Version == 0 || state.Stale {
		plan, err := accelerator.NewPlanStore(c.Store, c.NewID).Read(ctx, u)
		if err == nil {
			state.Plan, state.Stale = plan, false
		} else if state.Plan.Version == 0 {
			return err
		}
	}
	failure := errors.Join(c.applyReport(ctx, u, report, &state), c.startMoves(ctx, config, u, report, record, &state))
	failure = errors.Join(failure, c.reconcileAdapters(ctx, config, u, report, record, &state, quota))
	var fence *kumquathitch.FenceError
	state.Stale = state.Stale || errors.As(failure, &fence)
	c.setState(u.Name, state)
	return failure
}

// markUnreachable sets Unreachable in the plan of an engine that has not
// answered for unreachableAfter.
func (c *Controller) markUnreachable(ctx context.Context, u kumquathitch.Upstream, now time.Time, state *serverState) error {
	if state.FailingSince.IsZero() {
		state.FailingSince = now
	}
	if state.Plan.Version == 0 || state.Plan.Unreachable || now.Before(state.FailingSince.Add(unreachableAfter)) {
		return nil
	}
	written, err := accelerator.NewPlanStore(c.Store, c.NewID).UpdateFrom(ctx, u, state.Plan,
		func(p accelerator.Plan) (accelerator.Plan, error) {
			p.Unreachable = true
			return p, nil
		})
	if err == nil {
		state.Plan = written
	}
	return err
}

// applyReport applies a report to the plan and writes the plan, unless the
// report only confirms it.
func (c *Controller) applyReport(ctx context.Context, u kumquathitch.Upstream, report kumquathitch.LoadReport, state *serverState) error {
	decide := func(p accelerator.Plan) (accelerator.Plan, error) {
		return p.ApplyReport(report, u).ExpireUnloads(c.Clock.Now(), c.Timing), nil
	}
	changed, _ := decide(state.Plan)
	if state.Plan.Version == 0 || state.Plan.Unreachable || !reflect.DeepEqual(changed.Allocations, state.Plan.Allocations) || !reflect.DeepEqual(changed.Roles, state.Plan.Roles) {
		written, err := accelerator.NewPlanStore(c.Store, c.NewID).UpdateFrom(ctx, u, state.Plan, decide)
		if err != nil {
			return err
		}
		state.Plan = written
	}
	return nil
}

// startMoves starts the moves that the placement record lists for a server. A
// move is tried again until its deadline if the weight store's limits do not
// allow it now or the platform's store fails.
func (c *Controller) startMoves(ctx context.Context, config kumquathitch.Configuration, u kumquathitch.Upstream, report kumquathitch.LoadReport,
	record PlacementRecord, state *serverState,
) error {
	region := regionOf(config, u.DataCentre)
	c.releasePermits(ctx, region, state)
	var failure error
	for _, m := range record.Moves {
		if m.Server != u.Name || state.DoneMoves[m] || !c.Clock.Now().Add(c.Timing.ClockError).Before(m.Deadline) || state.Plan.Version == 0 {
			continue
		}
		var err error
		if m.Action == kumquathitch.ActionLoad {
			err = c.load(ctx, config, u, m, report, region, state)
		} else {
			err = c.unload(ctx, config, u, m, report, state)
		}
		var limited *LoadLimitError
		var storeError *kumquathitch.StoreError
		switch {
		case errors.As(err, &limited):
		case errors.As(err, &storeError):
			return errors.Join(failure, err)
		default:
			failure = errors.Join(failure, err)
			state.DoneMoves[m] = true
		}
	}
	for m := range state.DoneMoves {
		if c.Clock.Now().After(m.Deadline.Add(c.Timing.ClockError)) {
			delete(state.DoneMoves, m)
		}
	}
	return failure
}

func (c *Controller) load(ctx context.Context, config kumquathitch.Configuration, u kumquathitch.Upstream, m Move,
	report kumquathitch.LoadReport, region string, state *serverState,
) error {
	if state.Plan.Allocations.Find(m.Key) != nil {
		return nil // Another VM has started the move.
	}
	now := c.Clock.Now()
	request := accelerator.LoadRequest{Key: m.Key, Bytes: m.Bytes, OrderID: c.NewID(), Expiry: now.Add(modelOrderTTL)}
	permit := Permit{
		ID: request.OrderID, Deadline: request.Expiry.Add(c.Timing.MessageDelay + 2*c.Timing.ClockError + maxLoadTime),
	}
	limiter := &LoadLimiter{Store: c.Store, NewID: c.NewID}
	if err := limiter.Acquire(ctx, region, RegionLimits(config, region), permit, now); err != nil {
		return err
	}
	state.Permits = append(state.Permits, heldPermit{permit.ID, m.Key})
	startup, _ := accelerator.StartupAllocations(u, config.Models, config.Adapters)
	written, err := accelerator.NewPlanStore(c.Store, c.NewID).UpdateFrom(ctx, u, state.Plan,
		func(p accelerator.Plan) (accelerator.Plan, error) {
			return p.ApplyReport(report, u).Reserve(u, startup, request, c.Timing, c.Clock.Now())
		})
	if err != nil {
		return err
	}
	state.Plan = written
	return c.send(ctx, u, written.LoadOrder(m.Key))
}

func (c *Controller) unload(ctx context.Context, config kumquathitch.Configuration, u kumquathitch.Upstream, m Move,
	report kumquathitch.LoadReport, state *serverState,
) error {
	if alloc := state.Plan.Allocations.Find(m.Key); alloc == nil || alloc.Unload.ID != "" {
		return nil
	}
	if !c.servedByRemaining(ctx, config, m) {
		return nil // A later plan finds another replica or loads one.
	}
	written, err := accelerator.NewPlanStore(c.Store, c.NewID).UpdateFrom(ctx, u, state.Plan,
		func(p accelerator.Plan) (accelerator.Plan, error) {
			return p.ApplyReport(report, u).Unload(u, m.Key, c.NewID(), c.Clock.Now().Add(modelOrderTTL), c.Timing)
		})
	if err != nil {
		return err
	}
	state.Plan = written
	return c.send(ctx, u, written.UnloadOrder(m.Key))
}

// servedByRemaining asks the engine that has to go on serving an unloaded model
// whether it still does. It may have restarted without any VM noticing before
// the move was planned. A move without RemainingServer is allowed if the model
// is no longer listed.
func (c *Controller) servedByRemaining(ctx context.Context, config kumquathitch.Configuration, m Move) bool {
	if m.RemainingServer == "" {
		return config.Models.Find(m.Key.Name) == nil
	}
	i := slices.IndexFunc(config.Upstreams, func(u kumquathitch.Upstream) bool { return u.Name == m.RemainingServer })
	if i < 0 {
		return false
	}
	report, err := c.Engines.Load(ctx, config.Upstreams[i].Address)
	return err == nil && slices.Contains(report.Resident, m.Key.Name)
}

// send sends an order. It returns an *accelerator.ExpiredError if the order's
// expiry has passed by this VM's clock.
func (c *Controller) send(ctx context.Context, u kumquathitch.Upstream, order kumquathitch.Order) error {
	if !c.Clock.Now().Before(order.Expiry) {
		return &accelerator.ExpiredError{Server: u.Name, Key: accelerator.Key{Name: order.Name}, Expiry: order.Expiry}
	}
	return c.Engines.Order(ctx, u.Address, order)
}

// releasePermits releases the permits of loads that have ended.
func (c *Controller) releasePermits(ctx context.Context, region string, state *serverState) {
	limiter := &LoadLimiter{Store: c.Store, NewID: c.NewID}
	state.Permits = slices.DeleteFunc(state.Permits, func(p heldPermit) bool {
		alloc := state.Plan.Allocations.Find(p.Key)
		if state.Plan.Version == 0 || (alloc != nil && !alloc.Confirmed) {
			return false
		}
		return limiter.Release(ctx, region, p.ID) == nil
	})
}

func regionOf(config kumquathitch.Configuration, dataCentre string) string {
	for _, d := range config.DataCentres {
		if d.Name == dataCentre {
			return d.Region
		}
	}
	return ""
}

func (c *Controller) state(server string) serverState {
	s := &c.shards[kumquathitch.ShardOf(server, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.servers[server]
	if state.DoneMoves == nil {
		state.DoneMoves = map[Move]bool{}
	}
	return state
}

func (c *Controller) setState(server string, state serverState) {
	s := &c.shards[kumquathitch.ShardOf(server, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.servers == nil {
		s.servers = map[string]serverState{}
	}
	s.servers[server] = state
}
