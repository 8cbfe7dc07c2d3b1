package placement

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/telemetry"
)

const (
	shardCount = 16
	// unlistedRetention is how long the state of an instance that is no longer
	// listed is kept.
	unlistedRetention = 2 * time.Minute
	// logInterval is the least time between two log lines about the whole placement.
	logInterval = 2 * time.Second
	// maxParallelRequests bounds the instances that are sent orders, or asked for
	// reports, at the same time.
	maxParallelRequests = 32
	// maxReportsPerRound bounds the instances that are asked for reports in one round. A leader
	// that has just started asks all of them twice: in a fleet of 2,600 it had no time for the
	// other VMs for seconds.
	maxReportsPerRound = 192
)

// FenceFunc returns the fencing token for orders, and whether this VM may send
// orders now.
type FenceFunc func() (fence uint64, ok bool)

// Controller plans the placement and sends the orders for it. It is safe for
// concurrent use.
type Controller struct {
	control      kumquathitch.EngineControl
	holder       string
	currentFence FenceFunc
	clock        kumquathitch.Clock
	log          *zap.Logger
	ordersSent   *metrics.Counter
	panics       *telemetry.PanicGuard
	lastLogged   atomic.Int64 // When the placement was last logged, nanoseconds since created.
	created      time.Time
	stateFence   atomic.Uint64 // Fencing token of the term in which the states were collected.
	listedFence  atomic.Uint64 // Fencing token of the last term in which all instances were listed.
	shards       [shardCount]stateShard
	limiter      loadLimiter
	sizes        *sizeHistory
	evacuations  kumquathitch.Evacuations // Nil without evacuations.
}

type stateShard struct {
	mutex  sync.Mutex
	states map[string]*instanceState // By id of the instance.

	adapterCalls map[string]*adapterCall // By service, model and adapter, separated by slashes.
}

// NewController returns a controller that sends orders in the name of holder
// while currentFence allows it.
func NewController(control kumquathitch.EngineControl, holder string, currentFence FenceFunc, clock kumquathitch.Clock, log *zap.Logger, set *metrics.Set, panics *telemetry.PanicGuard) *Controller {
	c := &Controller{
		control: control, holder: holder, currentFence: currentFence, clock: clock, log: log, panics: panics, created: clock.Now(),
		ordersSent: set.NewCounter("kumquathitch_orders_total"),
		limiter:    loadLimiter{buckets: map[string]*loadBucket{}},
		sizes:      newSizeHistory(),
	}
	for i := range c.shards {
		c.shards[i].states, c.shards[i].adapterCalls = map[string]*instanceState{}, map[string]*adapterCall{}
	}
	return c
}

// UseEvacuations sets the source of evacuations. It must be called before the first plan.
func (c *Controller) UseEvacuations(evacuations kumquathitch.Evacuations) {
	c.evacuations = evacuations
}

// RecordServices records the sizes of models that a configuration lists. A VM does so for each
// configuration that comes into force, also while it does not lead: engines hold models that
// they loaded under earlier ones.
func (c *Controller) RecordServices(services kumquathitch.Services) {
	for i := range services {
		if services[i].Engine != nil {
			c.sizes.record(&services[i], c.clock.Now())
		}
	}
}

// takesOrders reports whether an instance takes part in the placement. The models of one
// that leaves, or whose data centre is being evacuated, are to be placed elsewhere.
func (c *Controller) takesOrders(instance *kumquathitch.Instance) bool {
	return !instance.Leaving && (c.evacuations == nil || !c.evacuations.Standing(instance.DataCentre))
}

