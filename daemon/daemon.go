// Package daemon is the library behind kumquathitchd: it builds the process of
// one entry VM from its settings and runs it.
//
// # Usage
//
//	settings := daemon.Settings{Name: "entry-1", DataCentre: "montreal-1", Platform: "10.0.0.2:7000"}
//	settings.SetDefaults()
//	parsed, err := settings.Parse()
//	if err != nil {
//		return err // *kumquathitch.ValidationError
//	}
//	d, err := daemon.New(ctx, parsed, os.Stderr)
//	if err != nil {
//		return err
//	}
//	return d.Run(ctx) // Until ctx ends and the last request is answered.
package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/account"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/configuration"
	"kumquathitch.example/kumquathitch/entry"
	"kumquathitch.example/kumquathitch/gateway"
	"kumquathitch.example/kumquathitch/intake"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/platform"
	"kumquathitch.example/kumquathitch/route"
	"kumquathitch.example/kumquathitch/telemetry"
	"kumquathitch.example/kumquathitch/upstream"
)

// Daemon is the process of one entry VM.
type Daemon struct {
	Settings ParsedSettings
	Logger   *zap.Logger
	Metrics  *metrics.Set
	Clock    kumquathitch.Clock
	Store    kumquathitch.Store

	Accounts      *account.Directory
	RateShares    *rateShares
	Upstreams     *upstream.Fleet
	Routes        *route.Table
	Gateway       *gateway.Server
	Configuration *configuration.Current
	Members       *entry.Registry
	Peers         *peer.Client
	PeerServer    *peer.Server
	Requests      *Requests

	Membership   *Membership
	Distribution *Distribution
	Placement    *placementTask

	intake          *intake.Budget // What callers make this process hold.
	upstreamWatcher *upstreamWatcher
	tracing         *telemetry.Tracing
	listener        net.Listener
	peerListener    net.Listener
}

// New builds a daemon and opens its listeners.
func New(ctx context.Context, settings ParsedSettings, logs io.Writer) (*Daemon, error) {
	tracing, err := telemetry.NewTracing(ctx, "kumquathitchd", settings.OTLPEndpoint)
	if err != nil {
		return nil, eris.Wrap(err, "daemon.New")
	}
	d := &Daemon{
		Settings:  settings,
		Logger:    telemetry.NewLogger(logs, settings.LogLevel).With(zap.String("vm", settings.Name)),
		Metrics:   metrics.NewSet(),
		Clock:     clock.NewSystem(),
		Store:     platform.NewStore(settings.Platform.String(), settings.StoreTimeout),
		Accounts:  account.NewDirectory(),
		Upstreams: upstream.NewFleet(),
		Members: entry.NewRegistry(kumquathitch.EntryVM{
			Name: settings.Name, DataCentre: settings.DataCentre, Address: settings.PeerListen.String(),
		}, entry.Settings{Heartbeat: settings.Heartbeat, SuspectAfter: settings.SuspectAfter, DeadAfter: settings.DeadAfter}),
		Peers:      peer.NewClient(tracing),
		PeerServer: peer.NewServer(tracing),
		tracing:    tracing,
	}
	d.RateShares = newRateShares(d)
	d.Routes = route.NewTable(d.Upstreams, d.Clock, settings.DataCentre)
	d.Requests = d.newRequests()
	d.Routes.Quarantine = d.Requests.CrashTracker
	d.Placement = newPlacementTask(d)
	d.Gateway = gateway.NewServer(&gateway.Server{
		Authenticator: d.Accounts,
		Limiter:       d.RateShares.Limiter,
		Picker:        d.Routes,
		Outcomes:      d.Requests.Outcomes,
		Reports:       reportSink{fleet: d.Upstreams, clock: d.Clock},
		Demand:        d.Placement.Demand,
		Clock:         d.Clock,
		Tracing:       tracing,
		Logger:        d.Logger,
		Metrics:       d.Metrics,
		Buffers:       d.newIntake(),
	}, nil)
	d.Configuration = configuration.NewCurrent(d.Accounts, d.RateShares, d.Upstreams, d.Routes, d.Members, d.Gateway)
	d.addMembership()
	d.addDistribution()
	d.addUpstreamWatcher()
	d.addStatus()
	return d, d.listen(ctx)
}

