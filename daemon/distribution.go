package daemon

import (
	"context"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/configuration"
	"kumquathitch.example/kumquathitch/entry"
	"kumquathitch.example/kumquathitch/peer"
)

const (
	// storeRetryDelay is the delay after a failed store call.
	storeRetryDelay = 500 * time.Millisecond
	// watchersPerDataCentre is 2, so that a change still spreads when one watcher dies.
	watchersPerDataCentre = 2
	// watchersKey is the rendezvous hash key that selects the VMs that watch the
	// store for configurations.
	watchersKey = "configuration"
	// transferTimeout bounds one push or pull call. A change must be in force
	// within 4 s, and an unreachable peer must not use up that time.
	transferTimeout = time.Second
	// pushFanOut is the number of VMs to which each VM forwards a change.
	pushFanOut = 2
	// maxQueuedDeltas is the capacity of the queue of changes to forward.
	maxQueuedDeltas = 16
	// maxPullMessages bounds the messages of one pull: 64 MB of configuration at 512 kB a message.
	maxPullMessages = 128

	methodPush = "configuration.push"
	methodPull = "configuration.pull"
)

// Distribution applies configurations from the store and from peers, and
// forwards them to other VMs. All exported fields are set before Run.
type Distribution struct {
	Members   *entry.Registry
	Replica   *configuration.Replica
	Store     kumquathitch.Store
	Peers     kumquathitch.Peers
	Clock     kumquathitch.Clock
	Logger    *zap.Logger
	Heartbeat time.Duration   // Interval between checks whether this VM is a watcher.
	Joined    <-chan struct{} // Closed when the other VMs are known; a VM that knows none would consider itself a watcher.

	pullAddresses chan string              // Address of a VM with a higher generation.
	pushQueue     chan configuration.Delta // Changes to forward to other VMs.
}

// addDistribution creates the daemon's Distribution and registers its handlers.
func (d *Daemon) addDistribution() {
	d.Distribution = NewDistribution(&Distribution{
		Members: d.Members, Replica: configuration.NewReplica(d.Configuration), Store: d.Store, Peers: d.Peers,
		Clock: d.Clock, Logger: d.Logger, Heartbeat: d.Settings.Heartbeat, Joined: d.Membership.Joined(),
	})
	d.Distribution.RegisterHandlers(d.PeerServer)
}

// NewDistribution initializes the unexported fields of d and returns d.
func NewDistribution(d *Distribution) *Distribution {
	d.pullAddresses = make(chan string, 1)
	d.pushQueue = make(chan configuration.Delta, maxQueuedDeltas)
	return d
}

// RegisterHandlers registers the handlers for pushes and pulls.
func (d *Distribution) RegisterHandlers(server *peer.Server) {
	peer.Handle(server, methodPush, d.HandlePush)
	peer.Handle(server, methodPull, d.HandlePull)
}

// RequestPull schedules a pull from the VM at an address, which has a higher
// generation. While another pull is queued, the request is dropped: the next
// heartbeat repeats it.
func (d *Distribution) RequestPull(address string, _ uint64) {
	select {
	case d.pullAddresses <- address:
	default:
	}
}

// HandlePush applies a delta that another VM pushed and forwards it.
func (d *Distribution) HandlePush(_ context.Context, delta configuration.Delta) (configuration.ApplyResult, error) {
	result, err := d.applyDelta(delta)
	if result.Applied {
		d.enqueuePush(delta)
	}
	return result, err
}

// enqueuePush queues a change for this VM's push targets. If the queue is full,
// the change is dropped, and the targets pull it when they see the generation
// in a heartbeat.
func (d *Distribution) enqueuePush(delta configuration.Delta) {
	select {
	case d.pushQueue <- delta:
	default:
	}
}

// HandlePull returns the delta or the sections that a VM asks for.
func (d *Distribution) HandlePull(_ context.Context, pull configuration.PullRequest) (configuration.Delta, error) {
	return d.Replica.HandlePull(pull), nil
}

