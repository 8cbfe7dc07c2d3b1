package fleet_test

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

var start = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

func newEngine(id string, revision uint64, models ...string) kumquathitch.Instance {
	i := kumquathitch.Instance{ID: id, Service: "llm", Address: "10.0.0.1:80", DataCentre: "a", Slots: 8, Revision: revision, Started: start}
	for _, name := range models {
		i.Models = append(i.Models, kumquathitch.ResidentModel{Name: name, Adapters: []string{"a1"}})
	}
	return i
}

func criteriaFor(model string) kumquathitch.InstanceCriteria {
	return kumquathitch.InstanceCriteria{Service: "llm", Model: model, Tokens: 1000, LatencyObjective: 800 * time.Millisecond}
}

func sendResult(outcome kumquathitch.SendOutcome, at time.Time) kumquathitch.SendResult {
	result := kumquathitch.SendResult{Outcome: outcome, Ended: at}
	if outcome == kumquathitch.SendAnswered {
		result.FirstByte = at
	}
	return result
}

// TestOnlyInstancesWithModelAreChosen checks that a call goes only to an engine with
// its model and adapter, and that the error names what is not resident.
func TestOnlyInstancesWithModelAreChosen(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	f.Put(newEngine("two", 2, "m2"), start)
	choice, err := f.Choose(criteriaFor("m2"), start)
	must.NoError(t, err)
	must.Eq(t, "two", choice.Instance.ID)
	_, err = f.Choose(criteriaFor("m3"), start)
	var none *kumquathitch.NoInstanceError
	must.True(t, errors.As(err, &none))
	must.True(t, none.ModelNotResident)
	withAdapter := criteriaFor("m1")
	withAdapter.Adapter = "a9"
	_, err = f.Choose(withAdapter, start)
	must.True(t, errors.As(err, &none))
	must.True(t, none.AdapterNotResident)
	f.AddPlacedAdapter("one", "m1", "a9", start)
	choice, err = f.Choose(withAdapter, start)
	must.NoError(t, err)
	must.Eq(t, "one", choice.Instance.ID)
}

// TestUnloadingModelGetsNoCalls guards against calls to an engine that refuses
// them until it has unloaded the model (for seconds on laurentide-montage-grown). The
// leader's list of unloading models must expire.
func TestUnloadingModelGetsNoCalls(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("one", 1, "m1", "m2"), start)
	f.SetUnloading(map[string][]string{"one": {"m1"}}, start)
	_, err := f.Choose(criteriaFor("m1"), start)
	var none *kumquathitch.NoInstanceError
	must.True(t, errors.As(err, &none))
	must.True(t, none.ModelNotResident)
	must.Eq(t, "", fleet.NewGlobalScheduler(f).Schedule(scheduleRequest("entry-2", nil), start).Instance)
	_, err = f.Choose(criteriaFor("m2"), start)
	must.NoError(t, err)
	_, err = f.Choose(criteriaFor("m1"), start.Add(5*time.Second))
	must.NoError(t, err)
}

// TestLeavingInstanceGetsNoCalls guards against calls to a leaving or removed
// instance. A description with a lower revision must not bring it back.
func TestLeavingInstanceGetsNoCalls(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	leaving := newEngine("one", 5, "m1")
	leaving.Leaving = true
	f.Put(leaving, start)
	f.Put(newEngine("one", 4, "m1"), start)
	_, err := f.Choose(criteriaFor("m1"), start)
	must.Error(t, err)
	f.Put(newEngine("one", 6, "m1"), start)
	_, err = f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	f.Remove("one", start)
	_, err = f.Choose(criteriaFor("m1"), start)
	must.Error(t, err)
}

