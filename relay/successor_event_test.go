package relay_test

import (
	"testing"
	"time"

	"kumquathitch.example/kumquathitch/standin"
)

// TestEventAtEndOfWaitKeepsStream guards against a stream without an end because events of the
// silent server arrived with the end of the wait for it, and its successor was dropped for them.
func TestEventAtEndOfWaitKeepsStream(t *testing.T) {
	vm := newTestVM(t)
	vm.startPair(func(call *standin.ScriptedCall) {
		call.WriteHead("200 OK", eventStream+"Transfer-Encoding: chunked\r\n")
		call.Write("2a\r\nid: 1\ndata: event 1\n\n") // The first event of a chunk of two.
		wait(1500 * time.Millisecond)
		call.Write("id: 2\ndata: event 2\n\n\r\n0\r\n\r\n")
	}, func(call *standin.ScriptedCall) {
		call.WriteHead("200 OK", eventStream)
		if call.Request.Header.Get("Last-Event-Id") == "" {
			call.Write("id: 1\ndata: event 1\n\n")
		}
		call.Write("id: 2\ndata: event 2\n\n")
	})
	vm.mustStreamWhole()
}
