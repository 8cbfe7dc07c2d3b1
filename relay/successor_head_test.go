package relay_test

import (
	"testing"
	"time"

	"kumquathitch.example/kumquathitch/standin"
)

// TestSilentStreamIsKeptUntilSuccessorSendsAnEvent guards against a stream that is taken from a
// silent server for another one that has sent the head of a response only, and falls silent too.
func TestSilentStreamIsKeptUntilSuccessorSendsAnEvent(t *testing.T) {
	vm := newTestVM(t)
	vm.startPair(func(call *standin.ScriptedCall) {
		call.WriteHead("200 OK", eventStream)
		call.Write("id: 1\ndata: event 1\n\n")
		wait(1500 * time.Millisecond)
		call.Write("id: 2\ndata: event 2\n\n")
	}, func(call *standin.ScriptedCall) {
		call.WriteHead("200 OK", eventStream)
		wait(10 * time.Second)
	})
	vm.mustStreamWhole()
}
