package relay_test

import (
	"sync/atomic"
	"testing"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/standin"
)

// startRejectingPair is startPausingPair with servers that reject the first resumed calls.
func (vm *testVM) startRejectingPair(rejections int64) {
	var resumed atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		vm.startScripted(id, func(call *standin.ScriptedCall) bool {
			after := call.Request.Header.Get("Last-Event-Id")
			if after != "" && resumed.Add(1) <= rejections {
				call.WriteHead("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n")
				return true
			}
			call.WriteHead("200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n")
			if after == "" {
				call.Write("id: 1\ndata: event 1\n\n")
				<-time.NewTimer(1500 * time.Millisecond).C // Longer than the least time without an event, 1 s.
			}
			call.Write("id: 2\ndata: event 2\n\n")
			return false
		})
	}
}

// TestSilentStreamIsKeptUntilAnotherInstanceTakesIt guards against a stream without an end
// because the VM left a silent instance, which went on later, and all others were full.
func TestSilentStreamIsKeptUntilAnotherInstanceTakesIt(t *testing.T) {
	vm := newTestVM(t)
	vm.startRejectingPair(1000)
	vm.mustStreamWhole()
}

// TestSilentStreamIsKeptWithoutRetryBudget guards against a stream without an end because the
// VM left a silent instance, and had no retry left after the next one was full for a moment.
func TestSilentStreamIsKeptWithoutRetryBudget(t *testing.T) {
	vm := newTestVM(t)
	vm.handler.RetryBudget = &singleRetry{RetryBudget: vm.handler.RetryBudget}
	vm.startRejectingPair(1)
	vm.mustStreamWhole()
}

// singleRetry is a budget of one retry.
type singleRetry struct {
	kumquathitch.RetryBudget
	asked atomic.Int64
}

func (b *singleRetry) Allow(string, time.Time) bool { return b.asked.Add(1) == 1 }
