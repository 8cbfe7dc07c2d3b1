package relay_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/standin"
)

const eventStream = "Content-Type: text/event-stream\r\nConnection: close\r\n"

// startPair adds two servers. The first one that gets a call plays first, the other one second.
func (vm *testVM) startPair(first, second func(call *standin.ScriptedCall)) *atomic.Int64 {
	sends := &atomic.Int64{}
	for _, id := range []string{"i-1", "i-2"} {
		vm.startScripted(id, func(call *standin.ScriptedCall) bool {
			if sends.Add(1) == 1 {
				first(call)
			} else {
				second(call)
			}
			return false
		})
	}
	return sends
}

// wait lets a server be silent.
func wait(d time.Duration) {
	<-time.NewTimer(d).C
}

// TestStreamOfBrokenServerKeepsItsSuccessor guards against a stream without an end because its
// silent server broke off while another one had the call and had not begun to answer: the VM
// ended that send, and its route allows no third one.
func TestStreamOfBrokenServerKeepsItsSuccessor(t *testing.T) {
	vm := newTestVM(t)
	vm.startPair(func(call *standin.ScriptedCall) {
		call.WriteHead("200 OK", eventStream+"Transfer-Encoding: chunked\r\n")
		call.Write("15\r\nid: 1\ndata: event 1\n\n\r\n")
		wait(1500 * time.Millisecond) // The VM looks for a successor after 1 s.
	}, func(call *standin.ScriptedCall) {
		wait(time.Second)
		call.WriteHead("200 OK", eventStream)
		call.Write("id: 2\ndata: event 2\n\n")
	})
	vm.mustStreamWhole()
}

// TestCallOfBrokenServerKeepsItsSuccessor is the same for a call that is not a stream.
func TestCallOfBrokenServerKeepsItsSuccessor(t *testing.T) {
	vm := newTestVM(t)
	vm.startPair(func(*standin.ScriptedCall) {
		wait(800 * time.Millisecond)
	}, func(call *standin.ScriptedCall) {
		wait(time.Second)
		call.WriteAnswer(call.ID)
	})
	got := vm.call("r1", "/read/1")
	must.NoError(t, got.err)
	must.Eq(t, 200, got.status)
}
