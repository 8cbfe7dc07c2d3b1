package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/standin"
)

// TestSilentStreamIsKeptUntilAnotherInstanceTakesIt guards against a stream without an end
// because the VM left a silent instance, which went on later, and all others were full.
func TestSilentStreamIsKeptUntilAnotherInstanceTakesIt(t *testing.T) {
	vm := newTestVM(t)
	for _, id := range []string{"i-1", "i-2"} {
		vm.startScripted(id, func(call *standin.ScriptedCall) bool {
			if call.Request.Header.Get("Last-Event-Id") != "" {
				call.WriteHead("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n")
				return true
			}
			call.WriteHead("200 OK", "Content-Type: text/event-stream\r\n")
			call.Write("id: 1\ndata: event 1\n\n")
			<-time.NewTimer(1500 * time.Millisecond).C // Longer than the least time without an event, 1 s.
			call.Write("id: 2\ndata: event 2\n\n")
			return false
		})
	}
	got := vm.call("r1", "/stream/plan/1")
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, 2, strings.Count(got.body, "data:"))
}
