package fleet_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5 // Calls that may arrive in a window, as a multiple of what the limit allows.
	limitSlack  = 5.0 // Calls beyond these.
)

func namedLimit(id string, perSecond float64, age time.Duration) kumquathitch.InstanceLimit {
	return kumquathitch.InstanceLimit{ID: id, Incarnation: newEngineIncarnation(id), Named: true, PerSecond: perSecond, Age: age}
}

func newEngineIncarnation(id string) string {
	engine := newEngine(id, 1, "m1")
	return engine.Incarnation()
}

// TestLimitHoldsInEveryWindow guards against more calls of all VMs together than an instance
// takes, and against leaving its limit unused.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := fleet.NewCallLimits()
		perSecond := rapid.Float64Range(0.2, 30).Draw(t, "limit")
		now := start
		limits.Learn([]kumquathitch.InstanceLimit{namedLimit("one", perSecond, 0)}, now)
		var admitted []time.Time
		for range rapid.IntRange(1, 500).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			if _, limited, ok := limits.Admit(newEngineIncarnation("one"), 0, 0, now); ok {
				admitted = append(admitted, now)
				must.True(t, limited)
			}
		}
		for i, first := range admitted {
			count := 0
			for count < len(admitted)-i && admitted[i+count].Sub(first) < limitWindow {
				count++
			}
			if float64(count) > limitFactor*perSecond*limitWindow.Seconds()+limitSlack {
				t.Fatalf("%d calls within %s after %s", count, limitWindow, first)
			}
		}
		// Calls come every 100 ms at least, and each may be counted that much late.
		if least := min(perSecond, 5) * now.Sub(start).Seconds() / 2; float64(len(admitted)) < least-1 {
			t.Fatalf("%d calls admitted in %s at %g a second", len(admitted), now.Sub(start), perSecond)
		}
	})
}

// TestLatestLimitApplies guards against a limit that an instance no longer names, and against
// a report that arrives late.
func TestLatestLimitApplies(t *testing.T) {
	limits := fleet.NewCallLimits()
	one := newEngineIncarnation("one")
	admits := func(now time.Time) int {
		admitted := 0
		for range 200 {
			now = now.Add(50 * time.Millisecond)
			if _, _, ok := limits.Admit(one, 0, 0, now); ok {
				admitted++
			}
		}
		return admitted
	}
	must.Eq(t, 200, admits(start))
	limits.Learn([]kumquathitch.InstanceLimit{namedLimit("one", 2, 0)}, start)
	must.Between(t, 15, admits(start), 22)
	later := start.Add(20 * time.Second)
	limits.Learn([]kumquathitch.InstanceLimit{namedLimit("one", 0.5, 0)}, later)
	limits.Learn([]kumquathitch.InstanceLimit{namedLimit("one", 100, time.Second)}, later)
	must.Between(t, 4, admits(later), 7)
	later = later.Add(20 * time.Second)
	limits.Learn([]kumquathitch.InstanceLimit{{ID: "one", Incarnation: one}}, later)
	must.Eq(t, 200, admits(later))
}

// TestSchedulerKeepsToLimits guards against calls beyond the limit of an engine while another
// one takes them, and against holding calls that none takes.
func TestSchedulerKeepsToLimits(t *testing.T) {
	scheduler := newScheduler("one", "two")
	schedule := func(limits ...kumquathitch.InstanceLimit) kumquathitch.ScheduleResponse {
		request := scheduleRequest("entry-1", nil)
		request.Tokens, request.Limits = 1, limits
		return scheduler.Schedule(request, start)
	}
	for range 4 {
		must.Eq(t, "two", schedule(namedLimit("one", 2, time.Second)).Instance)
	}
	response := schedule(namedLimit("two", 2, time.Second))
	must.True(t, response.EnginesFull)
	must.Between(t, 300*time.Millisecond, response.Wait, 600*time.Millisecond)
	request := scheduleRequest("entry-2", nil)
	response = scheduler.Schedule(request, start.Add(600*time.Millisecond))
	must.NotEq(t, "", response.Instance)
	must.True(t, response.Limited)
}

