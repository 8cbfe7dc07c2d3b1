package standin

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// WriteFault is what happens to one write over a link. The writer gets a
// *kumquathitch.StoreError with Unknown set.
type WriteFault struct {
	LoseRequest bool          // The write does not arrive; otherwise only its answer is lost.
	Delay       time.Duration // How much later the write arrives.
	Outage      time.Duration // How long the link is down from then on.
	Disconnect  bool          // The link is down for ever: its VM died.
}

// StoreLink is the connection of one VM to a store. It fails apart from the store
// and from the links of other VMs. It is safe for concurrent use.
type StoreLink struct {
	kumquathitch.Store
	clock   kumquathitch.Clock
	delayed sync.WaitGroup

	mutex sync.Mutex
	fault *WriteFault
	until time.Time // The link is down before this time.
	cut   bool
	onCut func()
}

// NewStoreLink returns a sound link. onCut, which may be nil, is called once, when the link is cut.
func NewStoreLink(store kumquathitch.Store, clock kumquathitch.Clock, onCut func()) *StoreLink {
	if onCut == nil {
		onCut = func() {}
	}
	return &StoreLink{Store: store, clock: clock, onCut: onCut}
}

// SetWriteFault sets what happens to the next write; nil for nothing.
func (l *StoreLink) SetWriteFault(fault *WriteFault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
}

// Interrupt takes the link down for a period, in place of an earlier one.
func (l *StoreLink) Interrupt(period time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.until = l.clock.Now().Add(period)
}

// Disconnect takes the link down for ever.
func (l *StoreLink) Disconnect() {
	l.mutex.Lock()
	first := !l.cut
	l.cut = true
	l.mutex.Unlock()
	if first {
		l.onCut()
	}
}

// IsDisconnected reports whether the link is down for ever.
func (l *StoreLink) IsDisconnected() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cut
}

// WaitDelayed waits until all delayed writes have arrived.
func (l *StoreLink) WaitDelayed() {
	l.delayed.Wait()
}

// Get returns a record, or a *NotFoundError.
func (l *StoreLink) Get(ctx context.Context, key string) (kumquathitch.Record, error) {
	if !l.up() {
		return kumquathitch.Record{}, linkError("Get", key, false)
	}
	return l.Store.Get(ctx, key)
}

// CompareAndSwap writes a record when its current version is record.Version.
func (l *StoreLink) CompareAndSwap(ctx context.Context, record kumquathitch.Record) (kumquathitch.Record, error) {
	if !l.up() {
		return kumquathitch.Record{}, linkError("CompareAndSwap", record.Key, false)
	}
	fault := l.takeFault()
	if fault == nil {
		return l.Store.CompareAndSwap(ctx, record)
	}
	switch {
	case fault.LoseRequest:
	case fault.Delay > 0:
		l.delayed.Go(func() {
			time.Sleep(fault.Delay)
			_, _ = l.Store.CompareAndSwap(context.WithoutCancel(ctx), record)
		})
	default:
		_, _ = l.Store.CompareAndSwap(ctx, record)
	}
	if fault.Outage > 0 {
		l.Interrupt(fault.Outage)
	}
	if fault.Disconnect {
		l.Disconnect()
	}
	return kumquathitch.Record{}, linkError("CompareAndSwap", record.Key, true)
}

func (l *StoreLink) up() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.cut && !l.clock.Now().Before(l.until)
}

func (l *StoreLink) takeFault() *WriteFault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fault := l.fault
	l.fault = nil
	return fault
}

func linkError(operation, key string, unknown bool) error {
	return &kumquathitch.StoreError{Operation: operation, Key: key, Unknown: unknown, Cause: eris.New("the link failed")}
}
