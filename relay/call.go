package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/intake"
)

const (
	// resumeRetryInterval is the pause before an interrupted stream is tried at all
	// instances again. Callers wait at least two seconds for the next event.
	resumeRetryInterval = 100 * time.Millisecond
	// modelWaitFactor limits the wait for a model to load, as a multiple of the
	// route's objective. Callers abandon streams without an event after four times
	// the objective.
	modelWaitFactor = 2
	// abandonFactor is the multiple of the objective after which callers abandon streams
	// without an event, and leaveMargin the time by which a response starts before that.
	abandonFactor = 4
	leaveMargin   = 150 * time.Millisecond
	// maxWaitFraction is the fraction of the time until the deadline within which a
	// response must start, so that it can end.
	maxWaitFraction = 0.6
	// maxReturnDivisor limits the time after which refused callers come back to this part
	// of the time that they have.
	maxReturnDivisor = 3
	// holdFraction is the fraction of the objective for which a call may be held
	// back to avoid delaying streams. The rest is left for the prefill of its prompt.
	holdFraction = 0.5
	// capacityPollInterval limits one wait for capacity, since the notification may
	// have been sent just before the wait began.
	capacityPollInterval = 40 * time.Millisecond
	// minDeferral is the least time until a VM asks again whether the limit of an instance
	// admits a call.
	minDeferral = 20 * time.Millisecond
	// modelPollInterval is the pause between two checks for a resident model or adapter.
	modelPollInterval = 60 * time.Millisecond
)

// relayedCall is the state of one call from its arrival to its response.
type relayedCall struct {
	*Handler
	writer   http.ResponseWriter
	request  *http.Request
	received time.Time

	call              kumquathitch.Call
	route             *kumquathitch.DeploymentRoute
	tenant            *kumquathitch.Tenant // Nil on open routes, and if the deployment has no accounts.
	deploymentVersion uint64               // Version of the deployment that the call was admitted under.
	criteria          kumquathitch.InstanceCriteria
	ranked            bool // The scheduler ranks the calls of the service by priority.
	modelListed       bool // The service configures the model; demand for other names is not recorded.
	body              []byte
	held              intake.HeldBody // Holds body.
	deadline          time.Time
	chargedTokens     float64 // Tokens taken from the account's rate.

	sends    int  // All attempts, including those that reached no instance.
	runs     int  // Failed attempts that the instance may have run.
	headSent bool // The caller has the status and header of a response.
	stream   streamState

	successor *attempt // Attempt that has taken the call over from a silent instance; nil if there is none.
}

// admit decides whether the call may be sent to an instance.
func (rc *relayedCall) admit() *kumquathitch.RefusalError {
	rc.Metrics.Calls.Inc()
	if rc.Stopping() {
		return stoppingRefusal()
	}
	snapshot := rc.Deployments.Snapshot()
	if snapshot == nil {
		return kumquathitch.NewRefusal(http.StatusServiceUnavailable, "no-deployment", "this VM has no configuration yet")
	}
	rc.deploymentVersion = snapshot.Deployment.Version
	call, err := rc.Dialect.DecodeCall(rc.request, rc.received)
	if err != nil {
		return asRefusal(err)
	}
	rc.call = call
	if rc.route = snapshot.Route(call.Host, call.Path); rc.route == nil {
		return kumquathitch.NewRefusal(http.StatusNotFound, "no-route", "no route of host "+call.Host+" matches the path")
	}
	if snapshot.RequiresKey() && !rc.route.Open {
		if rc.tenant = snapshot.Tenant(call.Key); rc.tenant == nil {
			return unknownKeyRefusal()
		}
	}
	if refusal := rc.readBody(snapshot.Deployment.Limits.MaxBodyBytes); refusal != nil {
		return refusal
	}
	rc.prepare(snapshot.Deployment.Services)
	rc.ranked = snapshot.RanksCalls(rc.criteria.Service)
	if refusal := rc.crashRefusal(rc.received); refusal != nil {
		return refusal
	}
	return rc.chargeTokens()
}