// TestLimitedInstanceIsDeferred guards against asking again and again for an instance whose
// limit is reached, and against forgetting that the next start has none.
func TestLimitedInstanceIsDeferred(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	choice, err := f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	must.False(t, choice.Limited)
	head := kumquathitch.ResponseHead{Received: start, HasLimit: true, LimitPerSecond: 2}
	must.True(t, f.ResponseStarted(choice, head).LimitChanged)
	must.False(t, f.ResponseStarted(choice, head).LimitChanged) // No news.
	choice, err = f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	must.True(t, choice.Limited)
	f.Defer(choice, start.Add(time.Second))
	var none *kumquathitch.NoInstanceError
	_, err = f.Choose(criteriaFor("m1"), start)
	must.True(t, errors.As(err, &none))
	must.Eq(t, start.Add(time.Second), none.PausedUntil)
	_, ok := f.ChooseAssigned(criteriaFor("m1"), kumquathitch.Assignment{InstanceID: "one", Limited: true}, start)
	must.True(t, ok)

	for _, silent := range []kumquathitch.ResponseHead{{Received: start, NotExecuted: true}, {Received: start, Moved: true, Signed: true}, {Received: start, UnreadLimit: true, Signed: true}} {
		must.False(t, f.ResponseStarted(choice, silent).LimitChanged)
	}
	must.True(t, f.ResponseStarted(choice, kumquathitch.ResponseHead{Received: start, Signed: true}).LimitChanged)
	must.True(t, f.ResponseStarted(choice, head).LimitChanged)
	restarted := newEngine("one", 2, "m1")
	restarted.Started = start.Add(time.Second)
	f.Put(restarted, start)
	choice, err = f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	must.False(t, choice.Limited)
}

// TestSharesOfLimitAddUp guards against VMs that exceed a limit together while no VM counts
// the calls of all.
func TestSharesOfLimitAddUp(t *testing.T) {
	const vms, perSecond = 9, 2.0
	var fleets []*fleet.Fleet
	for i := range vms {
		f := fleet.NewFleet(fmt.Sprint("entry-", i), "a")
		f.SetMemberCount(vms, true)
		f.Put(newEngine("one", 1, "m1"), start)
		choice, err := f.Choose(criteriaFor("m1"), start)
		must.NoError(t, err)
		f.ResponseStarted(choice, kumquathitch.ResponseHead{Received: start, HasLimit: true, LimitPerSecond: perSecond})
		fleets = append(fleets, f)
	}
	engine := newEngine("one", 1, "m1")
	admitted := 0
	for now := start.Add(time.Minute); now.Before(start.Add(80 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for _, f := range fleets {
			if _, ok := f.AdmitByShare(&engine, now); ok {
				admitted++
			}
		}
	}
	must.Between(t, 30, admitted, 40)
}

// TestLimitsAreReportedToEachScheduler guards against a scheduler that does not know a limit
// because the one before was told.
func TestLimitsAreReportedToEachScheduler(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	f.Put(newEngine("two", 2, "m1"), start)
	instance, _ := f.Instance("one")
	choice := kumquathitch.InstanceChoice{Instance: instance}
	f.ResponseStarted(choice, kumquathitch.ResponseHead{Received: start, HasLimit: true, LimitPerSecond: 2})
	must.Eq(t, []kumquathitch.InstanceLimit{namedLimit("one", 2, time.Second)}, f.TakeLimits("first", start.Add(time.Second)))
	must.SliceEmpty(t, f.TakeLimits("first", start))
	limits := f.TakeLimits("second", start)
	must.Len(t, 1, limits)
	f.MarkLimitsUnreported(limits)
	must.Len(t, 1, f.TakeLimits("second", start))
	f.ResponseStarted(choice, kumquathitch.ResponseHead{Received: start, Signed: true})
	must.Eq(t, []kumquathitch.InstanceLimit{{ID: "one", Incarnation: instance.Incarnation(), PerSecond: 0}}, f.TakeLimits("second", start))
}
