package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/engine"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/upstream"
)

const (
	methodLoads   = "upstream.loads"
	methodUpdate  = "upstream.news"
	methodSummary = "upstream.summary"

	loadsInterval   = 2 * time.Second
	summaryInterval = 10 * time.Second
	// relayInterval is the interval at which the summary of another data centre is
	// forwarded within this one. With 1,700 models and 9 other data centres,
	// forwarding every summary would take 2.2 KB/s in each direction, almost half
	// of the control traffic budget.
	relayInterval = 30 * time.Second
	// loadsFanOut is the number of random VMs that each message of loads goes to.
	loadsFanOut = 2
	// pollTimeout bounds a poll. An engine returns its load within milliseconds.
	pollTimeout      = time.Second
	maxParallelPolls = 16
)

// updateMessage is the message of the method upstream.news.
type updateMessage struct {
	DataCentre string          `json:"data-centre"` // Data centre of the sender.
	Update     upstream.Update `json:"news"`
}

// summaryMessage is the message of the method upstream.summary, sent between
// data centres and forwarded along a tree of VMs within each one.
type summaryMessage struct {
	Root    string               `json:"root,omitempty"` // Name of the VM that received it from another data centre; empty between data centres.
	Summary upstream.LoadSummary `json:"summary"`
}

type acknowledgement struct{}

// upstreamWatcher polls the upstreams that this VM is responsible for and
// exchanges their state with other VMs. The package upstream makes the decisions.
type upstreamWatcher struct {
	fleet   *upstream.Fleet
	members kumquathitch.Membership
	peers   kumquathitch.Peers
	engines kumquathitch.Engine
	store   kumquathitch.Store
	clock   kumquathitch.Clock
	logger  *zap.Logger

	mutex       sync.Mutex
	lastRelayed map[string]time.Time // Time at which each data centre's summary was last forwarded.
}

// addUpstreamWatcher sets the settings of the upstream fleet, creates the
// watcher, and registers its handlers.
func (d *Daemon) addUpstreamWatcher() {
	d.Upstreams.ReportMaxAge = d.Settings.ReportMaxAge
	d.Upstreams.ClockError = d.Settings.ClockError
	d.Upstreams.LeavingGrace = d.Settings.LeavingGrace
	d.upstreamWatcher = &upstreamWatcher{
		fleet: d.Upstreams, members: d.Members, peers: d.Peers, engines: engine.NewClient(pollTimeout),
		store: d.Store, clock: d.Clock, logger: d.Logger, lastRelayed: map[string]time.Time{},
	}
	d.upstreamWatcher.registerHandlers(d.PeerServer)
}

// registerHandlers registers the handlers for messages about upstreams.
func (w *upstreamWatcher) registerHandlers(server *peer.Server) {
	peer.Handle(server, methodLoads, func(_ context.Context, m upstream.LoadsMessage) (acknowledgement, error) {
		w.fleet.ApplyLoads(m, w.clock.Now())
		return acknowledgement{}, nil
	})
	peer.Handle(server, methodUpdate, func(ctx context.Context, m updateMessage) (acknowledgement, error) {
		fresh := w.fleet.ApplyUpdate(m.Update, w.clock.Now())
		if m.DataCentre != w.members.Self().DataCentre && !fresh.Empty() {
			w.sendToAll(ctx, w.members.Live(w.members.Self().DataCentre, w.clock.Now()), methodUpdate, w.updateMessage(fresh))
		}
		return acknowledgement{}, nil
	})
	peer.Handle(server, methodSummary, func(ctx context.Context, m summaryMessage) (acknowledgement, error) {
		w.fleet.ApplySummary(m.Summary, w.clock.Now())
		w.relaySummary(ctx, m)
		return acknowledgement{}, nil
	})
}

// run polls upstreams and sends messages about them until ctx ends. It returns nil.
func (w *upstreamWatcher) run(ctx context.Context) error {
	loads, summary := time.NewTicker(loadsInterval), time.NewTicker(summaryInterval)
	defer loads.Stop()
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.fleet.UpdateReady:
			w.pushUpdate(ctx)
		case <-loads.C:
			w.readPlatformList(ctx)
			w.poll(ctx)
			w.sendLoads(ctx)
		case <-summary.C:
			w.sendSummary(ctx)
		}
	}
}

// readPlatformList reads the platform's list of VMs if this VM is one of the two
// in its data centre that do; the others learn of changes from them. If all 390
// VMs read the list, the platform would get 195 reads per second.
func (w *upstreamWatcher) readPlatformList(ctx context.Context) {
	now, self := w.clock.Now(), w.members.Self()
	if !containsVM(w.members.Ranked("platform-list", self.DataCentre, upstream.WatchersPerUpstream, now), self) {
		return
	}
	listings, err := w.store.VMs(ctx)
	if err != nil {
		w.logger.Debug("vm-list-failed", zap.Error(err))
		return
	}
	w.fleet.ApplyVMList(listings, w.clock.Now())
}

