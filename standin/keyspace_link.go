package standin

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/epoch"
)

// LinkFaults are the faults of one VM's link to a keyspace.
type LinkFaults struct {
	Refusing bool // Calls fail at once.
	Silent   bool // Calls are lost, and fail at their deadline.
	Hanging  bool // Watches are lost, and fail at their deadline; other calls pass.
	Frozen   bool // Calls neither begin nor return, as while the VM is suspended.

	AnswerDelay time.Duration // Responses arrive later by this time.
	LoseAnswers int           // Number of writing calls that take effect and get no response.
	LateWrites  int           // Number of writing calls that get no response and take effect after LateBy.
	LateBy      time.Duration
	Only        string // Operation that LoseAnswers and LateWrites concern; empty for all that write.
}

// KeyspaceLink is one VM's link to a keyspace, and the VM's memory of epochs. It is safe for
// concurrent use.
type KeyspaceLink struct {
	*epoch.Keyspace // Calls go through this link as linkCalls.

	store   keyspaceCalls
	latency time.Duration // Of a call.
	timeout time.Duration // Of a call; watches have it in addition to their wait.

	mutex     sync.Mutex
	faults    LinkFaults
	changed   chan struct{} // Closed when the faults change.
	watchOver chan struct{} // Closed when watches end.
}

// NewKeyspaceLink returns a link without faults.
func NewKeyspaceLink(store *Keyspace, latency, timeout time.Duration) *KeyspaceLink {
	l := &KeyspaceLink{store: keyspaceCalls{store}, latency: latency, timeout: timeout, changed: make(chan struct{}), watchOver: make(chan struct{})}
	l.Forget()
	return l
}

// Forget makes the link forget the epochs that it has seen, as a new process of the VM has not
// seen them. No call may be under way.
func (l *KeyspaceLink) Forget() {
	l.Keyspace = epoch.NewKeyspace(linkCalls{l})
}

// ChangeFaults changes the faults by a function.
func (l *KeyspaceLink) ChangeFaults(change func(faults *LinkFaults)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change(&l.faults)
	close(l.changed)
	l.changed = make(chan struct{})
}

// EndWatches ends the watches that are waiting, with an error.
func (l *KeyspaceLink) EndWatches() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.watchOver)
	l.watchOver = make(chan struct{})
}

// linkCalls implements kumquathitch.EpochKeyspace by the calls of a keyspace and the faults of a link.
type linkCalls struct {
	link *KeyspaceLink
}

func (c linkCalls) Read(ctx context.Context, key string) (kumquathitch.KeyItem, kumquathitch.ResponseEpoch, error) {
	l := c.link
	return callThrough(ctx, l, "Read", l.timeout, false, func(ctx context.Context) (kumquathitch.KeyItem, kumquathitch.ResponseEpoch, error) {
		return l.store.Read(ctx, key)
	})
}

func (c linkCalls) Scan(ctx context.Context, prefix string, stale bool) (kumquathitch.KeyRange, kumquathitch.ResponseEpoch, error) {
	l := c.link
	return callThrough(ctx, l, "Scan", l.timeout, false, func(ctx context.Context) (kumquathitch.KeyRange, kumquathitch.ResponseEpoch, error) {
		return l.store.Scan(ctx, prefix, stale)
	})
}

func (c linkCalls) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (kumquathitch.KeyChanges, kumquathitch.ResponseEpoch, error) {
	l := c.link
	l.mutex.Lock()
	over := l.watchOver
	l.mutex.Unlock()
	return callThrough(ctx, l, "Follow", wait+l.timeout, false, func(ctx context.Context) (kumquathitch.KeyChanges, kumquathitch.ResponseEpoch, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-over:
				cancel()
			case <-ctx.Done():
			}
		}()
		return l.store.Follow(ctx, prefix, after, wait)
	})
}

