package relay_test

import (
	"context"
	"strings"
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
		vm.startScripted(id, streamWithPause)
	}
}

const pausingStream = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"

func streamWithPause(call *standin.ScriptedCall) bool {
	call.WriteHead("200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n")
	call.Write("id: 1\ndata: event 1\n\n")
	<-time.NewTimer(1500 * time.Millisecond).C
	call.Write("id: 2\ndata: event 2\n\n")
	return false
}

// mustStreamWhole calls a stream that may be resumed, and checks that all of it arrives.
func (vm *testVM) mustStreamWhole() {
	vm.t.Helper()
	got := vm.call("r1", "/stream/plan/1")
	must.NoError(vm.t, got.err)
	must.Eq(vm.t, pausingStream, got.body)
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

// TestSilentStreamWithFullSuccessorGoesOn guards against a stream that is taken from a silent
// server for another one that turns it away.
func TestSilentStreamWithFullSuccessorGoesOn(t *testing.T) {
	vm := newTestVM(t)
	reject := func(call *standin.ScriptedCall) bool {
		call.WriteHead("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n")
		return true
	}
	begun := make(chan struct{})
	var sends atomic.Int64
	vm.startScripted("i-1", func(call *standin.ScriptedCall) bool {
		if sends.Add(1) > 1 {
			return reject(call)
		}
		close(begun)
		return streamWithPause(call)
	})
	result := make(chan callResult, 1)
	go func() { result <- vm.call("r1", "/stream/plan/1") }()
	<-begun
	vm.startScripted("i-2", reject)
	got := <-result
	must.NoError(t, got.err)
	must.Eq(t, pausingStream, got.body)
}

// TestHeadAtTimeoutIsNotMoved guards against a call that is taken from its server although the
// head of the response arrives just when the wait for it ends.
func TestHeadAtTimeoutIsNotMoved(t *testing.T) {
	vm := newTestVM(t)
	asked, heard := make(chan struct{}), make(chan struct{}, 16)
	vm.handler.Chooser = &signallingChooser{Chooser: vm.fleet, asked: asked, heard: heard}
	vm.handler.CrashDetector = &signallingDetector{CrashDetector: vm.crashes, heard: heard}
	var sends atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		vm.startScripted(id, func(call *standin.ScriptedCall) bool {
			if sends.Add(1) == 1 {
				<-asked
			}
			call.WriteHead("200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n")
			<-time.NewTimer(50 * time.Millisecond).C
			call.Write("id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n")
			return false
		})
	}
	got := vm.call("r1", "/stream/plan/1")
	must.NoError(t, got.err)
	must.Eq(t, 2, strings.Count(got.body, "data:"))
	must.Eq(t, 1, sends.Load())
}

// signallingChooser has the server send the head of its response while the VM looks for an
// alternative, which it does only when the wait for the head has ended.
type signallingChooser struct {
	kumquathitch.Chooser
	asked, heard chan struct{}
}

func (c *signallingChooser) HasAlternative(criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice, now time.Time) bool {
	close(c.asked)
	<-c.heard
	return c.Chooser.HasAlternative(criteria, choice, now)
}

// signallingDetector signals that the VM has read bytes of a server.
type signallingDetector struct {
	kumquathitch.CrashDetector
	heard chan struct{}
}

func (d *signallingDetector) RecordBytes(instance *kumquathitch.Instance, connected, now time.Time) {
	d.CrashDetector.RecordBytes(instance, connected, now)
	select {
	case d.heard <- struct{}{}:
	default:
	}
}
