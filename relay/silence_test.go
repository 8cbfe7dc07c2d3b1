package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/standin"
)

// startPausingPair adds two servers that stream two events, with a pause in between for which a
// stream is moved to another server.
func (vm *testVM) startPausingPair() {
	for _, id := range []string{"i-1", "i-2"} {
		vm.startScripted(id, func(call *standin.ScriptedCall) bool {
			call.WriteHead("200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n")
			call.Write("id: 1\ndata: event 1\n\n")
			<-time.NewTimer(1500 * time.Millisecond).C
			call.Write("id: 2\ndata: event 2\n\n")
			return false
		})
	}
}

// mustStreamWhole calls a stream that may be resumed, and checks that all of it arrives.
func (vm *testVM) mustStreamWhole() {
	vm.t.Helper()
	got := vm.call("r1", "/stream/plan/1")
	must.NoError(vm.t, got.err)
	must.Eq(vm.t, "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n", got.body)
}

// suspectingGuard suspects all calls, and blocks none.
type suspectingGuard struct {
	kumquathitch.CrashGuard
}

func (suspectingGuard) Suspected(uint64, time.Time) bool { return true }

// TestSilentStreamOfSuspectedCallGoesOn guards against a stream that is taken from a silent
// server although its call may not be sent to another one.
func TestSilentStreamOfSuspectedCallGoesOn(t *testing.T) {
	vm := newTestVM(t)
	vm.handler.CrashGuard = suspectingGuard{CrashGuard: vm.contents}
	vm.startPausingPair()
	vm.mustStreamWhole()
}

// TestSilentStreamWithoutSuccessorGoesOn guards against a stream that is taken from a silent
// server before another one has been found for it.
func TestSilentStreamWithoutSuccessorGoesOn(t *testing.T) {
	vm := newTestVM(t)
	vm.handler.Chooser = &schedulingChooser{Chooser: vm.fleet}
	var asked atomic.Int64
	vm.schedule = func() error {
		if asked.Add(1) == 1 {
			return context.DeadlineExceeded // The VM chooses the server itself.
		}
		return &kumquathitch.EnginesFullError{Service: "llm", AvailableAt: time.Now().Add(time.Minute)}
	}
	vm.startPausingPair()
	vm.mustStreamWhole()
}
