package relay_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/evacuation"
	"kumquathitch.example/kumquathitch/standin"
)

// TestCallBoundToOtherRegionsIsRefused guards against calls outside their homes, and against
// callers that wait although no instance in their homes exists.
func TestCallBoundToOtherRegionsIsRefused(t *testing.T) {
	homes := kumquathitch.HomesIn
	for name, bound := range map[string]struct {
		route, account kumquathitch.Homes
		status         int
	}{
		"not bound":             {status: http.StatusOK},
		"route here":            {route: homes([]string{"north"}), status: http.StatusOK},
		"account elsewhere":     {account: homes([]string{"south"}), status: http.StatusServiceUnavailable},
		"no region allowed":     {route: homes([]string{"north"}), account: homes([]string{"south"}), status: http.StatusServiceUnavailable},
		"route wider than this": {route: homes([]string{"south", "north"}), account: homes([]string{"north"}), status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			one := standin.NewInstance("i-1", "llm", "m")
			vm := newTestVM(t, one)
			vm.fleet.Restrict(nil, map[string]string{"zone-a": "north"})
			bindings := routes()
			bindings.Version = 2
			for i := range bindings.Routes {
				bindings.Routes[i].Homes = bound.route
			}
			bindings.Tenants[0].Homes = bound.account
			must.True(t, vm.handler.Deployments.Apply(bindings, nil))
			begun := time.Now()
			result := vm.call("r1", "/book/1")
			must.Eq(t, bound.status, result.status, must.Sprint(result.body))
			if bound.status != http.StatusOK {
				must.StrHasPrefix(t, "no-instance-in-homes: ", result.body)
				must.Less(t, 500*time.Millisecond, time.Since(begun))
				must.SliceEmpty(t, one.Arrivals())
			}
		})
	}
}

// waitingScheduler assigns calls to an instance, to be sent after a wait.
type waitingScheduler struct {
	kumquathitch.Scheduler
	instance string
	wait     time.Duration
	assigned chan struct{} // Gets a value for each assignment.
}

func (s *waitingScheduler) Schedule(context.Context, kumquathitch.InstanceCriteria) (kumquathitch.Assignment, error) {
	s.assigned <- struct{}{}
	return kumquathitch.Assignment{InstanceID: s.instance, SendAt: time.Now().Add(s.wait)}, nil
}

// TestWaitingCallAvoidsEvacuatedInstance guards against calls that were assigned before an
// evacuation, waited for their turn, and are sent to the evacuated data centre.
func TestWaitingCallAvoidsEvacuatedInstance(t *testing.T) {
	emptied, kept := standin.NewInstance("i-emptied", "llm", "m"), standin.NewInstance("i-kept", "llm", "m")
	emptied.Zone = "zone-b"
	vm := newTestVM(t, emptied, kept)
	set := evacuation.NewSet()
	vm.fleet.Restrict(set, nil)
	scheduler := &waitingScheduler{Scheduler: vm, instance: "i-emptied", wait: 400 * time.Millisecond, assigned: make(chan struct{}, 8)}
	vm.handler.Scheduler = scheduler
	results := make(chan callResult, 1)
	go func() { results <- vm.callModel("r1", "/book/1", "m") }()
	<-scheduler.assigned
	set.Begin("zone-b", 1, time.Now(), time.Now())
	result := <-results
	must.Eq(t, http.StatusOK, result.status, must.Sprint(result.body))
	must.SliceEmpty(t, emptied.Arrivals())
	must.Len(t, 1, kept.Arrivals())
}
