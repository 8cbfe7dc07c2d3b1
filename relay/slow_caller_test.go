package relay_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/standin"
)

const (
	unreadLimit = time.Second     // A server cuts off a response that stays unread for so long.
	callerPause = 2 * time.Second // Before the caller begins to read.
)

// writeOrCutOff writes a part of a response, as a server that cuts off slow readers.
func writeOrCutOff(call *standin.ScriptedCall, part []byte) bool {
	_ = call.Conn.SetWriteDeadline(time.Now().Add(unreadLimit))
	_, err := call.Conn.Write(part)
	return err == nil
}

// callSlowly sends a call, and reads its response only after callerPause.
func (vm *testVM) callSlowly(path string) callResult {
	vm.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(vm.address, "http://"))
	must.NoError(vm.t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(vm.t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	request, err := http.NewRequestWithContext(vm.t.Context(), http.MethodPost, vm.address+path, strings.NewReader("body"))
	must.NoError(vm.t, err)
	request.Host = "a.example"
	request.Header = http.Header{"Request-Id": {"r1"}, "Api-Key": {apiKey}, "Deadline-Ms": {"4000"}}
	must.NoError(vm.t, request.Write(conn))
	time.Sleep(callerPause)
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, body: string(body), err: err}
}

// TestSlowCallerDoesNotHoldResponse guards against a server that cuts off a response because
// its caller reads slowly. What the VM holds meanwhile is in its buffers.
func TestSlowCallerDoesNotHoldResponse(t *testing.T) {
	vm := newTestVM(t)
	body := bytes.Repeat([]byte("x"), 6<<20)
	vm.startScripted("i-1", func(call *standin.ScriptedCall) bool {
		call.WriteHead("200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		return writeOrCutOff(call, body)
	})
	got := vm.callSlowly("/book/1")
	must.NoError(t, got.err)
	must.Eq(t, 200, got.status)
	must.Eq(t, len(body), len(got.body))
}

// startStream adds a server that streams events of a size as fast as they are read.
func (vm *testVM) startStream(events, size int) {
	vm.startScripted("i-1", func(call *standin.ScriptedCall) bool {
		call.WriteHead("200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n")
		for n := 1; n <= events && writeOrCutOff(call, fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, bytes.Repeat([]byte("x"), size))); n++ {
		}
		return false
	})
}

// TestSlowCallerDoesNotHoldStream is the same for a stream of a megabyte, which the sockets hold.
func TestSlowCallerDoesNotHoldStream(t *testing.T) {
	vm := newTestVM(t)
	vm.startStream(64, 16<<10)
	got := vm.callSlowly("/stream/draft/1")
	must.NoError(t, got.err)
	must.Eq(t, 64, strings.Count(got.body, "data:"))
}

// TestSlowCallerDoesNotHoldLargeStream is the same for one that the sockets do not hold, and
// that is within the limit of the buffers.
func TestSlowCallerDoesNotHoldLargeStream(t *testing.T) {
	vm := newTestVM(t)
	vm.startStream(224, 64<<10)
	got := vm.callSlowly("/stream/draft/1")
	must.NoError(t, got.err)
	must.Eq(t, 224, strings.Count(got.body, "data:"))
}

// TestFullPlainInstancesRefuseTruthfully guards against a refusal of a plain service that
// speaks of models, or asks its callers to stay away for as long as a model loads.
func TestFullPlainInstancesRefuseTruthfully(t *testing.T) {
	vm := newTestVM(t, standin.NewInstance("i-1", "llm"))
	vm.handler.Chooser = &schedulingChooser{Chooser: vm.fleet}
	vm.scheduleError = &kumquathitch.EnginesFullError{Service: "llm", AvailableAt: time.Now().Add(100 * time.Millisecond)}
	got := vm.call("r1", "/book/1")
	must.Eq(t, 503, got.status)
	must.StrHasPrefix(t, "instances-full: ", got.body)
	must.StrNotContains(t, got.body, "model")
	must.Eq(t, 0, vm.runCount("r1"))
	wait, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
	must.NoError(t, err)
	must.Between(t, 500*time.Millisecond, wait, time.Second)
}

// schedulingChooser has the scheduler assign all calls.
type schedulingChooser struct {
	kumquathitch.Chooser
}

func (c *schedulingChooser) Scheduled(kumquathitch.InstanceCriteria, time.Time) bool { return true }
