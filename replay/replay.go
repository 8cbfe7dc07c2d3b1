// Package replay runs a recorded trace through the routing, rate and placement
// decisions in virtual time, with simulated engines, and returns the users'
// measures.
//
// # Usage
//
//	measures := replay.Run(&config, recorded, replay.NewRoundRobin)
//	fmt.Println(measures.Attainment)
//
// All policies get the same trace and equal simulated engines, so their measures can
// be compared. Equal inputs give equal results.
package replay

import (
	"container/heap"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/trace"
)

// vmsPerDataCentre is the number of entry VMs in each data centre, as at the users' sites.
const vmsPerDataCentre = 3

// tickInterval is the virtual time between two calls of Policy.Tick.
const tickInterval = 250 * time.Millisecond

// Policy makes the decisions that a replay compares. It is used by one goroutine only.
type Policy interface {
	// Name returns a short name for tables.
	Name() string
	// Admit charges tokens to an account on an entry VM, and returns false when they
	// are not available. A waiting request is charged again, with retry set, until it
	// is admitted or has waited for MaxAdmissionWait.
	Admit(vm VM, account string, tokens float64, retry bool, now time.Time) bool
	// MaxAdmissionWait returns the longest time that a request may wait for tokens.
	MaxAdmissionWait() time.Duration
	// Refund returns charged tokens that were not used.
	Refund(vm VM, account string, unused float64, now time.Time)
	// Choose returns the name of an upstream for a request, or false when there is none.
	Choose(vm VM, request *trace.Event, now time.Time) (string, bool)
	// Done reports how a request ended on its upstream. It is called once for each
	// successful Choose.
	Done(vm VM, request *trace.Event, outcome Outcome, now time.Time)
	// Tick does periodic work, such as renewing leases, every tickInterval.
	Tick(now time.Time)
}

// Outcome describes how a request ended on an upstream.
type Outcome struct {
	Upstream     string
	UpstreamLost bool      // The upstream went down or could not be reached.
	FirstToken   time.Time // Time of the first token; zero when UpstreamLost is set.
}

// PolicyConstructor returns a policy for a cluster.
type PolicyConstructor func(cluster *Cluster) Policy

// Policies holds the constructors of the compared policies: first kumquathitch, then
// the baselines.
var Policies = []PolicyConstructor{NewKumquathitch, NewRoundRobin, NewLeastLoaded}

// VM is an entry VM of the simulated cluster.
type VM struct {
	Number     int // Index in Cluster.VMs.
	DataCentre string
}

// Cluster is the simulated deployment that policies observe and change: its entry
// VMs, engines and weight store.
type Cluster struct {
	Config *kumquathitch.Configuration
	VMs    []VM
	Start  time.Time

	engines     map[string]*engine
	upstreams   map[string]*kumquathitch.Upstream
	partitioned map[string]bool // Data centres without connection to the others.
	weightStore weightStore
	results     collector
}

// Reachable reports whether the network connects a VM to an upstream.
func (c *Cluster) Reachable(vm VM, upstream string) bool {
	centre := c.upstreams[upstream].DataCentre
	return centre == vm.DataCentre || (!c.partitioned[centre] && !c.partitioned[vm.DataCentre])
}

// Connected reports whether two VMs can exchange messages.
func (c *Cluster) Connected(a, b VM) bool {
	return a.DataCentre == b.DataCentre || (!c.partitioned[a.DataCentre] && !c.partitioned[b.DataCentre])
}

// IsDown reports whether an upstream is down.
func (c *Cluster) IsDown(upstream string) bool {
	return c.engines[upstream].down
}

// Load returns the number of running and queued requests of an upstream.
func (c *Cluster) Load(upstream string) int {
	e := c.engines[upstream]
	return e.running + len(e.queue)
}

// Resident reports whether a model is loaded, or being loaded, on an upstream.
func (c *Cluster) Resident(upstream, model string) bool {
	_, ok := c.engines[upstream].resident[model]
	return ok
}

// CanStartLoad reports whether the weight store would start a load at once.
func (c *Cluster) CanStartLoad(now time.Time) bool {
	return c.weightStore.canStart(now)
}

// LoadModel starts to load a model on an upstream and counts a model move. Requests
// for the model wait until its load is complete.
func (c *Cluster) LoadModel(upstream, model string, now time.Time) {
	size := int64(0)
	if m := c.Config.Models.Find(model); m != nil {
		size = m.Bytes
	}
	c.results.moves++
	c.engines[upstream].resident[model] = c.weightStore.start(size, now)
}

// Evict removes a model from an upstream.
func (c *Cluster) Evict(upstream, model string) {
	delete(c.engines[upstream].resident, model)
}

