package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

// newScheduler returns a scheduler over engines that have eight slots and hold model m1.
func newScheduler(engines ...string) *fleet.GlobalScheduler {
	f := fleet.NewFleet("entry-1", "a")
	for _, id := range engines {
		f.Put(newEngine(id, 1, "m1"), start)
	}
	return fleet.NewGlobalScheduler(f)
}

func scheduleRequest(vm string, loads map[string]int) *kumquathitch.ScheduleRequest {
	return &kumquathitch.ScheduleRequest{
		From: vm, DataCentre: "a", Service: "llm", Model: "m1", Tokens: 1000, LatencyObjective: 800 * time.Millisecond,
		GapLimit: 200 * time.Millisecond, MaxHold: 400 * time.Millisecond, FirstByteLimit: 800 * time.Millisecond, InFlight: loads,
	}
}

// TestSchedulerSpreadsCallsOfAllVMs guards against several VMs that send calls to the
// same engine at once because each considers it idle.
func TestSchedulerSpreadsCallsOfAllVMs(t *testing.T) {
	scheduler := newScheduler("one", "two", "three", "four")
	assigned := map[string]int{}
	for _, vm := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		assigned[scheduler.Schedule(scheduleRequest(vm, nil), start).Instance]++
	}
	must.Eq(t, map[string]int{"one": 1, "two": 1, "three": 1, "four": 1}, assigned)
}

// TestSchedulerReplacesReportedLoads guards against calls that are counted twice, and
// against counting calls of a VM that no longer reports.
func TestSchedulerReplacesReportedLoads(t *testing.T) {
	scheduler := newScheduler("one", "two")
	scheduler.SetVMLoads("entry-1", map[string]int{"one": 6}, start)
	must.Eq(t, "two", scheduler.Schedule(scheduleRequest("entry-2", nil), start).Instance)
	next := start.Add(time.Second)
	scheduler.SetVMLoads("entry-1", map[string]int{"one": 6}, next)
	must.Eq(t, "two", scheduler.Schedule(scheduleRequest("entry-3", map[string]int{"two": 4}), next).Instance)
	later := next.Add(3 * time.Second)
	scheduler.ExpireVMs(later)
	must.Eq(t, "one", scheduler.Schedule(scheduleRequest("entry-2", map[string]int{"two": 1}), later).Instance)
}

// TestSchedulerSpacesPrefills guards against concurrent prefill of prompts from
// several VMs, which would pause the streams of the engine for too long.
func TestSchedulerSpacesPrefills(t *testing.T) {
	scheduler := newScheduler("one")
	var waits []time.Duration
	for _, vm := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		waits = append(waits, scheduler.Schedule(scheduleRequest(vm, nil), start).Wait)
	}
	must.Eq(t, 0, waits[0]) // The prefill of each takes 50 ms; 70 ms are allowed at once, and then half of the time.
	must.Eq(t, 60*time.Millisecond, waits[1])
	must.Eq(t, 160*time.Millisecond, waits[2])
	must.Eq(t, 260*time.Millisecond, waits[3])
	must.Eq(t, 0, scheduler.Schedule(scheduleRequest("entry-1", nil), start.Add(time.Second)).Wait)
}

// TestSchedulerKeepsLongPromptsFromBusyEngines guards against sending a long prompt
// to an engine with many streams while another engine has few.
func TestSchedulerKeepsLongPromptsFromBusyEngines(t *testing.T) {
	scheduler := newScheduler("one", "two")
	scheduler.SetVMLoads("entry-1", map[string]int{"one": 5, "two": 1}, start)
	must.Eq(t, "two", scheduler.Schedule(scheduleRequest("entry-2", nil), start).Instance)
	long := scheduleRequest("entry-3", map[string]int{"two": 5})
	long.Tokens = 3000
	must.Eq(t, "one", scheduler.Schedule(long, start.Add(time.Second)).Instance)
}

// TestSchedulerRefusesLateCalls guards against queues so long that every call in them
// is late. Calls without a limit, such as resumed streams, must still be accepted.
func TestSchedulerRefusesLateCalls(t *testing.T) {
	scheduler := newScheduler("one")
	scheduler.SetVMLoads("entry-1", map[string]int{"one": 30}, start)
	full := scheduler.Schedule(scheduleRequest("entry-2", nil), start)
	must.True(t, full.EnginesFull)
	must.Eq(t, "", full.Instance)
	must.Greater(t, 0, full.Wait)
	resumed := scheduleRequest("entry-2", nil)
	resumed.FirstByteLimit = 0
	must.Eq(t, "one", scheduler.Schedule(resumed, start).Instance)
}

// TestSchedulerSkipsExcludedEngines checks that an engine which failed for a VM is not
// assigned to it again, while other VMs still get it.
func TestSchedulerSkipsExcludedEngines(t *testing.T) {
	scheduler := newScheduler("one", "two")
	for range 3 {
		excluding := scheduleRequest("entry-1", nil)
		excluding.Exclude = []string{"one"}
		must.Eq(t, "two", scheduler.Schedule(excluding, start).Instance)
	}
	must.Eq(t, "one", scheduler.Schedule(scheduleRequest("entry-2", nil), start).Instance)
	excluding := scheduleRequest("entry-1", nil)
	excluding.Exclude = []string{"one", "two"}
	must.Eq(t, kumquathitch.ScheduleResponse{}, scheduler.Schedule(excluding, start))
}

// TestSchedulerCountsRefusalsByCause guards against logs that cannot tell full engines
// from models without an engine.
func TestSchedulerCountsRefusalsByCause(t *testing.T) {
	scheduler := newScheduler("one")
	scheduler.SetVMLoads("entry-1", map[string]int{"one": 30}, start)
	urgent := scheduleRequest("entry-2", nil)
	urgent.Priority = 1
	scheduler.Schedule(urgent, start)
	unlimited := scheduleRequest("entry-2", nil)
	unlimited.FirstByteLimit = 0
	scheduler.Schedule(unlimited, start)
	absent := scheduleRequest("entry-2", nil)
	absent.Model = "m2"
	scheduler.Schedule(absent, start)
	must.Eq(t, map[int]fleet.ScheduleCounts{0: {Assigned: 1, NoEngine: 1}, 1: {FullSlots: 1}}, scheduler.TakeCounts())
	must.MapLen(t, 0, scheduler.TakeCounts())
	use := scheduler.EngineUse(start)
	must.Eq(t, fleet.EngineUse{Engines: 1, Full: 1, Calls: 30, Backlog: use.Backlog}, use)
	must.Greater(t, 0, use.Backlog)
}
