package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

const (
	coldTime    = 3 * time.Second
	coldOverage = 1.5
	coldSlack   = 5.0
)

func coldServices(perSecond float64) kumquathitch.Services {
	return kumquathitch.Services{{Name: "llm", ColdTime: coldTime, ColdPerSecond: perSecond}}
}

func coldFleet(vm string, vms []string, instances ...kumquathitch.Instance) *fleet.Fleet {
	f := fleet.NewFleet(vm, "a")
	f.SetMemberCount(len(vms), true)
	f.SetMemberNames(vms)
	f.SetColdRates(coldServices(10), coldOverage, coldSlack)
	for i := range instances {
		f.Put(instances[i], start)
	}
	return f
}

// coldEngine returns an engine whose entry states that it is cold until a time, or that it is not.
func coldEngine(id string, revision uint64, until time.Time) kumquathitch.Instance {
	engine := newEngine(id, revision, "m1")
	engine.Slots, engine.ColdStated, engine.ColdUntil = 24, true, until
	return engine
}

// coldCluster is a set of VMs that call cold engines, with the times at which calls arrive.
type coldCluster struct {
	random     *rand.Rand // Many draws of rapid would take seconds.
	slowest    int        // Milliseconds until a VM sends a call.
	names      []string
	fleets     []*fleet.Fleet
	schedulers []*fleet.GlobalScheduler
	arrivals   map[string][]time.Time
}

func newColdCluster(t *rapid.T, vms, engines int) *coldCluster {
	seed := rapid.Uint64().Draw(t, "seed")
	c := &coldCluster{slowest: 300, random: rand.New(rand.NewPCG(seed, 1)), arrivals: map[string][]time.Time{}}
	for i := range vms {
		c.names = append(c.names, fmt.Sprint("entry-", i))
	}
	var instances []kumquathitch.Instance
	for i := range engines {
		instances = append(instances, coldEngine(fmt.Sprint("engine-", i), 1, start.Add(time.Minute)))
	}
	for _, name := range c.names {
		c.fleets = append(c.fleets, coldFleet(name, c.names, instances...))
	}
	c.schedulers = []*fleet.GlobalScheduler{fleet.NewGlobalScheduler(c.fleets[0]), fleet.NewGlobalScheduler(c.fleets[1])}
	return c
}

func (c *coldCluster) draw(most int) int { return c.random.IntN(most + 1) }

// call sends a call of a VM. Unless a scheduler answers in time, the VM chooses the engine.
func (c *coldCluster) call(vm int, answered bool, now time.Time) {
	f, scheduler := c.fleets[vm], c.schedulers[c.draw(len(c.schedulers)-1)]
	late := answered && c.draw(9) == 0 // The scheduler counts the call, and the VM no longer waits.
	if answered {
		request := scheduleRequest(c.names[vm], f.LocalLoads())
		request.FirstByteLimit = 0
		response := scheduler.Schedule(request, now)
		if response.Instance != "" && !late {
			sendAt := now.Add(response.Wait)
			assignment := kumquathitch.Assignment{InstanceID: response.Instance, Limited: response.Limited, SendAt: sendAt, SendBy: sendAt.Add(response.SendWithin)}
			if choice, ok := f.ChooseAssigned(criteriaFor("m1"), assignment, now); ok {
				c.send(f, choice, sendAt)
			}
		}
		if !late {
			return
		}
	}
	choice, err := f.Choose(criteriaFor("m1"), now)
	if err != nil {
		return
	}
	until, admitted := now, !choice.Limited
	switch {
	case choice.Limited && answered && !late:
		admit := kumquathitch.AdmitRequest{ID: choice.Instance.ID, Service: "llm", Incarnation: choice.Instance.Incarnation()}
		response := scheduler.Admit(&admit, now)
		until, admitted = now.Add(response.Wait), response.Admitted
	case choice.Limited:
		until, admitted = f.AdmitByShare(&choice.Instance, now)
	}
	if admitted {
		c.send(f, choice, now)
		return
	}
	f.Defer(choice, until)
	f.Done(criteriaFor("m1"), choice, kumquathitch.SendResult{Outcome: kumquathitch.SendCancelled, Ended: now})
}

// send has the call arrive some time later, unless that is too late to be sent.
func (c *coldCluster) send(f *fleet.Fleet, choice kumquathitch.InstanceChoice, sendAt time.Time) {
	sent := sendAt.Add(time.Duration(c.draw(c.slowest)) * time.Millisecond)
	if f.Accepts(choice, sent) {
		id := choice.Instance.ID
		c.arrivals[id] = append(c.arrivals[id], sent.Add(time.Duration(1+c.draw(99))*time.Millisecond))
	}
	f.Done(criteriaFor("m1"), choice, kumquathitch.SendResult{Outcome: kumquathitch.SendAnswered, FirstByte: sent, Ended: sent})
}