func (d *Distribution) applyDelta(delta configuration.Delta) (configuration.ApplyResult, error) {
	result, err := d.Replica.ApplyDelta(delta)
	if err != nil {
		d.Logger.Error("configuration-unreadable", zap.Error(err))
	}
	if result.DigestMismatch {
		d.Logger.Error("configuration-altered", zap.Uint64("generation", delta.Generation))
	}
	if result.Applied {
		d.Logger.Info("configuration-applied", zap.Uint64("generation", result.Generation))
	}
	return result, err
}

// Run watches the store while this VM is a watcher, forwards changes, and pulls
// from peers with a higher generation, until ctx ends. It returns nil.
func (d *Distribution) Run(ctx context.Context) error {
	select {
	case <-d.Joined:
	case <-ctx.Done():
		return nil
	}
	pulled := make(chan struct{})
	pushed := make(chan struct{})
	go func() {
		defer close(pulled)
		d.pullLoop(ctx)
	}()
	go func() {
		defer close(pushed)
		d.pushLoop(ctx)
	}()
	d.runWatcher(ctx)
	<-pulled
	<-pushed
	return nil
}

// runWatcher watches the store while this VM is a watcher, until ctx ends.
func (d *Distribution) runWatcher(ctx context.Context) {
	for ctx.Err() == nil {
		if d.isWatcher() {
			d.watchWhileSelected(ctx)
		}
		clock.Pause(ctx, d.Heartbeat)
	}
}

func (d *Distribution) isWatcher() bool {
	return d.Members.IsAssigned(watchersKey, watchersPerDataCentre, d.Clock.Now())
}

// watchWhileSelected watches the store until this VM is no longer a watcher or ctx ends.
func (d *Distribution) watchWhileSelected(ctx context.Context) {
	watchCtx, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.watchStore(watchCtx)
	}()
	for ctx.Err() == nil && d.isWatcher() {
		clock.Pause(ctx, d.Heartbeat)
	}
	stop()
	<-stopped
}

// watchStore watches the root record until ctx ends.
func (d *Distribution) watchStore(ctx context.Context) {
	var since uint64
	for ctx.Err() == nil {
		records, err := d.Store.Watch(ctx, configuration.RootKey, since)
		for _, record := range records {
			if err = d.applyRoot(ctx, record); err != nil {
				break
			}
			since = max(since, record.Version)
		}
		if err != nil && ctx.Err() == nil {
			d.Logger.Warn("configuration-watch-failed", zap.Error(err))
			clock.Pause(ctx, storeRetryDelay)
		}
	}
}

// applyRoot applies a root record of the store and queues the change for the
// push targets.
func (d *Distribution) applyRoot(ctx context.Context, record kumquathitch.Record) error {
	root, err := configuration.DecodeRoot(record)
	if err != nil {
		return err
	}
	base := d.Replica.Generation()
	if root.Generation <= base {
		return nil
	}
	repository := configuration.Repository{Store: d.Store}
	sections, err := repository.FetchSections(ctx, d.Replica.MissingSections(root))
	if err != nil {
		return err
	}
	result, err := d.Replica.ApplyRoot(root, sections)
	if err != nil {
		return err
	}
	if len(result.MissingSections) > 0 {
		return eris.Errorf("Distribution.applyRoot: %d sections of generation %d are missing", len(result.MissingSections), root.Generation)
	}
	if result.Applied {
		d.Logger.Info("configuration-applied", zap.Uint64("generation", root.Generation))
		d.enqueuePush(d.Replica.DeltaSince(base))
	}
	return nil
}

// pushLoop forwards queued changes, one at a time.
func (d *Distribution) pushLoop(ctx context.Context) {
	for {
		select {
		case delta := <-d.pushQueue:
			d.pushAll(ctx, delta)
		case <-ctx.Done():
			return
		}
	}
}

