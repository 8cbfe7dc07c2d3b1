package vm

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/link"
)

const (
	// headerTimeout is longer than any deployment's own limit.
	headerTimeout = 20 * time.Second
	// callerIdleTimeout is longer than callers keep connections unused.
	callerIdleTimeout = 90 * time.Second
	// headerBytes bounds the head of a request.
	headerBytes = 64 << 10
	// rotationTime is how long calls are still taken after the signal. The
	// platform asks once a second whether the VM is ready, and takes it out after
	// two misses; a call that comes 3 s after the signal may not be cut any more.
	rotationTime = 2600 * time.Millisecond
	// graceMargin ends the last answers before the process is ended by force.
	graceMargin = 500 * time.Millisecond
	// answerMargin is the time for the answers to calls that no instance answered.
	answerMargin = 150 * time.Millisecond
)

// servers are the listeners of a VM.
type servers struct {
	vm      *VM
	callers *http.Server
	other   []*http.Server
	stop    context.CancelFunc
	peers   <-chan error
	ends    []<-chan error
	failed  chan error
}

// listen opens all listeners.
func (v *VM) listen(ctx context.Context) (*servers, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &servers{vm: v, stop: stop, failed: make(chan error, 4)}
	listener, err := link.Listen(ctx, v.site.PeerAddress)
	if err != nil {
		stop()
		return nil, eris.Wrap(err, "VM.Run: peer address")
	}
	s.peers = v.peerServer().Serve(ctx, listener)
	for address, handler := range map[string]http.Handler{v.site.ReadyAddress: v.readiness(), v.site.MetricsAddress: v.metrics()} {
		if address == "" {
			continue
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		if err := s.serve(ctx, server, address); err != nil {
			stop()
			return nil, err
		}
		s.other = append(s.other, server)
	}
	s.callers = &http.Server{
		Handler: v.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: zap.NewStdLog(v.log),
	}
	if err := s.serve(ctx, s.callers, v.site.CallerAddress); err != nil {
		stop()
		return nil, err
	}
	return s, nil
}

func (s *servers) serve(ctx context.Context, server *http.Server, address string) error {
	listener, err := link.Listen(ctx, address)
	if err != nil {
		return eris.Wrap(err, "VM.Run: address "+address)
	}
	end := make(chan error, 1)
	s.ends = append(s.ends, end)
	go func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
		end <- err
	}()
	return nil
}

// readiness answers the platform's question whether to send callers here.
func (v *VM) readiness() http.Handler {
	router := chi.NewRouter()
	router.Get("/*", func(w http.ResponseWriter, _ *http.Request) {
		if v.closing.Load() || v.current.View() == nil || !v.follower.ready() || v.reach.isolated() {
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

// drain lets callers go elsewhere, waits for their answers, and closes all
// listeners before the grace is over.
func (s *servers) drain(grace time.Duration) {
	begun := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-graceMargin))
	defer cancel()
	clock.Pause(ctx, min(rotationTime, grace/2))
	s.vm.ending.Store(true)
	last := time.AfterFunc(time.Until(begun.Add(grace-graceMargin-answerMargin)), s.vm.endCalls)
	defer last.Stop()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.vm.log.Warn("answers cut at the end of the grace", zap.Error(err))
		if err := s.callers.Close(); err != nil {
			s.vm.log.Warn("listener not closed", zap.Error(err))
		}
	}
	for _, server := range s.other {
		if err := server.Close(); err != nil {
			s.vm.log.Warn("listener not closed", zap.Error(err))
		}
	}
	s.stop()
	if err := <-s.peers; err != nil {
		s.vm.log.Warn("listener of peers failed", zap.Error(err))
	}
	for _, end := range s.ends {
		if err := <-end; !errors.Is(err, http.ErrServerClosed) {
			s.vm.log.Warn("listener failed", zap.Error(err))
		}
	}
	s.vm.log.Info("drained", zap.Duration("took", time.Since(begun)))
}
