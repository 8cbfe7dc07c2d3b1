package vm

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/intake"
	"kumquathitch.example/kumquathitch/link"
)

const (
	// drainDelay is how long new calls are accepted after the shutdown signal. The
	// platform checks readiness once a second and stops sending calls after two
	// failed checks. A call that arrives 3 s after the signal must not be cut off.
	drainDelay = 2600 * time.Millisecond
	// quietTime is how long no call may have been in flight before a VM that is stopping
	// closes its listener, and again before it closes the connections. A caller that has
	// just opened a connection sends its request within that time.
	quietTime = 300 * time.Millisecond
	// quietPollInterval is the interval at which the VM checks for quietTime.
	quietPollInterval = 20 * time.Millisecond
	// graceMargin is the time before the end of the grace period, when the process is
	// killed, by which all responses end.
	graceMargin = 500 * time.Millisecond
	// cancelMargin is the time to answer calls that are cancelled because no instance
	// has answered them.
	cancelMargin = 150 * time.Millisecond
)

// servers are the listeners of a VM.
type servers struct {
	vm      *VM
	callers *http.Server
	calls   *callCounter
	accepts net.Listener   // Of the callers' connections.
	other   []*http.Server // Readiness and metrics.
	stop    context.CancelFunc
	peers   <-chan error   // Gets the result of the peer server.
	ends    []<-chan error // Get the results of the HTTP servers.
	failed  chan error     // Gets the error of an HTTP server that ended by itself.
}

// listen opens all listeners.
func (v *VM) listen(ctx context.Context) (*servers, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &servers{vm: v, stop: stop, failed: make(chan error, 4)}
	listener, err := link.Listen(ctx, v.environment.PeerAddress)
	if err != nil {
		stop()
		return nil, eris.Wrap(err, "VM.Run: peer address")
	}
	s.peers = v.peerServer().Serve(ctx, listener)
	if err := s.listenOther(ctx, "readiness", v.environment.ReadyAddress, v.readiness()); err != nil {
		stop()
		return nil, err
	}
	if err := s.listenOther(ctx, "metrics", v.environment.MetricsAddress, v.metrics()); err != nil {
		stop()
		return nil, err
	}
	s.calls = &callCounter{handler: v.handler, started: time.Now()}
	s.callers = &http.Server{Handler: s.calls, ErrorLog: zap.NewStdLog(v.log)} //nolint:gosec // The budget sets the timeouts.
	if s.accepts, err = s.serve(ctx, s.callers, v.environment.CallerAddress, v.intake); err != nil {
		stop()
		return nil, err
	}
	return s, nil
}

// listenOther opens a listener for requests of the platform, unless its address is empty.
func (s *servers) listenOther(ctx context.Context, name, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	server := &http.Server{Handler: handler} //nolint:gosec // The budget sets the timeouts.
	budget := intake.NewBudget(intake.Settings{Name: name, Limits: intake.DeriveReadiness(s.vm.resources()), Logger: s.vm.log, Metrics: s.vm.set})
	if _, err := s.serve(ctx, server, address, budget); err != nil {
		return err
	}
	s.other = append(s.other, server)
	return nil
}

// serve serves the connections of an address that a budget admits.
func (s *servers) serve(ctx context.Context, server *http.Server, address string, budget *intake.Budget) (net.Listener, error) {
	listener, err := link.Listen(ctx, address)
	if err != nil {
		return nil, eris.Wrap(err, "VM.Run: address "+address)
	}
	budget.Configure(server)
	admitted := budget.Listen(listener)
	end := make(chan error, 1)
	s.ends = append(s.ends, end)
	go func() {
		err := server.Serve(admitted)
		if !isClosed(err) {
			s.failed <- err
		}
		end <- err
	}()
	return listener, nil
}

// isClosed reports whether a server ended because it or its listener was closed.
func isClosed(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}

// callCounter counts the calls in flight.
type callCounter struct {
	handler  http.Handler
	started  time.Time
	inFlight atomic.Int64
	lastEnd  atomic.Int64 // End of the last call, in nanoseconds after started.
}

// ServeHTTP serves one call.
func (c *callCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer func() {
		c.lastEnd.Store(int64(time.Since(c.started)))
		c.inFlight.Add(-1)
	}()
	c.handler.ServeHTTP(w, r)
}

// awaitQuiet waits until no call has been in flight for quietTime, counted from the
// call of awaitQuiet, or until ctx ends.
func (c *callCounter) awaitQuiet(ctx context.Context) {
	begun := time.Since(c.started)
	for ctx.Err() == nil {
		quietSince := max(begun, time.Duration(c.lastEnd.Load()))
		if c.inFlight.Load() == 0 && time.Since(c.started)-quietSince >= quietTime {
			return
		}
		clock.Pause(ctx, quietPollInterval)
	}
}

// readiness answers the platform's readiness check.
func (v *VM) readiness() http.Handler {
	router := chi.NewRouter()
	router.Get("/*", func(w http.ResponseWriter, _ *http.Request) {
		if v.draining.Load() || v.deployments.Snapshot() == nil || !v.watcher.ready() || !v.newer.informed.Load() || v.reachability.isolated() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

func (v *VM) metrics() http.Handler {
	router := chi.NewRouter()
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { v.set.WritePrometheus(w) })
	return router
}

// logStep logs a step of drain, with the calls and the connections that it finds.
func (s *servers) logStep(step string, started time.Time) {
	fields := append([]zap.Field{zap.String("step", step), zap.Duration("after", time.Since(started)), zap.Int64("calls", s.calls.inFlight.Load())}, s.vm.intake.Count().Fields()...)
	s.vm.log.Info("draining", fields...)
}

// drain waits for the platform to send callers elsewhere and for calls in flight to
// end, and closes all listeners before the grace period is over. A call that still
// arrives meanwhile is answered. Server.Shutdown comes last, since net/http closes
// each connection whose request it reads after that without an answer.
func (s *servers) drain(grace time.Duration) {
	started := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-graceMargin))
	defer cancel()
	clock.Pause(ctx, min(drainDelay, grace/2))
	s.logStep("refusing calls", started)
	s.vm.stopping.Store(true)
	cancelTimer := time.AfterFunc(time.Until(started.Add(grace-graceMargin-cancelMargin)), s.vm.cancelCalls)
	defer cancelTimer.Stop()
	s.callers.SetKeepAlivesEnabled(false) // Closes the idle connections.
	s.calls.awaitQuiet(ctx)
	s.logStep("closing the listener", started)
	if err := s.accepts.Close(); err != nil {
		s.vm.log.Warn("cannot close listener", zap.Error(err))
	}
	s.calls.awaitQuiet(ctx)
	s.logStep("closing connections", started)
	if err := s.callers.Shutdown(ctx); err != nil {
		s.vm.log.Warn("connections closed at the end of the grace period", zap.Error(err))
		if err := s.callers.Close(); err != nil {
			s.vm.log.Warn("cannot close listener", zap.Error(err))
		}
	}
	s.vm.intake.AwaitClosed(ctx)
	for _, server := range s.other {
		if err := server.Close(); err != nil {
			s.vm.log.Warn("cannot close listener", zap.Error(err))
		}
	}
	s.stop()
	if err := <-s.peers; err != nil {
		s.vm.log.Warn("peer listener failed", zap.Error(err))
	}
	for _, end := range s.ends {
		if err := <-end; !isClosed(err) {
			s.vm.log.Warn("listener failed", zap.Error(err))
		}
	}
	s.vm.log.Info("drained", zap.Duration("took", time.Since(started)))
}