const (
	// memoryLimitFraction is the memory limit of the Go runtime, as a fraction of the
	// memory in the settings.
	memoryLimitFraction = 0.7
	// bufferFraction is the memory for bodies and responses, and minBufferBytes its least
	// value: one response of the largest size.
	bufferFraction = 0.25
	minBufferBytes = 16 << 20
)

// newIntake creates the budget for callers, and returns the buffers of their messages.
func (d *Daemon) newIntake() *intake.Buffers {
	if memory := d.Settings.MemoryBytes; memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory)))
	}
	resources := intake.Resources{MemoryBytes: d.Settings.MemoryBytes}.Restrict()
	d.intake = intake.NewBudget(intake.Settings{Name: "callers", Limits: intake.Derive(d.Settings.Intake, resources), Logger: d.Logger, Metrics: d.Metrics})
	buffers := intake.NewBuffers(max(minBufferBytes, int64(bufferFraction*float64(resources.MemoryBytes))))
	buffers.Reclaim = d.intake.CloseStalled
	return buffers
}

func (d *Daemon) listen(ctx context.Context) error {
	var err error
	var config net.ListenConfig
	if d.listener, err = config.Listen(ctx, "tcp", d.Settings.Listen.String()); err != nil {
		return eris.Wrap(err, "daemon.New")
	}
	if d.peerListener, err = config.Listen(ctx, "tcp", d.Settings.PeerListen.String()); err != nil {
		_ = d.listener.Close()
		return eris.Wrap(err, "daemon.New")
	}
	d.Members.SetAddress(d.PeerAddress())
	return nil
}

// Address returns the listen address for callers.
func (d *Daemon) Address() string {
	return d.listener.Addr().String()
}

// PeerAddress returns the listen address for other VMs.
func (d *Daemon) PeerAddress() string {
	return d.peerListener.Addr().String()
}

// Run serves until ctx ends. It then accepts no new requests and waits for
// requests in flight for at most the drain timeout. It returns nil, or the error
// of the first task of the daemon that failed. Requests that outlast the drain
// timeout are such an error.
func (d *Daemon) Run(ctx context.Context) error {
	d.Logger.Info("started", zap.String("listen", d.Address()), zap.String("peer-listen", d.PeerAddress()),
		zap.String("data-centre", d.Settings.DataCentre))
	controlCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := newTaskGroup()
	group.Start(ctx, "callers", func(ctx context.Context) error {
		defer stop() // Control tasks run until the last request is answered.
		return d.serveCallers(ctx)
	})
	group.Start(controlCtx, "peers", func(ctx context.Context) error { return <-d.PeerServer.Serve(ctx, d.peerListener) })
	group.Start(controlCtx, "membership", d.Membership.Run)
	group.Start(controlCtx, "configuration", d.Distribution.Run)
	group.Start(controlCtx, "rate-slots", d.RateShares.runRenewals)
	group.Start(controlCtx, "rate-loans", d.RateShares.Borrower.Run)
	d.startRequests(controlCtx, group)
	group.Start(controlCtx, "placement", d.Placement.Run)
	group.Start(controlCtx, "upstreams", d.upstreamWatcher.run)
	failed := group.Wait(stop)
	d.Peers.Close()
	_ = d.tracing.Shutdown(context.WithoutCancel(ctx))
	d.Logger.Info("stopped")
	return eris.Wrap(failed.Err, failed.Name)
}

// serveCallers serves HTTP requests until ctx ends, then drains.
func (d *Daemon) serveCallers(ctx context.Context) error {
	server := &http.Server{Handler: d.Gateway, ErrorLog: zap.NewStdLog(d.Logger)} //nolint:gosec // The budget sets the timeouts.
	d.intake.Configure(server)
	drained := make(chan error, 1)
	go func() {
		<-ctx.Done()
		d.Gateway.SetReady(false)
		d.Membership.Leave(context.WithoutCancel(ctx))
		d.Logger.Info("draining")
		drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.Settings.DrainTimeout)
		defer cancel()
		drained <- server.Shutdown(drainCtx)
	}()
	if err := server.Serve(d.intake.Listen(d.listener)); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "Daemon.serveCallers")
	}
	return eris.Wrap(<-drained, "Daemon.serveCallers")
}

// reportSink passes load reports to the fleet with their time of arrival.
type reportSink struct {
	fleet *upstream.Fleet
	clock kumquathitch.Clock
}

func (r reportSink) Report(name string, report kumquathitch.LoadReport) {
	r.fleet.ApplyReport(name, report, r.clock.Now())
}
