package standin

import (
	"context"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// ManualStoreLink is a store as one client reaches it, over a network that can fail for
// this client alone. It is not safe for concurrent use.
type ManualStoreLink struct {
	*Store
	Disconnected  bool                        // Every call fails and has no effect.
	LoseResponse  bool                        // The next write takes effect and answers with an error.
	DelayWrite    bool                        // The next write answers with an error and is kept in Late.
	DelayedWrites []func(ctx context.Context) // Writes that the network still carries; each takes effect if its version still fits.
	BeforeWrite   func()                      // Called once, before the next write is sent, as when the client is paused there.
}

// Get returns a record, or a *kumquathitch.NotFoundError.
func (l *ManualStoreLink) Get(ctx context.Context, key string) (kumquathitch.Record, error) {
	if l.Disconnected {
		return kumquathitch.Record{}, l.failure("Get", key)
	}
	return l.Store.Get(ctx, key)
}

// CompareAndSwap writes a record when its current version is record.Version.
func (l *ManualStoreLink) CompareAndSwap(ctx context.Context, record kumquathitch.Record) (kumquathitch.Record, error) {
	if before := l.BeforeWrite; before != nil {
		l.BeforeWrite = nil
		before()
	}
	if l.Disconnected {
		return kumquathitch.Record{}, l.failure("CompareAndSwap", record.Key)
	}
	if l.DelayWrite {
		l.DelayWrite = false
		l.DelayedWrites = append(l.DelayedWrites, func(ctx context.Context) { _, _ = l.Store.CompareAndSwap(ctx, record) })
		return kumquathitch.Record{}, l.failure("CompareAndSwap", record.Key)
	}
	written, err := l.Store.CompareAndSwap(ctx, record)
	if l.LoseResponse && err == nil {
		l.LoseResponse = false
		return kumquathitch.Record{}, l.failure("CompareAndSwap", record.Key)
	}
	return written, err
}

// DeliverDelayed lets all late writes arrive, in order.
func (l *ManualStoreLink) DeliverDelayed(ctx context.Context) {
	for _, write := range l.DelayedWrites {
		write(ctx)
	}
	l.DelayedWrites = nil
}

func (l *ManualStoreLink) failure(operation, key string) error {
	return &kumquathitch.StoreError{Operation: operation, Key: key, Unknown: operation != "Get", Cause: eris.New("the link failed")}
}