// pushAll sends a change to this VM's push targets in parallel.
func (d *Distribution) pushAll(ctx context.Context, delta configuration.Delta) {
	now := d.Clock.Now()
	self := d.Members.Self()
	watchers := d.Members.Ranked(watchersKey, self.DataCentre, watchersPerDataCentre, now)
	all := d.Members.Ranked(strconv.FormatUint(delta.Generation, 10), self.DataCentre, math.MaxInt, now)
	targets := PushTargets(self.Name, watchers, all)
	pushed := make(chan struct{})
	for _, vm := range targets {
		go func() {
			d.push(ctx, vm, delta)
			pushed <- struct{}{}
		}()
	}
	for range targets {
		<-pushed
	}
}

// PushTargets returns the VMs to which the VM self forwards a change. The two
// watchers are the roots of two trees over the ranked VMs of the data centre;
// the ranking differs from change to change. A VM has at most 2 targets, which
// keeps a watcher within its traffic budget at 65,000 changes a day. If VMs
// disagree about the membership, some VMs may get no push; they pull instead.
func PushTargets(self string, watchers, ranked kumquathitch.EntryVMs) kumquathitch.EntryVMs {
	order := slices.Clone(watchers)
	for _, vm := range ranked {
		if !containsName(watchers, vm.Name) {
			order = append(order, vm)
		}
	}
	at := slices.IndexFunc(order, func(vm kumquathitch.EntryVM) bool { return vm.Name == self })
	if at < 0 {
		return nil
	}
	from := min(len(order), len(watchers)+pushFanOut*at)
	return order[from:min(len(order), from+pushFanOut)]
}

func containsName(vms kumquathitch.EntryVMs, name string) bool {
	return slices.ContainsFunc(vms, func(vm kumquathitch.EntryVM) bool { return vm.Name == name })
}

func (d *Distribution) push(ctx context.Context, vm kumquathitch.EntryVM, delta configuration.Delta) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var result configuration.ApplyResult
	err := d.Peers.Call(ctx, vm.Address, methodPush, delta, &result)
	// A VM that cannot apply the delta sees the generation in a heartbeat and pulls.
	if err != nil && ctx.Err() == nil {
		d.Logger.Debug("configuration-push-failed", zap.String("to", vm.Name), zap.Error(err))
	}
}

// pullLoop pulls from VMs with a higher generation, one at a time.
func (d *Distribution) pullLoop(ctx context.Context) {
	for {
		select {
		case address := <-d.pullAddresses:
			if err := d.pull(ctx, address); err != nil && ctx.Err() == nil {
				d.Logger.Debug("configuration-pull-failed", zap.String("from", address), zap.Error(err))
			}
		case <-ctx.Done():
			return
		}
	}
}

// pull applies the generation of a peer. It first requests the delta, then the
// sections that did not fit in that message.
func (d *Distribution) pull(ctx context.Context, address string) error {
	delta, err := d.requestDelta(ctx, address, configuration.PullRequest{Generation: d.Replica.Generation()})
	if err != nil {
		return err
	}
	for range maxPullMessages {
		result, err := d.applyDelta(delta)
		if err != nil || len(result.MissingSections) == 0 {
			return err
		}
		batch := result.MissingSections[:min(configuration.PullBatchSize, len(result.MissingSections))]
		more, err := d.requestDelta(ctx, address, configuration.PullRequest{Digests: batch})
		if err != nil {
			return err
		}
		if len(more.Sections) == 0 {
			return nil // The peer has a newer generation by now; its next heartbeat starts another pull.
		}
		delta.Sections = append(delta.Sections, more.Sections...)
	}
	return nil
}

func (d *Distribution) requestDelta(ctx context.Context, address string, pull configuration.PullRequest) (configuration.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var delta configuration.Delta
	err := d.Peers.Call(ctx, address, methodPull, pull, &delta)
	return delta, err
}
