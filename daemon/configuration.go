package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/configuration"
	"kumquathitch.example/kumquathitch/entry"
	"kumquathitch.example/kumquathitch/peer"
)

const (
	// storeRetry is the pause after a failed call of the store.
	storeRetry = 500 * time.Millisecond
	// watchersPerDataCentre is 2, so that one may die while a change is made.
	watchersPerDataCentre = 2
	// watchersKey ranks the VMs that watch the store for configurations.
	watchersKey = "configuration"
	// spreadTimeout bounds one push or pull, so that an unreachable peer does
	// not use up the 4 s in which a change must be in force.
	spreadTimeout = time.Second
	// maxPulls bounds the messages of one pull: 64 MB of configuration at 512 kB a message.
	maxPulls = 128

	methodPush = "configuration.push"
	methodPull = "configuration.pull"
)

// Distribution brings configurations from the store and from peers into force.
// All fields but those that NewDistribution sets are set before Run.
type Distribution struct {
	Members   *entry.Registry
	Replica   *configuration.Replica
	Store     kumquathitch.Store
	Peers     kumquathitch.Peers
	Clock     kumquathitch.Clock
	Logger    *zap.Logger
	Heartbeat time.Duration   // Interval at which the duty of watching is looked at again.
	Joined    <-chan struct{} // Closed when the other VMs are known; a VM that knows none would watch needlessly.

	hints chan string // Address of a VM with a higher generation.
}

// addDistribution builds the daemon's distribution.
func (d *Daemon) addDistribution() {
	d.Distribution = NewDistribution(&Distribution{
		Members: d.Members, Replica: configuration.NewReplica(d.Current), Store: d.Store, Peers: d.Peers,
		Clock: d.Clock, Logger: d.Logger, Heartbeat: d.Settings.Heartbeat, Joined: d.Membership.Joined(),
	})
	d.Distribution.Handle(d.PeerServer)
}

// NewDistribution completes a distribution.
func NewDistribution(d *Distribution) *Distribution {
	d.hints = make(chan string, 1)
	return d
}

// Handle adds the handlers of pushes and pulls.
func (d *Distribution) Handle(server *peer.Server) {
	peer.Handle(server, methodPush, d.Push)
	peer.Handle(server, methodPull, d.Pull)
}

// Notice tells that the VM at an address has a higher generation. A notice that
// comes while a pull runs is dropped, since the next heartbeat repeats it.
func (d *Distribution) Notice(address string, _ uint64) {
	select {
	case d.hints <- address:
	default:
	}
}

// Push answers a watcher that has a new generation.
func (d *Distribution) Push(_ context.Context, delta configuration.Delta) (configuration.Offered, error) {
	return d.offer(delta)
}

// Pull answers a VM that lacks a generation or sections.
func (d *Distribution) Pull(_ context.Context, pull configuration.Pull) (configuration.Delta, error) {
	return d.Replica.Answer(pull), nil
}

func (d *Distribution) offer(delta configuration.Delta) (configuration.Offered, error) {
	offered, err := d.Replica.Offer(delta)
	if err != nil {
		d.Logger.Error("configuration-unreadable", zap.Error(err))
	}
	if offered.Altered {
		d.Logger.Error("configuration-altered", zap.Uint64("generation", delta.Generation))
	}
	if offered.Applied {
		d.Logger.Info("configuration-applied", zap.Uint64("generation", offered.Generation))
	}
	return offered, err
}

// Run watches the store while this VM has the duty, and pulls from peers that
// are ahead, until ctx ends.
func (d *Distribution) Run(ctx context.Context) error {
	select {
	case <-d.Joined:
	case <-ctx.Done():
		return nil
	}
	pulled := make(chan struct{})
	go func() {
		defer close(pulled)
		d.pullLoop(ctx)
	}()
	d.watchWhileOnDuty(ctx)
	<-pulled
	return nil
}

// watchWhileOnDuty watches the store while this VM has the duty, until ctx ends.
func (d *Distribution) watchWhileOnDuty(ctx context.Context) {
	for ctx.Err() == nil {
		if d.onDuty() {
			d.watchUntilRelieved(ctx)
		}
		pause(ctx, d.Heartbeat)
	}
}

func (d *Distribution) onDuty() bool {
	return d.Members.Holds(watchersKey, watchersPerDataCentre, d.Clock.Now())
}

// watchUntilRelieved watches until the duty is another VM's or ctx ends.
func (d *Distribution) watchUntilRelieved(ctx context.Context) {
	watching, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.watch(watching)
	}()
	for ctx.Err() == nil && d.onDuty() {
		pause(ctx, d.Heartbeat)
	}
	stop()
	<-stopped
}

