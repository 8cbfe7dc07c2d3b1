package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/rate"
)

const (
	// slotRetryDelay is the delay after a failed renewal, a tenth of the renewal period.
	slotRetryDelay = time.Second
	// rebalanceTimeout bounds how long a VM that lacks slots waits for others to release some.
	rebalanceTimeout = time.Second
	// releaseTimeout bounds the release of slots at shutdown. The leases of slots
	// that are not released expire.
	releaseTimeout = 2 * time.Second
)

// rateShares maintains this VM's shares of the accounts' rates.
type rateShares struct {
	Buckets  *rate.Buckets
	Limiter  *rate.Limiter
	Borrower *rate.Borrower
	Renewer  *rate.Renewer

	config     atomic.Pointer[kumquathitch.Configuration]
	configured chan struct{}      // Gets one value when the first configuration is applied.
	renewNow   chan chan struct{} // Requests an immediate renewal; the channel sent is closed after it.
	peers      kumquathitch.Peers
	logger     *zap.Logger

	renewalFailures *metrics.Counter
}

// newRateShares creates the rate shares of this VM and registers their handlers.
func newRateShares(d *Daemon) *rateShares {
	settings := rate.Settings{
		ClockError: d.Settings.ClockError, ClockDrift: d.Settings.ClockDrift,
		SlotLease: d.Settings.SlotLease, FloorLease: d.Settings.FloorLease, LoanTerm: d.Settings.LoanTerm,
	}
	vm := d.Members.Self()
	self := rate.Holder{Name: vm.Name, Incarnation: vm.Incarnation, Address: vm.Address}
	if self.Incarnation == 0 {
		// Slots of an earlier process must not count as this one's.
		self.Incarnation = uint64(d.Clock.Now().UnixNano())
	}
	buckets := rate.NewBuckets(settings)
	borrower := rate.NewBorrower(&rate.Borrower{
		Buckets: buckets, Clock: d.Clock, Members: d.Members, Peers: d.Peers, Self: self, Settings: settings,
	})
	peer.Handle(d.PeerServer, rate.BorrowMethod, func(_ context.Context, request rate.BorrowRequest) (rate.BorrowResponse, error) {
		return buckets.Lend(request, self, d.Clock.Now()), nil
	})
	shares := &rateShares{
		Buckets:  buckets,
		Limiter:  &rate.Limiter{Buckets: buckets, Clock: d.Clock, Borrower: borrower},
		Borrower: borrower,
		Renewer: &rate.Renewer{
			Store: d.Store, Buckets: buckets, Clock: d.Clock, Self: self, DataCentre: vm.DataCentre, Settings: settings,
		},
		configured: make(chan struct{}, 1),
		renewNow:   make(chan chan struct{}),
		peers:      d.Peers,
		logger:     d.Logger,
	}
	peer.Handle(d.PeerServer, rate.RebalanceMethod, shares.rebalance)
	shares.renewalFailures = d.Metrics.NewCounter("kumquathitch_rate_renewal_failures_total")
	d.Metrics.NewGauge("kumquathitch_rate_share", func() float64 { return buckets.Share(d.Clock.Now()) })
	return shares
}

// rebalance renews this VM's slots immediately and returns after the renewal.
// The renewal releases the slots above this VM's fair share, for the requester.
func (r *rateShares) rebalance(ctx context.Context, request rate.RebalanceRequest) (rate.RebalanceRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, rebalanceTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case r.renewNow <- done:
	case <-ctx.Done():
		return request, ctx.Err()
	}
	select {
	case <-done:
		return request, nil
	case <-ctx.Done():
		return request, ctx.Err()
	}
}

// Apply sets the accounts' rates from a configuration.
func (r *rateShares) Apply(config kumquathitch.Configuration) {
	r.Buckets.Apply(config, r.Renewer.Clock.Now())
	if r.config.Swap(&config) == nil {
		r.configured <- struct{}{} // Does not block: only the first configuration gets here.
	}
}

// runRenewals renews this VM's slots until ctx ends, then releases them. The
// daemon ends ctx after its last request.
func (r *rateShares) runRenewals(ctx context.Context) error {
	select {
	case <-r.configured:
	case <-ctx.Done():
		return nil
	}
	var rebalanced chan struct{}
	for ctx.Err() == nil {
		period := r.renew(ctx)
		if rebalanced != nil {
			close(rebalanced)
		}
		rebalanced = r.waitForRenewal(ctx, period)
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := r.Renewer.Release(releaseCtx); err != nil {
		r.logger.Warn("slot-release-failed", zap.Error(err))
	}
	return nil
}

// renew renews this VM's slots and returns the time until the next renewal.
func (r *rateShares) renew(ctx context.Context) time.Duration {
	err := r.Renewer.Renew(ctx, *r.config.Load())
	if err == nil && len(r.Renewer.AboveFairShare) > 0 {
		r.requestRebalance(ctx, r.Renewer.AboveFairShare)
		err = r.Renewer.Renew(ctx, *r.config.Load())
	}
	if err != nil && ctx.Err() == nil {
		r.renewalFailures.Inc()
		r.logger.Warn("slot-renewal-failed", zap.Error(err))
	}
	if err != nil || len(r.Renewer.AboveFairShare) > 0 {
		return slotRetryDelay
	}
	return rate.RenewInterval
}

// requestRebalance requests an immediate renewal from VMs that hold more than
// their fair share. It does so one VM at a time, because their renewals all
// change the same record.
func (r *rateShares) requestRebalance(ctx context.Context, holders []rate.Holder) {
	ctx, cancel := context.WithTimeout(ctx, rebalanceTimeout)
	defer cancel()
	for _, holder := range holders {
		request := rate.RebalanceRequest{For: r.Renewer.Self}
		if err := r.peers.Call(ctx, holder.Address, rate.RebalanceMethod, request, &rate.RebalanceRequest{}); err != nil {
			r.logger.Debug("slot-rebalance-failed", zap.String("holder", holder.String()), zap.Error(err))
		}
	}
}

// waitForRenewal waits until a period has passed, ctx ends, or another VM
// requests a renewal. In the last case it returns the channel to close after
// the renewal, else nil.
func (r *rateShares) waitForRenewal(ctx context.Context, period time.Duration) chan struct{} {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case rebalanced := <-r.renewNow:
		return rebalanced
	}
	return nil
}
