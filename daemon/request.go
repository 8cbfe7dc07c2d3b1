package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/request"
)

// outcomeLinger is how long an outcome may wait to share a store write with a
// claim. If the VM dies in that time, the outcome remains unknown.
const outcomeLinger = time.Second

// Requests groups the parts that prevent duplicate executions of requests and
// block requests that crash upstreams.
type Requests struct {
	Outcomes     *request.Coordinator
	CrashTracker *request.CrashTracker
	Notifier     *request.Notifier
}

// newRequests creates the parts and registers their handlers for messages of other VMs.
func (d *Daemon) newRequests() *Requests {
	notifier := request.NewNotifier(d.Clock, d.Members, d.Peers)
	r := &Requests{
		Outcomes: request.NewCoordinator(d.Store, d.Clock, d.Members, d.Peers, request.Settings{
			Record:       request.RecordSettings{TTL: d.Settings.OutcomeTTL, ClockError: d.Settings.ClockError},
			StoreTimeout: d.Settings.StoreTimeout,
			Linger:       outcomeLinger,
		}),
		CrashTracker: request.NewCrashTracker(d.Settings.Name, d.Settings.FingerprintTTL, 2*d.Settings.ClockError, d.reportCrashHistories(notifier)),
		Notifier:     notifier,
	}
	r.Outcomes.Counters = request.NewCounters(d.Metrics)
	peer.Handle(d.PeerServer, request.ClaimMethod, r.Outcomes.HandleBatch)
	peer.Handle(d.PeerServer, request.SuspectsMethod,
		func(_ context.Context, histories request.CrashHistories) (request.SuspectsResponse, error) {
			r.CrashTracker.Merge(histories, d.Clock.Now())
			return request.SuspectsResponse{}, nil
		})
	return r
}

// reportCrashHistories returns a function that logs newly blocked requests and
// sends changed crash histories to the other VMs.
func (d *Daemon) reportCrashHistories(notifier *request.Notifier) func(request.CrashHistories) {
	return func(changed request.CrashHistories) {
		for _, history := range changed {
			if history.Blocked() {
				d.Logger.Warn("request-crashes-upstreams", zap.Uint64("fingerprint", history.Fingerprint),
					zap.Any("crashes", history.Crashes))
			}
		}
		notifier.Notify(changed)
	}
}

// startRequests starts the tasks of the parts.
func (d *Daemon) startRequests(ctx context.Context, group *taskGroup) {
	group.Start(ctx, "outcomes", d.Requests.Outcomes.Run)
	group.Start(ctx, "suspects", d.Requests.Notifier.Run)
}

var (
	_ kumquathitch.OutcomeStore = (*request.Coordinator)(nil)
	_ kumquathitch.Quarantine   = (*request.CrashTracker)(nil)
)
