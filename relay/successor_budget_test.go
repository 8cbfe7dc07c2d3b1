package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/standin"
)

// spentBudget is a retry budget that allows nothing.
type spentBudget struct {
	kumquathitch.RetryBudget
}

func (spentBudget) Allow(string, time.Time) bool { return false }

// TestSpentRetryBudgetAsksForNoSuccessor guards against calls to slow servers that ask the scheduler
// for a server again and again, and have it count assignments, although no retry is left.
func TestSpentRetryBudgetAsksForNoSuccessor(t *testing.T) {
	vm := newTestVM(t)
	vm.handler.Chooser = &schedulingChooser{Chooser: vm.fleet}
	vm.handler.RetryBudget = spentBudget{RetryBudget: vm.handler.RetryBudget}
	var asked atomic.Int64
	vm.schedule = func() error {
		asked.Add(1)
		return context.DeadlineExceeded // The VM chooses the server itself.
	}
	sends := vm.startPair(func(call *standin.ScriptedCall) {
		wait(1500 * time.Millisecond)
		call.WriteAnswer(call.ID)
	}, func(call *standin.ScriptedCall) { call.WriteAnswer(call.ID) })
	got := vm.call("r1", "/read/1")
	must.NoError(t, got.err)
	must.Eq(t, 200, got.status)
	must.Eq(t, 1, sends.Load())
	must.Eq(t, 1, asked.Load())
}
