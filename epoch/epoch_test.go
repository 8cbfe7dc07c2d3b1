package epoch_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/epoch"
	"kumquathitch.example/kumquathitch/standin"
)

// newLink returns a store that has been written to, and one VM's link to it.
func newLink() (*standin.Keyspace, *standin.KeyspaceLink) {
	store := standin.NewKeyspace(clock.NewSystem())
	store.Put("a", []byte("first"))
	return store, standin.NewKeyspaceLink(store, 0, time.Second)
}

// TestRevisionsRiseOverRestores guards against a later state that has a lower revision than an
// earlier one, and against numbers that lose their epoch or the store's own number.
func TestRevisionsRiseOverRestores(t *testing.T) {
	must.Eq(t, 7, kumquathitch.RevisionInEpoch(0, 7))
	must.Eq(t, 0, kumquathitch.RevisionInEpoch(3, 0))
	must.Less(t, kumquathitch.RevisionInEpoch(4, 1), kumquathitch.RevisionInEpoch(3, 1<<40-1))
	must.Less(t, 1<<53, kumquathitch.RevisionInEpoch(kumquathitch.MaxEpoch, 1<<40-1))
	number, own := kumquathitch.SplitRevision(kumquathitch.RevisionInEpoch(kumquathitch.MaxEpoch, 1<<40-1))
	must.Eq(t, kumquathitch.MaxEpoch, number)
	must.Eq(t, 1<<40-1, own)

	store, link := newLink()
	copied := store.Copy()
	last := store.Put("a", []byte("second"))
	store.Restore(copied, false)
	all, err := link.Scan(t.Context(), "", false)
	must.NoError(t, err)
	must.Eq(t, "first", string(all.Items[0].Value))
	must.Greater(t, last, all.Revision)
	must.Greater(t, last, all.Items[0].Revision)
}

// TestHistoryOfEarlierEpochIsLost guards against changes that are skipped, because the store gave
// their revisions out before the restore too.
func TestHistoryOfEarlierEpochIsLost(t *testing.T) {
	store, link := newLink()
	copied := store.Copy()
	last := store.Put("a", []byte("second"))
	store.Restore(copied, false)
	store.Put("a", []byte("third")) // With the own revision of the second.
	var lost *kumquathitch.HistoryLostError
	_, err := link.Follow(t.Context(), "", last, 100*time.Millisecond)
	must.True(t, errors.As(err, &lost), must.Sprint(err))
	last = store.Put("a", []byte("fourth"))
	watched := make(chan error, 1)
	go func() {
		_, err := link.Follow(context.WithoutCancel(t.Context()), "", last, time.Second)
		watched <- err
	}()
	store.Restore(copied, false)
	must.True(t, errors.As(<-watched, &lost))
}

// TestWatchEndsWithItsEpoch guards against a VM that learns of a restore only when its watch times
// out, because the store has passed the revision that it waits for.
func TestWatchEndsWithItsEpoch(t *testing.T) {
	store, link := newLink()
	copied := store.Copy()
	last := store.Put("a", []byte("second"))
	store.Restore(copied, false)
	store.Put("a", []byte("third"))
	watched := make(chan error, 1)
	go func() {
		_, err := link.Follow(context.WithoutCancel(t.Context()), "", last, time.Minute)
		watched <- err
	}()
	_, err := link.Read(t.Context(), "a")
	must.NoError(t, err)
	var lost *kumquathitch.HistoryLostError
	must.True(t, errors.As(<-watched, &lost))
}