// crashRefusal returns the refusal of a call that crashes instances, or nil. The call must
// not have run.
func (rc *relayedCall) crashRefusal(now time.Time) *kumquathitch.RefusalError {
	if until, blocked := rc.CrashGuard.BlockedUntil(rc.criteria.Content, now); blocked {
		return blockedRefusal(&kumquathitch.CallBlockedError{Until: until, ByContent: true})
	}
	if until, blocked := rc.PromptGuard.BlockedUntil(rc.call.Prompt, now); blocked {
		return blockedRefusal(&kumquathitch.CallBlockedError{Until: until})
	}
	return nil
}

func unknownKeyRefusal() *kumquathitch.RefusalError {
	return kumquathitch.NewRefusal(http.StatusUnauthorized, "unknown-key", "no client account has this key")
}

func stoppingRefusal() *kumquathitch.RefusalError {
	return kumquathitch.NewRefusal(http.StatusServiceUnavailable, "shutting-down", "this VM is shutting down")
}

func asRefusal(err error) *kumquathitch.RefusalError {
	var refusal *kumquathitch.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return kumquathitch.NewRefusal(http.StatusServiceUnavailable, "internal", err.Error())
}

func (rc *relayedCall) readBody(limit int64) *kumquathitch.RefusalError {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	rc.held.Buffers = rc.Buffers
	control := http.NewResponseController(rc.writer)
	if rc.request.ContentLength != 0 { // A caller that stops sending must not hold the body for ever.
		until := rc.received.Add(defaultTimeout)
		if d := rc.call.Deadline; !d.IsZero() && d.Before(until) {
			until = d
		}
		_ = control.SetReadDeadline(until) // Fails only on a closed connection, which ends the read as well.
	}
	err := rc.held.ReadAll(http.MaxBytesReader(rc.writer, rc.request.Body, limit), "body", rc.request.ContentLength, limit)
	var tooLong *http.MaxBytesError
	var large *intake.TooLargeError
	var full *intake.BuffersFullError
	switch {
	case errors.As(err, &tooLong), errors.As(err, &large):
		return kumquathitch.NewRefusal(http.StatusRequestEntityTooLarge, "body-too-large",
			fmt.Sprintf("the body is larger than %d bytes", limit))
	case errors.As(err, &full):
		refusal := kumquathitch.NewRefusal(http.StatusServiceUnavailable, "buffers-full", err.Error())
		refusal.RetryAfter = rc.Clock.Now().Add(busyRetryAfter)
		return refusal
	case err != nil:
		return kumquathitch.NewRefusal(http.StatusBadRequest, "body-unreadable", "reading the body: "+err.Error())
	}
	_ = control.SetReadDeadline(time.Time{}) // The connection may carry further calls.
	rc.body = rc.held.Data
	return nil
}

// boundWrites ends writes to a caller that does not read, shortly after the deadline.
func (rc *relayedCall) boundWrites(deadline time.Time) {
	_ = http.NewResponseController(rc.writer).SetWriteDeadline(deadline.Add(writeMargin)) // Fails only on a closed connection.
}

