package election_test

import (
	"context"
	"encoding/json"
	"fmt"
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

func newLink(store *standin.Keyspace) *standin.KeyspaceLink {
	return standin.NewKeyspaceLink(store, time.Millisecond, time.Second)
}

// TestOneLeaderAfterRestore guards against a VM that wins an election after the store was restored from a copy
// without the leader's record, while the leader still counts on its lease; also a VM that starts then.
func TestOneLeaderAfterRestore(t *testing.T) {
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprint("started after the restore ", started), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewKeyspace(clock.NewSystem())
				link := newLink(store)
				one := startCandidate(t, link, "one")
				advance(time.Second)
				first, leading := one.CurrentTerm()
				must.True(t, leading)
				must.True(t, first.IsFirst)
				all := []*candidate{one}
				if !started {
					all = append(all, startCandidate(t, newLink(store), "two"))
					advance(time.Second)
				}
				copied := store.Copy()
				advance(3 * time.Second)
				link.ChangeFaults(func(f *standin.LinkFaults) { f.Silent = true }) // It learns nothing of the restore.
				store.Restore(copied, true)                                        // All leases of the copy have run out.
				if started {
					all = append(all, startCandidate(t, newLink(store), "two"))
				}
				for range 200 {
					advance(20 * time.Millisecond)
					count, _ := leaders(all...)
					must.LessEq(t, 1, count)
				}
				second, leading := all[1].CurrentTerm()
				must.True(t, leading)
				must.False(t, second.IsFirst)
				must.Greater(t, first.Fence, second.Fence)
				link.ChangeFaults(func(f *standin.LinkFaults) { f.Silent = false })
				stopAll(all...)
			})
		})
	}
}

// TestNoSecondFirstTerm guards against a leader that takes its term for the first one of all, since the copy that
// the store was restored from is older than the first election.
func TestNoSecondFirstTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewKeyspace(clock.NewSystem())
		copied := store.Copy()
		one, two := startCandidate(t, newLink(store), "one"), startCandidate(t, newLink(store), "two")
		advance(2 * time.Second)
		store.Restore(copied, true)
		advance(6 * time.Second)
		count, _ := leaders(one, two)
		must.Eq(t, 1, count)
		for _, c := range []*candidate{one, two} {
			term, _ := c.CurrentTerm()
			must.False(t, term.IsFirst)
		}
		stopAll(one, two)
	})
}

// TestRecordUnderForeignLeaseIsRemoved guards against a fleet without a leader: a write that took effect after a restore
// has bound a leader's record to the lease of another VM, which renews it.
func TestRecordUnderForeignLeaseIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewKeyspace(clock.NewSystem())
		other := newLink(store)
		lease, err := other.Grant(t.Context(), time.Hour)
		must.NoError(t, err)
		member := kumquathitch.Member{Name: "one", Address: "one:1", Started: time.Now()}
		record, err := json.Marshal(member)
		must.NoError(t, err)
		_, err = other.Write(t.Context(), kumquathitch.KeyWrite{Set: []kumquathitch.KeyItem{{Key: "kumquathitch/leader", Value: record, Lease: lease.ID}}})
		must.NoError(t, err)
		one := fleetCandidate(t.Context(), newLink(store), member, 100*time.Millisecond)
		advance(4 * time.Second)
		_, leading := one.CurrentTerm()
		must.True(t, leading)
		stopAll(one)
	})
}

// TestFirstTermWhoseRecordIsSeenFirst guards against a first term that does not count as one, because the watch has
// shown the leader's record before the response to its write came.
func TestFirstTermWhoseRecordIsSeenFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewKeyspace(clock.NewSystem())
		slow := newLink(store)
		slow.ChangeFaults(func(f *standin.LinkFaults) { f.AnswerDelay = 200 * time.Millisecond })
		ctx, stop := context.WithCancel(t.Context())
		one := &candidate{Candidate: election.NewCandidate(slow, clock.NewSystem(), kumquathitch.Member{Name: "one"}, timing, zap.NewNop()), stop: stop}
		one.end = one.Run(ctx)
		go watchLeader(ctx, newLink(store), one.Candidate)
		advance(3 * time.Second)
		term, leading := one.CurrentTerm()
		must.True(t, leading)
		must.True(t, term.IsFirst)
		stopAll(one)
	})
}
