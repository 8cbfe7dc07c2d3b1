package election_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/election"
	"kumquathitch.example/kumquathitch/standin"
)

// observeLeaderChanges passes each change of the leader's record on once, as a watch does.
func observeLeaderChanges(ctx context.Context, store *standin.Keyspace, c *election.Candidate) {
	seen := kumquathitch.KeyItem{Revision: 1} // Not yet observed.
	for ctx.Err() == nil {
		advance(20 * time.Millisecond)
		if leader, err := store.Read(ctx, "kumquathitch/leader"); err == nil && leader.Revision != seen.Revision {
			c.ObserveLeader(leader)
			seen = leader
		}
	}
}

// TestHandoverRemovesRecordSeenFirst guards against a handover that leaves the record until its lease ends, for 1.5 s without a
// leader: the watch has shown the record before the response to its write, whose revision is that of another key.
func TestHandoverRemovesRecordSeenFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewKeyspace(clock.NewSystem())
		store.Put("other/key", nil)
		slow := newLink(store)
		slow.ChangeFaults(func(f *standin.LinkFaults) { f.AnswerDelay = 200 * time.Millisecond })
		ctx, stop := context.WithCancel(t.Context())
		weak := kumquathitch.Member{Name: "one", Capacity: 1}
		one := &candidate{Candidate: election.NewCandidate(slow, clock.NewSystem(), weak, timing, zap.NewNop()), stop: stop}
		one.end = one.Run(ctx)
		defer stopAll(one)
		go observeLeaderChanges(ctx, store, one.Candidate)
		advance(4 * time.Second)
		_, leading := one.CurrentTerm()
		must.True(t, leading)
		slow.ChangeFaults(func(f *standin.LinkFaults) { f.AnswerDelay = 0 })
		one.ObserveMembers([]kumquathitch.Member{weak, {Name: "two", Capacity: 10}})
		advance(800 * time.Millisecond) // More than the time between two renewals.
		_, leading = one.CurrentTerm()
		must.False(t, leading)
		leader, err := store.Read(ctx, "kumquathitch/leader")
		must.NoError(t, err)
		must.Eq(t, 0, leader.Revision)
	})
}