// weightStore simulates the weight store, which limits the rate of loads and the number
// of loads at once.
type weightStore struct {
	limits    kumquathitch.WeightStore
	nextStart time.Time   // Earliest start of the next load according to the rate.
	ends      []time.Time // End of each load, in order of their starts.
}

// canStart reports whether a load requested now would start at once.
func (w *weightStore) canStart(now time.Time) bool {
	busy := len(w.ends) >= w.limits.LoadsAtOnce && w.ends[len(w.ends)-w.limits.LoadsAtOnce].After(now)
	return !busy && !w.nextStart.After(now)
}

// start starts a load as soon as the limits permit and returns when it will be complete.
func (w *weightStore) start(bytes int64, now time.Time) time.Time {
	begin := now
	if w.nextStart.After(begin) {
		begin = w.nextStart
	}
	if len(w.ends) >= w.limits.LoadsAtOnce {
		if free := w.ends[len(w.ends)-w.limits.LoadsAtOnce]; free.After(begin) {
			begin = free
		}
	}
	w.nextStart = begin.Add(time.Duration(float64(time.Second) / w.limits.LoadsPerSecond))
	end := begin.Add(time.Duration(float64(bytes) / loadBytesPerSec * float64(time.Second)))
	w.ends = append(w.ends, end)
	return end
}

