package fleet_test

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

// callKind is a kind of call in a played load.
type callKind struct {
	priority  int
	objective time.Duration
	deadline  time.Duration
	run       time.Duration // On average; runs differ as they do on engines.
	model     string
	rate      func(at time.Duration) float64 // Calls per second.
}

// served counts what the callers of a kind got.
type served struct{ calls, inTime, late, refused, returned int }

func (s served) share() float64 { return float64(s.inTime) / float64(max(1, s.calls)) }

// playedEngine runs calls in the order in which they arrive.
type playedEngine struct {
	slots, running int
	speed          float64
	queue          []func()
}

// play is a load in virtual time: VMs ask the scheduler for engines with few slots.
type play struct {
	scheduler  *fleet.GlobalScheduler
	engines    map[string]*playedEngine
	now        time.Duration
	events     eventQueue
	random     *rand.Rand
	vms        [3]map[string]int
	observed   [3][]kumquathitch.EngineResponse
	served     map[string]*served
	nextTicket uint64
	longest    int  // Most calls that waited for a turn.
	lost       bool // The scheduler forgets everything every two seconds.
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (p *play) at(delay time.Duration, do func()) { heap.Push(&p.events, event{p.now + delay, do}) }

// rankedDeployment has routes with the priorities of the kinds.
func rankedDeployment(kinds map[string]callKind) *kumquathitch.Deployment {
	d := &kumquathitch.Deployment{Version: 1, Services: kumquathitch.Services{{Name: "llm", Engine: &kumquathitch.EngineSpec{KVCapacityTokens: 1 << 20}}}}
	for name, kind := range kinds {
		d.Routes = append(d.Routes, kumquathitch.DeploymentRoute{Name: name, Priority: kind.priority, LatencyObjective: kind.objective, Shares: kumquathitch.ServiceShares{{Service: "llm", Weight: 1}}})
	}
	return d
}

// playLoad plays twenty seconds of calls at engines of eight slots with the given speeds.
func playLoad(speeds []float64, kinds map[string]callKind, change func(*play)) *play {
	p := &play{engines: map[string]*playedEngine{}, random: rand.New(rand.NewPCG(1, 2)), served: map[string]*served{}}
	f := fleet.NewFleet("entry-0", "a")
	for i, speed := range speeds {
		id := string(rune('a' + i))
		f.Put(newEngine(id, 1, "m1", "m2"), start)
		p.engines[id] = &playedEngine{slots: 8, speed: speed}
	}
	renew := func() {
		p.scheduler = fleet.NewGlobalScheduler(f)
		p.scheduler.Configure(rankedDeployment(kinds))
	}
	renew()
	for i := range p.vms {
		p.vms[i] = map[string]int{}
	}
	if change != nil {
		change(p)
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		p.served[name] = &served{}
		p.at(0, func() { p.arrive(name, kinds[name]) })
	}
	for at := time.Duration(0); at < 40*time.Second; at += 2 * time.Second {
		p.at(at, func() {
			if p.lost {
				renew()
			}
		})
	}
	for len(p.events) > 0 {
		next := heap.Pop(&p.events).(event)
		p.now = next.at
		next.do()
	}
	return p
}

// arrive starts a call, and plans the next one of its kind.
func (p *play) arrive(name string, kind callKind) {
	if p.now > 20*time.Second {
		return
	}
	rate := kind.rate(p.now)
	p.at(time.Duration(p.random.ExpFloat64()/max(rate, 0.1)*float64(time.Second)), func() { p.arrive(name, kind) })
	if rate > 0 {
		p.served[name].calls++
		p.nextTicket++
		p.schedule(&playedCall{kind: kind, result: p.served[name], ticket: p.nextTicket, vm: p.random.IntN(len(p.vms)), run: time.Duration(p.random.ExpFloat64() * float64(kind.run)), first: p.now, received: p.now})
	}
}

type playedCall struct {
	kind            callKind
	result          *served
	ticket          uint64
	vm              int
	run             time.Duration
	first, received time.Duration // First arrival at the fleet, and arrival at the VM.
	refusals        int
}

func (p *play) schedule(c *playedCall) {
	patience := max(2*time.Second, 4*c.kind.objective)
	request := &kumquathitch.ScheduleRequest{
		From: string(rune('A' + c.vm)), DataCentre: "a", Service: "llm", Model: c.kind.model, Tokens: 200, OutputTokens: 200,
		Priority: c.kind.priority, LatencyObjective: c.kind.objective, FirstByteLimit: max(time.Millisecond, c.received+c.kind.objective-p.now), InFlight: p.vms[c.vm],
		Ticket: c.ticket, Content: c.ticket, Waited: p.now - c.received, Patience: c.received + min(patience, c.kind.deadline*6/10) - p.now, ReturnIn: c.kind.deadline / 3,
		Observed: p.observed[c.vm],
	}
	p.observed[c.vm] = nil
	now := start.Add(p.now)
	response := p.scheduler.Schedule(request, now)
	waiting := 0
	for _, n := range p.scheduler.Waiting(now) {
		waiting += n
	}
	p.longest = max(p.longest, waiting)
	switch {
	case response.Deferred:
		p.at(response.Wait, func() { p.schedule(c) })
	case response.Instance == "" && c.refusals > 0:
		c.result.refused++
	case response.Instance == "":
		c.refusals++
		c.result.returned++
		p.at(response.Wait, func() { c.received = p.now; p.schedule(c) })
	default:
		p.vms[c.vm][response.Instance]++
		p.at(response.Wait, func() { p.enqueue(c, response) })
	}
}

func (p *play) enqueue(c *playedCall, response kumquathitch.ScheduleResponse) {
	engine, sent := p.engines[response.Instance], p.now
	run := func() {
		engine.running++
		begun := p.now + time.Duration(20/engine.speed)*time.Millisecond
		if begun <= c.first+c.kind.objective {
			c.result.inTime++
		} else {
			c.result.late++
		}
		p.at(begun-p.now+time.Duration(float64(c.run)/engine.speed), func() {
			engine.running--
			if p.vms[c.vm][response.Instance]--; p.vms[c.vm][response.Instance] == 0 {
				delete(p.vms[c.vm], response.Instance)
			}
			p.observed[c.vm] = append(p.observed[c.vm], kumquathitch.EngineResponse{
				Instance: response.Instance, Service: "llm", Model: c.kind.model, PrefillTokens: response.PrefillTokens,
				Priority: c.kind.priority, Events: int(c.run / (20 * time.Millisecond)), FirstEvent: begun - sent, Run: p.now - begun,
			})
			engine.next()
		})
	}
	engine.queue = append(engine.queue, run)
	engine.next()
}

// next starts the calls for which the engine has slots.
func (e *playedEngine) next() {
	for e.running < e.slots && len(e.queue) > 0 {
		run := e.queue[0]
		e.queue = e.queue[1:]
		run()
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is a rate that rises from the sixth second to the twelfth.
func burst(calm, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 6*time.Second && at < 12*time.Second {
			return high
		}
		return calm
	}
}

// competingKinds are urgent calls and patient ones. Four engines end 16 of their runs a second.
func competingKinds(urgent func(time.Duration) float64, patient float64) map[string]callKind {
	return map[string]callKind{
		"urgent":  {priority: 0, objective: 500 * time.Millisecond, deadline: 15 * time.Second, run: 2 * time.Second, model: "m1", rate: urgent},
		"patient": {priority: 2, objective: 4 * time.Second, deadline: 15 * time.Second, run: 2 * time.Second, model: "m2", rate: steady(patient)},
	}
}

// TestUrgentBurstBesidePatientCalls guards against urgent calls that are refused while
// patient ones take the slots, and against patient ones that are lost for a short burst.
func TestUrgentBurstBesidePatientCalls(t *testing.T) {
	p := playLoad([]float64{1, 1, 1, 1}, competingKinds(burst(4, 13), 7), nil)
	urgent, patient := p.served["urgent"], p.served["patient"]
	t.Logf("urgent %+v patient %+v longest queue %d", *urgent, *patient, p.longest)
	must.Greater(t, 0.95, urgent.share())
	must.Greater(t, 0.7, patient.share())
	must.Less(t, 0.05*float64(patient.calls), float64(patient.refused))
}

// TestOverloadStarvesNoPriority guards against a priority that gets nothing for as long as
// more urgent calls alone exceed the slots, and against a queue without a bound.
func TestOverloadStarvesNoPriority(t *testing.T) {
	p := playLoad([]float64{1, 1, 1, 1}, competingKinds(steady(25), 6), nil)
	urgent, patient := p.served["urgent"], p.served["patient"]
	t.Logf("urgent %+v patient %+v longest queue %d", *urgent, *patient, p.longest)
	must.Greater(t, 0.4, urgent.share())
	must.Greater(t, 0.05, patient.share())
	must.LessEq(t, 32, p.longest) // Half of the slots, for each of two models.
}

// TestUnevenEngines guards against waits that are estimated by the mean speed of engines
// that differ: calls would be late on the slow ones.
func TestUnevenEngines(t *testing.T) {
	p := playLoad([]float64{0.5, 0.7, 1.3, 1.6}, competingKinds(steady(11), 3), nil)
	t.Logf("urgent %+v patient %+v", *p.served["urgent"], *p.served["patient"])
	must.Greater(t, 0.9, p.served["urgent"].share())
	must.Greater(t, 0.7, p.served["patient"].share())
}

// TestLostSchedulerLosesNoCall guards against calls that wait for ever, or are refused,
// because the scheduler that knew their place is lost.
func TestLostSchedulerLosesNoCall(t *testing.T) {
	p := playLoad([]float64{1, 1, 1, 1}, competingKinds(burst(4, 13), 7), func(p *play) { p.lost = true })
	for name, s := range p.served {
		t.Logf("%s %+v", name, *s)
		must.Eq(t, s.calls, s.inTime+s.late+s.refused)
		must.Less(t, 0.05*float64(s.calls), float64(s.refused))
	}
}

// TestRefusedCallersComeBackInTurn guards against callers who all come back at once, and
// against one who comes back in time and finds that new callers took the turn.
func TestRefusedCallersComeBackInTurn(t *testing.T) {
	f := fleet.NewFleet("entry-0", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	scheduler := fleet.NewGlobalScheduler(f)
	scheduler.Configure(rankedDeployment(competingKinds(steady(1), 1)))
	ask := func(content uint64, at time.Time) kumquathitch.ScheduleResponse {
		request := scheduleRequest("entry-1", map[string]int{"one": 12}) // Eight slots.
		request.Content, request.Ticket, request.Tokens, request.Patience, request.ReturnIn = content, content, 10, 2*time.Second, 5*time.Second
		request.LatencyObjective, request.FirstByteLimit = 500*time.Millisecond, 500*time.Millisecond
		return scheduler.Schedule(request, at)
	}
	turns := map[time.Duration]int{}
	returning, returnsAt := uint64(0), time.Duration(0)
	for content := uint64(1); content <= 200; content++ {
		if response := ask(content, start); response.EnginesFull {
			must.Between(t, 2*time.Second, response.Wait, 5*time.Second)
			turns[response.Wait.Truncate(100*time.Millisecond)]++
			if returning == 0 {
				returning, returnsAt = content, response.Wait
			}
		}
	}
	must.Greater(t, 10, len(turns))
	must.Eq(t, "", ask(1000, start.Add(returnsAt)).Instance)
	must.Eq(t, "one", ask(returning, start.Add(returnsAt)).Instance)
}

// TestMemoryOfEngineIsCounted guards against calls that an engine has slots for, but no
// memory: it would preempt one of them and read its prompt anew.
func TestMemoryOfEngineIsCounted(t *testing.T) {
	f := fleet.NewFleet("entry-0", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	scheduler := fleet.NewGlobalScheduler(f)
	deployment := rankedDeployment(competingKinds(steady(1), 1))
	deployment.Services[0].Engine.KVCapacityTokens = 5000
	scheduler.Configure(deployment)
	large := func(loads map[string]int, at time.Time) kumquathitch.ScheduleResponse {
		request := scheduleRequest("entry-1", loads)
		request.Tokens, request.OutputTokens = 1000, 500
		return scheduler.Schedule(request, at)
	}
	for n := range 3 {
		must.Eq(t, "one", large(map[string]int{"one": n}, start.Add(time.Duration(n)*time.Second)).Instance)
	}
	f.Put(newEngine("two", 2, "m1"), start)
	later := start.Add(10 * time.Second)
	scheduler.SetVMLoads("entry-2", map[string]int{"two": 6}, later)
	must.Eq(t, "two", large(map[string]int{"one": 3}, later).Instance)
}

// TestLateCallsWaitForPrompts guards against calls that are late in any case and delay
// those in time, because their prompts are read first.
func TestLateCallsWaitForPrompts(t *testing.T) {
	f := fleet.NewFleet("entry-0", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	scheduler := fleet.NewGlobalScheduler(f)
	scheduler.Configure(rankedDeployment(competingKinds(steady(1), 1)))
	late := func(at time.Time) kumquathitch.ScheduleResponse {
		request := scheduleRequest("entry-1", map[string]int{"one": 2})
		request.Ticket, request.FirstByteLimit, request.MaxHold, request.Patience = 9, time.Millisecond, 0, 2*time.Second
		return scheduler.Schedule(request, at)
	}
	must.Eq(t, "one", scheduler.Schedule(scheduleRequest("entry-1", nil), start).Instance)
	must.Eq(t, "one", scheduler.Schedule(scheduleRequest("entry-1", nil), start).Instance)
	must.True(t, late(start.Add(30*time.Millisecond)).Deferred) // 100 ms of prompts are to be read.
	must.Eq(t, "one", late(start.Add(time.Second)).Instance)
}
