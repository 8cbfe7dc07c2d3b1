package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/accelerator"
	"kumquathitch.example/kumquathitch/engine"
	"kumquathitch.example/kumquathitch/model"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/upstream"
)

const (
	// reconcileInterval is the time between two checks of the servers that this VM
	// is responsible for. An upstream without a report for 2 s is polled.
	reconcileInterval = 2 * time.Second
	// planInterval is the time between two placement plans of the data centre.
	planInterval = 10 * time.Second
	// demandInterval is the time between two demand reports to the placement owner.
	demandInterval = 10 * time.Second
	// maxDemandEntries bounds the models and adapters in one demand report: 256
	// entries of about 30 bytes every 10 s take under 1 KB/s.
	maxDemandEntries = 256
	// replicaTokensPerSecond is the demand that one replica should carry: at the
	// target size, 11 million tokens per second over 24,000 accelerators.
	replicaTokensPerSecond = 460
	// poolLeaseTTL is the TTL of the lease of a server's adapter pool. While the store is
	// down, the holder can send adapter orders for at least half of the TTL. If
	// the holder dies, no other VM may send them for up to the full TTL.
	poolLeaseTTL = time.Hour
	// engineTimeout bounds a call of an engine's control interface.
	engineTimeout = 2 * time.Second
	// maxParallelServers bounds the servers that are checked in parallel.
	maxParallelServers = 8
	// poolReleaseTimeout bounds the release of the adapter pool leases at shutdown.
	poolReleaseTimeout = 2 * time.Second

	methodDemand = "model.demand"
)

// placementTask loads and unloads models and adapters according to demand.
type placementTask struct {
	Demand     *model.Demand
	Controller *model.Controller

	daemon     *Daemon
	lastReport time.Time // Time of the last demand report.
}

// demandReport is the message of the method model.demand.
type demandReport struct {
	VM    string             `json:"vm"`
	Rates map[string]float64 `json:"rates"` // Tokens per second by model or adapter.
}

func newPlacementTask(d *Daemon) *placementTask {
	p := &placementTask{Demand: model.NewDemand(), daemon: d}
	p.Controller = &model.Controller{
		Store: d.Store, Engines: engine.NewClient(engineTimeout), Members: d.Members, Clock: d.Clock, Demand: p.Demand,
		Timing: accelerator.Timing{
			ClockError: d.Settings.ClockError, MessageDelay: d.Settings.MessageDelay, PoolLeaseTTL: poolLeaseTTL,
		},
		NewID: rand.Text, Holder: d.Settings.Name + "-" + rand.Text(), ReplicaTokensPerSecond: replicaTokensPerSecond,
		PlanInterval: planInterval, MaxParallelServers: maxParallelServers,
		AdapterShare: p.adapterShare,
		OnReport:     d.Upstreams.ApplyReport,
		Available:    p.available,
		OnError: func(server string, err error) {
			d.Logger.Warn("placement-failed", zap.String("upstream", server), zap.Error(err))
		},
	}
	peer.Handle(d.PeerServer, methodDemand, func(_ context.Context, r demandReport) (struct{}, error) {
		p.Demand.SetRemote(r.VM, r.Rates, d.Clock.Now())
		return struct{}{}, nil
	})
	return p
}

// available reports whether the placement may use a server. A server that is
// down counts as available until its last load report is older than the
// dead-after time: a broken connection takes a server out of use for only 2 s
// and must not move models.
func (p *placementTask) available(server string, now time.Time) bool {
	state, ok := p.daemon.Upstreams.State(server)
	if !ok || state.Phase() == upstream.Leaving {
		return false
	}
	return state.Phase() != upstream.Down || now.Before(state.ReportedAt.Add(p.daemon.Settings.DeadAfter))
}

// adapterShare returns this VM's share of the adapters in flight. It is the
// share of the rate slots that the VM holds, since the shares of all VMs never
// add up to more than 1.
func (p *placementTask) adapterShare() float64 {
	return p.daemon.RateShares.Buckets.Share(p.daemon.Clock.Now())
}

// Run reconciles the placement and reports demand until ctx ends, then releases
// the adapter pools.
func (p *placementTask) Run(ctx context.Context) error {
	watchDone := make(chan error, 1)
	go func() { watchDone <- p.Controller.WatchPlans(ctx) }()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), poolReleaseTimeout)
			defer cancel()
			p.Controller.Close(closeCtx, p.daemon.Configuration.Load())
			return <-watchDone
		case <-ticker.C:
			p.reconcile(ctx)
		}
	}
}

func (p *placementTask) reconcile(ctx context.Context) {
	config := p.daemon.Configuration.Load()
	if config.Generation == 0 {
		return
	}
	if err := p.Controller.Reconcile(ctx, config); err != nil && ctx.Err() == nil {
		p.daemon.Logger.Warn("placement-failed", zap.Error(err))
	}
	p.reportDemand(ctx)
}

// reportDemand sends this VM's demand to the placement owner of the data centre.
func (p *placementTask) reportDemand(ctx context.Context) {
	now := p.daemon.Clock.Now()
	self := p.daemon.Members.Self()
	if now.Before(p.lastReport.Add(demandInterval)) {
		return
	}
	p.lastReport = now
	ranked := p.daemon.Members.Ranked(model.OwnerKey(self.DataCentre), self.DataCentre, 1, now)
	if len(ranked) == 0 || ranked[0].Name == self.Name {
		return
	}
	report := demandReport{VM: self.Name, Rates: model.TopRates(p.Demand.Local(now), maxDemandEntries)}
	var answer struct{}
	if err := p.daemon.Peers.Call(ctx, ranked[0].Address, methodDemand, report, &answer); err != nil && ctx.Err() == nil {
		p.daemon.Logger.Warn("demand-not-reported", zap.Error(err))
	}
}

var _ kumquathitch.DemandSink = (*model.Demand)(nil)