// prepare sets the deadline of the call, the hash of its content, and its requirements on an instance.
func (rc *relayedCall) prepare(services kumquathitch.Services) {
	timeout := rc.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	rc.deadline = rc.received.Add(timeout)
	if d := rc.call.Deadline; !d.IsZero() && d.Add(-deadlineMargin).Before(rc.deadline) {
		rc.deadline = d.Add(-deadlineMargin)
	}
	rc.boundWrites(rc.deadline)
	objective := rc.route.LatencyObjective
	if objective <= 0 {
		objective = defaultObjective
	}
	rc.criteria = kumquathitch.InstanceCriteria{
		Service: rc.pickService(), Model: rc.call.Model, Adapter: rc.call.Adapter,
		Prompt: rc.call.Prompt, Tokens: rc.call.PromptTokens, LatencyObjective: objective, GapLimit: rc.route.GapLimit,
		Priority:          rc.route.CallPriority(rc.tenant),
		NoRetry:           rc.route.RetryMode == kumquathitch.RetryNever,
		HoldUntil:         rc.received.Add(time.Duration(holdFraction * float64(objective))),
		FirstByteDeadline: rc.received.Add(objective),
		Homes:             rc.homes(),
		OutputTokens:      rc.call.MaxOutputTokens, Ticket: xxhash.Sum64String(rc.call.ID) | 1, Received: rc.received, LeaveAt: rc.leaveAt(objective),
	}
	if d := rc.call.Deadline; !d.IsZero() {
		rc.criteria.ReturnBy = rc.received.Add(d.Sub(rc.received) / maxReturnDivisor)
	}
	if service := services.Find(rc.criteria.Service); service != nil && service.Engine != nil {
		rc.modelListed = service.Engine.Models.Find(rc.call.Model) != nil
	}
	caller := rc.call.Key
	if rc.tenant != nil {
		caller = rc.tenant.Name // An account may have several keys.
	}
	digest := xxhash.New()
	for _, part := range []string{rc.call.Method, rc.call.Host, rc.request.RequestURI, caller} {
		_, _ = digest.WriteString(part + "\x00")
	}
	_, _ = digest.Write(rc.body)
	rc.criteria.Content = digest.Sum64()
	rc.stream.lastEventID = rc.call.LastEventID
}

// homes returns the regions that both the route and the account of the call allow.
func (rc *relayedCall) homes() kumquathitch.Homes {
	if rc.tenant == nil {
		return rc.route.Homes
	}
	return rc.route.Homes.And(rc.tenant.Homes)
}

// leaveAt returns the time at which the caller leaves if the response has not started. It
// leaves time for the response until the deadline.
func (rc *relayedCall) leaveAt(objective time.Duration) time.Time {
	patience := time.Duration(maxWaitFraction * float64(rc.deadline.Sub(rc.received)))
	if rc.route.Stream {
		patience = min(patience, max(maxEventTimeout, abandonFactor*objective, maxEventTimeoutFactor*rc.route.GapLimit)-leaveMargin)
	}
	return rc.received.Add(patience)
}