// TestLeasesOfEarlierEpochHaveEnded guards against a VM that holds, renews or ends a lease whose
// number the store has granted to another VM since it was restored.
func TestLeasesOfEarlierEpochHaveEnded(t *testing.T) {
	store, link := newLink()
	copied := store.Copy()
	lease, err := link.Grant(t.Context(), time.Minute)
	must.NoError(t, err)
	store.Restore(copied, false)
	other := standin.NewKeyspaceLink(store, 0, time.Second)
	granted, err := other.Grant(t.Context(), time.Minute)
	must.NoError(t, err)
	must.NotEq(t, lease.ID, granted.ID)
	_, err = other.Write(t.Context(), kumquathitch.KeyWrite{Set: []kumquathitch.KeyItem{{Key: "held", Lease: granted.ID}}})
	must.NoError(t, err)

	var ended *kumquathitch.LeaseEndedError
	_, err = link.Renew(t.Context(), lease)
	must.True(t, errors.As(err, &ended), must.Sprint(err))
	must.NoError(t, link.Release(t.Context(), lease))
	_, err = link.Write(t.Context(), kumquathitch.KeyWrite{Set: []kumquathitch.KeyItem{{Key: "b", Lease: lease.ID}}})
	must.True(t, errors.As(err, &ended), must.Sprint(err))
	_, err = other.Renew(t.Context(), granted)
	must.NoError(t, err)
	held, err := other.Read(t.Context(), "held")
	must.NoError(t, err)
	must.Eq(t, granted.ID, held.Lease)
}

// TestWriteOverRestoreIsUnknown guards against a write that counts as done, although its condition
// held for another value with the same revision of the store.
func TestWriteOverRestoreIsUnknown(t *testing.T) {
	store, link := newLink()
	copied := store.Copy()
	last := store.Put("a", []byte("second"))
	write := kumquathitch.KeyWrite{Expect: []kumquathitch.KeyItem{{Key: "a", Revision: last}}, Set: []kumquathitch.KeyItem{{Key: "a", Value: []byte("mine")}}}
	store.Restore(copied, false)
	store.Put("a", []byte("third"))
	_, err := link.Write(t.Context(), write)
	var failed *kumquathitch.StoreError
	must.True(t, errors.As(err, &failed) && failed.Unknown, must.Sprint(err))
	_, err = link.Write(t.Context(), write) // The epoch is known now.
	var conflict *kumquathitch.ConflictError
	must.True(t, errors.As(err, &conflict), must.Sprint(err))
}

// lateStore answers reads and writes from the epoch before.
type lateStore struct {
	kumquathitch.EpochKeyspace
	epoch uint64
	own   uint64
}

func (s *lateStore) Read(_ context.Context, key string) (kumquathitch.KeyItem, kumquathitch.ResponseEpoch, error) {
	return kumquathitch.KeyItem{Key: key, Revision: s.own}, kumquathitch.ResponseEpoch{Number: s.epoch, Known: true}, nil
}

func (s *lateStore) Write(context.Context, kumquathitch.KeyWrite) (uint64, kumquathitch.ResponseEpoch, error) {
	return s.own, kumquathitch.ResponseEpoch{Number: s.epoch, Known: true}, nil
}

// TestLateAnswersOfEarlierEpochAreNotUsed guards against an answer from before a restore that
// arrives after answers from after it, and against numbers beyond the bounds.
func TestLateAnswersOfEarlierEpochAreNotUsed(t *testing.T) {
	store := &lateStore{epoch: 2, own: 9}
	keyspace := epoch.NewKeyspace(store)
	_, err := keyspace.Read(t.Context(), "a")
	must.NoError(t, err)
	for _, late := range []lateStore{{epoch: 1, own: 9}, {epoch: kumquathitch.MaxEpoch + 1, own: 9}, {epoch: 2, own: 1 << 40}} {
		store.epoch, store.own = late.epoch, late.own
		var failed *kumquathitch.StoreError
		_, err = keyspace.Read(t.Context(), "a")
		must.True(t, errors.As(err, &failed), must.Sprint(err))
		_, err = keyspace.Write(t.Context(), kumquathitch.KeyWrite{})
		must.True(t, errors.As(err, &failed) && failed.Unknown, must.Sprint(err))
	}
}
