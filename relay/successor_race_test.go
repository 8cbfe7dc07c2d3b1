package relay_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/deployment"
	"kumquathitch.example/kumquathitch/standin"
)

// TestUnusedSuccessorEndsBeforeCallGoesOn guards against a call that goes on while its search for a
// successor still ends one that is not needed: both use the criteria of the call. It fails
// with the race detector only.
func TestUnusedSuccessorEndsBeforeCallGoesOn(t *testing.T) {
	vm := newTestVM(t)
	current, allowed := deployment.NewCurrent(), routes()
	for i := range allowed.Routes {
		allowed.Routes[i].MaxAttempts = 4
	}
	current.Apply(allowed, nil)
	vm.handler.Deployments = current
	ending := make(chan struct{})
	vm.handler.Chooser = &slowChooser{Chooser: vm.fleet, ending: ending}
	var sends atomic.Int64
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		vm.startScripted(id, func(call *standin.ScriptedCall) bool {
			switch sends.Add(1) {
			case 1:
				call.WriteHead("200 OK", eventStream+"Transfer-Encoding: chunked\r\n")
				call.Write("15\r\nid: 1\ndata: event 1\n\n\r\n")
				wait(1200 * time.Millisecond) // The second server has the call then.
				call.Write("15\r\nid: 2\ndata: event 2\n\n\r\n")
				<-ending
			case 2:
				wait(500 * time.Millisecond)
				call.WriteHead("200 OK", eventStream)
				wait(time.Second)
			default:
				call.WriteHead("200 OK", eventStream)
				call.Write("id: 3\ndata: event 3\n\n")
			}
			return false
		})
	}
	got := vm.call("r1", "/stream/plan/1")
	must.NoError(t, got.err)
	must.Eq(t, pausingStream+"id: 3\ndata: event 3\n\n", got.body)
}

// slowChooser takes its time to end the choice of the successor. It shares nothing with the call
// meanwhile, which would order their accesses.
type slowChooser struct {
	kumquathitch.Chooser
	ending chan struct{}
}

func (c *slowChooser) Done(criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice, result kumquathitch.SendResult) {
	if result.Outcome == kumquathitch.SendCancelled {
		close(c.ending)
		wait(200 * time.Millisecond)
	}
	c.Chooser.Done(criteria, choice, result)
}