// TestTimedOutInstanceIsAvoidedAndProbed checks that an unresponsive engine gets only
// a few calls, and is probed again later.
func TestTimedOutInstanceIsAvoidedAndProbed(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("dark", 1, "m1"), start)
	f.Put(newEngine("good", 2, "m1"), start)
	now := start
	darkChosen := 0
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		choice, err := f.Choose(criteriaFor("m1"), now)
		must.NoError(t, err)
		outcome := kumquathitch.SendAnswered
		if choice.Instance.ID == "dark" {
			outcome = kumquathitch.SendTimedOut
			darkChosen++
		}
		f.Done(criteriaFor("m1"), choice, sendResult(outcome, now.Add(time.Millisecond)))
	}
	must.Between(t, 1, darkChosen, 8)
	now = now.Add(6 * time.Second)
	probed := false
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		choice, err := f.Choose(criteriaFor("m1"), now)
		must.NoError(t, err)
		probed = probed || choice.Instance.ID == "dark"
		f.Done(criteriaFor("m1"), choice, sendResult(kumquathitch.SendAnswered, now.Add(30*time.Millisecond)))
	}
	must.True(t, probed)
}

// TestSilentInstanceIsAvoidedBeforeItsSendEnds guards against calls that are sent to an instance while
// earlier ones wait for it in silence.
func TestSilentInstanceIsAvoidedBeforeItsSendEnds(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	for _, id := range []string{"a", "b"} {
		f.Put(newEngine(id, 1, "m1"), start)
	}
	silent, err := f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	f.Silent(silent, start)
	for range 4 {
		choice, err := f.Choose(criteriaFor("m1"), start)
		must.NoError(t, err)
		must.NotEq(t, silent.Instance.ID, choice.Instance.ID)
	}
}

// TestOnlyInstanceIsUsedDespiteFailures guards against refusals because the circuit
// of the only instance with a model is open.
func TestOnlyInstanceIsUsedDespiteFailures(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("only", 1, "m1"), start)
	for range 5 {
		choice, err := f.Choose(criteriaFor("m1"), start)
		must.NoError(t, err)
		f.Done(criteriaFor("m1"), choice, sendResult(kumquathitch.SendUnreachable, start))
	}
}

// TestServiceWideFailuresOpenNoCircuit guards against open circuits of instances whose
// service answers some calls with failures on all instances.
func TestServiceWideFailuresOpenNoCircuit(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	for i := range 3 {
		instance := newEngine("s"+strconv.Itoa(i), uint64(i+1))
		instance.Service = "dispatch"
		f.Put(instance, start)
	}
	criteria := kumquathitch.InstanceCriteria{Service: "dispatch", LatencyObjective: 100 * time.Millisecond}
	chosenCount := map[string]int{}
	for n := range 300 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		choice, err := f.Choose(criteria, now)
		must.NoError(t, err)
		chosenCount[choice.Instance.ID]++
		outcome := kumquathitch.SendAnswered
		if n%5 == 0 {
			outcome = kumquathitch.SendFailed
		}
		f.Done(criteria, choice, sendResult(outcome, now.Add(5*time.Millisecond)))
	}
	must.MapLen(t, 3, chosenCount)
}

// TestCallsWaitDuringPrefill guards against concurrent prefill of several prompts,
// which would delay every stream on the engine.
func TestCallsWaitDuringPrefill(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.SetMemberCount(1, true)
	f.Put(newEngine("one", 1, "m1"), start)
	paced := criteriaFor("m1")
	paced.Tokens, paced.GapLimit, paced.HoldUntil = 2500, 250*time.Millisecond, start.Add(400*time.Millisecond)
	first, err := f.Choose(paced, start)
	must.NoError(t, err)
	_, err = f.Choose(paced, start)
	var none *kumquathitch.NoInstanceError
	must.True(t, errors.As(err, &none))
	must.True(t, none.Saturated)
	freed := f.CapacityFreed()
	f.ResponseStarted(first, kumquathitch.ResponseHead{})
	select {
	case <-freed:
	default:
		t.Fatal("no notification that the engine has read the prompt")
	}
	_, err = f.Choose(paced, start)
	must.NoError(t, err)
	_, err = f.Choose(paced, start.Add(time.Second))
	must.NoError(t, err) // HoldUntil has passed.
}

// TestRestartClosesCircuit guards against failures that still count after a restart
// of the instance.
func TestRestartClosesCircuit(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	f.Put(newEngine("two", 2, "m1"), start)
	for range 4 {
		choice, err := f.Choose(criteriaFor("m1"), start)
		must.NoError(t, err)
		f.Done(criteriaFor("m1"), choice, sendResult(kumquathitch.SendTimedOut, start))
	}
	restarted := newEngine("one", 3, "m1")
	restarted.Started = start.Add(time.Second)
	f.Put(restarted, start)
	choice, err := f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	must.Eq(t, "one", choice.Instance.ID)
	must.False(t, choice.Probe)
}