// poll polls the watched engines that are due, at most maxParallelPolls at a time.
func (w *upstreamWatcher) poll(ctx context.Context) {
	slots := make(chan struct{}, maxParallelPolls)
	var running sync.WaitGroup
	for _, watched := range w.fleet.Watched(w.members, w.clock.Now()) {
		if !watched.PollDue || watched.Kind != kumquathitch.KindEngine {
			continue
		}
		slots <- struct{}{}
		running.Go(func() {
			w.pollUpstream(ctx, watched)
			<-slots
		})
	}
	running.Wait()
}

func (w *upstreamWatcher) pollUpstream(ctx context.Context, watched upstream.Watched) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := w.engines.Load(pollCtx, watched.Address)
	switch {
	case err == nil:
		w.fleet.ApplyReport(watched.Name, report, w.clock.Now())
	case ctx.Err() == nil:
		w.fleet.PollFailed(watched.Name, w.clock.Now())
		w.logger.Debug("poll-failed", zap.String("upstream", watched.Name), zap.Error(err))
	}
}

// sendLoads sends the loads of the watched upstreams to random VMs of the data centre.
func (w *upstreamWatcher) sendLoads(ctx context.Context) {
	now, self := w.clock.Now(), w.members.Self()
	targets := w.members.Live(self.DataCentre, now)
	if len(targets) == 0 {
		return
	}
	message := w.fleet.NewLoadsMessage(w.fleet.Watched(w.members, now), self.DataCentre, now)
	rand.Shuffle(len(targets), func(i, j int) { //nolint:gosec // Gossip needs no secrecy.
		targets[i], targets[j] = targets[j], targets[i]
	})
	w.sendToAll(ctx, targets[:min(loadsFanOut, len(targets))], methodLoads, message)
}

// pushUpdate sends what this VM observed itself to every VM of the data centre and
// to one VM of each other data centre. Residencies are sent only by an upstream's
// watchers, because every VM that sends requests to the upstream observes them.
func (w *upstreamWatcher) pushUpdate(ctx context.Context) {
	now, self := w.clock.Now(), w.members.Self()
	update := w.fleet.TakeUpdate()
	update.Residencies = slices.DeleteFunc(update.Residencies, func(r upstream.Residency) bool {
		return !upstream.IsWatcher(w.members, r.Upstream, now)
	})
	if update.Empty() {
		return
	}
	targets := append(w.members.Live(self.DataCentre, now), w.remoteDelegates(now)...)
	w.sendToAll(ctx, targets, methodUpdate, w.updateMessage(update))
}

func (w *upstreamWatcher) updateMessage(update upstream.Update) updateMessage {
	return updateMessage{DataCentre: w.members.Self().DataCentre, Update: update}
}

// sendSummary sends the loads by model to one VM of each other data centre, if
// this VM is the delegate of its own.
func (w *upstreamWatcher) sendSummary(ctx context.Context) {
	now, self := w.clock.Now(), w.members.Self()
	if !containsVM(w.members.Ranked("delegate", self.DataCentre, 1, now), self) {
		return
	}
	targets := w.remoteDelegates(now)
	if len(targets) == 0 {
		return
	}
	w.sendToAll(ctx, targets, methodSummary, summaryMessage{Summary: w.fleet.NewLoadSummary(self.DataCentre, now)})
}

// relaySummary forwards a summary along the tree of this data centre's VMs.
func (w *upstreamWatcher) relaySummary(ctx context.Context, m summaryMessage) {
	now, self := w.clock.Now(), w.members.Self()
	if m.Root == "" {
		if !w.relayDue(m.Summary.DataCentre, now) {
			return
		}
		m.Root = self.Name
	}
	w.sendToAll(ctx, upstream.ForwardTargets(w.members, m.Root, now), methodSummary, m)
}

func (w *upstreamWatcher) relayDue(dataCentre string, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now.Sub(w.lastRelayed[dataCentre]) < relayInterval-summaryInterval/2 {
		return false
	}
	w.lastRelayed[dataCentre] = now
	return true
}

// remoteDelegates returns one delegate of each other data centre.
func (w *upstreamWatcher) remoteDelegates(now time.Time) kumquathitch.EntryVMs {
	seen := map[string]bool{w.members.Self().DataCentre: true}
	var chosen kumquathitch.EntryVMs
	for _, vm := range w.members.Live("", now) {
		if seen[vm.DataCentre] {
			continue
		}
		seen[vm.DataCentre] = true
		chosen = append(chosen, w.members.Ranked("delegate", vm.DataCentre, 1, now)...)
	}
	return chosen
}

// sendToAll sends a message to VMs in parallel and waits for their answers.
// Failed calls are not retried, because later messages make up for lost ones.
func (w *upstreamWatcher) sendToAll(ctx context.Context, targets kumquathitch.EntryVMs, method string, message any) {
	var running sync.WaitGroup
	for _, vm := range targets {
		running.Go(func() {
			var answer acknowledgement
			if err := w.peers.Call(ctx, vm.Address, method, message, &answer); err != nil {
				w.logger.Debug("peer-call-failed", zap.String("vm", vm.Name), zap.Error(err))
			}
		})
	}
	running.Wait()
}

func containsVM(ranked kumquathitch.EntryVMs, self kumquathitch.EntryVM) bool {
	return slices.ContainsFunc(ranked, func(vm kumquathitch.EntryVM) bool { return vm.Name == self.Name })
}
