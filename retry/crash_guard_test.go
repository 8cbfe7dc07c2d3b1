package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/retry"
)

// crash records crashes of different engines, a second apart, on connections that were
// opened before. It returns the time of the last one.
func crash(guard *retry.CrashGuard, content uint64, from time.Time, engines ...string) time.Time {
	for i, id := range engines {
		if i > 0 {
			from = from.Add(time.Second)
		}
		guard.RecordCrash(content, engine(id), from.Add(-time.Minute), from)
	}
	return from
}

func isBlocked(guard *retry.CrashGuard, content uint64, now time.Time) bool {
	_, blocked := guard.BlockedUntil(content, now)
	return blocked
}

// TestCrashesOfAllVMsAddUp guards against a call that crashes one instance
// after another because each VM observes only one of the crashes.
func TestCrashesOfAllVMsAddUp(t *testing.T) {
	leader, one, two := retry.NewCrashGuard("leader"), retry.NewCrashGuard("one"), retry.NewCrashGuard("two")
	const call, innocent = 77, 78
	crash(one, call, start, "i-1")
	crash(one, innocent, start, "i-1")
	crash(two, call, start, "i-2")
	crash(leader, call, start, "i-3")
	leader.Merge(one.TakeReport("leader", start), start)
	leader.Merge(two.TakeReport("leader", start), start)
	one.Merge(leader.Suspects(start), start)
	must.True(t, isBlocked(leader, call, start))
	must.True(t, isBlocked(one, call, start))
	must.False(t, isBlocked(two, call, start))
	must.False(t, isBlocked(leader, innocent, start))
	must.True(t, isBlocked(leader, call, start.Add(2*time.Minute)))
}

// TestAnswerClearsCrashes guards against blocking a frequent call because several of its
// responses were lost.
func TestAnswerClearsCrashes(t *testing.T) {
	guard := retry.NewCrashGuard("vm")
	now := start
	for n := range 5 {
		now = crash(guard, 5, now.Add(time.Second), fmt.Sprint("i-", n))
		guard.RecordAnswer(5, now.Add(time.Millisecond))
		must.False(t, isBlocked(guard, 5, now.Add(2*time.Second)))
	}
	now = crash(guard, 5, now.Add(time.Second), "i-6", "i-7", "i-8")
	must.True(t, isBlocked(guard, 5, now.Add(time.Second)))
}

// TestAnswerOnAnotherVMClearsCrashes guards against blocking a call that other VMs get
// answers to.
func TestAnswerOnAnotherVMClearsCrashes(t *testing.T) {
	leader, one, two := retry.NewCrashGuard("leader"), retry.NewCrashGuard("one"), retry.NewCrashGuard("two")
	now := crash(one, 5, start, "i-1", "i-2", "i-3")
	two.RecordAnswer(5, now.Add(time.Millisecond))
	now = now.Add(500 * time.Millisecond)
	leader.Merge(one.TakeReport("leader", now), now)
	two.Merge(leader.Suspects(now), now)
	leader.Merge(two.TakeReport("leader", now), now)
	one.Merge(leader.Suspects(now), now)
	for _, guard := range []*retry.CrashGuard{leader, one, two} {
		must.False(t, isBlocked(guard, 5, now.Add(time.Second)))
	}
}

// TestConnectionsClosedByOneInstanceCountOnce guards against blocking a call because an
// instance closed the idle connections that it was sent on.
func TestConnectionsClosedByOneInstanceCountOnce(t *testing.T) {
	guard := retry.NewCrashGuard("vm")
	for n := range 10 {
		guard.RecordCrash(5, engine("i-1"), start, start.Add(time.Duration(n+1)*time.Second))
	}
	must.False(t, isBlocked(guard, 5, start.Add(10*time.Second)))
	for n := range 3 { // Connections that it accepted later.
		at := start.Add(time.Duration(n+20) * time.Second)
		guard.RecordCrash(5, engine("i-1"), at, at.Add(time.Millisecond))
	}
	must.True(t, isBlocked(guard, 5, start.Add(30*time.Second)))
}

// TestUndeliveredCrashesAreReportedAgain guards against crashes that are lost with the
// message that carried them.
func TestUndeliveredCrashesAreReportedAgain(t *testing.T) {
	guard := retry.NewCrashGuard("vm")
	crash(guard, 5, start, "i-1")
	report := guard.TakeReport("leader", start)
	must.Len(t, 1, report)
	must.Len(t, 0, guard.TakeReport("leader", start))
	guard.MarkUnreported(report)
	must.Len(t, 1, guard.TakeReport("leader", start))
}

// TestNewLeaderGetsCrashes guards against crashes that are lost with the leader, also those
// that were observed by VMs that are lost as well.
func TestNewLeaderGetsCrashes(t *testing.T) {
	guard, other, next := retry.NewCrashGuard("vm"), retry.NewCrashGuard("other"), retry.NewCrashGuard("next")
	now := crash(guard, 5, start, "i-1", "i-2", "i-3")
	must.Len(t, 1, guard.TakeReport("leader", now))
	must.Len(t, 1, guard.TakeReport("next-leader", now))
	other.Merge(guard.Suspects(now), now)
	next.Merge(other.TakeReport("next", now), now)
	must.True(t, isBlocked(next, 5, now))
	must.Len(t, 0, guard.TakeReport("another", now.Add(3*time.Hour)))
}

// TestCrashesOfInnocentCallsAreNotShared guards against messages to all VMs that grow
// with the number of calls on crashed engines.
func TestCrashesOfInnocentCallsAreNotShared(t *testing.T) {
	leader, one, two := retry.NewCrashGuard("leader"), retry.NewCrashGuard("one"), retry.NewCrashGuard("two")
	exchange := func(vm *retry.CrashGuard, now time.Time) {
		for range 10 { // A report has room for a part of them only.
			leader.Merge(vm.TakeReport("leader", now), now)
		}
	}
	for call := range uint64(400) {
		crash(one, call, start, "i-1")
	}
	exchange(one, start)
	must.Len(t, 0, leader.Suspects(start))
	for call := range uint64(400) { // Nor are those that were answered since.
		one.RecordAnswer(call, start.Add(time.Second))
	}
	exchange(one, start.Add(time.Second))
	must.Len(t, 0, leader.Suspects(start.Add(time.Second)))
	for call := range uint64(400) {
		crash(two, call, start.Add(2*time.Second), "i-2", "i-3")
	}
	exchange(two, start.Add(3*time.Second))
	must.LessEq(t, 64, len(leader.Suspects(start.Add(3*time.Second))))
	must.Greater(t, 0, len(leader.Suspects(start.Add(3*time.Second))))
}

// TestCrashRecordsAreBounded guards against callers that exhaust the memory of a VM, and
// against losing a call that crashed two engines among many that crashed one.
func TestCrashRecordsAreBounded(t *testing.T) {
	guard := retry.NewCrashGuard("vm")
	now := crash(guard, 1<<40, start, "i-1", "i-2")
	for content := range uint64(20_000) {
		guard.RecordCrash(content, engine("i-3"), start, now.Add(time.Duration(content)*time.Millisecond))
	}
	now = now.Add(20 * time.Second)
	reported := kumquathitch.Suspects{}
	for report := guard.TakeReport("leader", now); len(report) > 0; report = guard.TakeReport("leader", now) {
		reported = append(reported, report...)
	}
	must.LessEq(t, 8*256, len(reported))
	crash(guard, 1<<40, now, "i-4")
	must.True(t, isBlocked(guard, 1<<40, now))
}