// mostInOneSecond returns the highest number of calls that arrived at one engine in a second.
func (c *coldCluster) mostInOneSecond() (most, total int) {
	for _, arrivals := range c.arrivals {
		slices.SortFunc(arrivals, time.Time.Compare)
		total += len(arrivals)
		first := 0
		for i := range arrivals {
			for arrivals[i].Sub(arrivals[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most, total
}

// TestColdEnginesGetFewCalls guards against more calls of all VMs in any second than cold engines
// take, when 30 of them come back at once: with two VMs that count calls, with schedulers that
// start anew, answer late or not at all, and with VMs that send late.
func TestColdEnginesGetFewCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines, vms, step = 30, 20, 20 * time.Millisecond
		c := newColdCluster(t, vms, engines)
		answered, load, until := true, 1, start
		for now := start; now.Before(start.Add(coldTime)); now = now.Add(step) {
			if !now.Before(until) { // Another phase.
				answered, load = c.draw(2) > 0, c.draw(40)
				until = now.Add(time.Duration(200+c.draw(800)) * time.Millisecond)
				if c.draw(3) == 0 {
					c.schedulers[1] = fleet.NewGlobalScheduler(c.fleets[c.draw(vms-1)])
				}
			}
			for range load {
				c.call(c.draw(vms-1), answered, now)
			}
		}
		if most, _ := c.mostInOneSecond(); float64(most) > 10*coldOverage+coldSlack {
			t.Fatalf("%d calls arrived at one cold engine within a second", most)
		}
	})
}

// TestColdEnginesAreUsed guards against leaving what cold engines take unused, with a scheduler
// and without one.
func TestColdEnginesAreUsed(t *testing.T) {
	for _, answered := range []bool{true, false} {
		rapid.Check(t, func(t *rapid.T) {
			c := newColdCluster(t, 20, 4)
			c.slowest = 50
			for now := start; now.Before(start.Add(coldTime)); now = now.Add(20 * time.Millisecond) {
				for range 4 {
					c.call(c.draw(19), answered, now)
				}
			}
			least := 16 // Each of the four VMs that may call an engine does so at least once.
			if answered {
				least = 45 // At 14 a second for each engine it would be at most 56.
			}
			if _, total := c.mostInOneSecond(); total < least {
				t.Fatalf("%d calls arrived, answered: %t", total, answered)
			}
		})
	}
}

// TestNewestStatementOnColdApplies guards against an entry that is read again, an entry that is
// older than a response, and an engine that becomes cold, warm and cold again.
func TestNewestStatementOnColdApplies(t *testing.T) {
	f := coldFleet("entry-1", []string{"entry-1"}, coldEngine("one", 1, start.Add(2*time.Second)))
	cold := func(at time.Duration) int { return f.ColdCount(start.Add(at)) }
	must.Eq(t, 1, cold(1900*time.Millisecond))
	must.Eq(t, 0, cold(2*time.Second))
	f.Put(coldEngine("one", 1, start.Add(4*time.Second)), start.Add(2*time.Second)) // The same entry, decoded later.
	must.Eq(t, 0, cold(2*time.Second))
	f.Put(coldEngine("one", 2, start.Add(9*time.Second)), start.Add(6*time.Second))
	must.Eq(t, 1, cold(6*time.Second))
	f.Put(coldEngine("one", 3, time.Time{}), start.Add(7*time.Second))
	must.Eq(t, 0, cold(7*time.Second))
	instance, _ := f.Instance("one")
	at := start.Add(8 * time.Second)
	f.ResponseStarted(kumquathitch.InstanceChoice{Instance: instance}, kumquathitch.ResponseHead{Received: at, ColdStated: true, ColdUntil: at.Add(3 * time.Second)})
	must.Eq(t, 1, cold(8*time.Second))
	f.Put(coldEngine("one", 4, time.Time{}), at.Add(time.Second)) // Possibly written before the response.
	must.Eq(t, 1, cold(9*time.Second))
	f.Put(coldEngine("one", 4, time.Time{}), at.Add(2500*time.Millisecond)) // The same one, read again.
	must.Eq(t, 1, cold(10900*time.Millisecond))
	report := f.TakeLimits("scheduler", at.Add(time.Second))
	must.Len(t, 1, report)
	other := coldFleet("entry-2", []string{"entry-2"}, coldEngine("one", 4, time.Time{}))
	request := scheduleRequest("entry-1", nil)
	request.Limits = report
	must.Positive(t, fleet.NewGlobalScheduler(other).Schedule(request, at.Add(time.Second)).SendWithin)
	must.Eq(t, 1, other.ColdCount(at.Add(2900*time.Millisecond)))
	restarted := coldEngine("one", 5, time.Time{})
	restarted.Started = at.Add(time.Second)
	f.Put(restarted, at.Add(time.Second))
	must.Eq(t, 0, cold(9*time.Second))
}

// TestUnstatedColdIsBounded guards against calls to a start that does not state whether it is
// cold, and against taking it for cold for ever when its clock differs.
func TestUnstatedColdIsBounded(t *testing.T) {
	engine := newEngine("one", 1, "m1")
	for clock, expected := range map[time.Duration]int{-4 * time.Second: 1, time.Hour: 1, -time.Minute: 0} {
		engine.Started = start.Add(clock)
		f := coldFleet("entry-1", []string{"entry-1"}, engine)
		must.Eq(t, expected, f.ColdCount(start.Add(coldTime-1)))
		must.Eq(t, 0, f.ColdCount(start.Add(coldTime)))
		f.ExpectCold("a", start.Add(time.Minute))
		f.ExpectCold("b", start.Add(2*time.Minute))
		warm := engine
		warm.Revision, warm.ColdStated = 2, true
		f.Put(warm, start.Add(time.Minute+time.Second)) // Possibly written before.
		must.Eq(t, 1, f.ColdCount(start.Add(time.Minute+coldTime-1)))
		must.Eq(t, 0, f.ColdCount(start.Add(2*time.Minute)))
	}
}

// TestLostInstanceMayBeCold guards against probes of all VMs that reach a plain instance at once
// when it comes back before its entry says so, and against taking it for cold without a cold rate.
func TestLostInstanceMayBeCold(t *testing.T) {
	f := coldFleet("entry-1", []string{"entry-1"}, coldEngine("one", 1, time.Time{}))
	choose := func(model string, at time.Duration) kumquathitch.InstanceChoice {
		choice, err := f.Choose(criteriaFor(model), start.Add(at))
		must.NoError(t, err)
		return choice
	}
	choice := choose("m1", 0)
	f.Done(criteriaFor("m1"), choice, sendResult(kumquathitch.SendUnreachable, start)) // Engines come back without models.
	choice = choose("", 0)
	must.False(t, choice.Limited)
	f.Done(criteriaFor(""), choice, sendResult(kumquathitch.SendUnreachable, start))
	choice = choose("", time.Second)
	must.True(t, choice.Limited)
	must.True(t, f.MayBeCold(&choice.Instance, start.Add(time.Second)))
	must.False(t, f.Accepts(choice, choice.SendBy.Add(1)))
	f.Done(criteriaFor(""), choice, sendResult(kumquathitch.SendAnswered, start.Add(time.Second)))
	must.True(t, choose("", 3900*time.Millisecond).Limited)
	must.False(t, choose("", 4*time.Second).Limited)
	f.SetColdRates(kumquathitch.Services{{Name: "llm", ColdPerSecond: 10}}, coldOverage, coldSlack)
	must.False(t, choose("", time.Second).Limited)
}

// TestCallsToColdEngineAreHeldInTurn guards against refusing calls that a cold engine takes
// within the time that they may be held, and against holding them longer.
func TestCallsToColdEngineAreHeldInTurn(t *testing.T) {
	scheduler := fleet.NewGlobalScheduler(coldFleet("entry-1", []string{"entry-1"}, coldEngine("one", 1, start.Add(coldTime))))
	request := scheduleRequest("entry-1", nil)
	request.MaxHold = 500 * time.Millisecond
	first, second, third := scheduler.Schedule(request, start), scheduler.Schedule(request, start), scheduler.Schedule(request, start)
	must.Between(t, 150*time.Millisecond, first.Wait, 250*time.Millisecond)
	must.Between(t, 350*time.Millisecond, second.Wait, 450*time.Millisecond)
	must.True(t, third.EnginesFull)
	must.Eq(t, fleet.ColdCounts{Assigned: 2, Held: 2, Refused: 1}, scheduler.TakeColdCounts())
	later := start.Add(400 * time.Millisecond)
	request.Priority = 2
	must.True(t, scheduler.Schedule(request, later).EnginesFull) // The turn is left to more urgent calls.
	request.Priority = 0
	must.NotEq(t, "", scheduler.Schedule(request, later).Instance)
}

// TestLowerOfBothLimitsApplies guards against a cold instance that gets as many calls as it names
// when warm, and against a named limit that is forgotten while the instance is cold.
func TestLowerOfBothLimitsApplies(t *testing.T) {
	const coldPerSecond = 5
	for named, expected := range map[float64]int{2: 20, 100: 50} {
		limits := fleet.NewCallLimits()
		limits.Learn([]kumquathitch.InstanceLimit{namedLimit("one", named, 0)}, start)
		admitted := 0
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if _, limited, ok := limits.Admit(newEngineIncarnation("one"), coldPerSecond, 0, now); ok {
				must.True(t, limited)
				admitted++
			}
			must.False(t, limits.AdmitsAt(newEngineIncarnation("one"), coldPerSecond, now).IsZero())
		}
		must.Between(t, expected-1, admitted, expected+1)
	}
}
