package relay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/standin"
)

// TestSilentCallIsNotSentWithoutBound guards against a call to a slow server that is sent to
// full ones again and again. Its route allows two attempts, and two more sends that are rejected.
func TestSilentCallIsNotSentWithoutBound(t *testing.T) {
	vm := newTestVM(t)
	sends := vm.startPair(func(call *standin.ScriptedCall) {
		wait(3 * time.Second)
		call.WriteAnswer(call.ID)
	}, func(call *standin.ScriptedCall) {
		call.WriteHead("503 Service Unavailable", "Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n")
	})
	got := vm.call("r1", "/read/1")
	must.NoError(t, got.err)
	must.Eq(t, 200, got.status)
	must.LessEq(t, 4, sends.Load())
}
