// Package relay forwards callers' requests to upstream instances and returns their responses.
//
// # Usage
//
//	handler := &relay.Handler{Dialect: dialect, Deployments: current, Chooser: fleet, ...}
//	server := &http.Server{Handler: handler}
//
// Decisions are made behind the interfaces of the root package. This package
// reads and writes HTTP, and enforces these rules itself:
//
//   - An at-most-once call is resent only if no byte of it was sent, or if the
//     instance states that it did not run the call.
//   - A response is used only if it carries the ID of the call. Responses to other
//     calls on the same connection are dropped.
//   - A status that implies that the call did not run is forwarded only if the
//     instance stated this. Otherwise the caller gets 502 or 504.
//   - Streams are forwarded in whole events, so that another instance can
//     resume them.
//   - The memory for heads, bodies and incomplete events is bounded, for each
//     message and for all of them together.
//   - A call whose handling panics is answered as unknown if it was sent, and as not
//     run otherwise. The other calls go on.
package relay

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/deployment"
	"kumquathitch.example/kumquathitch/intake"
	"kumquathitch.example/kumquathitch/telemetry"
)

const (
	// defaultMaxBodyBytes applies if the deployment sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 60 * time.Second
	// defaultObjective applies to routes without an objective.
	defaultObjective = time.Second
	// rateWaitDivisor limits the wait for tokens to an eighth of the route's
	// objective, since callers rely on early refusals.
	rateWaitDivisor = 8
	// maxRateWait is the upper limit of that wait.
	maxRateWait = 250 * time.Millisecond
	// minRateWait is its lower limit. It leaves time for one exchange with the leader.
	minRateWait = 50 * time.Millisecond
	// dialTimeout limits opening a connection to an instance. Inside a region this
	// takes milliseconds, and a lost SYN is retransmitted only after a second.
	dialTimeout = 400 * time.Millisecond
	// deadlineMargin ends a call before the caller's deadline, so that the response
	// still reaches the caller in time.
	deadlineMargin = 20 * time.Millisecond
	// writeMargin is how long after the deadline of a call writes to its caller may take.
	writeMargin = time.Second
	// maxExtraSends is the number of sends beyond the route's MaxAttempts that are
	// allowed when instances state that they did not run the call.
	maxExtraSends = 2
)

// Handler serves callers' requests. Its fields must not change after the first request.
type Handler struct {
	Dialect       kumquathitch.Dialect
	Deployments   *deployment.Current
	Chooser       kumquathitch.Chooser
	Scheduler     kumquathitch.Scheduler
	TokenBuckets  kumquathitch.TokenBuckets
	RetryBudget   kumquathitch.RetryBudget
	CrashGuard    kumquathitch.CrashGuard
	PromptGuard   kumquathitch.PromptGuard
	CrashDetector kumquathitch.CrashDetector
	AdapterPlacer kumquathitch.AdapterPlacer
	Demand        kumquathitch.DemandSink
	Clock         kumquathitch.Clock
	Logger        *zap.Logger
	Tracer        trace.Tracer
	Metrics       *Metrics
	Pool          *Pool
	Buffers       *intake.Buffers
	Panics        *telemetry.PanicGuard

	// Draining reports whether the VM is shutting down. Responses then carry
	// "Connection: close", so that callers reconnect to another VM.
	Draining func() bool

	// Stopping reports whether the VM is about to exit. Calls that have not been
	// sent to an instance are then refused.
	Stopping func() bool

	// BaseContext ends shortly before the VM closes its connections. Calls that
	// are still unanswered then get status 502.
	BaseContext context.Context
}

// ServeHTTP forwards one call to an instance, or refuses it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Draining() {
		w.Header().Set("Connection", "close")
	}
	rc := &relayedCall{Handler: h, writer: w, request: r, received: h.Clock.Now()}
	defer rc.answerPanic()
	defer rc.held.Release()
	rc.boundWrites(rc.received.Add(defaultTimeout)) // Replaces the deadline of an earlier call on the connection.
	if refusal := rc.admit(); refusal != nil {
		rc.refuse(refusal)
		return
	}
	rc.sendUntilAnswered()
}

// answerPanic answers a call whose handling has panicked. It is deferred.
func (rc *relayedCall) answerPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler { //nolint:errorlint // The value of a panic, which net/http compares in the same way.
		panic(cause)
	}
	rc.Panics.Report("relay.call", cause)
	refusal := kumquathitch.NewRefusal(http.StatusServiceUnavailable, "internal", "an internal error ended the call before it was sent")
	if rc.sends > 0 {
		refusal = kumquathitch.NewFailure(http.StatusBadGateway, "internal", "an internal error ended the call, which may have run")
	}
	rc.fail(refusal)
}