// Reconcile plans for the engines of all services and sends the orders. The keys
// of demand, in tokens per second, are "service/model" for calls without an
// adapter and "service/model/adapter" for calls with one.
func (c *Controller) Reconcile(ctx context.Context, services kumquathitch.Services, instances kumquathitch.Instances, demand map[string]float64) {
	fence, ok := c.currentFence()
	if !ok {
		return
	}
	now := c.clock.Now()
	c.startTerm(fence)
	c.applyDescriptions(instances, now)
	c.listedFence.Store(fence)
	c.dropUnlisted(now)
	for i := range services {
		s := &services[i]
		if s.Engine == nil {
			continue
		}
		c.requestReports(ctx, s, instances)
		engines := c.engines(s, instances, now)
		if len(engines) == 0 {
			continue
		}
		serviceDemand := demandFor(demand, s.Name)
		c.logPlacement(s, engines, serviceDemand, now)
		actions := append(c.unansweredOrders(s, instances), c.queuedOrders(s, instances)...)
		actions = append(actions, UnloadUnlisted(engines)...)
		actions = append(actions, UnloadForAdapters(s.Engine, engines, serviceDemand)...)
		for _, move := range Plan(s.Engine, engines, serviceDemand, c.limiter.allowed(s, now)-c.reservedLoads(s, instances)) {
			actions = append(actions, c.startMove(move, now))
		}
		actions = append(actions, PlanAdapters(s.Engine, c.engines(s, instances, now), serviceDemand.Adapters)...)
		c.sendAll(ctx, s, actions)
	}
}

// Unloading returns the models with an open order to unload, by instance. An
// instance refuses new calls for such a model.
func (c *Controller) Unloading() map[string][]string {
	unloading := map[string][]string{}
	for i := range c.shards {
		s := &c.shards[i]
		s.mutex.Lock()
		for id, st := range s.states {
			for _, open := range []*openOrder{st.pending, st.unanswered} {
				if open != nil && open.action.Unload && open.action.Adapter == "" {
					unloading[id] = append(unloading[id], open.action.Model)
				}
			}
		}
		s.mutex.Unlock()
	}
	return unloading
}

// logPlacement logs the inputs of the plan, at most once per logInterval.
func (c *Controller) logPlacement(s *kumquathitch.Service, engines Engines, serviceDemand Demand, now time.Time) {
	last, since := c.lastLogged.Load(), int64(now.Sub(c.created))
	if since-last < int64(logInterval) || !c.lastLogged.CompareAndSwap(last, since) {
		return
	}
	p := newPlanner(s.Engine, engines, serviceDemand)
	models := make([]string, 0, len(p.shares))
	busy := 0
	for i := range engines {
		if engines[i].Busy {
			busy++
		}
	}
	for _, m := range p.candidateModels() {
		models = append(models, fmt.Sprintf("%s:%.2f/%d", m.Name, p.shares[m.Name], len(p.holders[m.Name])))
	}
	c.log.Info("placement", zap.String("service", s.Name), zap.Int("engines", len(engines)), zap.Int("busy", busy),
		zap.Int("loads-allowed", c.limiter.allowed(s, now)), zap.String("part-and-replicas", strings.Join(models, " ")))
}

// startMove queues the orders of a move after the first, and returns the first.
func (c *Controller) startMove(move Move, now time.Time) Action {
	steps := append(slices.Clone(move.Unloads), move.Load)
	c.withState(move.Load.Instance.ID, func(st *instanceState) { st.queue, st.queueExpires = steps[1:], now.Add(moveTimeout) })
	return steps[0]
}

// queuedOrders returns the next order of each move under way that can be sent now.
func (c *Controller) queuedOrders(s *kumquathitch.Service, instances kumquathitch.Instances) []Action {
	var next []Action
	now := c.clock.Now()
	for _, instance := range instances {
		if instance.Service != s.Name || !c.takesOrders(&instance) {
			continue
		}
		c.withState(instance.ID, func(st *instanceState) {
			if len(st.queue) > 0 && st.pending == nil && st.unanswered == nil && !now.Before(st.pausedUntil) && now.Before(st.queueExpires) {
				next = append(next, st.queue[0])
			}
		})
	}
	return next
}

