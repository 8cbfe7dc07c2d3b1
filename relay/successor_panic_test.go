package relay_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/standin"
)

// TestPanicInSearchEndsItsChoice guards against an instance that counts a call for ever, because
// an error ended the search for a successor after the instance was chosen.
func TestPanicInSearchEndsItsChoice(t *testing.T) {
	vm := newTestVM(t)
	vm.handler.Dialect = &secondHeadPanics{Dialect: vm.handler.Dialect}
	chooser := &countingChooser{Chooser: vm.fleet, done: make(chan struct{}, 8)}
	vm.handler.Chooser = chooser
	sends := vm.startPair(func(call *standin.ScriptedCall) {
		call.WriteHead("200 OK", eventStream)
		call.Write("id: 1\ndata: event 1\n\n")
		wait(1500 * time.Millisecond)
		call.Write("id: 2\ndata: event 2\n\n")
	}, func(call *standin.ScriptedCall) {
		call.WriteHead("200 OK", eventStream)
		call.Write("id: 2\ndata: event 2\n\n")
	})
	vm.mustStreamWhole()
	must.Eq(t, 2, sends.Load())
	for range chooser.chosen.Load() {
		select {
		case <-chooser.done:
		case <-time.After(2 * time.Second):
			t.Fatal("a choice has no end")
		}
	}
}

// secondHeadPanics panics at the head of the second response.
type secondHeadPanics struct {
	kumquathitch.Dialect
	heads atomic.Int64
}

func (d *secondHeadPanics) DecodeResponse(status int, header http.Header, now time.Time) kumquathitch.ResponseHead {
	if d.heads.Add(1) == 2 {
		panic("the second head")
	}
	return d.Dialect.DecodeResponse(status, header, now)
}

// countingChooser counts choices and their ends.
type countingChooser struct {
	kumquathitch.Chooser
	chosen atomic.Int64
	done   chan struct{}
}

func (c *countingChooser) Choose(criteria kumquathitch.InstanceCriteria, now time.Time) (kumquathitch.InstanceChoice, error) {
	choice, err := c.Chooser.Choose(criteria, now)
	if err == nil {
		c.chosen.Add(1)
	}
	return choice, err
}

func (c *countingChooser) Done(criteria kumquathitch.InstanceCriteria, choice kumquathitch.InstanceChoice, result kumquathitch.SendResult) {
	c.Chooser.Done(criteria, choice, result)
	c.done <- struct{}{}
}
