package request

import (
	"context"
	"sync"

	"kumquathitch.example/kumquathitch"
)

// SuspectsMethod is the peer method that carries CrashHistories.
const SuspectsMethod = "request.suspects"

const (
	// maxConcurrentCalls bounds the number of peers that are called at the same time.
	maxConcurrentCalls = 32
	// maxPendingHistories bounds the crash histories that wait to be sent; the oldest are dropped first.
	maxPendingHistories = 4096
)

// Notifier sends crash histories to all known VMs.
type Notifier struct {
	Clock   kumquathitch.Clock
	Members kumquathitch.Membership
	Peers   kumquathitch.Peers

	mutex   sync.Mutex
	pending CrashHistories
	wake    chan struct{}
}

// SuspectsResponse is the empty response to CrashHistories.
type SuspectsResponse struct{}

// NewNotifier returns a notifier that sends nothing before Run is called.
func NewNotifier(clock kumquathitch.Clock, members kumquathitch.Membership, peers kumquathitch.Peers) *Notifier {
	return &Notifier{Clock: clock, Members: members, Peers: peers, wake: make(chan struct{}, 1)}
}

// Notify queues crash histories for sending and returns at once.
func (n *Notifier) Notify(changed CrashHistories) {
	n.mutex.Lock()
	n.pending = append(n.pending, changed...)
	if extra := len(n.pending) - maxPendingHistories; extra > 0 {
		n.pending = n.pending[extra:]
	}
	n.mutex.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run sends queued crash histories until ctx ends, then returns nil.
func (n *Notifier) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wake:
			n.send(ctx, n.take())
		}
	}
}

func (n *Notifier) take() CrashHistories {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	histories := n.pending
	n.pending = nil
	return histories
}

// send calls all live VMs and waits for their responses. Failed calls are not
// retried: the VM sees the next crash itself or receives the next message.
func (n *Notifier) send(ctx context.Context, histories CrashHistories) {
	if len(histories) == 0 {
		return
	}
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for _, vm := range n.Members.Live("", n.Clock.Now()) {
		slots <- struct{}{}
		calls.Go(func() {
			var response SuspectsResponse
			_ = n.Peers.Call(ctx, vm.Address, SuspectsMethod, histories, &response)
			<-slots
		})
	}
	calls.Wait()
}
