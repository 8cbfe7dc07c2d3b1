package relay_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/standin"
)

// deferCalls has the scheduler defer calls by 20 ms until answer returns an error.
func (vm *testVM) deferCalls(answer func(asked int64) error) *atomic.Int64 {
	var asked atomic.Int64
	vm.schedule = func() error {
		if err := answer(asked.Add(1)); err != nil {
			return err
		}
		return &kumquathitch.CallDeferredError{Service: "llm", Model: "m", AskAt: time.Now().Add(20 * time.Millisecond)}
	}
	return &asked
}

func always(int64) error { return nil }

// TestWaitingCallIsServedWithoutScheduler guards against calls that are lost with the
// scheduler that had them wait.
func TestWaitingCallIsServedWithoutScheduler(t *testing.T) {
	one := standin.NewInstance("i-1", "llm", "m")
	vm := newTestVM(t, one)
	asked := vm.deferCalls(func(asked int64) error {
		if asked > 3 {
			return errors.New("no answer")
		}
		return nil
	})
	must.Eq(t, 200, vm.callModel("a", "/read/a", "m").status)
	must.Eq(t, 4, asked.Load())
}

// TestWaitingCallLeavesQueue guards against calls that go on waiting after their caller
// has left, after their account has lost its key, or while the VM stops.
func TestWaitingCallLeavesQueue(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	asked := vm.deferCalls(always)
	ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer leave()
	must.Error(t, vm.callContext(ctx, "left", "/read/a", map[string]string{"Model": "m"}).err)
	clock.Pause(t.Context(), 100*time.Millisecond)
	before := asked.Load()
	clock.Pause(t.Context(), 100*time.Millisecond)
	must.Eq(t, before, asked.Load())

	results := make(chan callResult, 1)
	go func() { results <- vm.callModel("revoked", "/read/a", "m") }()
	clock.Pause(t.Context(), 60*time.Millisecond)
	without := routes()
	without.Version, without.Tenants[0].Keys = 2, []string{"another"}
	must.True(t, vm.handler.Deployments.Apply(without, nil))
	must.Eq(t, http.StatusUnauthorized, (<-results).status)

	restored := routes()
	restored.Version = 3
	must.True(t, vm.handler.Deployments.Apply(restored, nil))
	go func() { results <- vm.callModel("stopped", "/read/a", "m") }()
	clock.Pause(t.Context(), 60*time.Millisecond)
	vm.stopping.Store(true)
	must.Eq(t, http.StatusServiceUnavailable, (<-results).status)
	must.Eq(t, 0, vm.runCount("left")+vm.runCount("revoked")+vm.runCount("stopped"))
}

// TestResponsesAreMeasured guards against a scheduler that never learns how fast engines are.
func TestResponsesAreMeasured(t *testing.T) {
	vm := newTestVM(t, standin.NewInstance("i-1", "llm", "m"))
	must.Eq(t, 200, vm.callModel("a", "/stream/plan/a", "m").status)
	measured := vm.fleet.TakeResponses(kumquathitch.Partition{})
	must.Len(t, 1, measured)
	must.Eq(t, "i-1", measured[0].Instance)
	must.Greater(t, 1, measured[0].Events)
	must.Positive(t, measured[0].Run)
	must.SliceEmpty(t, vm.fleet.TakeResponses(kumquathitch.Partition{}))
}
