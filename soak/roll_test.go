package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/standin"
)

const (
	rollVMCount     = 6
	rollEngineCount = 4
	// rollLead is the time before the first SIGTERM. Connections that were opened in it are
	// older than 5 s when the VM closes its idle ones.
	rollLead       = 3500 * time.Millisecond
	configInterval = 400 * time.Millisecond
)

// drainMoments are the times after SIGTERM at which a stopping VM refuses new calls and closes
// idle connections, closes its listener, and closes the other connections, when it is quiet.
var drainMoments = []time.Duration{2600 * time.Millisecond, 2900 * time.Millisecond, 3000 * time.Millisecond, 3200 * time.Millisecond, 3300 * time.Millisecond, 7350 * time.Millisecond, 7500 * time.Millisecond}

// rollProfile sets what engines and callers do during a roll. Shares are those of all streams.
type rollProfile struct {
	name          string
	long          float64 // Streams of several seconds.
	lateFirst     float64 // Streams whose first event is late.
	silent        float64 // Streams that fall silent for 1 to 4 s.
	refuseResumes float64 // Of the silent ones, those that no other engine resumes.
	queues        float64 // Of the silent ones, those whose resumed call waits in a queue.
	slots         int     // Of each engine.
	callers       int     // Of each VM.
	leaves        bool    // Callers leave before the VM closes connections, so that it becomes quiet.
	moments       []time.Duration
	atMoments     int  // Calls at each of the moments after SIGTERM.
	jitter        int  // Time in ms around a moment.
	longAtStop    int  // Long streams that begin from 2 s before SIGTERM to 2.6 s after it.
	early         bool // Callers send the start of their next call early, and begin to read late.
	freezes       bool // VMs run for 40 of each 100 ms.
}

// mixedRoll plays all but engines that refuse to resume a silent stream.
var mixedRoll = rollProfile{name: "mixed", long: 0.1, lateFirst: 0.3, silent: 0.15, slots: 64, callers: 8, moments: drainMoments, atMoments: 10, jitter: 40, longAtStop: 16}

// rollProfiles isolate one way each to lose a stream.
var rollProfiles = []rollProfile{
	mixedRoll,
	{name: "quiet", lateFirst: 0.1, leaves: true, slots: 64, callers: 8, moments: drainMoments, atMoments: 24, jitter: 40},
	{name: "connections", slots: 64, callers: 16, moments: drainMoments, atMoments: 40, jitter: 40},
	{name: "idle", slots: 64, callers: 1, moments: drainMoments[:1], atMoments: 300, jitter: 4},
	{name: "waiting", long: 0.5, lateFirst: 1, slots: 64, callers: 6, longAtStop: 40},
	{name: "long", long: 0.3, slots: 64, callers: 12, moments: drainMoments, atMoments: 10, jitter: 40, longAtStop: 60},
	{name: "early", slots: 64, callers: 12, longAtStop: 20, early: true},
	{name: "frozen", long: 0.2, lateFirst: 0.2, slots: 64, callers: 8, moments: drainMoments, atMoments: 10, jitter: 100, longAtStop: 24, freezes: true},
}

// silentRoll has engines fall silent and go on, while no other engine resumes their streams.
var silentRoll = rollProfile{name: "silent", long: 0.1, lateFirst: 0.1, silent: 0.4, refuseResumes: 0.7, slots: 64, callers: 6, longAtStop: 24}

// queuedRoll has engines fall silent and go on, while the other engines queue their streams.
var queuedRoll = rollProfile{name: "queued", long: 0.1, lateFirst: 0.1, silent: 0.4, queues: 0.7, slots: 64, callers: 6, longAtStop: 24}

// fullRoll has engines fall silent and go on, while the other engines are often full.
var fullRoll = rollProfile{name: "full", long: 0.3, lateFirst: 0.1, silent: 0.4, slots: 12, callers: 12, longAtStop: 24}

// roll is a cluster whose VMs are stopped with SIGTERM and started again, while callers go on.
type roll struct {
	*cluster
	profile rollProfile
	seed    uint64
	engines []*rollEngine

	mutex sync.Mutex
	stops map[*entryVM][]time.Time // SIGTERMs, in order.
	calls []rollCall
}

// plannedStop is a SIGTERM.
type plannedStop struct {
	vm *entryVM
	at time.Time
}

// TestSoakRollKeepsStreams guards against streams that end without a whole answer because
// VMs are stopped for a planned restart. CI plays the mixed profile only.
func TestSoakRollKeepsStreams(t *testing.T) {
	runRolls(t, rollProfiles)
}