// pickService picks one of the route's services by weight. The choice depends
// only on the ID of the call.
func (rc *relayedCall) pickService() string {
	shares := rc.route.Shares
	total := 0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	if len(shares) == 1 || total == 0 {
		return shares[0].Service
	}
	at := int(xxhash.Sum64String(rc.call.ID) % uint64(total)) //nolint:gosec // Both are small and positive.
	for _, s := range shares {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// chargeTokens charges the call's tokens to the rate of its account.
func (rc *relayedCall) chargeTokens() *kumquathitch.RefusalError {
	if rc.tenant == nil {
		return nil
	}
	tokens := float64(rc.call.TokenCost(rc.tenant.DefaultTokens))
	until := rc.received.Add(max(minRateWait, min(maxRateWait, rc.criteria.LatencyObjective/rateWaitDivisor)))
	if err := rc.TokenBuckets.Take(rc.request.Context(), rc.tenant, tokens, until); err != nil {
		return asRefusal(err)
	}
	rc.chargedTokens = tokens
	return nil
}

// sendUntilAnswered sends the call until it is answered or may not be sent again.
func (rc *relayedCall) sendUntilAnswered() {
	ctx, span := rc.Tracer.Start(rc.request.Context(), "call", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, rc.deadline)
	defer cancel()
	defer context.AfterFunc(rc.BaseContext, cancel)()
	defer rc.abandonSuccessor()
	rc.RetryBudget.RecordCall(rc.criteria.Service, rc.received)
	if rc.modelListed {
		rc.Demand.Add(rc.criteria.Service+"/"+rc.call.Target(), rc.call.PromptTokens+rc.call.MaxOutputTokens, rc.received)
	}
	for {
		choice, err := rc.chooseUnblocked(ctx)
		if err != nil {
			if rc.pauseBeforeResume(ctx) {
				continue
			}
			rc.fail(rc.noInstanceRefusal(err))
			return
		}
		result, status := rc.sendAndReport(ctx, choice)
		rc.logSend(choice, status, result)
		if status.answered {
			return
		}
		if !rc.prepareResend(ctx, choice, result, status) {
			rc.fail(rc.failedSendRefusal(ctx, result, status))
			return
		}
	}
}

// abandonSuccessor ends a successor that the call has not used.
func (rc *relayedCall) abandonSuccessor() {
	if rc.successor != nil {
		rc.successor.abandon()
		rc.successor = nil
	}
}

// sendAndReport sends the call and reports the result to the chooser, also when the
// send panics: otherwise the instance would count a call that never ends.
func (rc *relayedCall) sendAndReport(ctx context.Context, choice kumquathitch.InstanceChoice) (result kumquathitch.SendResult, status sendStatus) {
	result.Outcome = kumquathitch.SendCancelled // Unless the send returns.
	defer func() {
		result.Ended = rc.Clock.Now()
		rc.Chooser.Done(rc.criteria, choice, result)
	}()
	return rc.send(ctx, choice)
}

// prepareResend reports whether the call is sent again after a failed send. For a
// stream that has begun, it waits until a resend is possible.
func (rc *relayedCall) prepareResend(ctx context.Context, choice kumquathitch.InstanceChoice, result kumquathitch.SendResult, status sendStatus) bool {
	if ctx.Err() != nil || result.Outcome == kumquathitch.SendCancelled || !rc.Clock.Now().Before(rc.deadline) || (status.mayHaveRun && rc.successor == nil && !rc.mayRunAgain()) {
		return false
	}
	if result.Outcome != kumquathitch.SendStale { // With SendStale only the reused connection failed, not the instance.
		rc.criteria.Exclude = append(rc.criteria.Exclude, choice.Instance.ID)
	}
	if rc.successor != nil { // It runs the call already.
		rc.Metrics.Resends.Inc()
		return true
	}
	if rc.sends >= rc.route.MaxAttempts+maxExtraSends && !rc.pauseBeforeResume(ctx) {
		return false
	}
	for status.delivered && !status.retryAllowed && !rc.RetryBudget.Allow(rc.criteria.Service, rc.Clock.Now()) {
		if !rc.pauseBeforeResume(ctx) {
			rc.Logger.Info("resend refused", zap.String("call", rc.call.ID), zap.String("reason", "retry budget spent"))
			return false
		}
	}
	rc.Metrics.Resends.Inc()
	return true
}

// mayRunAgain reports whether a call that may already have run may run again.
func (rc *relayedCall) mayRunAgain() bool {
	switch {
	case rc.route.RetryMode == kumquathitch.RetryNever, rc.runs >= rc.route.MaxAttempts:
		return false
	case rc.headSent && rc.route.RetryMode != kumquathitch.RetryResume:
		return false
	}
	now := rc.Clock.Now()
	return !rc.CrashGuard.Suspected(rc.criteria.Content, now) && !rc.PromptGuard.Suspected(rc.call.Prompt, now)
}

// pauseBeforeResume waits before a stream that has begun is tried at all
// instances again. It reports false at the deadline, and for other calls, which
// are refused instead.
func (rc *relayedCall) pauseBeforeResume(ctx context.Context) bool {
	if !rc.headSent || !rc.mayRunAgain() {
		return false
	}
	rc.criteria.Exclude = nil
	return clock.Pause(ctx, resumeRetryInterval)
}
