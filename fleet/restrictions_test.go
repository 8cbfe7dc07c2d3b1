package fleet_test

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/evacuation"
	"kumquathitch.example/kumquathitch/fleet"
)

// newRestrictedFleet returns a fleet with an engine for m1 in each of the data centres a, b
// and c, whose IDs are the names of the data centres.
func newRestrictedFleet() (*fleet.Fleet, *evacuation.Set) {
	f, set := fleet.NewFleet("entry-1", "a"), evacuation.NewSet()
	f.Restrict(set, map[string]string{"a": "north", "b": "north", "c": "south"})
	for i, name := range []string{"a", "b", "c"} {
		engine := newEngine(name, uint64(i)+1, "m1")
		engine.DataCentre = name
		f.Put(engine, start)
	}
	return f, set
}

// noInstance returns the error of a choice for which there is no instance.
func noInstance(t *testing.T, f *fleet.Fleet, criteria kumquathitch.InstanceCriteria, now time.Time) *kumquathitch.NoInstanceError {
	t.Helper()
	_, err := f.Choose(criteria, now)
	var none *kumquathitch.NoInstanceError
	must.True(t, errors.As(err, &none))
	return none
}

// TestEvacuatedInstancesGetNoCalls guards against calls to an evacuated data centre: assigned,
// chosen locally, as a probe or a last resort, as an alternative, or chosen before.
func TestEvacuatedInstancesGetNoCalls(t *testing.T) {
	f, set := newRestrictedFleet()
	scheduler := fleet.NewGlobalScheduler(f)
	criteria, closed := criteriaFor("m1"), start.Add(3*time.Second)
	chosen, ok := f.ChooseAssigned(criteria, kumquathitch.Assignment{InstanceID: "b", SendAt: start}, start)
	must.True(t, ok)
	set.Begin("b", 10, closed, start)
	set.Begin("c", 11, closed, start)
	must.Eq(t, 1, f.EvacuatedLoad())
	must.True(t, f.Accepts(chosen, closed.Add(-1)))
	must.False(t, f.Accepts(chosen, closed))
	_, ok = f.ChooseAssigned(criteria, kumquathitch.Assignment{InstanceID: "b", SendAt: start}, closed)
	must.False(t, ok)
	for range 20 {
		choice, err := f.Choose(criteria, closed)
		must.NoError(t, err)
		must.Eq(t, "a", choice.Instance.ID)
		must.False(t, f.HasAlternative(criteria, choice, closed))
		request := kumquathitch.ScheduleRequest{From: "entry-2", Service: "llm", Model: "m1", Tokens: 100}
		must.Eq(t, "a", scheduler.Schedule(&request, closed).Instance)
		f.Done(criteria, choice, sendResult(kumquathitch.SendUnreachable, closed)) // The circuit of the only one opens.
	}
	must.Len(t, 1, f.Holders("llm", "m1", kumquathitch.Homes{}, closed))
	tried := criteria
	tried.Exclude = []string{"a"}
	must.False(t, noInstance(t, f, tried, closed).Evacuated) // The one that was tried may soon take calls again.
	f.Done(criteria, chosen, sendResult(kumquathitch.SendAnswered, closed))
	must.Eq(t, 0, f.EvacuatedLoad())
	set.End("b", 12, closed)
	choice, err := f.Choose(tried, closed)
	must.NoError(t, err)
	must.Eq(t, "b", choice.Instance.ID)
}

// TestModelOnlyInEvacuatedDataCentre guards against a call that is refused at once while its
// model can be loaded elsewhere, and against one that waits for it when no data centre is left.
func TestModelOnlyInEvacuatedDataCentre(t *testing.T) {
	f, set := newRestrictedFleet()
	only := newEngine("only", 9, "m2")
	only.DataCentre = "b"
	f.Put(only, start)
	set.Begin("b", 10, start, start)
	none := noInstance(t, f, criteriaFor("m2"), start)
	must.True(t, none.Evacuated)
	must.True(t, none.ModelNotResident)
	set.Begin("a", 11, start, start)
	set.Begin("c", 12, start, start)
	none = noInstance(t, f, criteriaFor("m2"), start)
	must.True(t, none.Evacuated)
	must.False(t, none.ModelNotResident)
	must.True(t, noInstance(t, f, criteriaFor("m3"), start).Evacuated)
	scheduler := fleet.NewGlobalScheduler(f)
	request := kumquathitch.ScheduleRequest{From: "entry-2", Service: "llm", Model: "m1", Tokens: 100}
	must.Eq(t, "", scheduler.Schedule(&request, start).Instance)
}

// TestCallsStayInTheirHomes guards against calls in regions that they are not bound to.
func TestCallsStayInTheirHomes(t *testing.T) {
	f, set := newRestrictedFleet()
	scheduler := fleet.NewGlobalScheduler(f)
	criteria := criteriaFor("m1")
	criteria.Homes = kumquathitch.HomesIn([]string{"south"})
	for range 20 {
		choice, err := f.Choose(criteria, start)
		must.NoError(t, err)
		must.Eq(t, "c", choice.Instance.ID)
		must.False(t, f.HasAlternative(criteria, choice, start))
		request := kumquathitch.ScheduleRequest{From: "entry-2", DataCentre: "a", Service: "llm", Model: "m1", Tokens: 100, Homes: criteria.Homes}
		must.Eq(t, "c", scheduler.Schedule(&request, start).Instance)
	}
	_, ok := f.ChooseAssigned(criteria, kumquathitch.Assignment{InstanceID: "a", SendAt: start}, start)
	must.False(t, ok)
	set.Begin("c", 10, start, start)
	must.True(t, noInstance(t, f, criteria, start).Evacuated)
	criteria.Homes = criteria.Homes.And(kumquathitch.HomesIn([]string{"north"})) // No region is left.
	must.True(t, noInstance(t, f, criteria, start).OutsideHomes)
	must.SliceEmpty(t, f.Holders("llm", "m1", criteria.Homes, start))
}