// watch follows the root record until ctx ends.
func (d *Distribution) watch(ctx context.Context) {
	var since uint64
	for ctx.Err() == nil {
		records, err := d.Store.Watch(ctx, configuration.RootKey, since)
		for _, record := range records {
			if err = d.adopt(ctx, record); err != nil {
				break
			}
			since = max(since, record.Version)
		}
		if err != nil && ctx.Err() == nil {
			d.Logger.Warn("configuration-watch-failed", zap.Error(err))
			pause(ctx, storeRetry)
		}
	}
}

// adopt puts a root of the store in force and pushes it.
func (d *Distribution) adopt(ctx context.Context, record kumquathitch.Record) error {
	root, err := configuration.DecodeRoot(record)
	if err != nil {
		return err
	}
	base := d.Replica.Generation()
	if root.Generation <= base {
		return nil
	}
	repository := configuration.Repository{Store: d.Store}
	sections, err := repository.Fetch(ctx, d.Replica.Missing(root))
	if err != nil {
		return err
	}
	offered, err := d.Replica.Accept(root, sections)
	if err != nil {
		return err
	}
	if len(offered.Missing) > 0 {
		return eris.Errorf("Distribution.adopt: %d sections of generation %d are missing", len(offered.Missing), root.Generation)
	}
	if offered.Applied {
		d.Logger.Info("configuration-applied", zap.Uint64("generation", root.Generation))
		d.pushAll(ctx, base)
	}
	return nil
}

// pushAll sends the change since a generation to the VMs of the data centre.
// The two watchers share them by hash, so that each gets one push; heartbeats
// reach those whose watcher died.
func (d *Distribution) pushAll(ctx context.Context, base uint64) {
	now := d.Clock.Now()
	self := d.Members.Self()
	delta := d.Replica.Since(base)
	watchers := d.Members.Ranked(watchersKey, self.DataCentre, watchersPerDataCentre, now)
	pushed := make(chan struct{})
	flying := 0
	for _, vm := range d.Members.Live(self.DataCentre, now) {
		if !pushes(self.Name, watchers, vm.Name) {
			continue
		}
		flying++
		go func() {
			d.push(ctx, vm, delta)
			pushed <- struct{}{}
		}()
	}
	for ; flying > 0; flying-- {
		<-pushed
	}
}

// pushes reports whether a watcher is the one to push to a VM.
func pushes(self string, watchers kumquathitch.EntryVMs, vm string) bool {
	for _, w := range watchers {
		if w.Name == vm {
			return false // The other watcher reads the store itself.
		}
		if w.Name != self && kumquathitch.RendezvousWeight(vm, w.Name) > kumquathitch.RendezvousWeight(vm, self) {
			return false
		}
	}
	return true
}

func (d *Distribution) push(ctx context.Context, vm kumquathitch.EntryVM, delta configuration.Delta) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var offered configuration.Offered
	err := d.Peers.Call(ctx, vm.Address, methodPush, delta, &offered)
	// A VM that the delta does not fit sees the generation in a heartbeat and pulls.
	if err != nil && ctx.Err() == nil {
		d.Logger.Debug("configuration-push-failed", zap.String("to", vm.Name), zap.Error(err))
	}
}

// pullLoop pulls from VMs that are ahead, one at a time.
func (d *Distribution) pullLoop(ctx context.Context) {
	for {
		select {
		case address := <-d.hints:
			if err := d.pull(ctx, address); err != nil && ctx.Err() == nil {
				d.Logger.Debug("configuration-pull-failed", zap.String("from", address), zap.Error(err))
			}
		case <-ctx.Done():
			return
		}
	}
}

// pull brings the generation of a peer into force: first what changed, then the
// sections that did not fit in that message.
func (d *Distribution) pull(ctx context.Context, address string) error {
	delta, err := d.ask(ctx, address, configuration.Pull{Generation: d.Replica.Generation()})
	if err != nil {
		return err
	}
	for range maxPulls {
		offered, err := d.offer(delta)
		if err != nil || len(offered.Missing) == 0 {
			return err
		}
		batch := offered.Missing[:min(configuration.PullBatch, len(offered.Missing))]
		more, err := d.ask(ctx, address, configuration.Pull{Digests: batch})
		if err != nil {
			return err
		}
		if len(more.Sections) == 0 {
			return nil // The peer has moved on; its next heartbeat starts another pull.
		}
		delta.Sections = append(delta.Sections, more.Sections...)
	}
	return nil
}

func (d *Distribution) ask(ctx context.Context, address string, pull configuration.Pull) (configuration.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var delta configuration.Delta
	err := d.Peers.Call(ctx, address, methodPull, pull, &delta)
	return delta, err
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
