// Package vm runs one entry VM on a platform. The VM serves callers, watches the
// platform's store, exchanges state with the other entry VMs, and sends orders to
// engines while it is the leader.
//
// # Usage
//
//	environment, err := platform.ReadEnvironment()
//	if err != nil {
//		return err
//	}
//	v := vm.New(environment, logger, set, tracing)
//	return v.Run(ctx) // Until ctx ends and the calls in flight are answered.
//
// # Parts
//
// The store watcher reads the operator's configuration and the list of instances
// from one watch of the store. In the exchange, a VM reports its demand to the
// leader and draws tokens, and gets state of the other VMs in response. While the
// store does not answer the VM, the exchange also brings the configuration and the
// instances. The scheduler assigns the engine of each call. Each loop
// is a goroutine that reports its end on a channel read by Run.
package vm

import (
	"context"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/deployment"
	"kumquathitch.example/kumquathitch/election"
	"kumquathitch.example/kumquathitch/evacuation"
	"kumquathitch.example/kumquathitch/fleet"
	"kumquathitch.example/kumquathitch/intake"
	"kumquathitch.example/kumquathitch/model"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/placement"
	"kumquathitch.example/kumquathitch/quota"
	"kumquathitch.example/kumquathitch/random"
	"kumquathitch.example/kumquathitch/relay"
	"kumquathitch.example/kumquathitch/retry"
	"kumquathitch.example/kumquathitch/telemetry"
)

const (
	// leaseTTL is the time after which a lost leader can be replaced. The lease is
	// renewed every 500 ms, and a slow store takes 250 ms for a renewal.
	leaseTTL = 1500 * time.Millisecond
	// memberTTL is the time after which a lost VM is no longer a member. Members share
	// rates and retries and are pinged; each renewal is a paid call.
	memberTTL = 3 * time.Second
	// fencedHandoverDelay is the handover delay of a new leader when the instances
	// check fencing tokens: they refuse late orders of an earlier leader.
	fencedHandoverDelay = 300 * time.Millisecond
	// planInterval is the interval at which the leader plans the placement.
	planInterval = 250 * time.Millisecond
	// planTimePerEngine is the least time between two plans for each engine. A plan for 2,600
	// engines takes some 45 ms of a processor of which a VM may have 0.4.
	planTimePerEngine = 400 * time.Microsecond
	// housekeepingInterval is the interval at which expired connections are closed, and
	// the load of this VM's roles is logged.
	housekeepingInterval = 2 * time.Second
	// fullLinkMbps is the link rate, in Mbit/s, above which a VM is not preferred as
	// the leader any further. In the -grown scenarios a leader sends about 10 Mbit/s of
	// changes to 63 VMs.
	fullLinkMbps = 100.0
	// memoryLimitFraction is the memory limit of the Go runtime, as a fraction of the
	// VM's memory. Near it the garbage collector runs more often.
	memoryLimitFraction = 0.7
	// bufferFraction is the memory for the bodies and events that a VM holds, as a
	// fraction of its memory.
	bufferFraction = 0.25
	// gcPercent is above the default of 100, since the heap of a VM is small.
	gcPercent = 200
)

// VM is one entry VM.
type VM struct {
	environment kumquathitch.Environment
	self        kumquathitch.Member // Record of this VM in the store.
	log         *zap.Logger
	set         *metrics.Set
	tracing     *telemetry.Tracing

	deployments     *deployment.Current
	newer           newerDeployments
	evacuations     *evacuation.Set
	fleet           *fleet.Fleet
	globalScheduler *fleet.GlobalScheduler
	roster          *quota.Roster
	rateLimiter     *quota.LocalBuckets
	retryBudget     *retry.Budget
	crashGuard      *retry.CrashGuard
	promptGuard     *retry.PromptGuard
	crashDetector   *retry.CrashDetector
	demand          *model.Demand
	forecast        *placement.Forecast
	candidate       *election.Candidate
	placer          *placement.Controller
	nextPlan        time.Time // Earliest time of the next plan. Used by the planning loop only.
	peers           kumquathitch.PeerCaller
	random          kumquathitch.Random
	watcher         *storeWatcher
	leadership      leadership
	schedulerRole   schedulerRole
	roleLoad        *roleLoad
	coldCalls       coldCalls
	reachability    reachability
	feed            leaderFeed
	compressed      compressedDeployment
	panics          *telemetry.PanicGuard
	intake          *intake.Budget // What callers make this VM hold.
	handler         *relay.Handler
	cancelCalls     context.CancelFunc // Cancels the calls that are still in flight.
	draining        atomic.Bool        // The readiness check fails, so that callers go elsewhere.
	stopping        atomic.Bool        // New calls are refused.
}

