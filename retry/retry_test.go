package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/retry"
)

var start = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

// TestBudgetHoldsInEveryWindow guards against more retries of all VMs together
// than the deployment allows, in any window.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retry.Limits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		members := rapid.IntRange(1, 5).Draw(t, "members")
		budgets := make([]*retry.Budget, members)
		for i := range budgets {
			budgets[i] = retry.NewBudget(limits, start)
			budgets[i].SetMemberCount(members)
		}
		var calls, retries []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, members-1).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "arrival") {
				b.RecordCall("dispatch", now)
				calls = append(calls, now)
			} else if b.Allow("dispatch", now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			retryCount, callCount := countWithin(retries, end, limits.Window), countWithin(calls, end, 2*limits.Window)
			if float64(retryCount) > limits.Ratio*float64(callCount)+limits.Slack {
				t.Fatalf("%d retries for %d calls before %s", retryCount, callCount, end)
			}
		}
	})
}

func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			count++
		}
	}
	return count
}

// TestCrashesOfAllVMsAddUp guards against a call that crashes one instance
// after another because each VM observes only one of the crashes.
func TestCrashesOfAllVMsAddUp(t *testing.T) {
	leader, one, two := retry.NewCrashGuard(), retry.NewCrashGuard(), retry.NewCrashGuard()
	const call, innocent = 77, 78
	one.RecordCrash(call, start)
	one.RecordCrash(innocent, start)
	two.RecordCrash(call, start)
	leader.RecordCrash(call, start)
	leader.Merge("one", one.TakeUnreported("leader", start), start)
	leader.Merge("two", two.TakeUnreported("leader", start), start)
	one.Merge("", leader.BlockedCounts("one", start), start)
	must.True(t, leader.Blocked(call, start))
	must.True(t, one.Blocked(call, start))
	must.False(t, two.Blocked(call, start))
	must.False(t, leader.Blocked(innocent, start))
	must.False(t, leader.Blocked(call, start.Add(2*time.Minute)))
}

// TestSuccessClearsCrashes guards against blocking a frequent call because several of
// its responses were lost.
func TestSuccessClearsCrashes(t *testing.T) {
	guard := retry.NewCrashGuard()
	for range 5 {
		guard.RecordCrash(5, start)
		guard.RecordSuccess(5)
		must.False(t, guard.Blocked(5, start))
	}
	for range 3 {
		guard.RecordCrash(5, start)
	}
	must.True(t, guard.Blocked(5, start))
}

// TestUndeliveredCountsAreReportedAgain guards against counts that are lost with the
// message that carried them.
func TestUndeliveredCountsAreReportedAgain(t *testing.T) {
	guard := retry.NewCrashGuard()
	guard.RecordCrash(5, start)
	counts := guard.TakeUnreported("leader", start)
	must.Len(t, 1, counts)
	must.Len(t, 0, guard.TakeUnreported("leader", start))
	guard.MarkUnreported(counts)
	must.Len(t, 1, guard.TakeUnreported("leader", start))
}

// TestNewLeaderGetsCrashCounts guards against counts that are lost with the leader.
func TestNewLeaderGetsCrashCounts(t *testing.T) {
	guard := retry.NewCrashGuard()
	guard.RecordCrash(5, start)
	must.Len(t, 1, guard.TakeUnreported("leader", start))
	must.Len(t, 1, guard.TakeUnreported("next-leader", start))
	must.Len(t, 0, guard.TakeUnreported("another", start.Add(2*time.Minute)))
}

// TestCountsOfInnocentCallsAreNotShared guards against messages to all VMs that grow
// with the number of calls on crashed engines.
func TestCountsOfInnocentCallsAreNotShared(t *testing.T) {
	leader := retry.NewCrashGuard()
	for call := range uint64(400) {
		leader.Merge("entry-1", kumquathitch.Suspects{{Fingerprint: call, Crashes: 1}}, start)
	}
	must.Len(t, 0, leader.BlockedCounts("entry-2", start))
	for call := range uint64(400) {
		leader.Merge("entry-3", kumquathitch.Suspects{{Fingerprint: call, Crashes: 2}}, start)
	}
	must.LessEq(t, 128, len(leader.BlockedCounts("entry-2", start)))
	must.Greater(t, 0, len(leader.BlockedCounts("entry-2", start)))
}

// TestCrashRecordsAreBounded guards against callers that exhaust the memory of a VM.
func TestCrashRecordsAreBounded(t *testing.T) {
	guard := retry.NewCrashGuard()
	for i := range uint64(20_000) {
		guard.RecordCrash(i, start.Add(time.Duration(i)*time.Millisecond))
	}
	must.LessEq(t, 8*512, len(guard.TakeUnreported("leader", start)))
}