// requestReports asks the instances that need it for a report, in parallel.
func (c *Controller) requestReports(ctx context.Context, s *kumquathitch.Service, instances kumquathitch.Instances) {
	now := c.clock.Now()
	var due kumquathitch.Instances
	for _, instance := range instances {
		if instance.Service == s.Name && c.takesOrders(&instance) {
			c.withState(instance.ID, func(st *instanceState) {
				if st.needsReport(now) {
					due = append(due, instance)
				}
			})
		}
	}
	due = due[:min(len(due), maxReportsPerRound)]
	c.inParallel(len(due), func(i int) { c.requestReport(ctx, due[i]) })
}

// inParallel calls a function for each number in [0, count), at most
// maxParallelRequests at a time, and waits for all calls.
func (c *Controller) inParallel(count int, call func(i int)) {
	done := make(chan struct{}, count)
	semaphore := make(chan struct{}, maxParallelRequests)
	for i := range count {
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore; done <- struct{}{} }()
			defer c.panics.Recover("placement.request")
			call(i)
		}()
	}
	for range count {
		<-done
	}
}

// reservedLoads returns the number of queued loads from the weight store.
func (c *Controller) reservedLoads(s *kumquathitch.Service, instances kumquathitch.Instances) int {
	loads := 0
	for _, instance := range instances {
		if instance.Service != s.Name || !c.takesOrders(&instance) {
			continue
		}
		c.withState(instance.ID, func(st *instanceState) {
			for _, a := range st.queue {
				if a.FromStore {
					loads++
				}
			}
		})
	}
	return loads
}

// demandFor returns the demand for one service, from that for all services.
func demandFor(demand map[string]float64, service string) Demand {
	d := Demand{Models: map[string]float64{}, Adapters: map[string]float64{}}
	for name, tokens := range demand {
		target, ok := strings.CutPrefix(name, service+"/")
		if !ok {
			continue
		}
		model, _, adapted := strings.Cut(target, "/")
		d.Models[model] += tokens
		if adapted {
			d.Adapters[target] += tokens
		}
	}
	return d
}

// startTerm discards the states of an earlier term when the fencing token has changed:
// another leader may have sent orders since.
func (c *Controller) startTerm(fence uint64) {
	if c.stateFence.Swap(fence) == fence {
		return
	}
	for i := range c.shards {
		s := &c.shards[i]
		s.mutex.Lock()
		clear(s.states)
		s.mutex.Unlock()
	}
}

// unansweredOrders returns the orders without a response, which are sent again.
// They take effect at most once, since they expect the same order count.
func (c *Controller) unansweredOrders(s *kumquathitch.Service, instances kumquathitch.Instances) []Action {
	var again []Action
	now := c.clock.Now()
	for _, instance := range instances {
		if instance.Service != s.Name || !c.takesOrders(&instance) {
			continue
		}
		c.withState(instance.ID, func(st *instanceState) {
			if st.unanswered != nil && !now.Before(st.pausedUntil) {
				again = append(again, st.unanswered.action)
			}
		})
	}
	return again
}

// applyDescriptions updates the states from the descriptions. The state of an
// unlisted instance is kept for a while, since the entry of an instance that is
// cut off from the store expires while the instance runs on; see dropUnlisted.
func (c *Controller) applyDescriptions(instances kumquathitch.Instances, now time.Time) {
	fence := c.stateFence.Load()
	firstListedInTerm := fence != 0 && c.listedFence.Load() == fence
	for _, instance := range instances {
		c.withState(instance.ID, func(st *instanceState) { st.applyDescription(instance, firstListedInTerm, now) })
	}
}

// dropUnlisted drops the states of instances that have not been listed for unlistedRetention.
func (c *Controller) dropUnlisted(now time.Time) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mutex.Lock()
		maps.DeleteFunc(s.states, func(_ string, st *instanceState) bool { return now.Sub(st.listedAt) > unlistedRetention })
		s.mutex.Unlock()
	}
}

