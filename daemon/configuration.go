package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/configuration"
)

// storeRetry is the pause after a failed call of the store.
const storeRetry = 500 * time.Millisecond

// followConfiguration applies each generation that appears in the store, until ctx ends.
func (d *Daemon) followConfiguration(ctx context.Context) error {
	var since uint64
	for ctx.Err() == nil {
		records, err := d.Store.Watch(ctx, configuration.RootKey, since)
		if err != nil {
			d.Logger.Warn("configuration-watch-failed", zap.Error(err))
			pause(ctx, storeRetry)
			continue
		}
		for _, record := range records {
			since = max(since, record.Version)
			d.applyRecord(record)
		}
	}
	return nil
}

func (d *Daemon) applyRecord(record kumquathitch.Record) {
	config, err := configuration.Decode(record)
	if err != nil {
		d.Logger.Error("configuration-unreadable", zap.Error(err))
		return
	}
	if d.Current.Apply(config) {
		d.Logger.Info("configuration-applied", zap.Uint64("generation", config.Generation))
	}
}

// pause waits for a period or the end of ctx.
func pause(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
