package standin

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// LinkFault is what happens to one write over a link. The writer gets a
// *kumquathitch.StoreError with Unknown set.
type LinkFault struct {
	LoseWrite bool          // The write does not arrive; otherwise only its answer is lost.
	Delay     time.Duration // How much later the write arrives.
	Break     time.Duration // How long the link is down from then on.
	Cut       bool          // The link is down for ever: its VM died.
}

// Link is the connection of one VM to a store. It fails apart from the store
// and from the links of other VMs. It is safe for concurrent use.
type Link struct {
	kumquathitch.Store
	clock   kumquathitch.Clock
	delayed sync.WaitGroup

	mutex sync.Mutex
	fault *LinkFault
	until time.Time // The link is down before this time.
	cut   bool
	onCut func()
}

// NewLink returns a sound link. onCut, which may be nil, is called once, when the link is cut.
func NewLink(store kumquathitch.Store, clock kumquathitch.Clock, onCut func()) *Link {
	if onCut == nil {
		onCut = func() {}
	}
	return &Link{Store: store, clock: clock, onCut: onCut}
}

// FailNext sets what happens to the next write; nil for nothing.
func (l *Link) FailNext(fault *LinkFault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
}

// Break takes the link down for a period, in place of an earlier one.
func (l *Link) Break(period time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.until = l.clock.Now().Add(period)
}

// Cut takes the link down for ever.
func (l *Link) Cut() {
	l.mutex.Lock()
	first := !l.cut
	l.cut = true
	l.mutex.Unlock()
	if first {
		l.onCut()
	}
}

// IsCut reports whether the link is down for ever.
func (l *Link) IsCut() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cut
}

// Wait waits until all delayed writes have arrived.
func (l *Link) Wait() {
	l.delayed.Wait()
}

// Get returns a record, or a *NotFoundError.
func (l *Link) Get(ctx context.Context, key string) (kumquathitch.Record, error) {
	if !l.up() {
		return kumquathitch.Record{}, linkError("Get", key, false)
	}
	return l.Store.Get(ctx, key)
}

// CompareAndSwap writes a record when its current version is record.Version.
func (l *Link) CompareAndSwap(ctx context.Context, record kumquathitch.Record) (kumquathitch.Record, error) {
	if !l.up() {
		return kumquathitch.Record{}, linkError("CompareAndSwap", record.Key, false)
	}
	fault := l.takeFault()
	if fault == nil {
		return l.Store.CompareAndSwap(ctx, record)
	}
	switch {
	case fault.LoseWrite:
	case fault.Delay > 0:
		l.delayed.Go(func() {
			time.Sleep(fault.Delay)
			_, _ = l.Store.CompareAndSwap(context.WithoutCancel(ctx), record)
		})
	default:
		_, _ = l.Store.CompareAndSwap(ctx, record)
	}
	if fault.Break > 0 {
		l.Break(fault.Break)
	}
	if fault.Cut {
		l.Cut()
	}
	return kumquathitch.Record{}, linkError("CompareAndSwap", record.Key, true)
}

func (l *Link) up() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.cut && !l.clock.Now().Before(l.until)
}

func (l *Link) takeFault() *LinkFault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fault := l.fault
	l.fault = nil
	return fault
}

func linkError(operation, key string, unknown bool) error {
	return &kumquathitch.StoreError{Operation: operation, Key: key, Unknown: unknown, Cause: eris.New("the link failed")}
}