func (c linkCalls) Write(ctx context.Context, write kumquathitch.KeyWrite) (uint64, kumquathitch.ResponseEpoch, error) {
	l := c.link
	return callThrough(ctx, l, "Write", l.timeout, true, func(ctx context.Context) (uint64, kumquathitch.ResponseEpoch, error) {
		return l.store.Write(ctx, write)
	})
}

func (c linkCalls) Grant(ctx context.Context, ttl time.Duration) (kumquathitch.Lease, kumquathitch.ResponseEpoch, error) {
	l := c.link
	return callThrough(ctx, l, "Grant", l.timeout, true, func(ctx context.Context) (kumquathitch.Lease, kumquathitch.ResponseEpoch, error) {
		return l.store.Grant(ctx, ttl)
	})
}

func (c linkCalls) Renew(ctx context.Context, lease kumquathitch.Lease) (kumquathitch.Lease, kumquathitch.ResponseEpoch, error) {
	l := c.link
	return callThrough(ctx, l, "Renew", l.timeout, true, func(ctx context.Context) (kumquathitch.Lease, kumquathitch.ResponseEpoch, error) {
		return l.store.Renew(ctx, lease)
	})
}

func (c linkCalls) Release(ctx context.Context, lease kumquathitch.Lease) (kumquathitch.ResponseEpoch, error) {
	l := c.link
	_, at, err := callThrough(ctx, l, "Release", l.timeout, true, func(ctx context.Context) (struct{}, kumquathitch.ResponseEpoch, error) {
		at, err := l.store.Release(ctx, lease)
		return struct{}{}, at, err
	})
	return at, err
}

// callThrough makes one call with the faults of the link at its start and at its end.
func callThrough[T any](ctx context.Context, l *KeyspaceLink, operation string, limit time.Duration, writes bool, do func(ctx context.Context) (T, kumquathitch.ResponseEpoch, error)) (T, kumquathitch.ResponseEpoch, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var none T
	failed := func(unknown bool) (T, kumquathitch.ResponseEpoch, error) {
		return none, kumquathitch.ResponseEpoch{}, &kumquathitch.StoreError{Operation: operation, Unknown: unknown, Cause: eris.New("the link failed")}
	}
	l.awaitThaw()
	faults := l.takeFaults(operation, writes)
	switch {
	case faults.Refusing || !clock.Pause(ctx, l.latency):
		return failed(false)
	case faults.Silent || (faults.Hanging && operation == "Follow"):
		<-ctx.Done()
		return failed(writes)
	case faults.LateWrites > 0:
		go func() {
			<-time.NewTimer(faults.LateBy).C
			_, _, _ = do(context.WithoutCancel(ctx)) // The caller no longer waits.
		}()
		<-ctx.Done()
		return failed(true)
	}
	result, at, err := do(ctx)
	l.awaitThaw()
	l.mutex.Lock()
	refusing, silent := l.faults.Refusing, l.faults.Silent || (l.faults.Hanging && operation == "Follow")
	l.mutex.Unlock()
	if refusing {
		return failed(writes)
	}
	if silent || faults.LoseAnswers > 0 {
		<-ctx.Done()
		return failed(writes)
	}
	if !clock.Pause(ctx, l.latency+faults.AnswerDelay) {
		return failed(writes)
	}
	return result, at, err
}

// takeFaults returns the faults of a new call, with those that apply to a number of calls
// set in one call only.
func (l *KeyspaceLink) takeFaults(operation string, writes bool) LinkFaults {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	faults := l.faults
	if !writes || (faults.Only != "" && faults.Only != operation) {
		faults.LoseAnswers, faults.LateWrites = 0, 0
		return faults
	}
	l.faults.LoseAnswers = max(0, l.faults.LoseAnswers-1)
	l.faults.LateWrites = max(0, l.faults.LateWrites-1)
	return faults
}

// awaitThaw waits while the VM is frozen.
func (l *KeyspaceLink) awaitThaw() {
	for {
		l.mutex.Lock()
		frozen, changed := l.faults.Frozen, l.changed
		l.mutex.Unlock()
		if !frozen {
			return
		}
		<-changed
	}
}