// TestInstanceThatSaysItLeavesGetsNoCalls guards against calls to an instance between its
// first response that says so and the store's word of it, and after older descriptions.
func TestInstanceThatSaysItLeavesGetsNoCalls(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	choice, err := f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	must.True(t, f.Accepts(choice, start))
	must.True(t, f.ResponseStarted(choice, kumquathitch.ResponseHead{Leaving: true}).Withdrawn)
	must.False(t, f.ResponseStarted(choice, kumquathitch.ResponseHead{Leaving: true}).Withdrawn) // No news.
	refuses := func(when string) {
		_, err := f.Choose(criteriaFor("m1"), start)
		must.Error(t, err, must.Sprint(when))
		_, assigned := f.ChooseAssigned(criteriaFor("m1"), kumquathitch.Assignment{InstanceID: "one"}, start)
		must.False(t, assigned, must.Sprint(when))
		must.False(t, f.Accepts(choice, start), must.Sprint(when))
	}
	refuses("after the response")
	must.SliceContains(t, f.AvoidedInstances(criteriaFor("m1"), start), "one")
	must.True(t, f.Instances()[0].Leaving) // The placement goes by this.
	f.Put(newEngine("one", 2, "m1"), start)
	refuses("after a description")
	f.Remove("one", start)
	f.Put(newEngine("one", 3, "m1"), start)
	refuses("after its entry lapsed")

	restarted := newEngine("one", 4, "m1")
	restarted.Started = start.Add(time.Second)
	f.Put(restarted, start)
	_, err = f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	must.False(t, f.ResponseStarted(choice, kumquathitch.ResponseHead{Leaving: true}).Withdrawn) // Of the start before.
	_, err = f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
}

// TestPausedInstanceGetsNoCalls guards against calls to an instance within the time for
// which it wants none, and against losing that time to a shorter one or a lapsed entry.
func TestPausedInstanceGetsNoCalls(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	f.Put(newEngine("two", 2, "m1"), start)
	pauseUntil := func(id string, seconds int) bool {
		choice, ok := f.ChooseAssigned(criteriaFor("m1"), kumquathitch.Assignment{InstanceID: id}, start)
		if !ok { // It is paused already.
			instance, _ := f.Instance(id)
			choice = kumquathitch.InstanceChoice{Instance: instance}
		}
		return f.ResponseStarted(choice, kumquathitch.ResponseHead{PausedUntil: start.Add(time.Duration(seconds) * time.Second)}).Withdrawn
	}
	must.True(t, pauseUntil("one", 5))
	must.False(t, pauseUntil("one", 2))
	for range 20 {
		choice, err := f.Choose(criteriaFor("m1"), start.Add(4*time.Second))
		must.NoError(t, err)
		must.Eq(t, "two", choice.Instance.ID)
	}
	must.Eq(t, []string{"one"}, f.AvoidedInstances(criteriaFor("m1"), start))

	must.True(t, pauseUntil("two", 3))
	_, err := f.Choose(criteriaFor("m1"), start)
	var none *kumquathitch.NoInstanceError
	must.True(t, errors.As(err, &none))
	must.Eq(t, start.Add(3*time.Second), none.PausedUntil)
	choice, err := f.Choose(criteriaFor("m1"), start.Add(3*time.Second))
	must.NoError(t, err)
	must.Eq(t, "two", choice.Instance.ID)

	must.True(t, pauseUntil("one", 8))
	f.Remove("one", start)
	f.Put(newEngine("one", 3, "m1"), start)
	must.SliceContains(t, f.AvoidedInstances(criteriaFor("m1"), start.Add(7*time.Second)), "one")
	restarted := newEngine("one", 4, "m1")
	restarted.Started = start.Add(time.Second)
	f.Put(restarted, start)
	must.SliceNotContains(t, f.AvoidedInstances(criteriaFor("m1"), start), "one")
}