// New returns an entry VM that does not run yet. Its metrics are registered in set.
func New(environment kumquathitch.Environment, log *zap.Logger, set *metrics.Set, tracing *telemetry.Tracing) *VM {
	if environment.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(environment.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	v := &VM{
		environment: environment, log: log, set: set, tracing: tracing,
		deployments: deployment.NewCurrent(),
		evacuations: evacuation.NewSet(),
		fleet:       fleet.NewFleet(environment.Name, environment.DataCentre),
		roster:      quota.NewRoster(),
		rateLimiter: quota.NewLocalBuckets(clock.Monotonic{}, environment.Bootstrap),
		retryBudget: retry.NewBudget(retry.Limits{Ratio: environment.RetryRatio, Slack: environment.RetrySlack, Window: environment.RetryWindow}, time.Now()),
		crashGuard:  retry.NewCrashGuard(environment.Name),
		demand:      model.NewDemandWithDecay(placement.DemandTimeConstant),
		forecast:    placement.NewForecast(),
		peers:       environment.Peers,
		random:      environment.Random,
		panics:      telemetry.NewPanicGuard(log, set),
		roleLoad:    newRoleLoad(set),
	}
	if v.peers == nil {
		v.peers = peer.NewClient(tracing)
	}
	if v.random == nil {
		v.random = random.Global{}
	}
	leaseClock := environment.Clock
	if leaseClock == nil {
		leaseClock = clock.NewBoot()
	}
	v.promptGuard = retry.NewPromptGuard(environment.Name, v.crashGuard)
	v.crashDetector = retry.NewCrashDetector(v.crashGuard, v.promptGuard)
	v.fleet.Restrict(v.evacuations, environment.Regions)
	v.globalScheduler, v.coldCalls = fleet.NewGlobalScheduler(v.fleet), newColdCalls(set, v.fleet)
	v.updateMemberCount(time.Now())
	v.self = kumquathitch.Member{Name: environment.Name, Address: environment.PeerAddress, DataCentre: environment.DataCentre, Started: time.Now().Round(0), Capacity: leaderCapacity(environment)}
	timing := election.Timing{LeaseTTL: leaseTTL, MemberTTL: memberTTL, HandoverDelay: environment.HandoverDelay, Random: v.random}
	if environment.ChecksFencing {
		timing.HandoverDelay = fencedHandoverDelay
	}
	v.candidate = election.NewCandidate(environment.Store, leaseClock, v.self, timing, log)
	v.placer = placement.NewController(environment.Control, environment.Name, v.orderFence, clock.Monotonic{}, log, v.set, v.panics)
	v.placer.UseEvacuations(v.evacuations)
	v.set.NewGauge("kumquathitch_evacuated_data_centres", func() float64 { return float64(v.evacuations.Count()) })
	v.set.NewGauge("kumquathitch_evacuated_calls_in_flight", func() float64 { return float64(v.fleet.EvacuatedLoad()) })
	v.watcher = newStoreWatcher(v)
	var callContext context.Context
	callContext, v.cancelCalls = context.WithCancel(context.Background())
	relayMetrics := relay.NewMetrics(v.set)
	v.handler = &relay.Handler{
		Dialect: environment.Dialect, Deployments: v.deployments, Chooser: v.fleet, Scheduler: &scheduler{vm: v}, TokenBuckets: v.rateLimiter, RetryBudget: v.retryBudget,
		CrashGuard: v.crashGuard, PromptGuard: v.promptGuard, CrashDetector: v.crashDetector, AdapterPlacer: v, Demand: v.demand, Clock: clock.Monotonic{}, Logger: log,
		Tracer: tracing.Tracer, Metrics: relayMetrics, Pool: relay.NewPool(relayMetrics),
		Buffers: relay.NewBuffers(int64(bufferFraction * float64(environment.MemoryBytes))), Panics: v.panics, Draining: v.draining.Load, Stopping: v.stopping.Load, BaseContext: callContext,
	}
	v.intake = intake.NewBudget(intake.Settings{
		Name: "callers", Limits: intake.Derive(environment.Intake, v.resources()), Logger: log, Metrics: set, Allowed: v.callerLimits,
	})
	v.handler.Buffers.Reclaim = v.intake.CloseStalled
	return v
}

// resources returns what this VM has for callers and itself.
func (v *VM) resources() intake.Resources {
	return intake.Resources{MemoryBytes: v.environment.MemoryBytes, Descriptors: v.environment.Descriptors}.Restrict()
}

// callerLimits returns what the deployment allows to callers.
func (v *VM) callerLimits() kumquathitch.CallerLimits {
	if snapshot := v.deployments.Snapshot(); snapshot != nil {
		return snapshot.Deployment.Limits
	}
	return kumquathitch.CallerLimits{}
}

// leaderCapacity returns the capacity by which VMs campaign for leadership: the
// number of processor cores, reduced in proportion for a link below fullLinkMbps.
func leaderCapacity(environment kumquathitch.Environment) float64 {
	return environment.Cores * min(1, environment.LinkMbps/fullLinkMbps)
}

// orderFence returns the fencing token for orders to engines, and whether this VM
// may send any now.
func (v *VM) orderFence() (uint64, bool) {
	t, ok := v.candidate.ActiveTerm()
	return t.Fence, ok
}

// Run serves until ctx ends, and then until all calls have ended or the shutdown
// grace period is nearly over. It returns an error when an address cannot be listened
// on, or a listener fails.
func (v *VM) Run(ctx context.Context) error {
	v.log.Info("starting", zap.String("vm", v.environment.Name), zap.String("data-centre", v.environment.DataCentre),
		zap.Bool("bootstrap", v.environment.Bootstrap), zap.String("callers", v.environment.CallerAddress), zap.String("peers", v.environment.PeerAddress))
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// A VM that shuts down gives up leadership at once, and watches the store until the end.
	leading, stopLeading := context.WithCancel(background)
	defer stopLeading()
	servers, err := v.listen(background)
	if err != nil {
		return err
	}
	ends := append(v.followFleet(leading, background),
		v.runEvery(leading, planInterval, v.reconcile),
		v.runEvery(background, pingInterval, v.pingDataCentres),
		v.runSuspectReports(background),
	)
	select {
	case <-ctx.Done():
	case err = <-servers.failed:
		v.log.Error("listener failed", zap.Error(err))
	}
	v.draining.Store(true)
	v.log.Info("stopping", zap.Duration("grace", v.environment.ShutdownGrace))
	stopLeading()
	servers.drain(v.environment.ShutdownGrace)
	v.cancelCalls()
	stop()
	for _, end := range ends {
		if failed := <-end; failed != nil {
			v.log.Warn("background loop failed", zap.Error(failed))
		}
	}
	v.peers.Close()
	v.log.Info("stopped")
	return err
}

// runEvery calls a function at an interval until ctx ends.
func (v *VM) runEvery(ctx context.Context, interval time.Duration, call func(ctx context.Context)) <-chan error {
	end := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				end <- nil
				return
			case <-ticker.C:
				v.guarded("vm.loop", func() { call(ctx) })
			}
		}
	}()
	return end
}

