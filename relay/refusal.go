package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

const (
	// busyRetryAfter is the Retry-After of calls that no instance took. Full or
	// restarting instances accept calls again within this time.
	busyRetryAfter = 700 * time.Millisecond
	// minEngineRetryAfter is the shortest Retry-After while no engine with the model
	// accepts calls. Another replica loads in seconds.
	minEngineRetryAfter = 2 * time.Second
	// modelRetryAfter is the Retry-After for a model that is not resident where the call
	// may go. A model loads in seconds, and no evacuation is known to end earlier.
	modelRetryAfter = 4 * time.Second
)

// noInstanceRefusal returns the refusal of a call that no instance can accept.
func (rc *relayedCall) noInstanceRefusal(err error) *kumquathitch.RefusalError {
	if rc.runs > 0 {
		return kumquathitch.NewFailure(http.StatusBadGateway, "upstream-failed", "the call failed, and no other instance can accept it")
	}
	var refused *kumquathitch.RefusalError
	if errors.As(err, &refused) {
		return refused
	}
	var blocked *kumquathitch.CallBlockedError
	if errors.As(err, &blocked) {
		return blockedRefusal(blocked)
	}
	var full *kumquathitch.EnginesFullError
	if errors.As(err, &full) {
		code, wait := "engines-full", minEngineRetryAfter
		if full.Model == "" {
			code, wait = "instances-full", busyRetryAfter
		}
		refusal := kumquathitch.NewRefusal(http.StatusServiceUnavailable, code, err.Error())
		refusal.RetryAfter = full.AvailableAt
		if least := rc.Clock.Now().Add(wait); refusal.RetryAfter.Before(least) {
			refusal.RetryAfter = least
		}
		return refusal
	}
	var none *kumquathitch.NoInstanceError
	if errors.As(err, &none) && !none.PausedUntil.IsZero() {
		refusal := kumquathitch.NewRefusal(http.StatusServiceUnavailable, "instances-paused", err.Error())
		refusal.RetryAfter = none.PausedUntil
		return refusal
	}
	code := noInstanceCode(none)
	refusal := kumquathitch.NewRefusal(http.StatusServiceUnavailable, code, err.Error())
	refusal.RetryAfter = rc.Clock.Now().Add(busyRetryAfter)
	switch {
	case code != "no-instance":
		refusal.RetryAfter = rc.Clock.Now().Add(modelRetryAfter)
	case rc.criteria.Model != "":
		refusal.RetryAfter = rc.Clock.Now().Add(minEngineRetryAfter)
	}
	return refusal
}

// noInstanceCode returns the code of a refusal because no instance can take the call. The
// error is nil if the reason is not known.
func noInstanceCode(none *kumquathitch.NoInstanceError) string {
	switch {
	case none == nil:
		return "no-instance"
	case none.OutsideHomes:
		return "no-instance-in-homes"
	case none.Evacuated:
		return "evacuated"
	case none.ModelNotResident, none.AdapterNotResident:
		return "model-not-resident"
	}
	return "no-instance"
}

// blockedRefusal returns the refusal of a call that is blocked by its content or a part of
// its prompt.
func blockedRefusal(blocked *kumquathitch.CallBlockedError) *kumquathitch.RefusalError {
	code := "prompt-crashes-instances"
	if blocked.ByContent {
		code = "crashes-instances"
	}
	refusal := kumquathitch.NewRefusal(http.StatusServiceUnavailable, code, blocked.Error())
	refusal.RetryAfter = blocked.Until
	return refusal
}

// failedSendRefusal returns the refusal of a call whose last send failed.
func (rc *relayedCall) failedSendRefusal(ctx context.Context, result kumquathitch.SendResult, status sendStatus) *kumquathitch.RefusalError {
	if rc.runs == 0 {
		refusal := kumquathitch.NewRefusal(http.StatusServiceUnavailable, "instances-busy", "no instance ran the call: "+result.Outcome.String())
		refusal.RetryAfter = rc.Clock.Now().Add(busyRetryAfter)
		return refusal
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !rc.Clock.Now().Before(rc.deadline) {
		return kumquathitch.NewFailure(http.StatusGatewayTimeout, "deadline", "the call did not end in time")
	}
	if ctx.Err() != nil {
		return kumquathitch.NewFailure(http.StatusBadGateway, "shutting-down", "this VM is shutting down, and the call may have run")
	}
	return kumquathitch.NewFailure(http.StatusBadGateway, "upstream-failed", "the call may have run: "+status.reason())
}

// fail ends a call that got no complete response from an instance.
func (rc *relayedCall) fail(refusal *kumquathitch.RefusalError) {
	if rc.request.Context().Err() != nil {
		rc.Metrics.CallersLeft.Inc()
		rc.Logger.Info("caller left", append(rc.logFields(), rc.connectionFields()...)...)
		panic(http.ErrAbortHandler) // A caller that has only closed its sending side would see a complete response.
	}
	if rc.headSent {
		fields := append(rc.logFields(), zap.String("code", refusal.Code), zap.String("reason", refusal.Message),
			zap.Duration("after", rc.Clock.Now().Sub(rc.received)), zap.Bool("draining", rc.Draining()))
		rc.Logger.Info("answer broken off", append(fields, rc.connectionFields()...)...)
		rc.Metrics.countResponse(0, "broken-off")
		panic(http.ErrAbortHandler) // Closes the connection, so that the caller sees an incomplete response.
	}
	if refusal.Execution == kumquathitch.NotExecuted && rc.tenant != nil {
		rc.TokenBuckets.Refund(rc.tenant.Name, rc.chargedTokens)
	}
	rc.refuse(refusal)
}

// refuse answers a call with a refusal.
func (rc *relayedCall) refuse(refusal *kumquathitch.RefusalError) {
	now := rc.Clock.Now()
	rc.Metrics.countResponse(refusal.Status, refusal.Code)
	rc.Logger.Info("call refused", append(rc.logFields(), zap.Int("status", refusal.Status), zap.String("code", refusal.Code),
		zap.String("run", refusal.Execution), zap.String("reason", refusal.Message), zap.Duration("after", now.Sub(rc.received)))...)
	header := rc.writer.Header()
	if !refusal.RetryAfter.IsZero() {
		wait := max(0, refusal.RetryAfter.Sub(now))
		if maxWait := rc.call.Deadline.Sub(now) / 3; !rc.call.Deadline.IsZero() && wait > maxWait {
			wait = max(0, maxWait)
		}
		header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := refusal.Code + ": " + refusal.Message + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	rc.writer.WriteHeader(refusal.Status)
	_, _ = io.Copy(rc.writer, bytes.NewReader([]byte(text))) // An error means that the caller disconnected.
}

// connectionFields returns the state of the caller's connection, for the log line of a call that ends without a whole answer.
func (rc *relayedCall) connectionFields() []zap.Field {
	state, ok := intake.End(rc.request.Context())
	if !ok {
		return nil
	}
	return state.Fields()
}

// logFields returns the fields that all log lines about the call have.
func (rc *relayedCall) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("call", rc.call.ID), zap.Uint64("version", rc.deploymentVersion), zap.String("service", rc.criteria.Service),
		zap.String("model", rc.call.Target()), zap.Int("sends", rc.sends), zap.Int("runs", rc.runs),
		zap.String("content", strconv.FormatUint(rc.criteria.Content, 16)),
	}
	if rc.route != nil {
		fields = append(fields, zap.String("route", rc.route.Name))
	}
	if rc.tenant != nil {
		fields = append(fields, zap.String("account", rc.tenant.Name))
	}
	return fields
}