// TestSoakRollKeepsSilentStreams is TestSoakRollKeepsStreams with engines that fall silent
// and go on.
func TestSoakRollKeepsSilentStreams(t *testing.T) {
	runRolls(t, []rollProfile{silentRoll, queuedRoll, fullRoll})
}

// runRolls plays the seeds that KUMQUATHITCH_SOAK_SEEDS names with each profile, or one seed
// with the first profile.
func runRolls(t *testing.T, profiles []rollProfile) {
	t.Helper()
	if !seedsAreNamed() {
		profiles = profiles[:1]
	}
	for _, p := range profiles {
		t.Run(p.name, func(t *testing.T) {
			runSeeds(t, 1, func(t *testing.T, seed uint64) { runRoll(t, p, seed) })
		})
	}
}

func runRoll(t *testing.T, p rollProfile, seed uint64) {
	r := newRoll(t, p, seed)
	random := rand.New(rand.NewPCG(seed, 10))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	plan := r.planStops(random, time.Now().Add(rollLead))
	started, ended := 0, make(chan struct{})
	start := func(run func(ctx context.Context)) {
		started++
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	start(r.changeConfiguration)
	for i, v := range r.vms {
		for n := range p.callers {
			start(r.newCaller(fmt.Sprintf("loop%d-%d", i, n), v).callRepeatedly)
		}
		if p.freezes {
			start(func(ctx context.Context) { freeze(ctx, v) })
		}
	}
	for i, s := range plan {
		r.startCallersAround(random, fmt.Sprintf("stop%d", i), s, start)
	}
	r.stopAll(ctx, plan)
	stop()
	for range started {
		<-ended
	}
	for _, v := range r.vms {
		v.kill()
	}
	r.awaitEngines()
	r.check()
}

func newRoll(t *testing.T, p rollProfile, seed uint64) *roll {
	t.Helper()
	r := &roll{cluster: &cluster{t: t, store: standin.NewKeyspace(clock.NewSystem())}, profile: p, seed: seed, stops: map[*entryVM][]time.Time{}}
	server := httptest.NewServer(standin.NewKeyspaceHandler(r.store))
	t.Cleanup(server.Close)
	for i := range rollEngineCount {
		engine := &rollEngine{Instance: standin.NewInstance(fmt.Sprintf("i-%d", i), "llm", "m"), profile: p, seed: seed, runs: map[string][]engineRun{}}
		engine.ModelMB = map[string]float64{"m": 90}
		listener := httptest.NewServer(engine)
		t.Cleanup(listener.Close)
		r.engines = append(r.engines, engine)
		r.store.Put("servers/"+engine.ID, engine.registration(listener.Listener.Addr().String()))
	}
	r.writeRollConfiguration()
	r.startVMs(rollVMCount, server.Listener.Addr().String())
	return r
}

// writeRollConfiguration writes the next version of the configuration, with a route of its own.
func (r *roll) writeRollConfiguration() {
	r.version++
	r.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"stock","host":"a.example","path_prefix":"/stock/","kind":"stream","resumable":true,"priority":0,"timeout_ms":%d,"target_latency_ms":2000,"gap_target_ms":250,"service":"llm","max_attempts":2},
 {"name":"new","host":"a.example","path_prefix":"/new-%d/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"llm","max_attempts":2}],
 "services":[{"name":"llm","max_conns":360,"engine":{"slots":%d,"weights_mb":200,"adapter_slots":8,"loads_per_s":5,"models":[{"name":"m","weights_mb":90,"load_s":1}]}}],
 "tenants":[{"name":"crew","api_keys":["common"],"unit":"token","plain_tokens":10,"rate_per_s":10000000,"burst":10000000}]}`,
		r.version, stockTimeout.Milliseconds(), r.version, r.profile.slots))
}

// changeConfiguration writes configurations until ctx ends.
func (r *roll) changeConfiguration(ctx context.Context) {
	for waitUntil(ctx, time.Now().Add(configInterval)) {
		r.writeRollConfiguration()
	}
}

// planStops plans a series: the leader and another VM at once, a third one within a second,
// and two more while these drain. One VM goes on.
func (r *roll) planStops(random *rand.Rand, first time.Time) []plannedStop {
	r.t.Helper()
	order := random.Perm(rollVMCount)
	leader := ""
	r.waitFor("a leader", func() bool {
		item, err := r.store.Read(r.t.Context(), "kumquathitch/leader")
		var m kumquathitch.Member
		if err != nil || json.Unmarshal(item.Value, &m) != nil {
			return false
		}
		leader = m.Name
		return true
	})
	for i, n := range order {
		if r.vms[n].name == leader {
			order[0], order[i] = order[i], order[0]
		}
	}
	second := first.Add(time.Duration(2000+random.IntN(2000)) * time.Millisecond)
	at := []time.Time{first, first, first.Add(time.Duration(random.IntN(1000)) * time.Millisecond), second, second.Add(time.Duration(random.IntN(1000)) * time.Millisecond)}
	plan := make([]plannedStop, len(at))
	for i := range at {
		plan[i] = plannedStop{vm: r.vms[order[i]], at: at[i]}
	}
	return plan
}

// freeze lets the process of a VM run for 40 of each 100 ms, as a quota of processor time does.
func freeze(ctx context.Context, v *entryVM) {
	for waitUntil(ctx, time.Now().Add(40*time.Millisecond)) {
		v.signal(syscall.SIGSTOP)
		waitUntil(ctx, time.Now().Add(60*time.Millisecond))
		v.signal(syscall.SIGCONT)
	}
}

// stopAll stops the VMs as planned, and starts each again. It returns when all run again.
func (r *roll) stopAll(ctx context.Context, plan []plannedStop) {
	ended := make(chan struct{})
	for _, s := range plan {
		go func() {
			defer func() { ended <- struct{}{} }()
			waitUntil(ctx, s.at)
			r.mutex.Lock()
			r.stops[s.vm] = append(r.stops[s.vm], time.Now())
			r.mutex.Unlock()
			r.restart(s.vm, s.vm.terminate)
		}()
	}
	for range plan {
		<-ended
	}
}

// startCallersAround starts callers whose calls meet what a stopping VM does.
func (r *roll) startCallersAround(random *rand.Rand, name string, s plannedStop, start func(run func(ctx context.Context))) {
	for _, moment := range r.profile.moments {
		for n := range r.profile.atMoments {
			at := s.at.Add(moment + time.Duration(random.IntN(2*r.profile.jitter*1000)-r.profile.jitter*1000)*time.Microsecond)
			age := time.Duration(random.IntN(int(rollLead+2*time.Second)/int(time.Millisecond))) * time.Millisecond
			c := r.newCaller(fmt.Sprintf("%s-%s-%d", name, moment, n), s.vm)
			start(func(ctx context.Context) { c.callAt(ctx, "call", at.Add(-age), at) })
		}
	}
	for n := range r.profile.longAtStop {
		at := s.at.Add(time.Duration(random.IntN(4600)-2000) * time.Millisecond)
		c := r.newCaller(fmt.Sprintf("%s-%d", name, n), s.vm)
		start(func(ctx context.Context) { c.callAt(ctx, "long", at, at) })
	}
}

// callAt opens a connection at a time and makes a call at another one. A caller that keeps
// connections makes one call before.
func (c *rollCaller) callAt(ctx context.Context, prefix string, openAt, callAt time.Time) {
	defer c.close()
	if !waitUntil(ctx, openAt) || !c.open(ctx) {
		return
	}
	if c.kept && callAt.Sub(openAt) > time.Second {
		c.call(ctx, "warm")
	}
	if c.conn != nil && waitUntil(ctx, callAt.Add(-c.conn.delay)) {
		c.call(ctx, prefix)
	}
}

// newCaller returns a caller whose draws depend on the seed and its name.
func (r *roll) newCaller(name string, v *entryVM) *rollCaller {
	sum := uint64(0)
	for _, b := range []byte(name) {
		sum = sum*131 + uint64(b)
	}
	random := rand.New(rand.NewPCG(r.seed, sum))
	kind := random.IntN(3)
	return &rollCaller{roll: r, name: name, vm: v, random: random, kept: kind > 0, stubborn: kind > 1}
}

func (r *roll) record(call rollCall) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, call)
}

// avoids reports whether repeating callers stay away from a VM, since it stops.
func (r *roll) avoids(v *entryVM) bool {
	if !r.profile.leaves {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stop, stopped := r.stopBefore(v, time.Now())
	return stopped && time.Since(stop) < shutdownGrace && time.Since(stop) > drainMoments[0]-400*time.Millisecond
}

// stopBefore returns the last SIGTERM of a VM before a time. The caller holds the mutex.
func (r *roll) stopBefore(v *entryVM, before time.Time) (time.Time, bool) {
	for i := len(r.stops[v]) - 1; i >= 0; i-- {
		if stop := r.stops[v][i]; stop.Before(before) {
			return stop, true
		}
	}
	return time.Time{}, false
}

// awaitEngines waits until no engine works on a call.
func (r *roll) awaitEngines() {
	r.waitFor("the engines to end their runs", func() bool {
		for _, engine := range r.engines {
			engine.mutex.Lock()
			running := engine.running
			engine.mutex.Unlock()
			if running > 0 {
				return false
			}
		}
		return true
	})
}
