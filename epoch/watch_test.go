package epoch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/epoch"
)

// silentWatchStore answers reads in epoch 1, and watches never.
type silentWatchStore struct {
	kumquathitch.EpochKeyspace
}

func (silentWatchStore) Read(context.Context, string) (kumquathitch.KeyItem, kumquathitch.ResponseEpoch, error) {
	return kumquathitch.KeyItem{}, kumquathitch.ResponseEpoch{Number: 1, Known: true}, nil
}

func (silentWatchStore) Follow(ctx context.Context, _ string, _ uint64, _ time.Duration) (kumquathitch.KeyChanges, kumquathitch.ResponseEpoch, error) {
	<-ctx.Done()
	return kumquathitch.KeyChanges{}, kumquathitch.ResponseEpoch{}, ctx.Err()
}

// TestWaitingWatchEndsAtOnce guards against a watch that is already waiting when another call learns of a restore, and
// goes on to wait.
func TestWaitingWatchEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keyspace := epoch.NewKeyspace(silentWatchStore{})
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		watched := make(chan error, 1)
		go func() {
			_, err := keyspace.Follow(ctx, "", 1, time.Minute)
			watched <- err
		}()
		synctest.Wait() // The watch waits.
		began := time.Now()
		_, err := keyspace.Read(ctx, "a")
		must.NoError(t, err)
		var lost *kumquathitch.HistoryLostError
		must.True(t, errors.As(<-watched, &lost))
		must.Eq(t, 0, time.Since(began))
	})
}
