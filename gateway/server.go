// Package gateway is the HTTP front end for callers. Handlers parse a request,
// get decisions from the domain packages, relay the upstream's response and
// write refusals in the OpenAI error format.
//
// # Usage
//
//	server := &gateway.Server{
//		Authenticator: directory, Limiter: limiter, Picker: table, Outcomes: coordinator, Demand: demand,
//		Clock: clock, Tracing: tracing, Logger: logger, Metrics: set,
//	}
//	server.Apply(config)
//	http.ListenAndServe(address, server)
//
// Requests to upstreams are built from an allow-list of headers, so a caller's
// key never leaves the process.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
	"kumquathitch.example/kumquathitch/telemetry"
)

// Server serves callers. All exported fields are set before the first request.
type Server struct {
	Authenticator kumquathitch.Authenticator
	Limiter       kumquathitch.Limiter
	Picker        kumquathitch.Picker
	Outcomes      kumquathitch.OutcomeStore
	Reports       ReportSink
	Demand        kumquathitch.DemandSink
	Clock         kumquathitch.Clock
	Tracing       *telemetry.Tracing
	Logger        *zap.Logger
	Metrics       *metrics.Set
	Buffers       *intake.Buffers // For bodies and responses; nil for defaultBufferBytes.

	router          atomic.Pointer[chi.Mux]
	counters        atomic.Pointer[counters]
	client          *http.Client
	noReuseClient   *http.Client
	ready           atomic.Bool
	operatorHandler http.Handler
}

// ReportSink receives the load reports in the headers of upstream responses.
type ReportSink interface {
	// Report records a load report of the named upstream.
	Report(upstream string, report kumquathitch.LoadReport)
}

// discardDemand is the DemandSink of a server without one.
type discardDemand struct{}

func (discardDemand) Add(string, int64, time.Time) {}

// NewServer initialises the unexported fields of s and returns s. The
// operatorHandler serves the paths below /-/operators; it may be nil.
func NewServer(s *Server, operatorHandler http.Handler) *Server {
	s.client = &http.Client{Transport: newTransport(), CheckRedirect: returnRedirect}
	s.noReuseClient = &http.Client{Transport: newNoReuseTransport(), CheckRedirect: returnRedirect}
	if s.Demand == nil {
		s.Demand = discardDemand{}
	}
	if s.Buffers == nil {
		s.Buffers = intake.NewBuffers(defaultBufferBytes)
	}
	s.operatorHandler = operatorHandler
	s.router.Store(s.newRouter(kumquathitch.Routes{}))
	s.counters.Store(newCounters(s.Metrics, nil))
	return s
}

// returnRedirect makes http.Client return a redirect instead of following it.
// After status 307 or 308 it would send a call with an empty body a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Apply replaces the routes and account counters by those of a configuration
// and makes the server ready.
func (s *Server) Apply(config kumquathitch.Configuration) {
	s.router.Store(s.newRouter(config.Routes))
	s.counters.Store(newCounters(s.Metrics, config.Accounts))
	s.ready.Store(true)
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.Load().ServeHTTP(w, r)
}

func (s *Server) newRouter(routes kumquathitch.Routes) *chi.Mux {
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, s.Clock.Now(), kumquathitch.NewRefusal(404, "route-not-found", "No route has this path."))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, s.Clock.Now(), kumquathitch.NewRefusal(405, "method-not-allowed", "The route does not accept this method."))
	})
	router.Get("/-/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	router.Get("/-/ready", s.serveReady)
	router.Get("/-/metrics", func(w http.ResponseWriter, _ *http.Request) { s.Metrics.WritePrometheus(w) })
	if s.operatorHandler != nil {
		router.Mount("/-/operators", s.operatorHandler)
	}
	for _, route := range routes {
		if route.Service == "" {
			router.Method(route.Method, route.Path, s.handle(route, s.serveChat))
			continue
		}
		router.Method(route.Method, route.Path, s.handle(route, s.serveService))
	}
	return router
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetReady sets the readiness that the platform's load balancer reads. A server
// that is not ready gets no new requests from it.
func (s *Server) SetReady(ready bool) {
	s.ready.Store(ready)
}

// requestInfo holds the route, identity, key and body of a caller's request.
type requestInfo struct {
	route  kumquathitch.Route
	caller kumquathitch.Caller
	key    string // As presented; only compared, never forwarded.
	body   []byte
	held   intake.HeldBody // Holds body.
}

// boundCaller ends the read of the body at the deadline of the request, and writes to a
// caller that does not read callerWriteTimeout later.
func boundCaller(ctx context.Context, w http.ResponseWriter) {
	deadline, _ := ctx.Deadline()
	control := http.NewResponseController(w) // Not every ResponseWriter supports deadlines.
	_ = control.SetReadDeadline(deadline)
	_ = control.SetWriteDeadline(deadline.Add(callerWriteTimeout))
}

type serveFunc func(ctx context.Context, w http.ResponseWriter, r *http.Request, info *requestInfo) error

// handle returns a handler that prepares the request, calls serve and writes
// its error.
func (s *Server) handle(route kumquathitch.Route, serve serveFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := s.Tracing.Propagator.Extract(r.Context(), headerCarrier(r.Header))
		ctx, span := s.Tracing.Tracer.Start(ctx, "gateway "+route.Method+" "+route.Path)
		defer span.End()
		ctx, cancel := context.WithDeadline(ctx, s.Clock.Now().Add(routeTimeout(route)))
		defer cancel()
		info := &requestInfo{route: route, held: intake.HeldBody{Buffers: s.Buffers}}
		defer info.held.Release()
		boundCaller(ctx, w)
		if err := s.prepare(w, r, info); err != nil {
			s.writeError(w, info, err)
			return
		}
		ctx, release := s.Authenticator.Track(ctx, info.caller)
		defer release()
		if err := serve(ctx, w, r, info); err != nil {
			s.writeError(w, info, err)
		}
	}
}