// TestWithdrawalsAreBounded guards against memory that grows with each instance that leaves.
func TestWithdrawalsAreBounded(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	accepted := 0
	for i := range 5000 {
		id := "i-" + strconv.Itoa(i)
		f.Put(newEngine(id, 1, "m1"), start)
		choice, _ := f.ChooseAssigned(criteriaFor("m1"), kumquathitch.Assignment{InstanceID: id}, start)
		f.ResponseStarted(choice, kumquathitch.ResponseHead{Leaving: true})
		f.Remove(id, start)
	}
	for i := range 5000 {
		id := "i-" + strconv.Itoa(i)
		f.Put(newEngine(id, 2, "m1"), start)
		if _, ok := f.ChooseAssigned(criteriaFor("m1"), kumquathitch.Assignment{InstanceID: id}, start); ok {
			accepted++
		}
	}
	must.Between(t, 3000, accepted, 4999) // Some of the latest are remembered.
}

// TestWithdrawalBeforeDescriptionIsKept guards against calls to an instance that started
// again and leaves, on a VM that gets its new description after its response.
func TestWithdrawalBeforeDescriptionIsKept(t *testing.T) {
	checkWithdrawalBeforeDescription(t, false)
	checkWithdrawalBeforeDescription(t, true)
}

// checkWithdrawalBeforeDescription also has the entry lapse before the new description.
func checkWithdrawalBeforeDescription(t *testing.T, lapsed bool) {
	t.Helper()
	at := start.Add(10 * time.Second) // When the response arrives.
	for name, head := range map[string]kumquathitch.ResponseHead{
		"leaving": {Received: at, Leaving: true},
		"pause":   {Received: at, PausedUntil: at.Add(20 * time.Second)},
	} {
		f := fleet.NewFleet("entry-1", "a")
		f.Put(newEngine("one", 1, "m1"), start)
		choice, err := f.Choose(criteriaFor("m1"), at)
		must.NoError(t, err)
		must.True(t, f.ResponseStarted(choice, head).Withdrawn)
		restarted := newEngine("one", 2, "m1")
		restarted.Started = start.Add(5 * time.Second)
		if lapsed {
			f.Remove("one", start)
		}
		f.Put(restarted, at)
		_, err = f.Choose(criteriaFor("m1"), at.Add(19*time.Second))
		must.Error(t, err, must.Sprint(name))
		_, err = f.Choose(criteriaFor("m1"), at.Add(31*time.Second)) // Clocks may differ, so it is tried again.
		must.NoError(t, err, must.Sprint(name))
		must.True(t, f.ResponseStarted(choiceOf(restarted), head).Withdrawn || name == "pause")
		restarted.Revision, restarted.Started = 3, at.Add(time.Second)
		f.Put(restarted, at)
		_, err = f.Choose(criteriaFor("m1"), at.Add(time.Second))
		must.NoError(t, err, must.Sprint(name))
	}
}

// TestWithdrawalOfCallSentBeforeDescriptionIsKept guards against dropping what an instance
// says in a response to a call that was sent by the description of its start before.
func TestWithdrawalOfCallSentBeforeDescriptionIsKept(t *testing.T) {
	f := fleet.NewFleet("entry-1", "a")
	f.Put(newEngine("one", 1, "m1"), start)
	choice, err := f.Choose(criteriaFor("m1"), start)
	must.NoError(t, err)
	restarted := newEngine("one", 2, "m1")
	restarted.Started = start.Add(5 * time.Second)
	f.Put(restarted, start)
	at := start.Add(6 * time.Second)
	must.True(t, f.ResponseStarted(choice, kumquathitch.ResponseHead{Received: at, PausedUntil: at.Add(3 * time.Second)}).Withdrawn)
	_, err = f.Choose(criteriaFor("m1"), at.Add(2*time.Second))
	must.Error(t, err)
	_, err = f.Choose(criteriaFor("m1"), at.Add(3*time.Second))
	must.NoError(t, err)
}

func choiceOf(instance kumquathitch.Instance) kumquathitch.InstanceChoice {
	return kumquathitch.InstanceChoice{Instance: instance}
}