func (c *Controller) withState(id string, use func(st *instanceState)) {
	s := &c.shards[kumquathitch.ShardOf(id, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	st := s.states[id]
	if st == nil {
		st = &instanceState{uncertain: true}
		s.states[id] = st
	}
	use(st)
}

func (c *Controller) engines(s *kumquathitch.Service, instances kumquathitch.Instances, now time.Time) Engines {
	sizes := c.sizes.record(s, now)
	var engines Engines
	for _, instance := range instances {
		if instance.Service == s.Name && c.takesOrders(&instance) {
			c.withState(instance.ID, func(st *instanceState) { engines = append(engines, st.engine(sizes, now)) })
		}
	}
	return engines
}

// sendAll sends the orders: those of one instance in sequence, until one is not
// accepted, and those of different instances in parallel.
func (c *Controller) sendAll(ctx context.Context, s *kumquathitch.Service, actions []Action) {
	byInstance := map[string][]Action{}
	for _, a := range actions {
		byInstance[a.Instance.ID] = append(byInstance[a.Instance.ID], a)
	}
	lists := slices.Collect(maps.Values(byInstance))
	c.inParallel(len(lists), func(i int) {
		for _, a := range lists[i] {
			if outcome := c.send(ctx, s, a); outcome != kumquathitch.OrderAccepted && outcome != kumquathitch.OrderAlreadyApplied {
				return
			}
		}
	})
}

// send sends one order. It returns OrderUnsent when this VM may not send orders,
// or the state of the instance does not allow the order now.
func (c *Controller) send(ctx context.Context, s *kumquathitch.Service, a Action) kumquathitch.OrderOutcome {
	var expected uint64
	var uncertain, acquired bool
	c.withState(a.Instance.ID, func(st *instanceState) {
		if acquired = !st.sending; acquired {
			st.sending, st.sendingSince, uncertain = true, c.clock.Now(), st.uncertain
		}
	})
	if !acquired {
		return kumquathitch.OrderUnsent
	}
	defer c.withState(a.Instance.ID, func(st *instanceState) { st.sending = false })
	if uncertain {
		return kumquathitch.OrderUnsent // The next Reconcile asks for a report.
	}
	allowed := false
	c.withState(a.Instance.ID, func(st *instanceState) {
		allowed, expected = st.canSend(c.sizes.record(s, c.clock.Now()), a, c.clock.Now()), st.acceptedOrders
		if st.unanswered != nil {
			expected = st.unanswered.expected
		}
	})
	fence, ok := c.currentFence()
	if !allowed || !ok {
		return kumquathitch.OrderUnsent
	}
	if a.FromStore && !c.limiter.take(s, c.clock.Now()) {
		return kumquathitch.OrderUnsent
	}
	outcome, err := c.control.Order(ctx, kumquathitch.EngineOrder{
		Instance: a.Instance.ID, Address: a.Instance.Address, Unload: a.Unload,
		Model: a.Model, Adapter: a.Adapter, ExpectedOrders: expected, Holder: c.holder, Fence: fence,
	})
	c.ordersSent.Inc()
	var load time.Duration
	if m := s.Engine.Models.Find(a.Model); m != nil && a.Adapter == "" {
		load = m.LoadTime
	}
	c.withState(a.Instance.ID, func(st *instanceState) { st.applyOutcome(a, expected, outcome, load, c.clock.Now()) })
	c.log.Info("order", zap.String("instance", a.Instance.ID), zap.Bool("unload", a.Unload), zap.String("model", a.Model),
		zap.String("adapter", a.Adapter), zap.String("reason", a.Reason), zap.Bool("from-store", a.FromStore), zap.Uint64("expected", expected),
		zap.Uint64("fence", fence), zap.Uint64("described-at", a.Instance.Revision), zap.String("outcome", outcome.String()), zap.Error(err))
	return outcome
}

// requestReport asks an instance for its order count and what it holds.
func (c *Controller) requestReport(ctx context.Context, instance kumquathitch.Instance) {
	state, err := c.control.State(ctx, instance.Address)
	now := c.clock.Now()
	if err != nil {
		c.log.Info("no report from instance", zap.String("instance", instance.ID), zap.Error(err))
		c.withState(instance.ID, func(st *instanceState) { st.pausedUntil = now.Add(retryPause) })
		return
	}
	c.withState(instance.ID, func(st *instanceState) { st.applyReport(state, now) })
}