// event is a scheduled function of the simulation.
type event struct {
	at  time.Time
	seq int // Orders events with equal times.
	run func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // Only events are pushed.

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// runner is the state of one replay.
type runner struct {
	cluster      *Cluster
	policy       Policy
	queue        events
	seq          int
	active       map[int]*activeRequest
	requestCount int // Number of the last request; also spreads requests over the VMs.
}

// activeRequest is a request that has arrived and not ended.
type activeRequest struct {
	request    *trace.Event
	vm         VM
	upstream   string
	job        *job
	insideRate bool
	charged    float64
	attempts   int
}

// maxAttempts is the number of upstreams that a request may be sent to.
const maxAttempts = 3

// Run replays a trace and returns the measures of a policy.
func Run(config *kumquathitch.Configuration, recorded trace.Events, newPolicy PolicyConstructor) Measures {
	cluster := newCluster(config)
	r := &runner{cluster: cluster, policy: newPolicy(cluster), active: map[int]*activeRequest{}}
	for i := range recorded {
		traceEvent := &recorded[i]
		r.schedule(cluster.Start.Add(time.Duration(traceEvent.AtMS)*time.Millisecond), func(now time.Time) { r.apply(traceEvent, now) })
	}
	length := time.Duration(recorded[len(recorded)-1].AtMS) * time.Millisecond
	for at := time.Duration(0); at < length; at += tickInterval {
		r.schedule(cluster.Start.Add(at), r.policy.Tick)
	}
	for len(r.queue) > 0 {
		e, _ := heap.Pop(&r.queue).(event)
		e.run(e.at)
	}
	return cluster.results.measures(r.policy.Name(), cluster.accelerators(), length)
}

func newCluster(config *kumquathitch.Configuration) *Cluster {
	c := &Cluster{
		Config:      config,
		Start:       time.Unix(0, 0).UTC(),
		engines:     map[string]*engine{},
		upstreams:   map[string]*kumquathitch.Upstream{},
		partitioned: map[string]bool{},
		weightStore: weightStore{limits: config.WeightStore},
		results:     collector{accounts: map[string]*AccountMeasures{}, globalBuckets: map[string]*bucket{}},
	}
	for _, d := range config.DataCentres {
		for range vmsPerDataCentre {
			c.VMs = append(c.VMs, VM{Number: len(c.VMs), DataCentre: d.Name})
		}
	}
	for i := range config.Upstreams {
		u := &config.Upstreams[i]
		if u.Kind != kumquathitch.KindEngine {
			continue
		}
		e := &engine{accelerators: len(u.Accelerators), resident: map[string]time.Time{}}
		for _, m := range u.Models {
			e.resident[m] = c.Start
		}
		c.engines[u.Name] = e
		c.upstreams[u.Name] = u
	}
	for _, a := range config.Accounts {
		c.results.accounts[a.Name] = &AccountMeasures{Account: a.Name}
		c.results.globalBuckets[a.Name] = &bucket{rate: a.Rate, burst: a.Burst, updatedAt: c.Start}
	}
	return c
}

func (c *Cluster) accelerators() int {
	n := 0
	for _, e := range c.engines {
		n += e.accelerators
	}
	return n
}

func (r *runner) schedule(at time.Time, run func(now time.Time)) {
	r.seq++
	heap.Push(&r.queue, event{at: at, seq: r.seq, run: run})
}

func (r *runner) apply(traceEvent *trace.Event, now time.Time) {
	switch traceEvent.Kind {
	case trace.KindRequest:
		r.arrive(traceEvent, now)
	case trace.KindUpstreamLost:
		r.takeDown(traceEvent.Upstream, now)
	case trace.KindUpstreamBack:
		r.cluster.engines[traceEvent.Upstream].down = false
	case trace.KindDataCentreCut:
		r.cluster.partitioned[traceEvent.DataCentre] = true
	case trace.KindDataCentreHealed:
		delete(r.cluster.partitioned, traceEvent.DataCentre)
	}
}

// arrive counts a request and starts its admission on one of the VMs of its data centre.
func (r *runner) arrive(request *trace.Event, now time.Time) {
	r.requestCount++
	a := &activeRequest{request: request, vm: r.pickVM(request.DataCentre)}
	tokens := float64(request.PromptTokens + request.OutputTokens)
	account := r.cluster.results.accounts[request.Account]
	account.Requests++
	a.insideRate = r.cluster.results.globalBuckets[request.Account].take(tokens, now)
	if a.insideRate {
		account.InsideRate++
	}
	a.charged = tokens
	a.job = &job{
		number: r.requestCount, model: request.Model, prefix: request.Prefix, prompt: request.PromptTokens, output: request.OutputTokens, arrived: now,
	}
	r.admit(a, false, now)
}

// admitInterval is the time between two attempts to admit a request that waits for tokens.
const admitInterval = 50 * time.Millisecond

func (r *runner) admit(a *activeRequest, retry bool, now time.Time) {
	if r.policy.Admit(a.vm, a.request.Account, a.charged, retry, now) {
		r.active[a.job.number] = a
		r.send(a, now)
		return
	}
	next := now.Add(admitInterval)
	if !next.After(a.job.arrived.Add(r.policy.MaxAdmissionWait())) {
		r.schedule(next, func(now time.Time) { r.admit(a, true, now) })
		return
	}
	if a.insideRate {
		r.cluster.results.accounts[a.request.Account].RefusedInsideRate++
	}
}

func (r *runner) pickVM(dataCentre string) VM {
	var here []VM
	for _, vm := range r.cluster.VMs {
		if vm.DataCentre == dataCentre {
			here = append(here, vm)
		}
	}
	return here[r.requestCount%len(here)]
}

// send sends a request to the upstream that the policy chooses, or fails it.
func (r *runner) send(a *activeRequest, now time.Time) {
	a.attempts++
	name, ok := r.policy.Choose(a.vm, a.request, now)
	if !ok || a.attempts > maxAttempts {
		r.fail(a, now)
		return
	}
	a.upstream = name
	e := r.cluster.engines[name]
	if e.down || !r.cluster.Reachable(a.vm, name) {
		r.policy.Done(a.vm, a.request, Outcome{Upstream: name, UpstreamLost: true}, now)
		r.send(a, now)
		return
	}
	if e.running >= e.capacity() {
		e.queue = append(e.queue, a.job)
		return
	}
	r.start(a, e, now)
}

func (r *runner) start(a *activeRequest, e *engine, now time.Time) {
	end := e.start(a.job, now)
	upstream, attempts := a.upstream, a.attempts
	r.schedule(end, func(now time.Time) {
		if a.upstream == upstream && a.attempts == attempts { // Otherwise the request was sent elsewhere meanwhile.
			r.finish(a, e, now)
		}
	})
}

func (r *runner) finish(a *activeRequest, e *engine, now time.Time) {
	e.running--
	delete(r.active, a.job.number)
	r.policy.Done(a.vm, a.request, Outcome{Upstream: a.upstream, FirstToken: a.job.firstToken}, now)
	if a.insideRate && a.job.firstToken.Sub(a.job.arrived) <= FirstTokenTarget && a.job.interval <= TokenIntervalTarget {
		r.cluster.results.accounts[a.request.Account].Attained++
	}
	if len(e.queue) > 0 {
		waiting := e.queue[0]
		e.queue = e.queue[1:]
		r.start(r.active[waiting.number], e, now)
	}
}

func (r *runner) fail(a *activeRequest, now time.Time) {
	delete(r.active, a.job.number)
	r.policy.Refund(a.vm, a.request.Account, a.charged, now)
	r.cluster.results.accounts[a.request.Account].Failed++
}

// takeDown takes an upstream down and resends its requests, in the order of their
// numbers.
func (r *runner) takeDown(name string, now time.Time) {
	e := r.cluster.engines[name]
	e.down = true
	e.running = 0
	e.queue = nil
	e.prefixes = nil
	for number := range r.requestCount + 1 {
		if a := r.active[number]; a != nil && a.upstream == name {
			r.policy.Done(a.vm, a.request, Outcome{Upstream: name, UpstreamLost: true}, now)
			r.send(a, now)
		}
	}
}
