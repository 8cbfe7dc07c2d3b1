package relay_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/standin"
)

// counter counts the calls that reached a server.
type counter struct {
	mutex sync.Mutex
	calls int
}

func (c *counter) add() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls++
	return c.calls
}

func (c *counter) total() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls
}

// startPausing adds a server that rejects all of its calls and asks for a pause.
func (vm *testVM) startPausing(id, retryAfter string) *counter {
	reached := &counter{}
	vm.startScripted(id, func(call *standin.ScriptedCall) bool {
		reached.add()
		call.WriteHead("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: "+retryAfter+"\r\n")
		return true
	})
	return reached
}

// TestServerThatAsksForPauseGetsNoCalls guards against calls to a server within the time
// for which it wants none, and against losing calls that another server takes.
func TestServerThatAsksForPauseGetsNoCalls(t *testing.T) {
	for _, path := range []string{"/book/1", "/read/1", "/stream/plan/1"} {
		other := standin.NewInstance("i-2", "llm")
		vm := newTestVM(t, other)
		reached := vm.startPausing("i-1", "30")
		other.SetFaults(standin.InstanceFaults{RejectCalls: 10}) // Otherwise the call goes there first.
		for n := range 10 {
			vm.call(fmt.Sprint("rejected-", n), path)
		}
		must.Eq(t, 1, reached.total())
		other.SetFaults(standin.InstanceFaults{})
		for n := range 10 {
			got := vm.call(fmt.Sprint("taken-", n), path)
			must.NoError(t, got.err)
			must.Eq(t, 200, got.status)
		}
		must.Eq(t, 1, reached.total())
	}
}

// TestCallsAreRefusedWhileAllServersPause guards against holding a call that no server
// takes in time, and against a Retry-After that is earlier or later than the pause ends.
func TestCallsAreRefusedWhileAllServersPause(t *testing.T) {
	vm := newTestVM(t)
	one, two := vm.startPausing("i-1", "1"), vm.startPausing("i-2", "3")
	vm.call("first", "/book/1")
	vm.call("second", "/book/1")
	must.Eq(t, 2, one.total()+two.total())
	began := time.Now()
	got := vm.call("third", "/book/1")
	must.NoError(t, got.err)
	must.Eq(t, 503, got.status)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 0.3, seconds, 1)
	must.Less(t, 0.5, time.Since(began).Seconds()) // It was not held until the pause ended.
	must.Eq(t, 2, one.total()+two.total())
}

// TestCallWaitsForShortPause guards against refusing a call that a server takes in time.
func TestCallWaitsForShortPause(t *testing.T) {
	vm := newTestVM(t)
	reached := &counter{}
	vm.startScripted("i-1", func(call *standin.ScriptedCall) bool {
		if reached.add() == 1 {
			call.WriteHead("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: 0.05\r\n")
			return true
		}
		call.WriteAnswer(call.ID)
		return true
	})
	vm.call("first", "/book/1")
	got := vm.call("second", "/book/1")
	must.NoError(t, got.err)
	must.Eq(t, 200, got.status)
}

// TestLeavingServerGetsNoNewCalls guards against calls to a server after its first
// response that says that it leaves, and against losing that response.
func TestLeavingServerGetsNoNewCalls(t *testing.T) {
	vm := newTestVM(t, standin.NewInstance("i-2", "llm"))
	leaving := standin.NewInstance("i-1", "llm")
	vm.startInstance(leaving)
	leaving.SetFaults(standin.InstanceFaults{Leaving: true})
	for n := range 20 {
		got := vm.call(fmt.Sprint("r", n), "/stream/draft/1")
		must.NoError(t, got.err)
		must.Eq(t, 200, got.status)
	}
	must.LessEq(t, 1, len(leaving.RequestHeaders()))
}

// TestWaitingCallIsNotSentToPausedServer guards against calls that were given an instance
// before it asked for a pause, and are sent later.
func TestWaitingCallIsNotSentToPausedServer(t *testing.T) {
	vm := newTestVM(t, standin.NewInstance("i-1", "llm"), standin.NewInstance("i-2", "llm"))
	paused := ""
	vm.handler.Chooser = &withdrawingChooser{Chooser: vm.fleet, paused: &paused}
	got := vm.call("r1", "/book/1")
	must.NoError(t, got.err)
	must.Eq(t, 200, got.status)
	for _, instance := range vm.instances {
		if instance.ID == paused {
			must.Eq(t, 0, instance.Executions("r1"))
		}
	}
	must.MapEmpty(t, vm.fleet.LocalLoads())
}

// withdrawingChooser has the first instance that is chosen ask for a pause at once.
type withdrawingChooser struct {
	kumquathitch.Chooser
	paused *string
}

func (c *withdrawingChooser) Choose(criteria kumquathitch.InstanceCriteria, now time.Time) (kumquathitch.InstanceChoice, error) {
	choice, err := c.Chooser.Choose(criteria, now)
	if err == nil && *c.paused == "" {
		*c.paused = choice.Instance.ID
		c.ResponseStarted(choice, kumquathitch.ResponseHead{PausedUntil: now.Add(time.Minute)})
	}
	return choice, err
}