// guarded runs a step of a loop. When it panics, the loop goes on with the next step.
func (v *VM) guarded(part string, step func()) {
	defer v.panics.Recover(part)
	step()
}

// reconcile names the schedulers, plans the placement and sends orders, while this VM
// leads and may send any.
func (v *VM) reconcile(ctx context.Context) {
	now := time.Now()
	v.globalScheduler.ExpireVMs(now)
	if _, leading := v.candidate.CurrentTerm(); leading {
		v.nameSchedulers(now)
	}
	snapshot := v.deployments.Snapshot()
	if _, ok := v.orderFence(); !ok || snapshot == nil || now.Before(v.nextPlan) {
		return
	}
	instances := v.fleet.Instances()
	v.nextPlan = now.Add(time.Duration(len(instances)) * planTimePerEngine)
	expected := v.forecast.Update(v.demand.Total(now), v.demand.MeanRequestTokens(), now)
	v.placer.Reconcile(ctx, snapshot.Deployment.Services, instances, expected)
	v.fleet.SetUnloading(v.placer.Unloading(), time.Now())
	v.roleLoad.addRound(time.Since(now))
}

// keepHouse closes expired connections, and logs the load of this VM's roles.
func (v *VM) keepHouse(context.Context) {
	now := time.Now()
	v.handler.Pool.CloseExpired(now)
	v.crashDetector.Expire(now)
	v.updateMemberCount(now)
	_, leading := v.candidate.CurrentTerm()
	v.roleLoad.log(v.log, leading, now)
	v.logSchedules(now)
	v.logColdCalls(now)
	for _, blocked := range v.promptGuard.TakeBlocked(now) {
		v.log.Warn("prompt part blocked", zap.String("part", strconv.FormatUint(blocked.Hash, 16)), zap.Int("crashes", blocked.Crashes), zap.Duration("for", blocked.Until.Sub(now)))
	}
	for _, blocked := range v.crashGuard.TakeBlocked(now) {
		v.log.Warn("content blocked", zap.String("content", strconv.FormatUint(blocked.Hash, 16)), zap.Int("crashes", blocked.Crashes), zap.Duration("for", blocked.Until.Sub(now)))
	}
}
